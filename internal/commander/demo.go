package commander

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/internal/demonstrator"
)

// demoCommand runs a whole deployment in one process.
type demoCommand struct {
	deployment string
}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string { return "run a whole deployment in this process, on loopback" }

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string { return "demo [-deployment harwick-pell|qurum]\n" }

// SetFlags implements subcommands.Command.
func (dc *demoCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&dc.deployment, "deployment", "harwick-pell", "which example to run")
}

// Execute implements subcommands.Command.
func (dc *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	dm, err := demonstrator.Start(ctx, dc.deployment)
	if err != nil {
		return complain(subcommands.ExitFailure, "%v", err)
	}
	defer dm.Stop()
	if err := dm.AwaitReady(ctx); err != nil {
		return complain(subcommands.ExitFailure, "%v", err)
	}
	rs, err := dm.Drive(ctx)
	if err != nil {
		return complain(subcommands.ExitFailure, "%v", err)
	}
	fmt.Printf("%d whole answers, %d refusals, broken invariants: %v\n", rs.Whole, rs.Refused, rs.Broken)
	if len(rs.Broken) > 0 {
		return ExitInvariant
	}
	return subcommands.ExitSuccess
}
