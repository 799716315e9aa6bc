package commander

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// settingsCommand prints the reference of the settings.
type settingsCommand struct{}

// Name implements subcommands.Command.
func (*settingsCommand) Name() string { return "settings" }

// Synopsis implements subcommands.Command.
func (*settingsCommand) Synopsis() string { return "print the reference of all settings" }

// Usage implements subcommands.Command.
func (*settingsCommand) Usage() string { return "settings\n" }

// SetFlags implements subcommands.Command.
func (*settingsCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (sc *settingsCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 0 {
		return printUsage(sc)
	}
	printf("%s", configurer.Reference())
	return subcommands.ExitSuccess
}
