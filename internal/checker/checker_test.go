package checker_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
)

func TestAssertRecordsViolations(t *testing.T) {
	defer checker.Reset()
	checker.Reset()
	checker.Assert(checker.AtMostOnce, true, "never recorded")
	require.Empty(t, checker.Violations())
	checker.Assert(checker.AtMostOnce, false, "sent %d times", 2)
	require.Equal(t, []checker.Violation{{checker.AtMostOnce, "sent 2 times"}}, checker.Violations())
}
