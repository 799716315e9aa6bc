package throttler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonpass/lagoonpass/internal/coordination/throttler"
)

// fleet is a number of nodes that send requests to one server.
type fleet struct {
	ids   []string
	nodes []*throttler.Throttler
}

func newFleet(count int) *fleet {
	fl := &fleet{}
	for ix := range count {
		id := fmt.Sprintf("n%d", ix)
		fl.ids = append(fl.ids, id)
		fl.nodes = append(fl.nodes, throttler.New(id, func(string) []string { return fl.ids }))
	}
	return fl
}

// most returns the greatest number of times within a window.
func most(times []time.Time, window time.Duration) int {
	greatest, first := 0, 0
	for ix, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		greatest = max(greatest, ix-first+1)
	}
	return greatest
}

// Guards against a server that names a limit and gets more from all nodes
// together, whether they were idle before or not.
func TestLimitHoldsForAllNodesTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fl := newFleet(rapid.SampledFrom([]int{1, 2, 4, 5, 30, 300}).Draw(t, "nodes"))
		limit := rapid.SampledFrom([]float64{0.2, 1, 1.1, 3, 25}).Draw(t, "limit")
		idle := time.Duration(rapid.IntRange(0, 20).Draw(t, "idle")) * time.Second
		now := time.Unix(1000, 0)
		for _, th := range fl.nodes {
			th.Observe(now, "w", now, throttler.Signals{Limit: limit})
		}
		now = now.Add(idle)
		var sent []time.Time
		for range 400 {
			now = now.Add(50 * time.Millisecond)
			for _, th := range fl.nodes {
				if th.Wait(now, "w") == 0 {
					th.Sent(now, "w")
					th.Observe(now, "w", now, throttler.Signals{Limit: limit})
					sent = append(sent, now)
				}
			}
		}
		if got, allowed := most(sent, 4*time.Second), 1.5*4*limit+5; float64(got) > allowed {
			t.Fatalf("%d requests in 4 s, allowed %.1f", got, allowed)
		}
		if float64(len(sent)) < 0.7*20*limit-1 {
			t.Fatalf("only %d requests in 20 s at %.1f a second", len(sent), limit)
		}
	})
}

// The share of a node is about the same whether it sends at once or asks again
// and again.
func TestWaitTellsWhenShareIsFree(t *testing.T) {
	fl := newFleet(4)
	now := time.Unix(1000, 0)
	th := fl.nodes[0]
	require.Zero(t, th.Wait(now, "w"), "no limit")
	th.Observe(now, "huge", now, throttler.Signals{Limit: 1e300})
	require.Zero(t, th.Wait(now.Add(time.Second), "huge"))
	th.Observe(now, "w", now, throttler.Signals{Limit: 2})
	now = now.Add(10 * time.Second)
	require.Zero(t, th.Wait(now, "w"))
	th.Sent(now, "w")
	require.Equal(t, 2*time.Second, th.Wait(now, "w"), "a quarter of two a second")
	require.Zero(t, th.Wait(now.Add(2*time.Second), "w"))
}

// Guards against answers that overtake each other: one to a request that was sent
// before the limit was named does not end it.
func TestLimitEndsWithLaterAnswerOnly(t *testing.T) {
	th := newFleet(1).nodes[0]
	named := time.Unix(1000, 0)
	th.Observe(named, "w", named.Add(-time.Second), throttler.Signals{Limit: 0.1})
	th.Sent(named, "w")
	require.NotZero(t, th.Wait(named, "w"))
	th.Observe(named.Add(time.Second), "w", named.Add(-time.Second/2), throttler.Signals{})
	require.NotZero(t, th.Wait(named.Add(time.Second), "w"))
	th.Observe(named.Add(3*time.Second), "w", named.Add(2*time.Second), throttler.Signals{})
	require.Zero(t, th.Wait(named.Add(3*time.Second), "w"))
}

// Guards against requests to a server that turned one away and named a time for
// which it wants none.
func TestPausedServerGetsNothingUntilThePauseEnds(t *testing.T) {
	th := newFleet(4).nodes[0]
	now := time.Unix(1000, 0)
	th.Observe(now, "w", now, throttler.Signals{Pause: 3 * time.Second})
	require.GreaterOrEqual(t, th.Wait(now, "w"), 3*time.Second)
	// Answers to requests that were sent before do not end it, nor does a shorter
	// pause.
	th.Observe(now.Add(time.Second), "w", now.Add(-time.Second), throttler.Signals{})
	th.Observe(now.Add(time.Second), "w", now.Add(-time.Second), throttler.Signals{Pause: time.Second / 2})
	require.NotZero(t, th.Wait(now.Add(2900*time.Millisecond), "w"))
	require.Zero(t, th.Wait(now.Add(3500*time.Millisecond), "w"))
}

// Guards against all nodes coming back in the instant in which a pause ends.
func TestNodesReturnFromPauseOneAfterTheOther(t *testing.T) {
	fl := newFleet(20)
	now := time.Unix(1000, 0)
	waits := map[time.Duration]bool{}
	for _, th := range fl.nodes {
		th.Observe(now, "w", now, throttler.Signals{Pause: 3 * time.Second})
		wait := th.Wait(now, "w")
		require.LessOrEqual(t, wait, 3300*time.Millisecond)
		waits[wait.Round(time.Millisecond)] = true
	}
	require.Greater(t, len(waits), 10)
}

// Guards against nodes without a share, which send a server nothing, keeping to a
// limit for ever that the server no longer names.
func TestNodesWithoutShareAskAgainOneAfterTheOther(t *testing.T) {
	const limit = 2
	fl := newFleet(40)
	now := time.Unix(1000, 0)
	for _, th := range fl.nodes {
		th.Observe(now, "w", now, throttler.Signals{Limit: limit})
	}
	var asked []time.Time
	waiting := slices.Clone(fl.nodes)
	for range 4000 {
		now = now.Add(100 * time.Millisecond)
		waiting = slices.DeleteFunc(waiting, func(th *throttler.Throttler) bool {
			if th.Wait(now, "w") == throttler.Never {
				return false
			}
			if _, limited := th.Rate(now, "w"); !limited {
				asked = append(asked, now)
			}
			return true
		})
	}
	require.Empty(t, waiting)
	require.Greater(t, len(asked), 30)
	require.LessOrEqual(t, most(asked, 4*time.Second), 4, "what the shares leave of the bound")

	fl.nodes[0].Observe(now, "w", now, throttler.Signals{Limit: limit})
	fl.nodes[0].EndLimit("w")
	require.Zero(t, fl.nodes[0].Wait(now, "w"))
}

// Calls that only show whether a server answers went to servers that wanted a pause, or took
// what a limit left to requests.
func TestServersWithAPauseOrALimitAreRestricted(t *testing.T) {
	now := time.Unix(1000, 0)
	th := newFleet(1).nodes[0]
	th.Observe(now, "paused", now, throttler.Signals{Pause: 2 * time.Second})
	th.Observe(now, "limited", now, throttler.Signals{Limit: 3})
	th.Observe(now, "sound", now, throttler.Signals{})
	require.True(t, th.Restricts(now.Add(time.Second), "paused"))
	require.True(t, th.Restricts(now.Add(time.Second), "limited"))
	require.False(t, th.Restricts(now, "sound"))
	require.False(t, th.Restricts(now.Add(time.Minute), "paused"))
	th.EndLimit("limited")
	require.False(t, th.Restricts(now.Add(time.Second), "limited"))
}
