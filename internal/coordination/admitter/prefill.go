package admitter

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// backlogDivisor gives the fraction of a request's first-token target that
	// the prefill backlog before it may take on a server.
	backlogDivisor = 2
	// pauseShare is the fraction of the allowed pause between two events of a
	// stream that the prefill backlog may take: an engine delays all its streams
	// while it prefills, and the tokens of an event take the rest.
	pauseShare = 0.6
	// minBacklogLimit is a backlog that never keeps a request from a server: the
	// prefill time of one long prompt.
	minBacklogLimit = 100 * time.Millisecond
	// prefillShare is the fraction of its time that a server should spend on
	// prefill; beyond it the running requests get their tokens too slowly.
	prefillShare = 0.4
)

// backlogFits reports whether the target's backlog is short enough for the
// request's first-token target. A request that waits in the node instead can
// still go to another server.
func (sc *Scheduler) backlogFits(now time.Time, en *Entry, tg *router.Target) bool {
	if en.ticket.PromptTokens == 0 {
		return true
	}
	if longest, ok := sc.longestBacklog(tg.Pool); ok && !sc.ownBacklogFits(en, tg, longest) {
		return false
	}
	return tg.Load.Backlog() <= sc.backlogLimit(en.ticket.Class, tg.Pool) && !sc.yields(now, en, tg)
}

// backlogLimit returns the longest backlog of a server of the pool to which requests of the
// class are sent.
func (sc *Scheduler) backlogLimit(cl *configurer.Class, pool string) time.Duration {
	limit := cl.FirstToken() / backlogDivisor
	if longest, ok := sc.longestBacklog(pool); ok {
		limit = min(limit, longest)
	}
	return max(limit, minBacklogLimit)
}

// longestBacklog returns the longest backlog that the streams of the pool allow, and false
// if it has no streams.
func (sc *Scheduler) longestBacklog(pool string) (time.Duration, bool) {
	pause, ok := sc.pauses[pool]
	return time.Duration(float64(pause) * pauseShare), ok
}

// ownBacklogFits reports whether this node's prompts on the target stay within the node's
// share of the longest backlog that streams there allow. The backlog of other nodes is
// known with a delay in which an engine reads several prompts, so that nodes which fill up
// what they know to be free exceed it together. A node may always send one prompt.
func (sc *Scheduler) ownBacklogFits(en *Entry, tg *router.Target, longest time.Duration) bool {
	own := tg.Load.OwnBacklog()
	return own == 0 || en.ticket.Resumed || own+en.ownPrefillTime <= longest/time.Duration(sc.users(tg))
}

// estimatePrefillWait returns how long a request with a prompt would wait until
// a server starts on its prompt: the least backlog of its servers and the
// prompts that wait ahead of it in the node. It assumes that the nodes share
// the servers equally. Without a server that takes new work, it returns the
// time after which an excluded one may be used again.
func (sc *Scheduler) estimatePrefillWait(now time.Time, en *Entry) time.Duration {
	tk := en.ticket
	count, leastBacklog := 0, maxRetryAfter
	for _, tg := range sc.candidates(tk) {
		if tg.Leaving || sc.isExcluded(now, en, tg) || sc.isDown(tk, tg) {
			continue
		}
		count++
		leastBacklog = min(leastBacklog, tg.Load.Backlog())
	}
	if count == 0 {
		return refusalExclusionTime
	}
	ahead := time.Duration(0)
	if mq, ok := sc.queues[tk.Model.Name()]; ok {
		for class := range min(en.class+1, len(mq.byClass)) {
			ahead += mq.byClass[class].ownPrefillTime
		}
	}
	return leastBacklog + ahead*time.Duration(sc.table.Nodes())/time.Duration(count)
}

// prefillSlack returns how long a request with a prompt can wait in the node
// and still be on time. It assumes the greatest backlog allowed: a waiting
// request is sent as soon as a server's backlog falls below that limit.
func (sc *Scheduler) prefillSlack(tk *Ticket) time.Duration {
	target := tk.Class.FirstToken()
	first := sc.engines.FirstToken(tk.Model.Name(), sc.ownTokens(tk), sc.backlogLimit(tk.Class, tk.Model.Pool()))
	return max(target-target/targetMarginDivisor-first, time.Millisecond)
}

// addBacklog adds the prompt of a granted request to the target's backlog, and
// its prefixes to those that the target is assumed to cache.
func (sc *Scheduler) addBacklog(now time.Time, en *Entry, tg *router.Target) {
	if en.ticket.PromptTokens == 0 {
		return
	}
	sc.fillRequest(en.ticket, sc.candidates(en.ticket))
	en.prefixSource = sc.prefixSourceFor(tg)
	en.uncachedTokens = sc.request.UncachedTokens(tg)
	en.backlog = tg.Load.Backlog()
	en.prefillTime = time.Duration(float64(sc.engines.PrefillTime(en.ticket.Model.Name(), en.uncachedTokens)) * tg.Load.Slowdown())
	tg.Load.AddBacklog(en.prefillTime)
	tg.Load.SendPrompt(now, en.prefillTime)
	sc.recordMemory(en, tg)
	if tg.Prefixes != nil && len(en.ticket.PrefixTokens) > 0 {
		tg.Prefixes.Sent(en.ticket.Prefixes)
		sc.commonPrefixes.Record(en.ticket.Prefixes)
	}
}

// removeBacklog removes the prompt of the entry from its target's backlog.
func (sc *Scheduler) removeBacklog(en *Entry) {
	en.target.Load.RemoveBacklog(en.prefillTime)
	en.prefillTime = 0
}

// FirstTokenReceived notes that the first token of a granted request arrived,
// and grants waiting requests for which the target now has room.
func (sc *Scheduler) FirstTokenReceived(now time.Time, en *Entry) {
	if en.stage != stageGranted || en.prefillTime == 0 {
		return
	}
	sc.removeBacklog(en)
	if tg, ok := sc.table.Target(en.target.Name); ok {
		sc.grantWaiting(now, tg)
	}
}

// addArrivedDemand sets the entry's ownPrefillTime. It counts this time as
// demand whether or not the request is granted later, but only once for a
// request that is submitted repeatedly.
func (sc *Scheduler) addArrivedDemand(en *Entry) {
	tk := en.ticket
	if tk.PromptTokens == 0 || tk.Resumed {
		return
	}
	en.ownPrefillTime = sc.engines.PrefillTime(tk.Model.Name(), sc.ownTokens(tk))
	if !tk.Repeated {
		sc.statsFor(tk.Model.Name()).demand.arrivedPrefill += sc.engines.WorkTime(tk.Model.Name(), sc.ownTokens(tk))
	}
}

// ownTokens returns the number of prompt tokens that no server has cached from
// other requests: those after the last prefix but one.
func (*Scheduler) ownTokens(tk *Ticket) int {
	if count := len(tk.PrefixTokens); count > 1 {
		return max(tk.PromptTokens-tk.PrefixTokens[count-2], 0)
	}
	return tk.PromptTokens
}

// prefillDemand returns the prefill demand of a model as a number of concurrent
// requests: the slots of the servers that the prefill would take.
func (sc *Scheduler) prefillDemand(model string, arrivedPrefill, elapsed time.Duration) float64 {
	if arrivedPrefill == 0 || elapsed <= 0 {
		return 0
	}
	servers := arrivedPrefill.Seconds() / elapsed.Seconds() / prefillShare
	return servers * float64(sc.serverSlots(model))
}

// serverSlots returns the slots of a server that runs the model or, if there is
// none, of a server of its pool; zero if there is neither.
func (sc *Scheduler) serverSlots(model string) int {
	if candidates := sc.table.Candidates(model); len(candidates) > 0 {
		return candidates[0].Slots
	}
	md, ok := sc.settings.Model(model)
	if !ok {
		return 0
	}
	for _, bs := range sc.settings.BackendServers() {
		if bs.Pool() == md.Pool() {
			return bs.Slots()
		}
	}
	return 0
}
