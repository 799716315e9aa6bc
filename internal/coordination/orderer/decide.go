package orderer

import (
	"strconv"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
)

// changeRole orders the role of the goal if the engine has not confirmed it.
func (rc *reconciler) changeRole(now time.Time) *step {
	lg := rc.ledger
	if lg.Role() == rc.goal.role || rc.goal.role == "" {
		return nil
	}
	cp := accountant.NewCopy(rc.goal.role, "")
	if rc.otherRolePending(cp) {
		rc.refuse(cp, "unanswered-order")
		return nil
	}
	if !lg.FitsRole(rc.goal.limit, rc.goal.roleBytes) {
		rc.refuse(cp, "memory-reserved")
		return nil
	}
	if rc.atAttemptLimit(cp) {
		return nil
	}
	return rc.order(now, accountant.SetRole, cp, rc.goal.roleBytes)
}

// otherRolePending reports whether an order for another role may still arrive
// and undo the change to cp.
func (rc *reconciler) otherRolePending(cp accountant.Copy) bool {
	if rc.goal.checksFencing {
		return false
	}
	for _, at := range rc.ledger.Attempts() {
		if at.Action() == accountant.SetRole && at.Copy != cp {
			return true
		}
	}
	return false
}

// loadNext orders the load of the first desired copy that is not confirmed and
// fits.
func (rc *reconciler) loadNext(now time.Time) *step {
	for _, dc := range rc.goal.desired {
		en, ok := rc.ledger.Entry(dc.Copy)
		if ok && en.State() == accountant.Loaded {
			delete(rc.refusals, dc.Copy)
			continue
		}
		if reason := rc.cannotLoad(dc); reason != "" {
			rc.refuse(dc.Copy, reason)
			continue
		}
		if !rc.atAttemptLimit(dc.Copy) {
			return rc.load(now, dc)
		}
	}
	return nil
}

// cannotLoad returns the reason why a copy cannot be loaded now, or "".
func (rc *reconciler) cannotLoad(dc DesiredCopy) string {
	lg := rc.ledger
	if !rc.goal.checksFencing && lg.Pending(accountant.Unload, dc.Copy) {
		return "unanswered-order"
	}
	if lg.Fits(rc.goal.limit, dc.Copy, dc.bytes) {
		return ""
	}
	if dc.bytes+rc.goal.roleBytes > rc.goal.limit {
		return "too-large"
	}
	if len(lg.Attempts()) > 0 && !rc.goal.checksFencing && rc.goal.lateOrderBound == 0 {
		return "unanswered-order"
	}
	return "memory-reserved"
}

// atAttemptLimit reports whether too many orders are unanswered, and counts a
// refusal if so.
func (rc *reconciler) atAttemptLimit(cp accountant.Copy) bool {
	if len(rc.ledger.Attempts()) < maxAttempts {
		return false
	}
	rc.refuse(cp, "too-many-unanswered")
	return true
}

// residentSettleTime is how long after a load from the weight store a server's word on
// what its host keeps is not relied on. The load may have evicted weights there, and
// servers report about once a second.
const residentSettleTime = 4 * time.Second

// limitOf returns the limit of a load of the model.
func (rc *reconciler) limitOf(now time.Time, model string) string {
	if rc.resident(model, rc.goal.server) && now.Sub(rc.storedAt) >= residentSettleTime {
		return LimitNone
	}
	rc.storedAt = now
	return LimitWeightStore
}

// load returns a step that takes a token of the weight store, if the load needs one,
// and then queues the order. The order is recorded after the wait, so that it is not
// late when it is sent.
func (rc *reconciler) load(now time.Time, dc DesiredCopy) *step {
	return &step{tokenTask{rc.limitOf(now, dc.Model())}, func(now time.Time, rs result) {
		if rs.err != nil {
			rc.counters.Inc("retry", "order-weight-store")
			rc.retryAt = now.Add(time.Duration(rc.random.Int64N(int64(maxTokenRetryDelay))))
			return
		}
		rc.release = rs.release
		if _, had := rc.ledger.Entry(dc.Copy); !had && rc.replicaStatus[dc.Model()] == 0 {
			rc.replicaStatus[dc.Model()] = uncounted
		}
		rc.queuedStep = rc.order(now, accountant.Load, dc.Copy, dc.bytes)
	}}
}

// unloadNext orders the unload of the first copy that is not desired and may be
// unloaded.
func (rc *reconciler) unloadNext(now time.Time) *step {
	for _, en := range rc.ledger.Entries() {
		if rc.goal.desires(en.Copy) || now.Before(rc.permitRetryAt[en.Model()]) {
			continue
		}
		if rc.replacementBlocked(en.Copy) || rc.atAttemptLimit(en.Copy) {
			continue
		}
		if !rc.mayUnload(en.Copy) && !rc.skipPermit {
			return rc.permitUnload(en.Copy)
		}
		return rc.order(now, accountant.Unload, en.Copy, en.Bytes())
	}
	return nil
}

// replacementBlocked reports whether the desired version that would replace the
// copy could not be loaded even with the copy's memory.
func (rc *reconciler) replacementBlocked(cp accountant.Copy) bool {
	dc, ok := rc.goal.desiredCopy(cp.Model())
	if !ok || rc.ledger.StaysLoaded(dc.Copy) {
		return false
	}
	reason := rc.cannotLoad(dc)
	return reason != "" && reason != "memory-reserved"
}

// mayUnload reports whether the model stays reachable without the copy.
// Otherwise the unload needs permitUnload first.
func (rc *reconciler) mayUnload(cp accountant.Copy) bool {
	return rc.unloadPermitted[cp.Model()] || rc.ledger.ModelStaysLoaded(cp.Model(), cp)
}

// order returns the step that records an order and then queues its sending.
func (rc *reconciler) order(now time.Time, action accountant.Action, cp accountant.Copy, bytes int64) *step {
	at := rc.ledger.Begin(action, cp, bytes, now)
	return rc.writeLedger(rc.ledger, rc.revision, func(time.Time) {
		rc.checkInvariants(at)
		rc.queuedStep = &step{
			orderTask{
				address:  rc.goal.address,
				order:    rc.wireOrder(at),
				recorded: now,
				bound:    rc.goal.senderBound(),
				timeout:  timeoutOf(action),
			},
			func(now time.Time, rs result) { rc.handleOutcome(now, at, rs) },
		}
	})
}

// timeoutOf returns the timeout for the answer to an order. Only a load takes
// long; with the same timeout for other orders, a silent connection would delay
// the server's next steps. An order that timed out stays unanswered in the
// ledger, so a short timeout is safe.
func timeoutOf(action accountant.Action) time.Duration {
	if action == accountant.Load {
		return loadTimeout
	}
	return orderTimeout
}

// checkInvariants asserts the invariants that hold whenever an order is sent.
func (rc *reconciler) checkInvariants(at accountant.Attempt) {
	server := rc.goal.server
	checker.Assert(checker.FenceMonotonic, at.Fence() > rc.sentFence,
		"server %s: order with fencing number %d after %d", server, at.Fence(), rc.sentFence)
	rc.sentFence = at.Fence()
	if at.Action() == accountant.Unload {
		checker.Assert(checker.Reachable, rc.mayUnload(at.Copy),
			"server %s: model %s is unloaded without leave", server, at.Model())
		return
	}
	checker.Assert(checker.MemoryWithinCapacity, rc.ledger.Reserved() <= rc.goal.limit,
		"server %s: %d bytes are reserved of %d", server, rc.ledger.Reserved(), rc.goal.limit)
}

func (rc *reconciler) wireOrder(at accountant.Attempt) Order {
	od := Order{
		ID:           rc.goal.server + "/" + strconv.FormatInt(at.Fence(), 10),
		Server:       rc.goal.server,
		Fence:        at.Fence(),
		Boot:         at.Boot(),
		Action:       string(at.Action()),
		Memory:       at.Bytes(),
		StateVersion: rc.engineVersion,
	}
	if at.Action() == accountant.SetRole {
		od.Role = at.Model()
		return od
	}
	od.Model = at.Model()
	od.Version = at.Version()
	return od
}

// handleOutcome updates the ledger with the outcome of an order.
func (rc *reconciler) handleOutcome(now time.Time, at accountant.Attempt, rs result) {
	if rs.err != nil {
		rc.handleFailure(now, at, orderErrorOf(rs.err))
		return
	}
	rc.applyBoot(rs.answer.Boot)
	rc.ledger.MarkExecuted(at.Fence())
	rc.applyAnswer(now, at.Fence(), rs.answer)
	// With neither fencing nor a late-order bound, a recorded attempt never
	// expires. In the stored record, a later owner would take it for unanswered.
	if !rc.goal.checksFencing && rc.goal.lateOrderBound == 0 {
		rc.queuedStep = rc.writeLedger(rc.ledger, rc.revision, func(time.Time) {})
	}
}

func (rc *reconciler) handleFailure(now time.Time, at accountant.Attempt, oe *OrderError) {
	if oe.Outcome != Unknown || rc.forgetUnanswered {
		rc.ledger.MarkNotExecuted(at.Fence())
	}
	// After an error the Sequencer may refuse orders until the next inspection.
	rc.inspected = rc.inspected && !rc.goal.countsOrders
	switch oe.Code {
	case CodeStaleFence:
		rc.dropRecord()
	case CodeStaleBoot, CodeConflict:
		rc.inspected = false
	}
	rc.fail(now, string(oe.Outcome), oe)
}

// inspect returns the step that reads the engine's boot id and what it holds.
// Its fencing number is greater than those of all earlier owners.
func (rc *reconciler) inspect() *step {
	fence := rc.ledger.Fence()
	od := Order{
		ID:     rc.goal.server + "/" + strconv.FormatInt(fence, 10) + "/inspect",
		Server: rc.goal.server,
		Fence:  fence,
		Action: ActionInspect,
	}
	ot := orderTask{address: rc.goal.address, order: od, timeout: inspectTimeout}
	return &step{ot, func(now time.Time, rs result) {
		if rs.err != nil {
			if oe := orderErrorOf(rs.err); oe.Code == CodeStaleFence {
				rc.dropRecord()
			}
			rc.fail(now, "inspect", rs.err)
			return
		}
		rc.applyBoot(rs.answer.Boot)
		rc.applyAnswer(now, fence, rs.answer)
	}}
}

// applyBoot clears what the engine held before a restart.
func (rc *reconciler) applyBoot(boot string) {
	if !rc.ledger.RecordBoot(boot, rc.goal.checksFencing) {
		return
	}
	rc.counters.Inc("order-engine-restart")
	rc.unloadPermitted = map[string]bool{}
}

// applyAnswer updates the ledger with the state that every answer to an order
// contains.
func (rc *reconciler) applyAnswer(now time.Time, fence int64, as Answer) {
	if rc.goal.checksFencing {
		rc.ledger.MarkAcknowledged(fence)
	}
	rc.ledger.ReserveRole(rc.goal.roleBytes)
	rc.ledger.Observe(as.Residents)
	rc.adapters = as.Adapters
	rc.engineVersion = as.StateVersion
	rc.inspected = true
	rc.inspectedAt = now
	rc.failures = 0
}
