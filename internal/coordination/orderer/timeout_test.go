package orderer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
)

// TestSilentConnectionDelaysNoOtherOrderAsLongAsALoad bounds the wait for the
// answers to orders that take no time.
func TestSilentConnectionDelaysNoOtherOrderAsLongAsALoad(t *testing.T) {
	for action, want := range map[accountant.Action]time.Duration{
		accountant.Load:    loadTimeout,
		accountant.Unload:  orderTimeout,
		accountant.SetRole: orderTimeout,
	} {
		require.Equal(t, want, timeoutOf(action))
	}
	require.Less(t, orderTimeout, loadTimeout/4)
}
