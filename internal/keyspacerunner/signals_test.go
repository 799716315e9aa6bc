package keyspacerunner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/throttler"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// Guards against requests to a server that has said that it leaves.
func TestServerThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	rn := newNode()
	configSink{rn}.Replace([]storer.Entry{configuration(1, settingsText)})
	serverSink{rn}.Replace([]storer.Entry{registration("a", "p 10.0.0.1:1 1"), registration("b", "p 10.0.0.2:1 1")})
	rn.noteSignals("a", time.Now(), throttler.Signals{Leaving: true})
	for _, sv := range rn.snapshot.Load().servers {
		require.Equal(t, sv.ID == "a", sv.Leaving, sv.ID)
	}
	rp, ok := rn.watcher.Snapshot().Report("a")
	require.True(t, ok)
	require.True(t, rp.Leaving, "admission sees it at once")
}
