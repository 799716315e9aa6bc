// Package seeder fixes the seed of a package's property tests, so that each run
// has the same result.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(seeder.Run(m, 41)) }
//
// A seed on the command line, such as -rapid.seed=7, takes precedence.
package seeder

import (
	"flag"
	"strconv"
)

// seedFlag is the seed flag of the property testing library rapid.
const seedFlag = "rapid.seed"

// Runner runs the tests of a package. *testing.M implements it.
type Runner interface {
	// Run runs the tests and returns the exit code.
	Run() int
}

// Run parses the flags, sets the seed unless the command line does, runs the
// tests and returns their exit code. It panics if the seed flag rejects the seed.
func Run(rn Runner, seed uint64) int {
	flag.Parse()
	fl := flag.Lookup(seedFlag)
	if fl != nil && fl.Value.String() == fl.DefValue {
		if err := flag.Set(seedFlag, strconv.FormatUint(seed, 10)); err != nil {
			panic(err)
		}
	}
	return rn.Run()
}
