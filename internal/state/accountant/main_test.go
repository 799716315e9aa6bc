package accountant_test

import (
	"os"
	"testing"

	"github.com/lagoonpass/lagoonpass/internal/standin/seeder"
)

// TestMain runs the tests with a fixed random seed unless a seed is given.
func TestMain(m *testing.M) { os.Exit(seeder.Run(m, 41)) }
