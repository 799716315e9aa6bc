package adapterkeeper

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
)

// maxUnanswered is the number of orders to one server that may be unanswered
// at a time; a new owner holds the room of as many of the largest adapters back.
const maxUnanswered = 2

// The reasons for which an adapter is not loaded now.
const (
	reasonNoBound    = "no-late-order-bound"
	reasonNoOwner    = "no-fence"
	reasonNewOwner   = "owner-changed"
	reasonUnanswered = "unanswered-order"
	reasonNoRoom     = "adapters-held"
	reasonTooLarge   = "too-large"
	reasonUnknown    = "unknown-adapter"
	reasonFailed     = "order-failed"
	reasonTokens     = "adapters-in-transit"
	// reasonUnreachable is the node's own: the owner gave no answer.
	reasonUnreachable = "owner-unreachable"
)

// Rules is what the settings say of one server's adapters.
type Rules struct {
	// Address is where the engine takes orders.
	Address string
	// Reserve is the memory for adapters.
	Reserve int64
	// Spare is the memory of the two largest adapters.
	Spare int64
	// ChecksFencing says that the engine refuses old fencing numbers.
	ChecksFencing bool
	// CountsOrders says that the engine refuses an order that was sent for
	// another count of accepted orders, so that no order outlives a newer one.
	CountsOrders bool
	// Lease is how long an adapter stays after an answer that it is ready.
	Lease time.Duration
	// Bound is the longest time that an order can arrive late.
	Bound time.Duration
}

// state is what is known of an adapter on a server.
type state int

const (
	loading state = iota + 1
	loaded
	unloading
	// unsure means that an order for the adapter was not answered.
	unsure
)

// entry is an adapter that takes memory, or may.
type entry struct {
	bytes  int64
	state  state
	used   time.Time
	leased time.Time
}

// attempt is an order whose answer never came.
type attempt struct {
	action string
	name   string
	fence  int64
	sent   time.Time
}

// action is what to do next for an adapter.
type action int

const (
	ready action = iota + 1
	refuse
	raise
	inspect
	load
	unload
)

// step is a decision.
type step struct {
	action action
	name   string
	bytes  int64
	reason string
}

// table is what a server's owner knows of its adapters.
type table struct {
	rules     Rules
	claim     int64
	since     time.Time
	boot      string
	inspected bool
	seen      time.Time
	basis     int64
	entries   map[string]*entry
	attempts  []attempt
}

// reset forgets everything: another node may have owned the server meanwhile.
func (tb *table) reset(claim int64, since time.Time) {
	*tb = table{rules: tb.rules, claim: claim, since: since, entries: map[string]*entry{}}
}

// decide returns what brings the adapter to readiness, one step at a time.
func (tb *table) decide(now time.Time, md orderer.Mandate, name string, bytes int64) step {
	if md.Claim != tb.claim {
		tb.reset(md.Claim, md.Claimed)
	}
	if !tb.settle(now, md.Number) {
		return step{action: raise}
	}
	if !tb.inspected {
		return step{action: inspect}
	}
	if en, ok := tb.entries[name]; ok && en.state == loaded {
		return step{action: ready}
	}
	if tb.rules.ChecksFencing || tb.rules.CountsOrders {
		return tb.makeRoom(now, name, bytes)
	}
	if reason := tb.mayNotOrder(now); reason != "" {
		return step{action: refuse, reason: reason}
	}
	if now.Sub(md.Confirmed) > tb.rules.Bound/4 {
		return step{action: raise}
	}
	return tb.makeRoom(now, name, bytes)
}

// mayNotOrder returns why no order may go to an engine that ignores fencing
// numbers, or nothing. An earlier owner has the right to send for half of the
// bound after its last confirmation, which came before the takeover.
func (tb *table) mayNotOrder(now time.Time) string {
	switch {
	case tb.rules.Bound == 0:
		return reasonNoBound
	case tb.claim > 1 && now.Sub(tb.since) <= tb.rules.Bound/2:
		return reasonNewOwner
	}
	return ""
}

// mandated reports whether the order of a step may go out now.
func (tb *table) mandated(now time.Time, md orderer.Mandate, st step) bool {
	switch {
	case md.Claim != tb.claim:
		return false
	case st.action == inspect:
		return true
	case !tb.rules.ChecksFencing && !tb.rules.CountsOrders && now.Sub(md.Confirmed) > tb.rules.Bound/2:
		return false
	}
	return st.action == unload || tb.reserved(now)-tb.bytesOf(st.name)+st.bytes <= tb.rules.Reserve
}

func (tb *table) bytesOf(name string) int64 {
	if en, ok := tb.entries[name]; ok {
		return en.bytes
	}
	return 0
}

// outdated reports whether an earlier owner's orders may have changed what the
// engine held when it was last asked.
func (tb *table) outdated(now time.Time) bool {
	if tb.claim <= 1 || tb.rules.Bound == 0 || tb.rules.CountsOrders {
		return false
	}
	for _, part := range []time.Duration{tb.rules.Bound / 2, tb.rules.Bound} {
		end := tb.since.Add(part)
		if now.After(end) && !tb.seen.After(end) {
			return true
		}
	}
	return false
}

// settle ends the attempts that can no longer arrive, and reports whether the
// fencing number does that for those that an engine would refuse.
func (tb *table) settle(now time.Time, fence int64) bool {
	if tb.rules.ChecksFencing {
		for _, at := range tb.attempts {
			if at.fence >= fence {
				return false
			}
		}
		tb.inspected = tb.inspected && len(tb.attempts) == 0
		return true
	}
	if tb.outdated(now) {
		tb.inspected = false
	}
	left := tb.attempts[:0]
	for _, at := range tb.attempts {
		if now.Sub(at.sent) <= tb.rules.Bound {
			left = append(left, at)
			continue
		}
		tb.inspected = false
	}
	tb.attempts = left
	return true
}

// makeRoom returns the load, or what has to be unloaded before it.
func (tb *table) makeRoom(now time.Time, name string, bytes int64) step {
	if bytes > tb.rules.Reserve {
		return step{action: refuse, reason: reasonTooLarge}
	}
	if len(tb.attempts) >= maxUnanswered || tb.pending(name, orderer.ActionUnloadAdapter) {
		return step{action: refuse, reason: reasonUnanswered}
	}
	missing := tb.reserved(now) - tb.bytesOf(name) + bytes - tb.rules.Reserve
	if missing <= 0 {
		return step{action: load, name: name, bytes: bytes}
	}
	victim, evictable := tb.leastRecent(now)
	if evictable < missing {
		return step{action: refuse, reason: reasonNoRoom}
	}
	return step{action: unload, name: victim, bytes: tb.entries[victim].bytes}
}

// leastRecent returns the adapter that was used least recently of those that
// nobody holds, and the memory of all of these.
func (tb *table) leastRecent(now time.Time) (victim string, evictable int64) {
	for other, en := range tb.entries {
		if en.state != loaded || now.Before(en.leased) || tb.pending(other, "") {
			continue
		}
		evictable += en.bytes
		was := tb.entries[victim]
		if was == nil || en.used.Before(was.used) || en.used.Equal(was.used) && other < victim {
			victim = other
		}
	}
	return victim, evictable
}

// pending reports whether an unanswered order for the adapter may arrive; no
// action means any.
func (tb *table) pending(name, action string) bool {
	for _, at := range tb.attempts {
		if at.name == name && (action == "" || at.action == action) {
			return true
		}
	}
	return false
}

// reserved returns the memory that is or may come to be in use.
func (tb *table) reserved(now time.Time) int64 {
	sum := int64(0)
	for _, en := range tb.entries {
		sum += en.bytes
	}
	if !tb.rules.ChecksFencing && !tb.rules.CountsOrders && tb.claim > 1 && now.Sub(tb.since) <= tb.rules.Bound {
		sum += tb.rules.Spare
	}
	return sum
}

// begin notes an order before it is sent.
func (tb *table) begin(now time.Time, st step) {
	if st.action == unload {
		tb.entries[st.name].state = unloading
		return
	}
	tb.entries[st.name] = &entry{bytes: st.bytes, state: loading, used: now}
	checker.Assert(checker.MemoryWithin, tb.reserved(now) <= tb.rules.Reserve,
		"adapters at %s: %d bytes are reserved of %d", tb.rules.Address, tb.reserved(now), tb.rules.Reserve)
}

// answered notes that an order was carried out.
func (tb *table) answered(now time.Time, st step, boot string) {
	if boot != tb.boot {
		tb.inspected = false
	}
	tb.outlive()
	if st.action == unload {
		delete(tb.entries, st.name)
		return
	}
	tb.entries[st.name].state = loaded
	tb.entries[st.name].leased = now.Add(tb.rules.Lease)
}

// outlive ends the unanswered orders that an engine which counts orders refuses
// now that it accepted a newer one. What they did before that has to be seen.
func (tb *table) outlive() {
	if tb.rules.CountsOrders && len(tb.attempts) > 0 {
		tb.attempts = nil
		tb.inspected = false
	}
}

// notDone notes that an order had no effect and never will.
func (tb *table) notDone(st step) {
	switch {
	case st.action == unload:
		tb.entries[st.name].state = loaded
	case tb.pending(st.name, ""):
		tb.entries[st.name].state = unsure
	default:
		delete(tb.entries, st.name)
	}
}

// unanswered notes that an order may have had its effect, or may yet.
func (tb *table) unanswered(st step, name string, fence int64, sent time.Time) {
	tb.entries[st.name].state = unsure
	tb.attempts = append(tb.attempts, attempt{name, st.name, fence, sent})
}

// observe takes in what the engine holds. Who uses what it finds is not known,
// so that all of it is held for the time of a lease.
func (tb *table) observe(asked, now time.Time, boot string, basis int64, held map[string]int64) {
	if tb.rules.ChecksFencing {
		tb.attempts = nil
	}
	for name := range tb.entries {
		if _, ok := held[name]; !ok && !tb.pending(name, "") {
			delete(tb.entries, name)
		}
	}
	for name, bytes := range held {
		en, ok := tb.entries[name]
		if !ok {
			en = &entry{used: now, leased: now.Add(tb.rules.Lease)}
			tb.entries[name] = en
		}
		en.bytes = max(en.bytes, bytes)
		if !tb.pending(name, "") {
			en.state = loaded
		}
	}
	tb.boot, tb.basis, tb.inspected, tb.seen = boot, basis, true, asked
}
