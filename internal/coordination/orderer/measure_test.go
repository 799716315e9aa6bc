package orderer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMoveTakesAtMostFourWrites(t *testing.T) {
	rg := newRig(t, true, "w1", "w2")
	rc1 := rg.owner("n1", "w1", holding(true, 0, 1, "a"))
	rc2 := rg.owner("n2", "w2", holding(true, 0, 1))
	rg.runFor(5*time.Second, rc1, rc2)
	reads, writes := rg.store.Calls()
	rc2.setDesired("a")
	rc1.setDesired()
	rg.runFor(30*time.Second, rc1, rc2)
	require.True(t, rg.engines["w2"].Serves("a") && !rg.engines["w1"].Serves("a"))
	moreReads, moreWrites := rg.store.Calls()
	t.Logf("a move took %d reads and %d writes", moreReads-reads, moreWrites-writes)
	require.LessOrEqual(t, moreWrites-writes, int64(4))
}

func TestNextOwnerConvergesWithinLateOrderBound(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		rg := newRig(t, fencing, "w1")
		old := rg.owner("n1", "w1", holding(fencing, testBound, 0, "a"))
		rg.perform(rg.runUntilOrder(t, old, "load-model"))
		rc := rg.owner("n2", "w1", holding(fencing, testBound, 0, "b"))
		start := rg.now
		for !rg.engines["w1"].Ready("b", "1") && rg.now.Sub(start) < time.Hour {
			rg.runFor(time.Second, rc)
		}
		t.Logf("fencing %v: converged %v after the takeover", fencing, rg.now.Sub(start))
		require.LessOrEqual(t, rg.now.Sub(start), testBound+5*time.Second)
	}
}
