package demonstrator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/demonstrator"
)

func TestWholePath(t *testing.T) {
	checker.Reset()
	dm, err := demonstrator.Start(t.Context(), "harwick-pell", demonstrator.WithNodes(2), demonstrator.WithLimits(demonstrator.FastLoads))
	require.NoError(t, err)
	defer dm.Stop()
	require.NoError(t, dm.AwaitReady(t.Context()))
	rs, err := dm.Drive(t.Context())
	require.NoError(t, err)
	require.Equal(t, 2*14, rs.Whole)
	require.Empty(t, rs.Broken)
	require.NoError(t, dm.AskAdapters(t.Context()))
	require.Empty(t, checker.Violations())
	for name, eg := range dm.Engines() {
		require.Zero(t, eg.Overcommits(), name)
	}
}
