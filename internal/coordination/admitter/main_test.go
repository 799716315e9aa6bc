package admitter

import (
	"os"
	"testing"

	"github.com/lagoonpass/lagoonpass/internal/standin/seeder"
)

// TestMain fixes the seed of random runs unless one was given.
func TestMain(m *testing.M) { os.Exit(seeder.Run(m, 41)) }
