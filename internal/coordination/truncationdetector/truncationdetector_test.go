package truncationdetector_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/truncationdetector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/versionkeeper"
)

// The address of a process that has ended accepts connections again once a later one listens
// there.
func TestAnswerOfAnEndedProcessIsTruncated(t *testing.T) {
	for address, want := range map[string]bool{"accepts": false, "refuses": true} {
		for state, always := range map[truncationdetector.State]bool{truncationdetector.Running: false, truncationdetector.Replaced: true} {
			dt := truncationdetector.New(func(_ context.Context, address string) bool { return address == "refuses" },
				truncationdetector.WithState(func(_ context.Context, pr versionkeeper.Process, _ string) truncationdetector.State {
					require.Equal(t, "w1", pr.Server)
					return state
				}))
			answer := truncationdetector.Answer{ID: "r", Process: versionkeeper.Process{Server: "w1"}, Address: address}
			require.Equal(t, want || always, dt.Truncated(t.Context(), answer), "address %s, process %s", address, state)
		}
	}
}
