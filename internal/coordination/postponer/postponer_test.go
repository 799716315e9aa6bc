package postponer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/postponer"
)

// After the loss of all nodes with a slow store, every request of the first second was
// refused, and most of its callers found the node without a configuration when they
// returned. They must be answered as soon as the configuration is there.
func TestStartingNodeServesRequestsOnceItCan(t *testing.T) {
	for name, tc := range map[string]struct {
		ready, arrives, deadline time.Duration
		limit                    int
		served                   int
		waited                   time.Duration
	}{
		"the configuration comes within the wait": {ready: 800 * time.Millisecond, deadline: 10 * time.Second, limit: 9, served: 9, waited: 800 * time.Millisecond},
		"more requests wait than may":             {ready: 800 * time.Millisecond, deadline: 10 * time.Second, limit: 4, served: 4, waited: 800 * time.Millisecond},
		"the store does not answer":               {ready: time.Minute, deadline: 10 * time.Second, limit: 9, served: 0, waited: 1500 * time.Millisecond},
		"the deadline is near":                    {ready: 800 * time.Millisecond, deadline: 1200 * time.Millisecond, limit: 9, served: 0, waited: 400 * time.Millisecond},
		"the node serves already":                 {ready: time.Second, arrives: 2 * time.Second, deadline: time.Second, limit: 9, served: 9},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				po := postponer.New(postponer.WithLimit(tc.limit))
				time.AfterFunc(tc.ready, po.Release)
				time.Sleep(tc.arrives)
				synctest.Wait()
				const requests = 9
				began := time.Now()
				results := make(chan bool, requests)
				for range requests {
					go func() { results <- po.Await(t.Context(), began.Add(tc.deadline)) }()
				}
				served := 0
				for range requests {
					if <-results {
						served++
					}
				}
				require.Equal(t, tc.served, served)
				require.Equal(t, tc.waited, time.Since(began))
				time.Sleep(time.Minute)
			})
		})
	}
}

// Callers that were refused together returned together, and found a node that had been
// starting for seconds after a fixed half second.
func TestCallersReturnAfterAsLongAgainAsTheNodeStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		po := postponer.New()
		for _, elapsed := range []time.Duration{0, time.Second, 3 * time.Second, time.Minute} {
			time.Sleep(elapsed)
			least, most := time.Hour, time.Duration(0)
			for range 200 {
				after := po.RetryAfter()
				least, most = min(least, after), max(most, after)
			}
			want := min(max(elapsed, 200*time.Millisecond), 5*time.Second)
			require.GreaterOrEqual(t, least, want/2)
			require.LessOrEqual(t, most, 2*want)
			require.Greater(t, most-least, want/5)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.False(t, po.Await(ctx, time.Now().Add(time.Hour)), "a request whose caller has left does not wait")
	})
}
