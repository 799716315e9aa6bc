package publisher

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
)

// TestOlderRevisionViolatesRevisionForward covers Adopt, which refuses an older
// revision, and the assertion behind it.
func TestOlderRevisionViolatesRevisionForward(t *testing.T) {
	defer checker.Reset()
	checker.Reset()
	newer, older := &Revision{head: head{number: 2}}, &Revision{head: head{number: 1}}
	hd := NewHolder()
	require.True(t, hd.Adopt(newer))
	require.False(t, hd.Adopt(older))
	require.Empty(t, checker.Violations())
	checkForward(newer, older)
	require.Len(t, checker.Violations(), 1)
	require.Equal(t, checker.RevisionMonotonic, checker.Violations()[0].Invariant)
}

func FuzzDecodeHead(f *testing.F) {
	value, _ := (&head{number: 2, writeID: "b", author: "a", previous: "p", parts: []string{"x"}}).encode()
	f.Add(value)
	f.Add([]byte{0xc1})
	f.Fuzz(func(t *testing.T, value []byte) {
		hd, err := decodeHead(value)
		if err != nil {
			require.ErrorIs(t, err, ErrCorrupt)
			return
		}
		again, err := hd.encode()
		require.NoError(t, err)
		same, err := decodeHead(again)
		require.NoError(t, err)
		require.Equal(t, hd, same)
	})
}
