package dispatcher_test

import (
	"os"
	"testing"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/standin/seeder"
)

// TestMain silences the log, also that of timers which outlive a test, and fixes
// the seed of random tests unless one is given.
func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	os.Exit(seeder.Run(m, 41))
}
