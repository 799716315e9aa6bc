package commander

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/internal/bencher"
	"github.com/lagoonpass/lagoonpass/internal/demonstrator"
)

// demoCommand runs a whole deployment in one process.
type demoCommand struct {
	deployment string
	// length is the time during which requests arrive.
	length time.Duration
	// perSecond is the mean rate of requests.
	perSecond float64
	seed      uint64
	output    string
	// verbose keeps the nodes' logs below the error level.
	verbose bool
}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string { return "run a whole deployment in this process, on loopback" }

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string {
	return "demo [-deployment harwick-pell|qurum] [-length 20s] [-rate N] [-seed N] [-output text|json]\n"
}

// SetFlags implements subcommands.Command.
func (dc *demoCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&dc.deployment, "deployment", "harwick-pell", "which example to run")
	fs.DurationVar(&dc.length, "length", 20*time.Second, "how long requests arrive")
	fs.Float64Var(&dc.perSecond, "rate", 60, "requests a second")
	fs.Uint64Var(&dc.seed, "seed", 1, "seed of the arrivals")
	fs.StringVar(&dc.output, "output", "text", "text or json")
	fs.BoolVar(&dc.verbose, "verbose", false, "show the nodes' logs")
}

// Execute implements subcommands.Command.
func (dc *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !dc.verbose {
		log.SetLevel(log.ErrorLevel)
	}
	rs, err := dc.run(ctx)
	if err != nil {
		return printError(subcommands.ExitFailure, "%v", err)
	}
	if dc.output == "json" {
		err = rs.WriteJSON(os.Stdout)
	} else {
		rs.WriteTable(os.Stdout)
	}
	switch {
	case err != nil:
		return printError(subcommands.ExitFailure, "%v", err)
	case len(rs.Violations()) > 0:
		return ExitInvariant
	}
	return subcommands.ExitSuccess
}

func (dc *demoCommand) run(ctx context.Context) (*bencher.Result, error) {
	dm, err := demonstrator.Start(ctx, dc.deployment)
	if err != nil {
		return nil, err
	}
	defer dm.Stop()
	if err := dm.AwaitReady(ctx, progressPrinter("models reachable")); err != nil {
		return nil, err
	}
	return dm.Drive(ctx,
		bencher.WithLength(dc.length),
		bencher.WithRate(dc.perSecond),
		bencher.WithSeed(dc.seed),
		bencher.WithProgress(progressPrinter("requests sent")))
}

// progressPrinter returns a function that updates one line of progress on the
// standard error.
func progressPrinter(what string) func(done, all int) {
	return func(done, all int) {
		fmt.Fprintf(os.Stderr, "\r%d of %d %s ", done, all, what)
		if done == all {
			fmt.Fprintln(os.Stderr)
		}
	}
}
