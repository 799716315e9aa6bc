package commander

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/soaker"
)

// soakCommand runs entry nodes with seeded random faults, in real time.
type soakCommand struct {
	// seed is the seed of the first run; each further run adds 1.
	seed uint64
	// count is the number of runs.
	count int
	// nodes is the number of entry nodes.
	nodes int
	// length is the time of traffic and faults in each run.
	length time.Duration
	// faults lists the kinds of faults, separated by commas.
	faults string
}

// Name implements subcommands.Command.
func (*soakCommand) Name() string { return "soak" }

// Synopsis implements subcommands.Command.
func (*soakCommand) Synopsis() string {
	return "run entry nodes in this process with random faults and check every promise"
}

// Usage implements subcommands.Command.
func (*soakCommand) Usage() string {
	return "soak [-seed N] [-count N] [-nodes N] [-length DURATION] [-faults all|none|LIST]\n"
}

// SetFlags implements subcommands.Command.
func (sc *soakCommand) SetFlags(fs *flag.FlagSet) {
	fs.Uint64Var(&sc.seed, "seed", 1, "first seed")
	fs.IntVar(&sc.count, "count", 1, "number of runs, one after the other")
	fs.IntVar(&sc.nodes, "nodes", 4, "number of entry nodes")
	fs.DurationVar(&sc.length, "length", 30*time.Second, "how long traffic and faults go on in each run")
	fs.StringVar(&sc.faults, "faults", "all", "kinds of faults, separated by commas")
}

// Execute implements subcommands.Command.
func (sc *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	faults, err := soaker.ParseFaults(sc.faults)
	if err != nil {
		return printError(subcommands.ExitUsageError, "%v", err)
	}
	log.SetLevel(log.ErrorLevel)
	code := subcommands.ExitSuccess
	for ix := range sc.count {
		if ctx.Err() != nil {
			return printError(subcommands.ExitFailure, "%v", ctx.Err())
		}
		checker.Reset()
		sk := soaker.New(sc.seed+uint64(ix), soaker.WithNodes(sc.nodes), soaker.WithLength(sc.length), soaker.WithFaults(faults...))
		if !printRun(sk.Run(ctx)) {
			code = ExitInvariant
		}
	}
	return code
}

// printRun prints the report of a run and reports whether every invariant held.
func printRun(rp *soaker.Report) bool {
	counts := rp.Counts()
	fmt.Printf("seed %d\n", rp.Seed())
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Printf("  %-32s %d\n", name, counts[name])
	}
	for _, fd := range rp.Findings() {
		fmt.Printf("  BROKEN %s\n", fd)
	}
	for _, vl := range checker.Violations() {
		fmt.Printf("  BROKEN %s: %s\n", vl.Invariant, vl.Detail)
	}
	return len(rp.Findings()) == 0 && len(checker.Violations()) == 0
}
