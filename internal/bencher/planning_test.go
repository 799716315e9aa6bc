package bencher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/examples"
	"github.com/lagoonpass/lagoonpass/internal/bencher"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	traceLength = 90 * time.Minute
	utilisation = 0.75
	seeds       = 3
)

func exampleSettings(t *testing.T, deployment string) *configurer.Settings {
	t.Helper()
	files, err := examples.Files(deployment)
	require.NoError(t, err)
	st, faults := configurer.Parse(files)
	require.Empty(t, faults)
	return st
}

// TestPlannerMeetsTargetsOnTraces checks the planner's targets. With Harwick &
// Pell's weights it makes at most a fifth of the proportional planner's moves at
// no less attainment. With Qurum's it serves more per accelerator than either
// naive planner.
func TestPlannerMeetsTargetsOnTraces(t *testing.T) {
	hp := bencher.SweepPlanning(exampleSettings(t, "harwick-pell"), traceLength, utilisation, 1, seeds)
	require.LessOrEqual(t, hp["planner"].Moves*5, hp["proportional"].Moves)
	require.GreaterOrEqual(t, hp["planner"].Attainment, hp["proportional"].Attainment)
	qu := bencher.SweepPlanning(exampleSettings(t, "qurum"), traceLength, utilisation, 1, seeds)
	require.Greater(t, qu["planner"].PerAccelerator, qu["proportional"].PerAccelerator)
	require.Greater(t, qu["planner"].PerAccelerator, qu["fixed"].PerAccelerator)
}

func TestNewTraceDependsOnlyOnSeed(t *testing.T) {
	st := exampleSettings(t, "qurum")
	one := bencher.NewTrace(st, time.Hour, utilisation, 7)
	require.Equal(t, one, bencher.NewTrace(st, time.Hour, utilisation, 7))
	require.NotEqual(t, one, bencher.NewTrace(st, time.Hour, utilisation, 8))
}
