package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestUnlistedNodeIsGoneAfterGracePeriod(t *testing.T) {
	start := time.Unix(0, 0)
	dp := NewDepartures("a")
	require.False(t, dp.Gone("b", 0), "no list was read")
	dp.Observe([]string{"c"}, start)
	require.False(t, dp.Gone("b", 0), "a list that does not know this node")
	dp.Observe([]string{"a"}, start)
	require.False(t, dp.Gone("b", time.Minute))
	require.False(t, dp.Gone("b", time.Minute), "time passes with readings only")
	dp.Observe([]string{"a", "b"}, start.Add(time.Minute))
	require.False(t, dp.Gone("b", time.Minute), "it was listed meanwhile")
	dp.Observe([]string{"a"}, start.Add(2*time.Minute))
	require.False(t, dp.Gone("b", time.Minute))
	dp.Observe([]string{"a"}, start.Add(3*time.Minute))
	require.True(t, dp.Gone("b", time.Minute))
	require.Empty(t, dp.NewlyGone(2*time.Minute))
	dp.Observe([]string{"a"}, start.Add(4*time.Minute))
	require.Equal(t, []string{"b"}, dp.NewlyGone(2*time.Minute))
	require.Empty(t, dp.NewlyGone(2*time.Minute))
}
