package claimer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
)

func TestDecreasingEpochViolatesFenceMonotonic(t *testing.T) {
	defer checker.Reset()
	checker.Reset()
	cl := New(nil, nil, nil)
	cm := &claim{resource: "planner"}
	cl.recordAcquired(cm, record{epoch: 5}, 1)
	cl.recordAcquired(cm, record{epoch: 4}, 2)
	require.Len(t, checker.Violations(), 1)
	require.Equal(t, checker.FenceMonotonic, checker.Violations()[0].Invariant)
}

func FuzzDecodeRecord(f *testing.F) {
	value, _ := (&record{epoch: 3, holder: "n1", batch: "b", payload: []byte("p")}).encode()
	f.Add(value)
	f.Add([]byte{0xc1})
	f.Fuzz(func(t *testing.T, value []byte) {
		rc, err := decodeRecord(value)
		if err != nil {
			require.ErrorIs(t, err, ErrCorrupt)
			return
		}
		again, err := rc.encode()
		require.NoError(t, err)
		reread, err := decodeRecord(again)
		require.NoError(t, err)
		require.Equal(t, rc.epoch, reread.epoch)
	})
}
