package admitter

import (
	"time"

	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// slowestRate is the least rate, in grants a second, that an estimate uses.
	slowestRate = 1.0 / 60
	// longestRetryAfter bounds what a caller is told to wait.
	longestRetryAfter = time.Minute
	// shortestRetryAfter is the least that a caller is told to wait.
	shortestRetryAfter = time.Second
)

// refuseWait refuses a request that has no chance to meet its deadline.
func (sc *Scheduler) refuseWait(now time.Time, en *Entry) *refuser.Refusal {
	wait, known := sc.estimate(now, en)
	if !known {
		return nil
	}
	shortest := shortestRetryAfter
	rest := sc.service(en.ticket.Model.Name()).whole.value
	if en.wanted > 0 {
		// A stream that began is delivered until its deadline: what counts is
		// that it begins.
		shortest, rest = refusedTime, sc.engines.FirstToken(en.ticket.Model.Name(), sc.ownTokens(en.ticket), 0)
	}
	end := now.Add(wait + rest)
	over := end.Sub(en.ticket.Deadline)
	if over <= 0 {
		return nil
	}
	after := min(max(over, shortest), longestRetryAfter)
	return refuser.New(refuser.DeadlineUnreachable,
		"about %v of waiting are ahead and the deadline is in %v", wait.Round(time.Millisecond), en.ticket.Deadline.Sub(now).Round(time.Millisecond)).
		WithRetryAfter(after)
}

// estimate returns how long the request would wait: what is ahead of it,
// divided by the measured rate of grants. A request that would become late is
// served with the late ones, which get one grant of lateEvery.
func (sc *Scheduler) estimate(now time.Time, en *Entry) (time.Duration, bool) {
	if en.wanted > 0 {
		return sc.estimateReading(now, en), true
	}
	mq, ok := sc.queues[en.ticket.Model.Name()]
	if !ok {
		return 0, false
	}
	ln := mq.lines[en.class]
	rate, known := ln.meter.rate(now)
	if !known || ln.count == 0 {
		return 0, false
	}
	rate = max(rate, slowestRate)
	fresh := ln.aheadOf(en.ticket.Caller.Name())
	wait := seconds(float64(fresh+1) / rate)
	if ln.late > 0 {
		wait = wait * lateEvery / (lateEvery - 1)
	}
	target := sc.patience(en.ticket)
	if wait <= target {
		return wait, true
	}
	lateWait := seconds(float64(ln.late+1) * lateEvery / rate)
	return max(wait, target+lateWait), true
}

// aheadOf returns how many entries that can be on time go before a new one of
// the caller: all of them, or less if the others have more waiting than it.
func (ln *line) aheadOf(caller string) int {
	own := 0
	if fl := ln.flow(caller); fl != nil {
		own = fl.fresh.Len()
	}
	return min(ln.count-ln.late, (own+1)*max(len(ln.flows), 1))
}

func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}

// makeRoom refuses the entry if the queue is full, unless a less urgent one can
// give way.
func (sc *Scheduler) makeRoom(now time.Time, en *Entry) *refuser.Refusal {
	lm := sc.settings.Limits()
	size := int64(en.ticket.Bytes)
	for sc.requests+1 > lm.QueueRequests() || sc.bytes+size > lm.QueueBytes() {
		victim := sc.victim(en.class)
		if victim == nil || size > lm.QueueBytes() {
			return sc.fullRefusal(now, en)
		}
		sc.drop(now, victim, sc.fullRefusal(now, victim))
	}
	return nil
}

// victim returns the last arrival of the least urgent class below the class.
func (sc *Scheduler) victim(class int) *Entry {
	for ix := len(sc.classes) - 1; ix > class; ix-- {
		if el := sc.classes[ix].arrivals.Back(); el != nil {
			return el.Value.(*Entry)
		}
	}
	return nil
}

func (sc *Scheduler) fullRefusal(now time.Time, en *Entry) *refuser.Refusal {
	lm := sc.settings.Limits()
	after := shortestRetryAfter
	if wait, known := sc.estimate(now, en); known {
		after = min(max(wait, shortestRetryAfter), longestRetryAfter)
	}
	if sc.requests+1 > lm.QueueRequests() {
		return refuser.New(refuser.QueueFull, "%d requests wait at this node", sc.requests).WithRetryAfter(after)
	}
	return refuser.New(refuser.QueueBytes, "%d bytes of requests wait at this node", sc.bytes).WithRetryAfter(after)
}
