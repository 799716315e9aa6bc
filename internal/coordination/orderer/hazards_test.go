package orderer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

func TestLateOrderOfPreviousOwnerHasNoEffect(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		rg := newRig(t, fencing, "w1")
		old := rg.owner("n1", "w1", holding(fencing, testBound, 0, "a"))
		late := rg.runUntilOrder(t, old, accountant.Load)
		next := rg.owner("n2", "w1", holding(fencing, testBound, 0, "b"))
		rg.runFor(2*testBound, next)
		require.True(t, rg.engines["w1"].Ready("b", "1"), "fencing %v", fencing)
		old.done(rg.now, rg.perform(late))
		require.False(t, rg.engines["w1"].Ready("a", "1"))
		rg.runFor(time.Minute, next)
		require.Zero(t, rg.overcommits())
		require.Empty(t, checker.Violations())
	}
}

// lateLoad sends a load of A that gets no answer, sends it again, replaces A by
// B in the goal, and delivers the first load after the unload of A.
func lateLoad(t *testing.T, fencing, forgetUnanswered bool) *rig {
	rg := newRig(t, fencing, "w1")
	eg := rg.engines["w1"]
	rc := rg.owner("n1", "w1", holding(fencing, testBound, 0, "a"))
	rc.forgetUnanswered = forgetUnanswered
	tk := rg.runUntilOrder(t, rc, accountant.Load)
	eg.InjectOrderFaults(engine.OrderHeld)
	rc.done(rg.now, rg.perform(tk))
	rg.runFor(3*time.Second, rc)
	require.True(t, eg.Ready("a", "1"))
	rc.setDesired("b")
	rg.runFor(3*time.Second, rc)
	require.False(t, eg.Ready("a", "1"))
	require.Equal(t, fencing || forgetUnanswered, eg.Ready("b", "1"), "B has to wait for the first load of A")
	eg.ReleaseOrders()
	rg.runFor(2*testBound, rc)
	require.True(t, eg.Ready("b", "1"))
	require.False(t, eg.Ready("a", "1"))
	return rg
}

func TestLateLoadAfterUnloadDoesNotOvercommit(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		rg := lateLoad(t, fencing, false)
		require.Zero(t, rg.overcommits())
		require.Empty(t, checker.Violations())
	}
}

func TestLateLoadOvercommitsWhenAttemptIsForgotten(t *testing.T) {
	require.Equal(t, 1, lateLoad(t, false, true).overcommits())
}

func TestUnansweredOrderWithoutBoundBlocksLoad(t *testing.T) {
	rg := newRig(t, false, "w1")
	rc := rg.owner("n1", "w1", holding(false, 0, 0, "a"))
	tk := rg.runUntilOrder(t, rc, accountant.Load)
	rg.engines["w1"].InjectOrderFaults(engine.OrderHeld)
	rc.done(rg.now, rg.perform(tk))
	rg.runFor(5*time.Second, rc)
	rc = rg.owner("n2", "w1", holding(false, 0, 0, "b"))
	rg.runFor(time.Hour, rc)
	require.False(t, rg.engines["w1"].Ready("b", "1"))
	require.Equal(t, int64(1), rg.counters.Values()["order-refusal.unanswered-order"])
	rg.engines["w1"].ReleaseOrders()
	require.Zero(t, rg.overcommits())
}

func TestUnconfirmedLoadKeepsItsMemoryReserved(t *testing.T) {
	lg := &accountant.Ledger{}
	cp := accountant.NewCopy("a", "1")
	at := lg.Begin(accountant.Load, cp, 60, time.Now())
	lg.Observe(nil)
	require.False(t, lg.Fits(testMemory, accountant.NewCopy("b", "1"), 60))
	lg.MarkExecuted(at.Fence())
	lg.Observe(nil)
	require.False(t, lg.Fits(testMemory, accountant.NewCopy("b", "1"), 60))
	require.False(t, lg.StaysLoaded(cp))
}

func TestVersionChangeKeepsModelServedDespiteLostAnswers(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		for _, fault := range []engine.OrderFault{engine.OrderLost, engine.OrderHeld, engine.OrderAnswerLost} {
			rg := newRig(t, fencing, "w1", "w2")
			gl := holding(fencing, testBound, 1, "a")
			rcs := []*reconciler{rg.owner("n1", "w1", gl), rg.owner("n1", "w2", gl)}
			rg.runFor(30*time.Second, rcs...)
			gl.desired = []DesiredCopy{NewDesiredCopy("a", "2", 60)}
			rcs = []*reconciler{rg.owner("n2", "w1", gl), rg.owner("n2", "w2", gl)}
			rg.run(rcs[0])
			rg.engines["w1"].InjectOrderFaults(0, fault, fault)
			rg.engines["w2"].InjectOrderFaults(0, fault)
			for range 3 * int(testBound/time.Second) {
				rg.runFor(time.Second, rcs...)
				serving := rg.engines["w1"].Serves("a") || rg.engines["w2"].Serves("a")
				require.True(t, serving, "fencing %v fault %v", fencing, fault)
			}
			require.True(t, rg.engines["w1"].Ready("a", "2") && rg.engines["w2"].Ready("a", "2"))
			require.Zero(t, rg.overcommits())
			require.Empty(t, checker.Violations())
		}
	}
}

func TestRoleChangeReservesBothRoles(t *testing.T) {
	rg := newRig(t, false, "w1")
	gl := holding(false, testBound, 0)
	gl.role, gl.roleBytes = "mixed", 50
	rc := rg.owner("n1", "w1", gl)
	rg.run(rc)
	small := *rc.goal
	small.role, small.roleBytes = "prefill", 20
	small.desired = []DesiredCopy{NewDesiredCopy("a", "1", 60)}
	rc.goal = &small
	rg.engines["w1"].InjectOrderFaults(engine.OrderLost)
	rg.run(rc)
	require.False(t, rg.engines["w1"].Ready("a", "1"))
	rg.runFor(testBound, rc)
	require.True(t, rg.engines["w1"].Ready("a", "1"))
	require.Zero(t, rg.overcommits())
}

func TestNextOwnerConvergesAfterOwnerDiesAtAnyStep(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		for steps := range 12 {
			rg := newRig(t, fencing, "w1")
			rc := rg.owner("n1", "w1", holding(fencing, testBound, 0, "a"))
			for range steps {
				if tk := rc.next(rg.now); tk != nil {
					rc.done(rg.now, rg.perform(tk))
				}
			}
			if tk := rc.next(rg.now); tk != nil {
				rg.perform(tk)
			}
			rg.runFor(3*testBound, rg.owner("n2", "w1", holding(fencing, testBound, 0, "b")))
			require.True(t, rg.engines["w1"].Ready("b", "1"), "died after %d steps", steps)
			require.False(t, rg.engines["w1"].Ready("a", "1"))
			require.Zero(t, rg.overcommits())
			require.Empty(t, checker.Violations())
		}
	}
}

// lastReplica has the owners of w1 and w2 unload A at the same time, each of
// them relying on the other's replica.
func lastReplica(t *testing.T, skipPermit bool) *rig {
	rg := newRig(t, true, "w1", "w2")
	rc1 := rg.owner("n1", "w1", holding(true, 0, 1, "a"))
	rc2 := rg.owner("n2", "w2", holding(true, 0, 1, "a"))
	rg.runFor(3*time.Second, rc1, rc2)
	rc1.setDesired()
	rc2.setDesired()
	rc1.skipPermit, rc2.skipPermit = skipPermit, skipPermit
	tk1, tk2 := rc1.next(rg.now), rc2.next(rg.now)
	for tk1 != nil || tk2 != nil {
		rs1, rs2 := rg.performIfAny(tk1), rg.performIfAny(tk2)
		if tk1 != nil {
			rc1.done(rg.now, rs1)
		}
		if tk2 != nil {
			rc2.done(rg.now, rs2)
		}
		tk1, tk2 = rc1.next(rg.now), rc2.next(rg.now)
	}
	rg.runFor(time.Minute, rc1, rc2)
	return rg
}

func (rg *rig) performIfAny(tk task) result {
	if tk == nil {
		return result{}
	}
	return rg.perform(tk)
}

func TestConcurrentUnloadsKeepOneReplica(t *testing.T) {
	rg := lastReplica(t, false)
	require.True(t, rg.engines["w1"].Serves("a") != rg.engines["w2"].Serves("a"))
	require.Empty(t, checker.Violations())
}

func TestReachableFiresWithoutPermit(t *testing.T) {
	rg := lastReplica(t, true)
	require.False(t, rg.engines["w1"].Serves("a") || rg.engines["w2"].Serves("a"))
	require.Equal(t, checker.Reachable, checker.Violations()[0].Invariant)
}

func TestMemoryWithinCapacityFiresOnOvercommit(t *testing.T) {
	rg := newRig(t, true, "w1")
	rc := rg.owner("n1", "w1", holding(true, 0, 0, "a"))
	rg.run(rc)
	rc.queuedStep = rc.order(rg.now, accountant.Load, accountant.NewCopy("b", "1"), 60)
	rg.run(rc)
	require.Equal(t, checker.MemoryWithinCapacity, checker.Violations()[0].Invariant)
	require.Equal(t, 1, rg.overcommits())
}

func TestFenceMonotonicFiresOnOldFence(t *testing.T) {
	rg := newRig(t, true, "w1")
	rc := rg.owner("n1", "w1", holding(true, 0, 0, "a"))
	rc.sentFence = 100
	rg.run(rc)
	require.Equal(t, checker.FenceMonotonic, checker.Violations()[0].Invariant)
}

// TestLateReplicaWriteDoesNotCountLostReplica guards against a write without an
// answer that takes effect late: the write counts a replica, the engine
// restarts and loses the replica, and then the write arrives.
func TestLateReplicaWriteDoesNotCountLostReplica(t *testing.T) {
	rg := newRig(t, true, "w1")
	rc := rg.owner("n1", "w1", holding(true, 0, 1, "a"))
	rg.runFor(3*time.Second, rc)
	rg.engines["w1"].Restart()
	rc.inspected = false
	var write task
	for writes := 0; writes < 2; {
		write = rc.next(rg.now)
		if wt, ok := write.(writeTask); ok && wt.key == "model/a" {
			writes++
		}
		if writes < 2 {
			rc.done(rg.now, rg.perform(write))
		}
	}
	rc.done(rg.now, result{err: &storer.Error{Op: "swap", Key: "model/a", Kind: storer.Uncertain}})
	rc.setDesired()
	rg.engines["w1"].Restart()
	rc.inspected = false
	rg.runFor(time.Minute, rc)
	rg.perform(write)
	en, err := rg.store.Get(t.Context(), "model/a")
	require.NoError(t, err)
	rp, err := accountant.DecodeReplicas(en.Value)
	require.NoError(t, err)
	require.Empty(t, rp.Servers())
}

func TestOrdererLoadsModelThroughEvents(t *testing.T) {
	rg := newRig(t, true, "w1")
	od := New("n1", rg.store, WithEngines(rg.deps.engines), WithRandom(rg.random), WithCounters(rg.counters))
	gl := holding(true, 0, 0, "a")
	gl.server, gl.address, gl.limit = "w1", "w1", testMemory
	od.Reconcile(t.Context(), rg.now, []*Goal{&gl})
	for !rg.engines["w1"].Ready("a", "1") {
		od.Handle(t.Context(), rg.now, <-od.Events())
	}
	od.Handle(t.Context(), rg.now, <-od.Events())
	od.Reconcile(t.Context(), rg.now, nil)
	require.Empty(t, od.reconcilers)
	require.Equal(t, int64(1), rg.counters.Values()["order-sent.load-model"])
}
