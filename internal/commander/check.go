package commander

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// checkCommand checks a folder of settings.
type checkCommand struct {
	outputFlag
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check a folder of settings" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string { return "check [-output text|json] FOLDER\n" }

// SetFlags implements subcommands.Command.
func (cc *checkCommand) SetFlags(fs *flag.FlagSet) { cc.addOutputFlag(fs) }

// Execute implements subcommands.Command.
func (cc *checkCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 1 || !cc.valid() {
		return printUsage(cc)
	}
	st, faults, err := configurer.ReadFolder(fs.Arg(0))
	if err != nil {
		return cc.fail(subcommands.ExitFailure, err)
	}
	if st != nil {
		faults = planner.Verify(st)
	}
	cc.print(fs.Arg(0), st, faults)
	if len(faults) > 0 {
		return ExitFaults
	}
	return subcommands.ExitSuccess
}

func (cc *checkCommand) print(folder string, st *configurer.Settings, faults []configurer.Fault) {
	if cc.isJSON() {
		printJSON(map[string]any{"faults": faultFields(faults)})
		return
	}
	for _, ft := range faults {
		printf("%s\n", ft.Error())
	}
	if len(faults) == 0 {
		printf("%s: %d models, %d adapters, %d backend servers, %d callers: no fault\n",
			folder, len(st.Models()), len(st.Adapters()), len(st.BackendServers()), len(st.Callers()))
	}
}
