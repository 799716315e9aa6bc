package prefixer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPromptsWithSamePrefixShareHashes(t *testing.T) {
	long := make([]byte, 100*BlockBytes)
	short := Prefixes(string(long[:3*BlockBytes+10]))
	require.Len(t, short, 3)
	require.Equal(t, short, Prefixes(string(long))[:3])
	require.Len(t, Prefixes(string(long)), MaxBlocks)
	long[0] = 'x'
	require.NotEqual(t, short[2], Prefixes(string(long))[2])
}
