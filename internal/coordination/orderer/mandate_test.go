package orderer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
)

// TestMandateNamesRecordedNumbersOnly looks at what other goroutines may order
// with while a number is being recorded, raised and lost.
func TestMandateNamesRecordedNumbersOnly(t *testing.T) {
	rg := newRig(t, true, "w")
	od := New("n", rg.store)
	kp := rg.owner("n", "w", holding(true, 0, 0, "a"))
	share := func() (Mandate, bool) {
		od.share(kp)
		return od.Fence("w")
	}
	_, ok := share()
	require.False(t, ok, "nothing was recorded")
	rg.until(t, kp, accountant.Load)
	md, ok := share()
	require.True(t, ok)
	require.Equal(t, int64(1), md.Claim)
	stored, err := rg.store.Get(t.Context(), workerPrefix+"w")
	require.NoError(t, err)
	lg, err := accountant.Decode(stored.Value, time.Time{})
	require.NoError(t, err)
	require.Equal(t, lg.Fence(), md.Number)

	kp.running = nil
	od.Raise("w")
	share()
	kp.running = kp.raiseFence()
	same, _ := share()
	require.Equal(t, md, same, "the write is not known to have taken effect")
	rg.run(rg.owner("m", "w", holding(true, 0, 0)))
	kp.done(rg.now, rg.perform(kp.running.task))
	_, ok = share()
	require.False(t, ok, "another owner wrote meanwhile")
}
