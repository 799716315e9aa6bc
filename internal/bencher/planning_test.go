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

func settings(t *testing.T, deployment string) *configurer.Settings {
	t.Helper()
	files, err := examples.Files(deployment)
	require.NoError(t, err)
	st, faults := configurer.Parse(files)
	require.Empty(t, faults)
	return st
}

// TestPlannerOnTraces holds the planner to its targets: with Harwick & Pell's
// weights a fifth of the proportional planner's moves at no less attainment,
// with Qurum's more attainment per accelerator than either naive planner.
func TestPlannerOnTraces(t *testing.T) {
	hp := bencher.SweepPlanning(settings(t, "harwick-pell"), traceLength, utilisation, 1, seeds)
	require.LessOrEqual(t, hp["planner"].Moves*5, hp["proportional"].Moves)
	require.GreaterOrEqual(t, hp["planner"].Attainment, hp["proportional"].Attainment)
	qu := bencher.SweepPlanning(settings(t, "qurum"), traceLength, utilisation, 1, seeds)
	require.Greater(t, qu["planner"].PerAccelerator, qu["proportional"].PerAccelerator)
	require.Greater(t, qu["planner"].PerAccelerator, qu["fixed"].PerAccelerator)
}

func TestTraceIsTheSameForTheSameSeed(t *testing.T) {
	st := settings(t, "qurum")
	one := bencher.NewTrace(st, time.Hour, utilisation, 7)
	require.Equal(t, one, bencher.NewTrace(st, time.Hour, utilisation, 7))
	require.NotEqual(t, one, bencher.NewTrace(st, time.Hour, utilisation, 8))
}
