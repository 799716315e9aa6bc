package orderer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
)

// TestOtherGoroutinesSeeOnlyRecordedFences checks the fencing numbers that
// other goroutines get before the first record, while a greater number is
// written, and after another owner has written.
func TestOtherGoroutinesSeeOnlyRecordedFences(t *testing.T) {
	rg := newRig(t, true, "w")
	od := New("n", rg.store)
	rc := rg.owner("n", "w", holding(true, 0, 0, "a"))
	publish := func() (Ownership, bool) {
		od.publish(rc)
		return od.Fence("w")
	}
	_, ok := publish()
	require.False(t, ok, "nothing was recorded")
	rg.runUntilOrder(t, rc, accountant.Load)
	ow, ok := publish()
	require.True(t, ok)
	require.Equal(t, int64(1), ow.Claim)
	stored, err := rg.store.Get(t.Context(), workerPrefix+"w")
	require.NoError(t, err)
	lg, err := accountant.Decode(stored.Value, time.Time{})
	require.NoError(t, err)
	require.Equal(t, lg.Fence(), ow.Number)

	rc.runningStep = nil
	od.Raise("w")
	publish()
	rc.runningStep = rc.advanceFence()
	same, _ := publish()
	require.Equal(t, ow, same, "the write is not known to have taken effect")
	rg.run(rg.owner("m", "w", holding(true, 0, 0)))
	rc.done(rg.now, rg.perform(rc.runningStep.task))
	_, ok = publish()
	require.False(t, ok, "another owner wrote meanwhile")
}
