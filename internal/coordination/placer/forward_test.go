package placer

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/gossiper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

func recordOf(epoch, number int64) *planner.Record {
	return planner.NewRecord(epoch, number, "", planner.NewPlan(nil), planner.State{})
}

// TestInstallRefusesOlderPlan guards against hazard 6: a node that replaces its
// plan by an older one.
func TestInstallRefusesOlderPlan(t *testing.T) {
	checker.Reset()
	pc := New("n1", nil, nil, nil, nil, gossiper.New())
	require.True(t, pc.install(recordOf(2, 7)))
	for _, older := range []*planner.Record{recordOf(2, 7), recordOf(2, 6), recordOf(1, 9)} {
		require.False(t, pc.install(older))
	}
	require.EqualValues(t, 7, pc.Current().Number())
	answer, err := pc.Handle(&messenger.PlanFetch{Epoch: 2, Number: 8})
	require.NoError(t, err)
	require.Empty(t, answer.(*messenger.PlanFetched).Record, "an older plan is not handed out")
	require.Empty(t, checker.Violations())
}

func TestCheckerReportsBrokenPlanInvariants(t *testing.T) {
	checker.Reset()
	defer checker.Reset()
	checkForward(recordOf(2, 7), recordOf(3, 6))
	st, _ := configurer.Parse([]configurer.File{{Name: "a.ini", Text: "[model.m]\nmemory = 1GiB\n"}})
	sn := Situation{Settings: st, Usable: planner.AllUsable, Serving: func(string, string) bool { return true }}
	checkReachable(planner.NewPlan(map[string][]string{"w1": {"m"}}), planner.NewPlan(nil), sn)
	require.Len(t, checker.Violations(), 2)
	require.Equal(t, PlanForward, checker.Violations()[0].Invariant)
	require.Equal(t, checker.Reachable, checker.Violations()[1].Invariant)
}

func TestSampleIsBoundedAndUnbiased(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	demand := planner.Demand{"hot": 40}
	for ix := range 100 {
		demand[string(rune('A'+ix))] = 0.4
	}
	require.Len(t, sample(demand, 101, random), 101)
	const draws = 2000
	entries, sums := 0, planner.Demand{}
	for range draws {
		for _, md := range sample(demand, 8, random) {
			entries++
			sums[md.Model] += md.Load / draws
		}
	}
	require.LessOrEqual(t, entries/draws, 8)
	require.InDelta(t, 40, sums["hot"], 0.01)
	require.InDelta(t, 0.4, sums["A"], 0.15)
}
