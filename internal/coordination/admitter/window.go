package admitter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// lotInterval is how long a node keeps an indivisible part of a window.
	lotInterval = time.Second
	// resumeDivisor gives resumed requests this part of the slots on top.
	resumeDivisor = 8
	// longPromptTokens is the length from which a prompt goes to a prefill
	// server.
	longPromptTokens = 1024
)

// window returns how many requests this node may have on the target: what the
// other nodes leave free, and at least its own part of the slots.
func (sc *Scheduler) window(now time.Time, tg *router.Target, resumed bool) int {
	extra := 0
	if resumed {
		extra = max(1, tg.Slots/resumeDivisor)
	}
	return max(sc.part(now, tg, tg.Slots), tg.Slots-tg.Load.Others()) + extra
}

// users returns how many nodes share the target.
func (sc *Scheduler) users(tg *router.Target) int {
	if users := tg.Load.Users(); users > 0 {
		return users
	}
	return sc.table.Nodes()
}

// part returns the node's own part of a number of the target's slots. What
// can't be divided goes around among the nodes by lot, so that the parts sum up
// to the whole.
func (sc *Scheduler) part(now time.Time, tg *router.Target, slots int) int {
	users := sc.users(tg)
	part := slots / users
	rest := slots % users
	if rest == 0 {
		return part
	}
	slice := now.UnixNano() / int64(lotInterval)
	lot := xxhash.Sum64String(sc.nodeID) + xxhash.Sum64String(tg.Name) + uint64(slice)
	if int(lot%uint64(users)) < rest {
		part++
	}
	return part
}

// fits reports whether the entry may go to the target now.
func (sc *Scheduler) fits(now time.Time, en *Entry, tg *router.Target) bool {
	if !sc.roleFits(en, tg) || tg.Load.Own() >= sc.window(now, tg, en.ticket.Resumed) || !sc.readsInTime(en, tg) || sc.isBarred(now, en, tg) {
		return false
	}
	return en.ticket.Resumed || sc.classFits(now, tg, en.class)
}

// roleFits reports whether the target's role takes the entry. Prompts that go
// to a prefill server are continued by a decode server; other requests avoid
// prefill servers.
func (sc *Scheduler) roleFits(en *Entry, tg *router.Target) bool {
	if len(sc.roles) == 0 {
		return true
	}
	split := sc.roles[en.ticket.Model.Name()]
	if split && en.ticket.PromptTokens >= longPromptTokens {
		return tg.Role == configurer.RoleDecode
	}
	return tg.Role != configurer.RolePrefill
}

// notePrefillRoles finds the models that have servers for both roles.
func (sc *Scheduler) notePrefillRoles() {
	clear(sc.roles)
	prefill, decode := map[string]bool{}, map[string]bool{}
	for _, tg := range sc.table.Targets() {
		for _, model := range tg.Models {
			prefill[model] = prefill[model] || tg.Role == configurer.RolePrefill
			decode[model] = decode[model] || tg.Role == configurer.RoleDecode
		}
	}
	for model := range prefill {
		if prefill[model] && decode[model] {
			sc.roles[model] = true
		}
	}
}

// choosePrefill picks the prefill server of a long prompt.
func (sc *Scheduler) choosePrefill(now time.Time, en *Entry) {
	tk := en.ticket
	if !sc.roles[tk.Model.Name()] || tk.PromptTokens < longPromptTokens {
		return
	}
	candidates := sc.table.Candidates(tk.Model.Name())
	sc.askedAt = now
	sc.fill(tk, candidates)
	sc.request.Eligible = sc.prefills
	tg := sc.policy.Choose(&sc.request, candidates, now)
	if tg != nil {
		en.prefill = tg
		tg.Load.Dispatched(now)
	}
}

func (sc *Scheduler) prefillFits(now time.Time, tg *router.Target) bool {
	return tg.Role == configurer.RolePrefill && tg.Load.Own() < sc.window(now, tg, false)
}

// finishPrefill gives the prefill server's place back.
func (sc *Scheduler) finishPrefill(now time.Time, en *Entry) {
	if en.prefill == nil {
		return
	}
	en.prefill.Load.Finished(now)
	en.prefill = nil
}

// pump grants waiting requests to the target while it has room.
func (sc *Scheduler) pump(now time.Time, tg *router.Target) {
	if sc.requests == 0 || tg.Leaving || sc.weight(tg) <= 0 {
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
		en.flow.line.grants++
		en.flow.line.meter.add(now)
		sc.grant(now, en, tg)
	}
}

// next returns the entry that the target should run next: of a class that is
// owed part of its least share, else of the most urgent class that may take
// another slot.
func (sc *Scheduler) next(now time.Time, tg *router.Target) *Entry {
	ss := sc.server(tg.Name)
	var first, owed *Entry
	for ix := range sc.classes {
		en := sc.head(now, tg, ix)
		if en == nil {
			continue
		}
		if first == nil && (en.ticket.Resumed || sc.classFits(now, tg, ix)) {
			first = en
			continue
		}
		if ss.credits[ix] >= en.cost && (owed == nil || ss.credits[ix] > ss.credits[owed.class]) {
			owed = en
		}
	}
	if owed != nil {
		owed.owed = true
		return owed
	}
	return first
}

// head returns the first entry of the class for the target, over all models
// that are ready there.
func (sc *Scheduler) head(now time.Time, tg *router.Target, class int) *Entry {
	room := tg.Load.Own() < sc.window(now, tg, false)
	fits := func(en *Entry) bool {
		if !room && !en.ticket.Resumed || !sc.roleFits(en, tg) || !sc.readsInTime(en, tg) || sc.isBarred(now, en, tg) {
			return false
		}
		avoid := sc.avoid(en.ticket, sc.table.Candidates(en.ticket.Model.Name()))
		return !slices.Contains(avoid, tg.Name)
	}
	var best *Entry
	for _, model := range tg.Models {
		mq, ok := sc.queues[model]
		if !ok || mq.lines[class].count == 0 {
			continue
		}
		en := mq.lines[class].best(now, fits)
		if en != nil && (best == nil || precedes(en, best, false)) {
			best = en
		}
	}
	return best
}
