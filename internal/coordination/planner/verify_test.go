package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

func TestVerifyReportsRequiredAndAvailableMemory(t *testing.T) {
	require.Empty(t, planner.Verify(newSettings(t, 3, 4, func(int) int { return 20 })))
	st := newSettings(t, 3, 4, func(model int) int { return 20 + model*10 })
	var texts []string
	for _, ft := range planner.Verify(st) {
		texts = append(texts, ft.Error())
	}
	const arithmetic = "; allowed: room for every replica; the least replicas of all models take 286720MiB of 196608MiB; " +
		"the most that is left on one of 3 backend servers is 14336MiB"
	require.Equal(t, []string{
		`fleet.ini:26: [model.m0000] memory: found "1 of 2 replicas placed, 20480MiB each"` + arithmetic,
		`fleet.ini:28: [model.m0001] memory: found "0 of 2 replicas placed, 30720MiB each"` + arithmetic,
		`fleet.ini:30: [model.m0002] memory: found "1 of 2 replicas placed, 40960MiB each"` + arithmetic,
	}, texts)
}

func TestVerifyReportsModelLargerThanAnyServer(t *testing.T) {
	st, faults := configurer.Parse([]configurer.File{{Name: "a.ini", Text: "[model.huge]\nmemory = 1TiB\n"}})
	require.Empty(t, faults)
	require.Len(t, planner.Verify(st), 1)
}
