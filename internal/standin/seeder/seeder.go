// Package seeder fixes the seed of a package's random tests, so that they give
// the same verdict every time.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(seeder.Run(m, 41)) }
//
// A seed on the command line, as in -rapid.seed=7, goes first.
package seeder

import (
	"flag"
	"strconv"
)

// seedFlag is the flag of the library for property tests.
const seedFlag = "rapid.seed"

// Runner runs the tests of a package.
type Runner interface {
	// Run returns the exit code.
	Run() int
}

// Run runs the tests with a fixed seed unless one was given.
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
