package recorder

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// exhaustedStore refuses writes without sending them until a time.
type exhaustedStore struct {
	storer.Store
	until time.Time
}

func (es *exhaustedStore) Swap(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	if time.Now().Before(es.until) {
		return 0, &storer.Error{Op: "swap", Key: key, Kind: storer.Budget}
	}
	return es.Store.Swap(ctx, key, value, revision)
}

// TestBeginWaitsForWriteBudget uses up the write budget for less and for more
// than the time that a batch waits.
func TestBeginWaitsForWriteBudget(t *testing.T) {
	for name, cs := range map[string]struct {
		exhaustedFor time.Duration
		granted      bool
	}{
		"for a moment": {300 * time.Millisecond, true},
		"for good":     {time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 3, smallRecord, func(t *testing.T, cl *cluster) {
				require.NotNil(t, cl.nodes[0].Begin(t.Context(), keyAt("first")).Grant)
				for _, rc := range cl.nodes {
					rc.store = &exhaustedStore{Store: rc.store, until: time.Now().Add(cs.exhaustedFor)}
				}
				before := time.Now()
				an := cl.nodes[0].Begin(t.Context(), keyAt("k"))
				require.Equal(t, cs.granted, an.Grant != nil)
				if !cs.granted {
					requireRefusal(t, an, refuser.StoreUnavailable, refuser.NotRun)
					require.Less(t, time.Since(before), 2*budgetTimeout)
				}
			})
		})
	}
}
