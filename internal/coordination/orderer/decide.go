package orderer

import (
	"strconv"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
)

// changeRole orders the role of the goal if it was not confirmed.
func (kp *keeper) changeRole(now time.Time) *step {
	lg := kp.ledger
	if lg.Role() == kp.goal.role || kp.goal.role == "" {
		return nil
	}
	cp := accountant.NewCopy(kp.goal.role, "")
	if kp.otherRolePending(cp) {
		kp.refuse(cp, "unanswered-order")
		return nil
	}
	if !lg.FitsRole(kp.goal.limit, kp.goal.roleBytes) {
		kp.refuse(cp, "memory-reserved")
		return nil
	}
	if kp.crowded(cp) {
		return nil
	}
	return kp.order(now, accountant.SetRole, cp, kp.goal.roleBytes)
}

// otherRolePending reports whether an order that may still arrive would undo
// the role.
func (kp *keeper) otherRolePending(cp accountant.Copy) bool {
	if kp.goal.checksFencing {
		return false
	}
	for _, at := range kp.ledger.Attempts() {
		if at.Action() == accountant.SetRole && at.Copy != cp {
			return true
		}
	}
	return false
}

// loadNext orders the first copy that is wanted, is not confirmed and fits.
func (kp *keeper) loadNext(time.Time) *step {
	for _, wn := range kp.goal.wants {
		en, ok := kp.ledger.Entry(wn.Copy)
		if ok && en.State() == accountant.Loaded {
			delete(kp.refused, wn.Copy)
			continue
		}
		if reason := kp.cannotLoad(wn); reason != "" {
			kp.refuse(wn.Copy, reason)
			continue
		}
		if !kp.crowded(wn.Copy) {
			return kp.load(wn)
		}
	}
	return nil
}

// cannotLoad returns why a copy cannot be loaded now, or nothing.
func (kp *keeper) cannotLoad(wn Want) string {
	lg := kp.ledger
	if !kp.goal.checksFencing && lg.Pending(accountant.Unload, wn.Copy) {
		return "unanswered-order"
	}
	if lg.Fits(kp.goal.limit, wn.Copy, wn.bytes) {
		return ""
	}
	if wn.bytes+kp.goal.roleBytes > kp.goal.limit {
		return "too-large"
	}
	if len(lg.Attempts()) > 0 && !kp.goal.checksFencing && kp.goal.bound == 0 {
		return "unanswered-order"
	}
	return "memory-reserved"
}

// crowded reports, and counts as a refusal, that too many orders are
// unanswered.
func (kp *keeper) crowded(cp accountant.Copy) bool {
	if len(kp.ledger.Attempts()) < maxAttempts {
		return false
	}
	kp.refuse(cp, "too-many-unanswered")
	return true
}

// load takes a token of the weight store first, so that the order is fresh when
// it is sent.
func (kp *keeper) load(wn Want) *step {
	return &step{tokenTask{LimitWeightStore}, func(now time.Time, rs result) {
		if rs.err != nil {
			kp.counters.Inc("retry", "order-weight-store")
			kp.retryAt = now.Add(time.Duration(kp.random.Int64N(int64(tokenPause))))
			return
		}
		kp.release = rs.release
		if _, had := kp.ledger.Entry(wn.Copy); !had && kp.standing[wn.Model()] == 0 {
			kp.standing[wn.Model()] = uncounted
		}
		kp.queued = kp.order(now, accountant.Load, wn.Copy, wn.bytes)
	}}
}

// unloadNext orders the first copy that is not wanted and may go.
func (kp *keeper) unloadNext(now time.Time) *step {
	for _, en := range kp.ledger.Entries() {
		if kp.goal.wantsCopy(en.Copy) || now.Before(kp.denied[en.Model()]) {
			continue
		}
		if kp.wouldBeInVain(en.Copy) || kp.crowded(en.Copy) {
			continue
		}
		if !kp.mayUnload(en.Copy) && !kp.unpermitted {
			return kp.permit(en.Copy)
		}
		return kp.order(now, accountant.Unload, en.Copy, en.Bytes())
	}
	return nil
}

// wouldBeInVain reports whether the copy would make room for a version that
// cannot be loaded anyway.
func (kp *keeper) wouldBeInVain(cp accountant.Copy) bool {
	wn, ok := kp.goal.want(cp.Model())
	if !ok || kp.ledger.Safe(wn.Copy) {
		return false
	}
	reason := kp.cannotLoad(wn)
	return reason != "" && reason != "memory-reserved"
}

// mayUnload reports whether the model stays reachable without the copy.
func (kp *keeper) mayUnload(cp accountant.Copy) bool {
	return kp.permits[cp.Model()] || kp.ledger.SafeModel(cp.Model(), cp)
}

// order records an order and then sends it.
func (kp *keeper) order(now time.Time, action accountant.Action, cp accountant.Copy, bytes int64) *step {
	at := kp.ledger.Begin(action, cp, bytes, now)
	return kp.record(kp.ledger, kp.revision, func(time.Time) {
		kp.assertOrder(at)
		kp.queued = &step{
			orderTask{
				address:  kp.goal.address,
				order:    kp.wireOrder(at),
				recorded: now,
				bound:    kp.goal.lateBound(),
				timeout:  timeoutOf(action),
			},
			func(now time.Time, rs result) { kp.ordered(now, at, rs) },
		}
	})
}

// timeoutOf returns how long the answer to an order is waited for. Only a load
// takes long; waiting as long for another order would let a connection that
// fell silent keep the server from its goal. An order that was given up stays
// outstanding, so that giving up early costs no safety.
func timeoutOf(action accountant.Action) time.Duration {
	if action == accountant.Load {
		return loadTimeout
	}
	return orderTimeout
}

// assertOrder checks what must hold whenever an order goes out.
func (kp *keeper) assertOrder(at accountant.Attempt) {
	server := kp.goal.server
	checker.Assert(checker.FenceForward, at.Fence() > kp.sentFence,
		"server %s: order with fencing number %d after %d", server, at.Fence(), kp.sentFence)
	kp.sentFence = at.Fence()
	if at.Action() == accountant.Unload {
		checker.Assert(checker.Reachable, kp.mayUnload(at.Copy),
			"server %s: model %s is unloaded without leave", server, at.Model())
		return
	}
	checker.Assert(checker.MemoryWithin, kp.ledger.Reserved() <= kp.goal.limit,
		"server %s: %d bytes are reserved of %d", server, kp.ledger.Reserved(), kp.goal.limit)
}

func (kp *keeper) wireOrder(at accountant.Attempt) Order {
	od := Order{
		ID:     kp.goal.server + "/" + strconv.FormatInt(at.Fence(), 10),
		Server: kp.goal.server,
		Fence:  at.Fence(),
		Boot:   at.Boot(),
		Action: string(at.Action()),
		Memory: at.Bytes(),
		Basis:  kp.basis,
	}
	if at.Action() == accountant.SetRole {
		od.Role = at.Model()
		return od
	}
	od.Model = at.Model()
	od.Version = at.Version()
	return od
}

// ordered takes the outcome of an order.
func (kp *keeper) ordered(now time.Time, at accountant.Attempt, rs result) {
	if rs.err != nil {
		kp.notOrdered(now, at, orderErrorOf(rs.err))
		return
	}
	kp.noteBoot(rs.answer.Boot)
	kp.ledger.Answered(at.Fence())
	kp.noteAnswer(now, at.Fence(), rs.answer)
	if !kp.goal.checksFencing && kp.goal.bound == 0 {
		kp.queued = kp.record(kp.ledger, kp.revision, func(time.Time) {})
	}
}

func (kp *keeper) notOrdered(now time.Time, at accountant.Attempt, oe *OrderError) {
	if oe.Outcome != Unknown || kp.forgetful {
		kp.ledger.NotDone(at.Fence())
	}
	kp.inspected = kp.inspected && !kp.goal.countsOrders
	switch oe.Code {
	case CodeStaleFence:
		kp.drop()
	case CodeStaleBoot, CodeConflict:
		kp.inspected = false
	}
	kp.fail(now, string(oe.Outcome), oe)
}

// inspect learns the engine's boot id and what it holds, with a fencing number
// above those of all earlier owners.
func (kp *keeper) inspect() *step {
	fence := kp.ledger.Fence()
	od := Order{
		ID:     kp.goal.server + "/" + strconv.FormatInt(fence, 10) + "/inspect",
		Server: kp.goal.server,
		Fence:  fence,
		Action: ActionInspect,
	}
	ot := orderTask{address: kp.goal.address, order: od, timeout: inspectTimeout}
	return &step{ot, func(now time.Time, rs result) {
		if rs.err != nil {
			if oe := orderErrorOf(rs.err); oe.Code == CodeStaleFence {
				kp.drop()
			}
			kp.fail(now, "inspect", rs.err)
			return
		}
		kp.noteBoot(rs.answer.Boot)
		kp.noteAnswer(now, fence, rs.answer)
	}}
}

// noteBoot drops what an engine held before it started again.
func (kp *keeper) noteBoot(boot string) {
	if !kp.ledger.Rebooted(boot, kp.goal.checksFencing) {
		return
	}
	kp.counters.Inc("order-engine-restart")
	kp.permits = map[string]bool{}
}

// noteAnswer takes the evidence that comes with every answer to an order.
func (kp *keeper) noteAnswer(now time.Time, fence int64, as Answer) {
	if kp.goal.checksFencing {
		kp.ledger.Acknowledged(fence)
	}
	kp.ledger.Assume(kp.goal.roleBytes)
	kp.ledger.Observe(as.Residents)
	kp.adapters = as.Adapters
	kp.basis = as.Basis
	kp.inspected = true
	kp.inspectedAt = now
	kp.failures = 0
}
