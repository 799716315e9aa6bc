package admitter

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/coordination/throttler"
)

const (
	// returnSpreadDivisor gives the fraction of a wait over which callers that are
	// refused are told to return, so that they do not come in the same instant.
	returnSpreadDivisor = 5
	// maxReturnSpread is the longest time over which they return.
	maxReturnSpread = time.Second
	// brittleShare is the percentage of the slots of a brittle server that are used.
	brittleShare = 80
)

// Observe records what a server said in its answer to a request that was sent at
// the given time. It reports whether a limit of the server ended.
func (ad *Admitter) Observe(server string, sent time.Time, sg throttler.Signals) (limitEnded bool) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.scheduler.Observe(ad.now(), server, sent, sg)
}

// Restricted reports whether the server wants a pause or names a limit, so that it should be
// called for requests only.
func (ad *Admitter) Restricted(server string) bool {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.scheduler.throttle.Restricts(ad.now(), server)
}

// EndLimit removes a server's limit, because another node heard that it ended.
func (ad *Admitter) EndLimit(server string) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.scheduler.throttle.EndLimit(server)
}

// Forget removes what a server said, because another process has its name.
func (ad *Admitter) Forget(server string) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.scheduler.throttle.Forget(server)
	if tg, ok := ad.scheduler.table.Target(server); ok {
		tg.Load.ForgetSlowness()
	}
}

// Observe implements Admitter.Observe.
func (sc *Scheduler) Observe(now time.Time, server string, sent time.Time, sg throttler.Signals) (limitEnded bool) {
	if tg, ok := sc.table.Target(server); ok {
		sc.throttle.ObservePool(now, tg.Pool, sent, sg)
	}
	return sc.throttle.Observe(now, server, sent, sg)
}

// brittle reports whether the server falls over if it has to turn requests away.
func (sc *Scheduler) brittle(now time.Time, tg *router.Target) bool {
	return sc.signals && sc.throttle.Brittle(now, tg.Pool)
}

// unheard reports whether the server may be brittle, since none of its pool has answered
// this node yet, or for long.
func (sc *Scheduler) unheard(now time.Time, tg *router.Target) bool {
	return sc.signals && !sc.throttle.Heard(now, tg.Pool)
}

// brittleWindow returns how many requests this node may have on a brittle server.
func (sc *Scheduler) brittleWindow(now time.Time, tg *router.Target) int {
	return sc.brittleTurns(now, tg).share(now)
}

// brittleTurns returns the turns at a brittle server. The windows of all nodes together
// leave some of its slots free, since each node counts by its own clock.
func (sc *Scheduler) brittleTurns(now time.Time, tg *router.Target) turns {
	return sc.turnsAt(now, tg, max(tg.Slots*brittleShare/100, 1))
}

// throttledWait returns how long a new entry would wait because of what the
// servers of its model take: the time until the first of them takes another
// request, and if all name limits, the time for the entries ahead of it. It
// returns 0 if a server takes requests without a limit, or none is known.
func (sc *Scheduler) throttledWait(now time.Time, en *Entry) time.Duration {
	candidates := sc.candidates(en.ticket)
	least, rate, all, count := throttler.Never, 0.0, true, 0
	for _, tg := range candidates {
		if tg.Leaving {
			continue
		}
		count++
		least = min(least, sc.throttle.Wait(now, tg.Name))
		share, limited := sc.throttle.Rate(now, tg.Name)
		rate += share
		all = all && limited
	}
	switch {
	case count == 0:
		return 0
	case !all || least == throttler.Never:
		return least
	}
	ahead := 0
	if mq, ok := sc.queues[en.ticket.Model.Name()]; ok {
		for class := range min(en.class+1, len(mq.byClass)) {
			ahead += mq.byClass[class].count
		}
	}
	return least + seconds(float64(ahead)/rate)
}

// throttledRetryAfter returns when a caller that is refused for the wait should
// return: when the servers take requests again, spread over some time. If they
// take none of this node, another node may be asked at once.
func (sc *Scheduler) throttledRetryAfter(wait time.Duration) time.Duration {
	if wait == throttler.Never {
		return refusalExclusionTime
	}
	after := max(wait, refusalExclusionTime)
	spread := min(after/returnSpreadDivisor, maxReturnSpread)
	return min(after+time.Duration(sc.random.Int64N(int64(spread))), maxRetryAfter)
}
