package orderer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStoreCallsOfAMove(t *testing.T) {
	rg := newRig(t, true, "w1", "w2")
	kp1 := rg.owner("n1", "w1", holding(true, 0, 1, "a"))
	kp2 := rg.owner("n2", "w2", holding(true, 0, 1))
	rg.settle(5*time.Second, kp1, kp2)
	reads, writes := rg.store.Calls()
	kp2.pursue("a")
	kp1.pursue()
	rg.settle(30*time.Second, kp1, kp2)
	require.True(t, rg.engines["w2"].Serves("a") && !rg.engines["w1"].Serves("a"))
	moreReads, moreWrites := rg.store.Calls()
	t.Logf("a move took %d reads and %d writes", moreReads-reads, moreWrites-writes)
	require.LessOrEqual(t, moreWrites-writes, int64(4))
}

func TestTimeToConvergeAfterOwnerDeath(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		rg := newRig(t, fencing, "w1")
		old := rg.owner("n1", "w1", holding(fencing, testBound, 0, "a"))
		rg.perform(rg.until(t, old, "load-model"))
		kp := rg.owner("n2", "w1", holding(fencing, testBound, 0, "b"))
		start := rg.now
		for !rg.engines["w1"].Ready("b", "1") && rg.now.Sub(start) < time.Hour {
			rg.settle(time.Second, kp)
		}
		t.Logf("fencing %v: converged %v after the takeover", fencing, rg.now.Sub(start))
		require.LessOrEqual(t, rg.now.Sub(start), testBound+5*time.Second)
	}
}
