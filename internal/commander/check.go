package commander

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// checkCommand checks a folder of settings.
type checkCommand struct{}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check a folder of settings" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string { return "check FOLDER\n" }

// SetFlags implements subcommands.Command.
func (*checkCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*checkCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 1 {
		return complain(subcommands.ExitUsageError, "check wants one folder")
	}
	st, faults, err := configurer.ReadFolder(fs.Arg(0))
	if err != nil {
		return complain(subcommands.ExitFailure, "%v", err)
	}
	if st != nil {
		faults = planner.Verify(st)
	}
	for _, ft := range faults {
		fmt.Println(ft.Error())
	}
	if len(faults) > 0 {
		return ExitFaults
	}
	fmt.Printf("%s: %d models, %d adapters, %d backend servers, %d callers: no fault\n",
		fs.Arg(0), len(st.Models()), len(st.Adapters()), len(st.BackendServers()), len(st.Callers()))
	return subcommands.ExitSuccess
}
