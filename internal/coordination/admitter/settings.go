package admitter

import (
	"slices"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// settingsApplier is a Quota that takes its limits from the settings.
type settingsApplier interface {
	ApplySettings(st *configurer.Settings)
}

// ApplySettings applies a new configuration. It refuses waiting requests whose
// model, adapter, class, caller or permission was removed; the others keep
// their order.
func (sc *Scheduler) ApplySettings(now time.Time, st *configurer.Settings) {
	waiting := sc.dequeueAll(now)
	sc.settings = st
	sc.rebuildClasses(st)
	sc.updateTargets(st)
	if rv, ok := sc.quota.(settingsApplier); ok {
		rv.ApplySettings(st)
	}
	clear(sc.queues)
	for _, en := range waiting {
		if rf := removedRefusal(st, en.ticket); rf != nil {
			en.stage = stageEnded
			en.refusal = rf
			close(en.ready)
			sc.onDecision(en)
			continue
		}
		sc.requeue(now, en)
	}
	sc.enforceLimits(now)
}

// dequeueAll empties the queue and returns its entries, ordered by class and
// arrival.
func (sc *Scheduler) dequeueAll(now time.Time) []*Entry {
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
	previous := sc.classes
	byName := map[string]*classState{}
	for _, cs := range sc.classes {
		byName[cs.name] = cs
	}
	sc.classes = nil
	for _, cl := range st.Classes() {
		cs := newClassState(cl)
		if was, ok := byName[cl.Name()]; ok {
			cs.virtualTime, cs.holdTime, cs.budgets = was.virtualTime, was.holdTime, was.budgets
			cs.keepAccounts(was, st)
		}
		sc.classes = append(sc.classes, cs)
	}
	sortClasses(sc.classes)
	if !sameClasses(previous, sc.classes) {
		clear(sc.servers)
	}
}

// sameClasses reports whether the classes are the same in the same order, so
// that counts indexed by class stay valid.
func sameClasses(one, two []*classState) bool {
	return slices.EqualFunc(one, two, func(cs, other *classState) bool { return cs.name == other.name })
}

// keepAccounts copies the accounts of callers that still exist.
func (cs *classState) keepAccounts(was *classState, st *configurer.Settings) {
	for name, ac := range was.accounts {
		if _, ok := st.Caller(name); ok {
			cs.accounts[name] = ac
		}
	}
}

func (sc *Scheduler) requeue(now time.Time, en *Entry) {
	en.class = sc.classIndex(en.ticket.Class.Name())
	en.late, en.kept = false, false
	sc.queue(en.ticket.Model.Name()).add(en, sc.classes[en.class], now)
	sc.waitingRequests++
	sc.waitingBytes += int64(en.ticket.Bytes)
}

// enforceLimits refuses the least urgent entries beyond the new limits.
func (sc *Scheduler) enforceLimits(now time.Time) {
	lm := sc.settings.Limits()
	for sc.waitingRequests > lm.QueueRequests() || sc.waitingBytes > lm.QueueBytes() {
		victim := sc.victim(-1)
		rf := refuser.New(refuser.QueueFull, "a new revision lets fewer requests wait").WithRetryAfter(defaultRetryAfter)
		sc.refuseWaiting(now, victim, rf)
	}
}

// removedRefusal returns a refusal if the settings no longer allow the ticket,
// or nil.
func removedRefusal(st *configurer.Settings, tk *Ticket) *refuser.Refusal {
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
