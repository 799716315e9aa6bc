package admitter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// remainderInterval is how long a node keeps a slot that is left over when a
	// server's slots are divided among the nodes.
	remainderInterval = time.Second
	// freeInterval is how long a node keeps a free slot that it may use: about
	// the time until the nodes know of each other's use.
	freeInterval = 100 * time.Millisecond
	// fullShare is the part of its batch limit from which a server is close to it.
	// From 0.75 on, nodes with few requests waited beside free slots.
	fullShare = 0.9
	// resumeDivisor gives the fraction of a server's slots that resumed requests
	// may use on top of the window.
	resumeDivisor = 8
	// longPromptTokens is the prompt length from which a prefill server
	// processes the prompt.
	longPromptTokens = 1024
)

// window returns how many requests this node may have on the target: the slots
// that the other nodes leave free, and at least its own share of the slots, but no more
// than it has connections. A request that is granted without one could only be refused.
func (sc *Scheduler) window(now time.Time, tg *router.Target, resumed bool) int {
	window := sc.slotWindow(now, tg, resumed)
	if limit := sc.connections(tg.Address); limit > 0 {
		return min(window, limit)
	}
	return window
}

func (sc *Scheduler) slotWindow(now time.Time, tg *router.Target, resumed bool) int {
	switch {
	case sc.brittle(now, tg):
		return sc.brittleWindow(now, tg)
	case sc.unheard(now, tg):
		// The first answer tells; to wait for a share until then could take long in a
		// large fleet.
		return max(sc.brittleWindow(now, tg), 1)
	}
	extra := 0
	if resumed {
		extra = max(1, tg.Slots/resumeDivisor)
	}
	slots := sc.batchLimit(now, tg)
	return max(sc.nodeShare(now, tg, slots), sc.freeWindow(now, tg, slots)) + extra
}

// freeWindow returns how many requests this node may have on the target by the
// slots that the other nodes leave free. On a server close to its limit nodes
// see the same free slots until they hear of each other's requests, so that each
// takes only its part of them.
func (sc *Scheduler) freeWindow(now time.Time, tg *router.Target, slots int) int {
	free := slots - tg.Load.Total()
	if tg.CacheTokens == 0 || free <= 0 || float64(tg.Load.Total()) < fullShare*float64(slots) {
		return slots - tg.Load.Others()
	}
	return tg.Load.Own() + sc.share(now, tg, free, freeInterval)
}

// users returns the number of nodes that share the target.
func (sc *Scheduler) users(tg *router.Target) int {
	if users := tg.Load.Users(); users > 0 {
		return users
	}
	return sc.table.Nodes()
}

// nodeShare returns this node's share of a number of the target's slots. The
// slots that don't divide evenly rotate among the nodes by hash and time, so
// that the shares add up to all slots.
func (sc *Scheduler) nodeShare(now time.Time, tg *router.Target, slots int) int {
	return sc.share(now, tg, slots, remainderInterval)
}

// share returns this node's share of the slots. What doesn't divide evenly
// moves on to other nodes after the interval.
func (sc *Scheduler) share(now time.Time, tg *router.Target, slots int, interval time.Duration) int {
	users := sc.users(tg)
	nodeShare := slots / users
	remainder := slots % users
	if remainder == 0 {
		return nodeShare
	}
	period := now.UnixNano() / int64(interval)
	hash := xxhash.Sum64String(sc.nodeID) + xxhash.Sum64String(tg.Name) + uint64(period)
	if int(hash%uint64(users)) < remainder {
		nodeShare++
	}
	return nodeShare
}

// fits reports whether the entry may go to the target now.
func (sc *Scheduler) fits(now time.Time, en *Entry, tg *router.Target) bool {
	if !sc.isCandidate(en.ticket, tg) || sc.isDown(en.ticket, tg) || !sc.roleFits(en, tg) || tg.Load.Own() >= sc.window(now, tg, en.ticket.Resumed) || sc.throttle.Wait(now, tg.Name) > 0 || !sc.backlogFits(now, en, tg) || sc.isExcluded(now, en, tg) {
		return false
	}
	return en.ticket.Resumed || sc.classFits(now, tg, en.class) && !sc.yieldsToCallers(now, en, tg)
}

// roleFits reports whether the target's role allows the entry. Requests whose
// prompt goes to a prefill server are granted a decode server; other requests
// avoid prefill servers.
func (sc *Scheduler) roleFits(en *Entry, tg *router.Target) bool {
	if len(sc.splitModels) == 0 {
		return true
	}
	split := sc.splitModels[en.ticket.Model.Name()]
	if split && en.ticket.PromptTokens >= longPromptTokens {
		return tg.Role == configurer.RoleDecode
	}
	return tg.Role != configurer.RolePrefill
}

// updateSplitModels finds the models that have both prefill and decode servers.
func (sc *Scheduler) updateSplitModels() {
	clear(sc.splitModels)
	prefill, decode := map[string]bool{}, map[string]bool{}
	for _, tg := range sc.table.Targets() {
		for _, model := range tg.Models {
			prefill[model] = prefill[model] || tg.Role == configurer.RolePrefill
			decode[model] = decode[model] || tg.Role == configurer.RoleDecode
		}
	}
	for model := range prefill {
		if prefill[model] && decode[model] {
			sc.splitModels[model] = true
		}
	}
}

// choosePrefillServer chooses the prefill server for a long prompt.
func (sc *Scheduler) choosePrefillServer(now time.Time, en *Entry) {
	tk := en.ticket
	if !sc.splitModels[tk.Model.Name()] || tk.PromptTokens < longPromptTokens {
		return
	}
	candidates := sc.table.Candidates(tk.Model.Name())
	sc.choosingAt = now
	sc.fillRequest(tk, candidates)
	sc.request.Eligible = sc.eligiblePrefill
	tg := sc.policy.Choose(&sc.request, candidates, now)
	if tg != nil {
		en.prefillServer = tg
		tg.Load.Dispatched(now)
	}
}

func (sc *Scheduler) prefillServerFits(now time.Time, tg *router.Target) bool {
	return tg.Role == configurer.RolePrefill && !sc.reachability.Down(tg.Name) && tg.Load.Own() < sc.window(now, tg, false)
}

// releasePrefillServer releases the entry's slot on its prefill server.
func (sc *Scheduler) releasePrefillServer(now time.Time, en *Entry) {
	if en.prefillServer == nil {
		return
	}
	en.prefillServer.Load.Finished(now)
	en.prefillServer = nil
}

// grantWaiting grants waiting requests to the target while it has room.
func (sc *Scheduler) grantWaiting(now time.Time, tg *router.Target) {
	if sc.waitingRequests == 0 || tg.Leaving || sc.weight(tg) <= 0 {
		return
	}
	for tg.Load.Own() < sc.window(now, tg, true) {
		en := sc.next(now, tg)
		if en == nil {
			return
		}
		sc.dequeue(now, en)
		cs := sc.classes[en.class]
		cs.charge(en.flow.account, en.cost)
		en.flow.classQueue.grants++
		en.flow.classQueue.meter.add(now)
		sc.grant(now, en, tg)
	}
}

// next returns the entry that the target should run next, or nil. This is the
// head of the class with the most credit for its minimum share, if the credit
// covers the entry's cost; otherwise the head of the most urgent class that may
// take another slot.
func (sc *Scheduler) next(now time.Time, tg *router.Target) *Entry {
	ss := sc.server(tg.Name)
	var first, underserved *Entry
	for ix := range sc.classes {
		en := sc.head(now, tg, ix)
		if en == nil {
			continue
		}
		if first == nil && (en.ticket.Resumed || sc.classFits(now, tg, ix)) {
			first = en
			continue
		}
		if ss.credits[ix] >= en.cost && (underserved == nil || ss.credits[ix] > ss.credits[underserved.class]) {
			underserved = en
		}
	}
	if underserved != nil {
		underserved.underserved = true
		return underserved
	}
	return first
}

// head returns the first entry of the class that fits the target, over all
// models that are ready there, or nil.
func (sc *Scheduler) head(now time.Time, tg *router.Target, class int) *Entry {
	if sc.throttle.Wait(now, tg.Name) > 0 || sc.reachability.Down(tg.Name) {
		return nil
	}
	room := tg.Load.Own() < sc.window(now, tg, false)
	lateRoom := room && !sc.nearLimit(now, tg)
	fits := func(en *Entry) bool {
		if !room && !en.ticket.Resumed || sc.yieldsLate(en) && !lateRoom || !sc.isCandidate(en.ticket, tg) || !sc.roleFits(en, tg) || !sc.backlogFits(now, en, tg) || sc.isExcluded(now, en, tg) || !en.ticket.Resumed && sc.yieldsToCallers(now, en, tg) {
			return false
		}
		avoidedServers := sc.avoidedServers(en.ticket, sc.candidates(en.ticket))
		return !slices.Contains(avoidedServers, tg.Name)
	}
	var best *Entry
	for _, model := range tg.Models {
		mq, ok := sc.queues[model]
		if !ok || mq.byClass[class].count == 0 {
			continue
		}
		en := mq.byClass[class].best(now, fits)
		if en != nil && (best == nil || precedes(en, best, false)) {
			best = en
		}
	}
	return best
}
