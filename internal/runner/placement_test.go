package runner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/runner"
)

// Only the holder of the plan reads the VM list.
func TestNodesShareOnePlanAndLearnOfLeavingServers(t *testing.T) {
	rg := newRig(t)
	all := func(name string, value int64) func() bool {
		return func() bool {
			return rg.nodes[0].Values()[name] == value && rg.nodes[1].Values()[name] == value
		}
	}
	require.Eventually(t, all("plan.number", 1), readyTimeout, pollInterval)
	require.Zero(t, planWrites(rg.nodes[0])*planWrites(rg.nodes[1]), "one node writes the plan")
	rg.leaving.Store(true)
	require.Eventually(t, all("plan.leaving-servers", 1), readyTimeout, pollInterval)
	require.True(t, all("plan.number", 1)(), "the only server's plan stays")
}

func planWrites(nd *runner.Node) int64 { return nd.Values()["store-write.plan"] }
