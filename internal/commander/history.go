package commander

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
)

// shortHashDigits is the number of digits of a hash in the text output.
const shortHashDigits = 12

// historyCommand lists the revisions that the store keeps.
type historyCommand struct {
	storeFlag
	outputFlag
}

// Name implements subcommands.Command.
func (*historyCommand) Name() string { return "history" }

// Synopsis implements subcommands.Command.
func (*historyCommand) Synopsis() string { return "list the revisions that are kept, the latest first" }

// Usage implements subcommands.Command.
func (*historyCommand) Usage() string { return "history [-store URL] [-output text|json]\n" }

// SetFlags implements subcommands.Command.
func (hc *historyCommand) SetFlags(fs *flag.FlagSet) {
	hc.addStoreFlag(fs)
	hc.addOutputFlag(fs)
}

// Execute implements subcommands.Command.
func (hc *historyCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 0 || !hc.valid() {
		return printUsage(hc)
	}
	lines, err := publisher.History(ctx, hc.client())
	if err != nil {
		return hc.fail(storeExitCode(err), err)
	}
	hc.print(lines)
	return subcommands.ExitSuccess
}

func (hc *historyCommand) print(lines []publisher.Summary) {
	if hc.isJSON() {
		list := []map[string]any{}
		for _, sm := range lines {
			list = append(list, map[string]any{"revision": sm.Number, "author": sm.Author, "hash": sm.Hash})
		}
		printJSON(map[string]any{"revisions": list})
		return
	}
	for _, sm := range lines {
		printf("%6d  %.*s  %s\n", sm.Number, shortHashDigits, sm.Hash, sm.Author)
	}
}
