package orderer

import (
	"os"
	"testing"

	"github.com/lagoonpass/lagoonpass/internal/standin/seeder"
)

// TestMain sets a fixed seed for random runs unless one is given.
func TestMain(m *testing.M) { os.Exit(seeder.Run(m, 41)) }
