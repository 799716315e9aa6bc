package admitter

import (
	"slices"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// reviser is a quota that reads its limits from the settings.
type reviser interface {
	Revise(st *configurer.Settings)
}

// Revise puts a new configuration in force. What waits for a model, an adapter,
// a class or a right that is no more is refused; the rest keeps its place.
func (sc *Scheduler) Revise(now time.Time, st *configurer.Settings) {
	waiting := sc.takeAll(now)
	sc.settings = st
	sc.rebuildClasses(st)
	if rv, ok := sc.quota.(reviser); ok {
		rv.Revise(st)
	}
	clear(sc.queues)
	for _, en := range waiting {
		if rf := revised(st, en.ticket); rf != nil {
			en.stage = stageEnded
			en.refusal = rf
			close(en.ready)
			sc.onGrant(en)
			continue
		}
		sc.putBack(now, en)
	}
	sc.shrink(now)
}

// takeAll empties the queue, in the order of arrival.
func (sc *Scheduler) takeAll(now time.Time) []*Entry {
	var all []*Entry
	for _, cs := range sc.classes {
		for cs.arrivals.Len() > 0 {
			en := cs.arrivals.Front().Value.(*Entry)
			sc.dequeue(now, en)
			all = append(all, en)
		}
	}
	return all
}

func (sc *Scheduler) rebuildClasses(st *configurer.Settings) {
	before := sc.classes
	old := map[string]*classState{}
	for _, cs := range sc.classes {
		old[cs.name] = cs
	}
	sc.classes = nil
	for _, cl := range st.Classes() {
		cs := newClassState(cl)
		if was, ok := old[cl.Name()]; ok {
			cs.clock, cs.hold = was.clock, was.hold
			cs.keepAccounts(was, st)
		}
		sc.classes = append(sc.classes, cs)
	}
	sortClasses(sc.classes)
	if !sameClasses(before, sc.classes) {
		clear(sc.servers)
	}
}

// sameClasses reports whether the classes are the same in the same order, so
// that counts by class go on.
func sameClasses(one, two []*classState) bool {
	return slices.EqualFunc(one, two, func(cs, other *classState) bool { return cs.name == other.name })
}

// keepAccounts takes over the accounts of callers that still exist.
func (cs *classState) keepAccounts(was *classState, st *configurer.Settings) {
	for name, ac := range was.accounts {
		if _, ok := st.Caller(name); ok {
			cs.accounts[name] = ac
		}
	}
}

func (sc *Scheduler) putBack(now time.Time, en *Entry) {
	en.class = sc.classIndex(en.ticket.Class.Name())
	en.late = false
	sc.queue(en.ticket.Model.Name()).add(en, sc.classes[en.class], now)
	sc.requests++
	sc.bytes += int64(en.ticket.Bytes)
}

// shrink refuses the least urgent entries beyond the new limits.
func (sc *Scheduler) shrink(now time.Time) {
	lm := sc.settings.Limits()
	for sc.requests > lm.QueueRequests() || sc.bytes > lm.QueueBytes() {
		victim := sc.victim(-1)
		rf := refuser.New(refuser.QueueFull, "a new revision lets fewer requests wait").WithRetryAfter(retryLater)
		sc.drop(now, victim, rf)
	}
}

// revised returns why the settings don't allow the ticket any more, or nil.
func revised(st *configurer.Settings, tk *Ticket) *refuser.Refusal {
	if _, ok := st.Model(tk.Model.Name()); !ok {
		return refuser.New(refuser.Removed, "a new revision removed model %q", tk.Model.Name())
	}
	if _, ok := st.Class(tk.Class.Name()); !ok {
		return refuser.New(refuser.Removed, "a new revision removed class %q", tk.Class.Name())
	}
	cr, ok := st.Caller(tk.Caller.Name())
	if !ok {
		return refuser.New(refuser.Removed, "a new revision removed caller %q", tk.Caller.Name())
	}
	if !configurer.Permitted(cr.Models(), tk.Model.Name()) || !configurer.Permitted(cr.Classes(), tk.Class.Name()) {
		return refuser.New(refuser.Removed, "a new revision took a right from caller %q", cr.Name())
	}
	if tk.Adapter == nil {
		return nil
	}
	if _, ok := st.Adapter(tk.Adapter.Name()); !ok {
		return refuser.New(refuser.Removed, "a new revision removed adapter %q", tk.Adapter.Name())
	}
	if !configurer.Permitted(cr.Adapters(), tk.Adapter.Name()) {
		return refuser.New(refuser.Removed, "a new revision took a right from caller %q", cr.Name())
	}
	return nil
}
