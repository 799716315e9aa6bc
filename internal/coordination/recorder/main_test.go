package recorder

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of random runs unless one was given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "41")
	}
	os.Exit(m.Run())
}
