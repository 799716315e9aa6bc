package tallier_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/tallier"
)

func TestUnservedNamesAreReportedOncePerWindow(t *testing.T) {
	tl := tallier.New()
	for range 3 {
		tl.Unanswered("m1/a1", "no-worker")
		tl.Unanswered("m1/a2", "no-worker")
	}
	tl.Unanswered("m1/a1", "deadline-unreachable")
	tl.Unanswered("m2", "no-worker")
	tl.Answered("m1/a2")
	require.Equal(t, []tallier.Unserved{{Name: "m1/a1", Asked: 4, Reason: "no-worker"}}, tl.Unserved())
	require.Empty(t, tl.Unserved())
}

func TestNilTallyCountsNothing(*testing.T) {
	var tl *tallier.Tally
	tl.Answered("m1")
	tl.Unanswered("m1", "no-worker")
}
