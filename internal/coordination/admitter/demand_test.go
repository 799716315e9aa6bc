package admitter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDemandCountsWhatRunsWaitsAndWasRefused(t *testing.T) {
	now, sc, tk := backlogged(t)
	model := tk.Model.Name()
	require.InDelta(t, 1000-20, sc.Demand(now)[model], 0, "128 run or have ended, the others wait")
	hopeless := *tk
	hopeless.Deadline = now.Add(time.Minute)
	for range 30 {
		_, rf := sc.Submit(now, &hopeless)
		require.NotNil(t, rf)
	}
	now = now.Add(10 * time.Second)
	require.InDelta(t, 980+30, sc.Demand(now)[model], 0.01, "3 refused a second would have run for 10 s each")
	now = now.Add(10 * time.Second)
	require.InDelta(t, 980, sc.Demand(now)[model], 0.01, "a refusal counts once")
}
