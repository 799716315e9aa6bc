package adapterkeeper

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
)

// maxUnanswered bounds the unanswered orders per server. A new owner reserves
// the memory of as many of the largest adapters.
const maxUnanswered = 2

// maxUnansweredCounting is that bound for engines that count orders. All unanswered orders
// name the same count, so that such an engine executes at most one of them. With two, a
// server on which two orders in a row got no answer took no adapter for the whole bound.
const maxUnansweredCounting = 8

// The reasons why an adapter is not ready.
const (
	reasonNoBound    = "no-late-order-bound"
	reasonNoOwner    = "no-fence"
	reasonNewOwner   = "owner-changed"
	reasonUnanswered = "unanswered-order"
	reasonNoRoom     = "adapters-held"
	reasonTooLarge   = "too-large"
	reasonUnknown    = "unknown-adapter"
	reasonFailed     = "order-failed"
	reasonInTransit  = "adapters-in-transit"
	// reasonOrdersAhead means that too many loads wait for the server.
	reasonOrdersAhead = "orders-ahead"
	// reasonTimeout is set by the requesting node: there was no answer in time.
	reasonTimeout = "no-answer-in-time"
	// reasonUnreachable is set by the requesting node: the owner did not answer.
	reasonUnreachable = "owner-unreachable"
)

// Rules holds the settings of one server that concern its adapters.
type Rules struct {
	// Address is where the engine accepts orders.
	Address string
	// Reserve is the memory for adapters, in bytes.
	Reserve int64
	// TakeoverReserve is the memory of the two largest adapters, in bytes.
	TakeoverReserve int64
	// ChecksFencing is set if the engine refuses old fencing numbers.
	ChecksFencing bool
	// CountsOrders is set if the engine refuses an order that names another
	// count of accepted orders, so that an accepted order invalidates older ones.
	CountsOrders bool
	// Lease is how long an adapter stays loaded after it was reported ready.
	Lease time.Duration
	// Bound is the longest delay with which an order can arrive; 0 if unknown.
	Bound time.Duration
	// TakeTurns is set if adapters in use make room for others that wait. Requests
	// for a lease then only come from new requests, not from running ones.
	TakeTurns bool
	// Prompt is set if requests can go to other servers, so that they get an answer at
	// once instead of waiting for orders of other requests.
	Prompt bool
}

// state is the state of an adapter on a server as the owner knows it.
type state int

const (
	loading state = iota + 1
	loaded
	unloading
	// uncertain means that an order for the adapter was not answered.
	uncertain
)

// entry is an adapter that uses memory on the server, or may use it.
type entry struct {
	bytes int64
	state state
	// lastUsed is when a request last used the adapter or renewed its lease.
	lastUsed time.Time
	// leasedUntil is when the last lease ends; the adapter is kept until then.
	leasedUntil time.Time
	// loadedAt is when the adapter was loaded, or first found.
	loadedAt time.Time
	// demand is the number of uses, each halved every demandHalfLife, at demandAt.
	demand   float64
	demandAt time.Time
}

// unansweredOrder is an order that was sent and not answered.
type unansweredOrder struct {
	action string
	// name is the adapter's name.
	name string
	// fence is the fencing number of the order.
	fence int64
	sent  time.Time
}

// action is the kind of a step.
type action int

const (
	ready action = iota + 1
	refuse
	// raise requests a new fencing number.
	raise
	// inspect reads the engine's adapters.
	inspect
	load
	unload
)

// step is the next thing to do to make an adapter ready.
type step struct {
	action action
	// name and bytes are the adapter to load or unload and its size.
	name  string
	bytes int64
	// reason is why a step refuses a load.
	reason string
}

// table is the owner's state of the adapters on a server.
type table struct {
	rules Rules
	// claim is the fencing number of the takeover, at claimedAt.
	claim     int64
	claimedAt time.Time
	// boot identifies the engine's process at the last inspection.
	boot string
	// inspected is set while the entries match the last inspection and all
	// answered orders since.
	inspected bool
	// inspectedAt is when the last inspection was sent.
	inspectedAt time.Time
	// stateVersion is Answer.StateVersion of the last inspection; orders name it.
	stateVersion int64
	entries      map[string]*entry
	unanswered   []unansweredOrder
	// waiting has the adapters that found no place, and when.
	waiting map[string]time.Time
}

// reset clears the table, since another node may have owned the server.
func (tb *table) reset(claim int64, claimedAt time.Time) {
	*tb = table{rules: tb.rules, claim: claim, claimedAt: claimedAt, entries: map[string]*entry{}}
}

// decide returns the next step that makes the adapter ready.
func (tb *table) decide(now time.Time, ow orderer.Ownership, name string, bytes int64) step {
	if ow.Claim != tb.claim {
		tb.reset(ow.Claim, ow.Claimed)
	}
	if !tb.expireUnanswered(now, ow.Number) {
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
	if reason := tb.refusalReason(now); reason != "" {
		return step{action: refuse, reason: reason}
	}
	if now.Sub(ow.Confirmed) > tb.rules.Bound/4 {
		return step{action: raise}
	}
	return tb.makeRoom(now, name, bytes)
}

// refusalReason returns why no order may be sent to an engine that ignores
// fencing numbers, or "". The previous owner may send for half of the bound
// after its last confirmation, which precedes the takeover.
func (tb *table) refusalReason(now time.Time) string {
	switch {
	case tb.rules.Bound == 0:
		return reasonNoBound
	case tb.claim > 1 && now.Sub(tb.claimedAt) <= tb.rules.Bound/2:
		return reasonNewOwner
	}
	return ""
}

// mayOrder reports whether the order of a step may be sent now.
func (tb *table) mayOrder(now time.Time, ow orderer.Ownership, st step) bool {
	switch {
	case ow.Claim != tb.claim:
		return false
	case st.action == inspect:
		return true
	case !tb.rules.ChecksFencing && !tb.rules.CountsOrders && now.Sub(ow.Confirmed) > tb.rules.Bound/2:
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

// inspectionOutdated reports whether orders of the previous owner may have
// changed the engine's adapters since the last inspection.
func (tb *table) inspectionOutdated(now time.Time) bool {
	if tb.claim <= 1 || tb.rules.Bound == 0 || tb.rules.CountsOrders {
		return false
	}
	for _, part := range []time.Duration{tb.rules.Bound / 2, tb.rules.Bound} {
		end := tb.claimedAt.Add(part)
		if now.After(end) && !tb.inspectedAt.After(end) {
			return true
		}
	}
	return false
}

// expireUnanswered removes unanswered orders that can no longer arrive, and
// clears inspected if there were any. If the engine checks fencing numbers, it
// instead reports whether the current one invalidates all unanswered orders.
func (tb *table) expireUnanswered(now time.Time, fence int64) bool {
	if tb.rules.ChecksFencing {
		for _, uo := range tb.unanswered {
			if uo.fence >= fence {
				return false
			}
		}
		tb.inspected = tb.inspected && len(tb.unanswered) == 0
		return true
	}
	if tb.inspectionOutdated(now) {
		tb.inspected = false
	}
	left := tb.unanswered[:0]
	for _, uo := range tb.unanswered {
		if now.Sub(uo.sent) <= tb.rules.Bound {
			left = append(left, uo)
			continue
		}
		tb.inspected = false
	}
	tb.unanswered = left
	return true
}

// makeRoom returns the step that loads the adapter, or the eviction that has to
// come first, or the reason why neither is possible.
func (tb *table) makeRoom(now time.Time, name string, bytes int64) step {
	if bytes > tb.rules.Reserve {
		return step{action: refuse, reason: reasonTooLarge}
	}
	if len(tb.unanswered) >= tb.maxUnanswered() || tb.hasUnanswered(name, orderer.ActionUnloadAdapter) {
		return step{action: refuse, reason: reasonUnanswered}
	}
	missing := tb.reserved(now) - tb.bytesOf(name) + bytes - tb.rules.Reserve
	if missing <= 0 {
		return step{action: load, name: name, bytes: bytes}
	}
	victim, evictable := tb.leastRecentlyUsed(now)
	if evictable < missing {
		tb.noteWaiting(now, name)
		return step{action: refuse, reason: reasonNoRoom}
	}
	return step{action: unload, name: victim, bytes: tb.entries[victim].bytes}
}

func (tb *table) maxUnanswered() int {
	if tb.rules.CountsOrders {
		return maxUnansweredCounting
	}
	return maxUnanswered
}

// leastRecentlyUsed returns the least recently used adapter without a lease,
// and the total memory of the adapters without one.
func (tb *table) leastRecentlyUsed(now time.Time) (victim string, evictable int64) {
	for other, en := range tb.entries {
		if en.state != loaded || now.Before(en.leasedUntil) || tb.hasUnanswered(other, "") {
			continue
		}
		evictable += en.bytes
		current := tb.entries[victim]
		if current == nil || en.lastUsed.Before(current.lastUsed) || en.lastUsed.Equal(current.lastUsed) && other < victim {
			victim = other
		}
	}
	return victim, evictable
}

// hasUnanswered reports whether there is an unanswered order with the action
// for the adapter; an empty action matches any.
func (tb *table) hasUnanswered(name, action string) bool {
	for _, uo := range tb.unanswered {
		if uo.name == name && (action == "" || uo.action == action) {
			return true
		}
	}
	return false
}

// reserved returns the memory in bytes that adapters use or may come to use.
func (tb *table) reserved(now time.Time) int64 {
	sum := int64(0)
	for _, en := range tb.entries {
		sum += en.bytes
	}
	if !tb.rules.ChecksFencing && !tb.rules.CountsOrders && tb.claim > 1 && now.Sub(tb.claimedAt) <= tb.rules.Bound {
		sum += tb.rules.TakeoverReserve
	}
	return sum
}

// recordOrder records an order before it is sent.
func (tb *table) recordOrder(now time.Time, st step) {
	if st.action == unload {
		tb.entries[st.name].state = unloading
		return
	}
	tb.entries[st.name] = &entry{bytes: st.bytes, state: loading, lastUsed: now}
	checker.Assert(checker.MemoryWithinCapacity, tb.reserved(now) <= tb.rules.Reserve,
		"adapters at %s: %d bytes are reserved of %d", tb.rules.Address, tb.reserved(now), tb.rules.Reserve)
}

// recordDone records that the engine executed an order.
func (tb *table) recordDone(now time.Time, st step, boot string) {
	if boot != tb.boot {
		tb.inspected = false
	}
	tb.dropSuperseded()
	if st.action == unload {
		delete(tb.entries, st.name)
		return
	}
	en := tb.entries[st.name]
	en.state, en.loadedAt, en.leasedUntil = loaded, now, now.Add(tb.rules.Lease)
	delete(tb.waiting, st.name)
}

// dropSuperseded removes the unanswered orders that an engine which counts
// orders now refuses, since it accepted a newer one. An inspection has to find
// out whether the engine executed them before.
func (tb *table) dropSuperseded() {
	if tb.rules.CountsOrders && len(tb.unanswered) > 0 {
		tb.unanswered = nil
		tb.inspected = false
	}
}

// recordNotDone records that an order had no effect and will have none.
func (tb *table) recordNotDone(st step) {
	switch {
	case st.action == unload:
		tb.entries[st.name].state = loaded
	case tb.hasUnanswered(st.name, ""):
		tb.entries[st.name].state = uncertain
	default:
		delete(tb.entries, st.name)
	}
}

// recordUnanswered records that the engine may have executed an order, or may
// execute it later. The parameter name is the action of the order.
func (tb *table) recordUnanswered(st step, name string, fence int64, sent time.Time) {
	tb.entries[st.name].state = uncertain
	tb.unanswered = append(tb.unanswered, unansweredOrder{name, st.name, fence, sent})
}

// recordInspection records the adapters that the engine holds. The users of a
// newly found adapter are unknown, so it is leased for a lease time.
func (tb *table) recordInspection(requested, now time.Time, boot string, stateVersion int64, adapters map[string]int64) {
	if tb.rules.ChecksFencing {
		tb.unanswered = nil
	}
	for name := range tb.entries {
		if _, ok := adapters[name]; !ok && !tb.hasUnanswered(name, "") {
			delete(tb.entries, name)
		}
	}
	for name, bytes := range adapters {
		en, ok := tb.entries[name]
		if !ok {
			en = &entry{lastUsed: now, loadedAt: now, leasedUntil: now.Add(tb.rules.Lease)}
			tb.entries[name] = en
		}
		en.bytes = max(en.bytes, bytes)
		if !tb.hasUnanswered(name, "") {
			en.state = loaded
		}
	}
	tb.boot, tb.stateVersion, tb.inspected, tb.inspectedAt = boot, stateVersion, true, requested
}
