package orderer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
)

// TestOnlyLoadHasLoadTimeout guards against a silent connection that delays the
// server's next step by the timeout of a load.
func TestOnlyLoadHasLoadTimeout(t *testing.T) {
	for action, want := range map[accountant.Action]time.Duration{
		accountant.Load:    loadTimeout,
		accountant.Unload:  orderTimeout,
		accountant.SetRole: orderTimeout,
	} {
		require.Equal(t, want, timeoutOf(action))
	}
	require.Less(t, orderTimeout, loadTimeout/4)
}
