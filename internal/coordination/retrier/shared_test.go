package retrier_test

import (
	"fmt"
	"slices"
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

// restartingNode is a node whose processes are killed and start again.
type restartingNode struct {
	bound  retrier.Bound
	nodes  int
	budget *retrier.SharedBudget
}

// start replaces the node's process at the time. It does not know the number of nodes
// until the first request.
func (rn *restartingNode) start(now time.Time) {
	rn.budget = retrier.NewSharedBudget(rn.bound, now, retrier.WithPredecessor())
}

// request has the process try two retries for a request, and returns how many it sends.
func (rn *restartingNode) request(now time.Time, knowsNodes bool) (retries int) {
	rn.budget.Arrived("p", now)
	if knowsNodes {
		rn.budget.SetNodes(rn.nodes)
	}
	for range 2 {
		if rn.budget.Take("p", now) {
			retries++
		}
	}
	return retries
}

// Each process that started had the budget of a whole window, also of what the one
// before it had used, and the slack of all nodes until it knew them.
func TestRetriesStayWithinBoundWhileAllNodesRestartInSeries(t *testing.T) {
	const nodeCount, pause = 26, 100 * time.Millisecond
	bound := retrier.Bound{Window: 10 * time.Second, Ratio: 0.2, Slack: 168}
	for name, restarts := range map[string][]time.Duration{
		"no restart":      nil,
		"once":            {40 * time.Second},
		"in series":       {40 * time.Second, 42 * time.Second, 44 * time.Second, 46 * time.Second},
		"again and again": {20 * time.Second, 29 * time.Second, 38 * time.Second, 39 * time.Second, 48 * time.Second},
	} {
		for _, knowsNodes := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, nodes known %v", name, knowsNodes), func(t *testing.T) {
				start := time.Unix(0, 0)
				var nodes []*restartingNode
				for range nodeCount {
					nd := &restartingNode{bound: bound, nodes: nodeCount}
					nd.start(start)
					nodes = append(nodes, nd)
				}
				var requests, retries []time.Duration
				for at := time.Duration(0); at < time.Minute; at += pause {
					for _, nd := range nodes {
						if slices.Contains(restarts, at) {
							nd.start(start.Add(at))
						}
						sent := nd.request(start.Add(at), knowsNodes)
						requests = append(requests, at)
						for range sent {
							retries = append(retries, at)
						}
					}
				}
				require.NotEmpty(t, retries)
				for from := time.Duration(0); from < 50*time.Second; from += pause {
					requested := max(within(requests, from, bound.Window), within(requests, from-bound.Window/2, bound.Window), within(requests, from-bound.Window, bound.Window))
					require.LessOrEqual(t, within(retries, from, bound.Window), int(bound.Ratio*float64(requested))+bound.Slack, "window from %v", from)
				}
			})
		}
	}
}
