package retrier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonpass/lagoonpass/internal/coordination/retrier"
)

// TestRetriesOfAllNodesStayWithinBound draws traffic on several nodes that do
// not communicate, and checks the total of every window.
func TestRetriesOfAllNodesStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := retrier.Bound{
			Window: 10 * time.Second,
			Ratio:  rapid.SampledFrom([]float64{0, 0.1, 0.2}).Draw(t, "ratio"),
			Slack:  rapid.IntRange(0, 80).Draw(t, "slack"),
		}
		start := time.Unix(0, 0)
		nodes := make([]*retrier.SharedBudget, rapid.IntRange(1, 5).Draw(t, "nodes"))
		for ix := range nodes {
			nodes[ix] = retrier.NewSharedBudget(bound, start)
			nodes[ix].SetNodes(len(nodes))
		}
		var requests, retries []time.Duration
		for at := time.Duration(0); at < 40*time.Second; {
			at += time.Duration(rapid.IntRange(1, 120).Draw(t, "pause")) * time.Millisecond
			sh := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			sh.Arrived("p", start.Add(at))
			requests = append(requests, at)
			for range 3 {
				if sh.Take("p", start.Add(at)) {
					retries = append(retries, at)
				}
			}
		}
		for _, from := range retries {
			requested, retried := within(requests, from, bound.Window), within(retries, from, bound.Window)
			before := within(requests, from-bound.Window, bound.Window)
			if float64(retried) > bound.Ratio*float64(max(requested, before))+float64(bound.Slack)+1 {
				t.Fatalf("%d retries in the window from %v, with %d requests", retried, from, requested)
			}
		}
	})
}

func within(times []time.Duration, from, length time.Duration) int {
	count := 0
	for _, at := range times {
		if at >= from && at < from+length {
			count++
		}
	}
	return count
}

func TestSharedBudgetIsRestoredAfterWindow(t *testing.T) {
	start := time.Unix(0, 0)
	sh := retrier.NewSharedBudget(retrier.Bound{Window: 10 * time.Second, Ratio: 0.2, Slack: 10}, start)
	require.Equal(t, 8, sh.Remaining("p", start))
	for range 8 {
		require.True(t, sh.Take("p", start))
	}
	require.False(t, sh.Take("p", start))
	require.True(t, sh.Take("other", start), "each pool has its own")
	require.False(t, sh.Take("p", start.Add(9*time.Second)))
	require.True(t, sh.Take("p", start.Add(12*time.Second)))
	sh.SetBound(retrier.Bound{})
	require.False(t, sh.Take("p", start.Add(30*time.Second)))
}
