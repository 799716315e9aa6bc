package recorder

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// spentStore refuses writes, unsent, until a time.
type spentStore struct {
	storer.Store
	until time.Time
}

func (ss *spentStore) Swap(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	if time.Now().Before(ss.until) {
		return 0, &storer.Error{Op: "swap", Key: key, Kind: storer.Budget}
	}
	return ss.Store.Swap(ctx, key, value, revision)
}

// TestBeginWaitsForTheAllowanceOfWrites uses up the allowance for a moment and
// for good.
func TestBeginWaitsForTheAllowanceOfWrites(t *testing.T) {
	for name, cs := range map[string]struct {
		spent   time.Duration
		granted bool
	}{
		"for a moment": {300 * time.Millisecond, true},
		"for good":     {time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 3, smallRecord, func(t *testing.T, cl *cluster) {
				require.NotNil(t, cl.nodes[0].Begin(t.Context(), keyAt("first")).Grant)
				for _, rc := range cl.nodes {
					rc.store = &spentStore{Store: rc.store, until: time.Now().Add(cs.spent)}
				}
				before := time.Now()
				an := cl.nodes[0].Begin(t.Context(), keyAt("k"))
				require.Equal(t, cs.granted, an.Grant != nil)
				if !cs.granted {
					requireRefusal(t, an, refuser.StoreUnavailable, refuser.NotRun)
					require.Less(t, time.Since(before), 2*budgetPatience)
				}
			})
		})
	}
}
