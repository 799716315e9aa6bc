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

func TestPausedOwnerSendsAfterTakeover(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		rg := newRig(t, fencing, "w1")
		old := rg.owner("n1", "w1", holding(fencing, testBound, 0, "a"))
		late := rg.until(t, old, accountant.Load)
		next := rg.owner("n2", "w1", holding(fencing, testBound, 0, "b"))
		rg.settle(2*testBound, next)
		require.True(t, rg.engines["w1"].Ready("b", "1"), "fencing %v", fencing)
		old.done(rg.now, rg.perform(late))
		require.False(t, rg.engines["w1"].Ready("a", "1"))
		rg.settle(time.Minute, next)
		require.Zero(t, rg.overcommits())
		require.Empty(t, checker.Violations())
	}
}

// lateLoad sends load A, which seems lost, sends it again, unloads A, wants B
// and lets the first order arrive.
func lateLoad(t *testing.T, fencing, forgetful bool) *rig {
	rg := newRig(t, fencing, "w1")
	eg := rg.engines["w1"]
	kp := rg.owner("n1", "w1", holding(fencing, testBound, 0, "a"))
	kp.forgetful = forgetful
	tk := rg.until(t, kp, accountant.Load)
	eg.FaultOrders(engine.OrderHeld)
	kp.done(rg.now, rg.perform(tk))
	rg.settle(3*time.Second, kp)
	require.True(t, eg.Ready("a", "1"))
	kp.pursue("b")
	rg.settle(3*time.Second, kp)
	require.False(t, eg.Ready("a", "1"))
	require.Equal(t, fencing || forgetful, eg.Ready("b", "1"), "B has to wait for the first load of A")
	eg.ReleaseOrders()
	rg.settle(2*testBound, kp)
	require.True(t, eg.Ready("b", "1"))
	require.False(t, eg.Ready("a", "1"))
	return rg
}

func TestLateLoadArrivesAfterUnload(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		rg := lateLoad(t, fencing, false)
		require.Zero(t, rg.overcommits())
		require.Empty(t, checker.Violations())
	}
}

func TestLateLoadOvercommitsIfForgotten(t *testing.T) {
	require.Equal(t, 1, lateLoad(t, false, true).overcommits())
}

func TestUnansweredOrderWithoutBoundBlocksLoad(t *testing.T) {
	rg := newRig(t, false, "w1")
	kp := rg.owner("n1", "w1", holding(false, 0, 0, "a"))
	tk := rg.until(t, kp, accountant.Load)
	rg.engines["w1"].FaultOrders(engine.OrderHeld)
	kp.done(rg.now, rg.perform(tk))
	rg.settle(5*time.Second, kp)
	kp = rg.owner("n2", "w1", holding(false, 0, 0, "b"))
	rg.settle(time.Hour, kp)
	require.False(t, rg.engines["w1"].Ready("b", "1"))
	require.Equal(t, int64(1), rg.counters.Values()["order-refusal.unanswered-order"])
	rg.engines["w1"].ReleaseOrders()
	require.Zero(t, rg.overcommits())
}

func TestOldReportSeemsToShowFreeMemory(t *testing.T) {
	lg := &accountant.Ledger{}
	cp := accountant.NewCopy("a", "1")
	at := lg.Begin(accountant.Load, cp, 60, time.Now())
	lg.Observe(nil)
	require.False(t, lg.Fits(testMemory, accountant.NewCopy("b", "1"), 60))
	lg.Answered(at.Fence())
	lg.Observe(nil)
	require.False(t, lg.Fits(testMemory, accountant.NewCopy("b", "1"), 60))
	require.False(t, lg.Safe(cp))
}

func TestVersionChangeLosesAnswerAndOwner(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		for _, fault := range []engine.OrderFault{engine.OrderLost, engine.OrderHeld, engine.OrderAnswerLost} {
			rg := newRig(t, fencing, "w1", "w2")
			gl := holding(fencing, testBound, 1, "a")
			kps := []*keeper{rg.owner("n1", "w1", gl), rg.owner("n1", "w2", gl)}
			rg.settle(30*time.Second, kps...)
			gl.wants = []Want{NewWant("a", "2", 60)}
			kps = []*keeper{rg.owner("n2", "w1", gl), rg.owner("n2", "w2", gl)}
			rg.run(kps[0])
			rg.engines["w1"].FaultOrders(0, fault, fault)
			rg.engines["w2"].FaultOrders(0, fault)
			for range 3 * int(testBound/time.Second) {
				rg.settle(time.Second, kps...)
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
	kp := rg.owner("n1", "w1", gl)
	rg.run(kp)
	small := *kp.goal
	small.role, small.roleBytes = "prefill", 20
	small.wants = []Want{NewWant("a", "1", 60)}
	kp.goal = &small
	rg.engines["w1"].FaultOrders(engine.OrderLost)
	rg.run(kp)
	require.False(t, rg.engines["w1"].Ready("a", "1"))
	rg.settle(testBound, kp)
	require.True(t, rg.engines["w1"].Ready("a", "1"))
	require.Zero(t, rg.overcommits())
}

func TestOwnerDiesAroundAnOrder(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		for steps := range 12 {
			rg := newRig(t, fencing, "w1")
			kp := rg.owner("n1", "w1", holding(fencing, testBound, 0, "a"))
			for range steps {
				if tk := kp.next(rg.now); tk != nil {
					kp.done(rg.now, rg.perform(tk))
				}
			}
			if tk := kp.next(rg.now); tk != nil {
				rg.perform(tk)
			}
			rg.settle(3*testBound, rg.owner("n2", "w1", holding(fencing, testBound, 0, "b")))
			require.True(t, rg.engines["w1"].Ready("b", "1"), "died after %d steps", steps)
			require.False(t, rg.engines["w1"].Ready("a", "1"))
			require.Zero(t, rg.overcommits())
			require.Empty(t, checker.Violations())
		}
	}
}

// lastReplica lets w1's owner begin to unload A, counting on w2, and w2's
// owner give A up before that.
func lastReplica(t *testing.T, unpermitted bool) *rig {
	rg := newRig(t, true, "w1", "w2")
	kp1 := rg.owner("n1", "w1", holding(true, 0, 1, "a"))
	kp2 := rg.owner("n2", "w2", holding(true, 0, 1, "a"))
	rg.settle(3*time.Second, kp1, kp2)
	kp1.pursue()
	kp2.pursue()
	kp1.unpermitted, kp2.unpermitted = unpermitted, unpermitted
	tk1, tk2 := kp1.next(rg.now), kp2.next(rg.now)
	for tk1 != nil || tk2 != nil {
		rs1, rs2 := rg.performAny(tk1), rg.performAny(tk2)
		if tk1 != nil {
			kp1.done(rg.now, rs1)
		}
		if tk2 != nil {
			kp2.done(rg.now, rs2)
		}
		tk1, tk2 = kp1.next(rg.now), kp2.next(rg.now)
	}
	rg.settle(time.Minute, kp1, kp2)
	return rg
}

func (rg *rig) performAny(tk task) result {
	if tk == nil {
		return result{}
	}
	return rg.perform(tk)
}

func TestTwoOwnersUnloadTheLastReplicas(t *testing.T) {
	rg := lastReplica(t, false)
	require.True(t, rg.engines["w1"].Serves("a") != rg.engines["w2"].Serves("a"))
	require.Empty(t, checker.Violations())
}

func TestReachableFiresWithoutPermission(t *testing.T) {
	rg := lastReplica(t, true)
	require.False(t, rg.engines["w1"].Serves("a") || rg.engines["w2"].Serves("a"))
	require.Equal(t, checker.Reachable, checker.Violations()[0].Invariant)
}

func TestMemoryWithinFiresOnOvercommit(t *testing.T) {
	rg := newRig(t, true, "w1")
	kp := rg.owner("n1", "w1", holding(true, 0, 0, "a"))
	rg.run(kp)
	kp.queued = kp.order(rg.now, accountant.Load, accountant.NewCopy("b", "1"), 60)
	rg.run(kp)
	require.Equal(t, checker.MemoryWithin, checker.Violations()[0].Invariant)
	require.Equal(t, 1, rg.overcommits())
}

func TestFenceForwardFiresOnOldNumber(t *testing.T) {
	rg := newRig(t, true, "w1")
	kp := rg.owner("n1", "w1", holding(true, 0, 0, "a"))
	kp.sentFence = 100
	rg.run(kp)
	require.Equal(t, checker.FenceForward, checker.Violations()[0].Invariant)
}

// TestDelayedCountLandsAfterRestart lets the write that counts a replica seem
// lost, the engine lose the replica, and the write land then.
func TestDelayedCountLandsAfterRestart(t *testing.T) {
	rg := newRig(t, true, "w1")
	kp := rg.owner("n1", "w1", holding(true, 0, 1, "a"))
	rg.settle(3*time.Second, kp)
	rg.engines["w1"].Restart()
	kp.inspected = false
	var write task
	for writes := 0; writes < 2; {
		write = kp.next(rg.now)
		if wt, ok := write.(writeTask); ok && wt.key == "model/a" {
			writes++
		}
		if writes < 2 {
			kp.done(rg.now, rg.perform(write))
		}
	}
	kp.done(rg.now, result{err: &storer.Error{Op: "swap", Key: "model/a", Kind: storer.Uncertain}})
	kp.pursue()
	rg.engines["w1"].Restart()
	kp.inspected = false
	rg.settle(time.Minute, kp)
	rg.perform(write)
	en, err := rg.store.Get(t.Context(), "model/a")
	require.NoError(t, err)
	rp, err := accountant.DecodeReplicas(en.Value)
	require.NoError(t, err)
	require.Empty(t, rp.Servers())
}

func TestOrdererLoadsThroughItsGoroutines(t *testing.T) {
	rg := newRig(t, true, "w1")
	od := New("n1", rg.store, WithEngines(rg.tools.engines), WithRandom(rg.random), WithCounters(rg.counters))
	gl := holding(true, 0, 0, "a")
	gl.server, gl.address, gl.limit = "w1", "w1", testMemory
	od.Pursue(t.Context(), rg.now, []*Goal{&gl})
	for !rg.engines["w1"].Ready("a", "1") {
		od.Handle(t.Context(), rg.now, <-od.Events())
	}
	od.Handle(t.Context(), rg.now, <-od.Events())
	od.Pursue(t.Context(), rg.now, nil)
	require.Empty(t, od.keepers)
	require.Equal(t, int64(1), rg.counters.Values()["order-sent.load-model"])
}
