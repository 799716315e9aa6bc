package commander

import (
	"context"
	"flag"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// diffCommand compares a folder of settings with a revision.
type diffCommand struct {
	storeFlag
	outputFlag
	revision int64
}

// Name implements subcommands.Command.
func (*diffCommand) Name() string { return "diff" }

// Synopsis implements subcommands.Command.
func (*diffCommand) Synopsis() string { return "show what a folder of settings would change" }

// Usage implements subcommands.Command.
func (*diffCommand) Usage() string {
	return "diff [-store URL] [-revision N] [-output text|json] FOLDER\n" +
		"Ends with 0 if nothing differs and with 8 if something does.\n"
}

// SetFlags implements subcommands.Command.
func (dc *diffCommand) SetFlags(fs *flag.FlagSet) {
	dc.addStoreFlag(fs)
	dc.addOutputFlag(fs)
	fs.Int64Var(&dc.revision, "revision", latestRevision, "revision to compare with; -1 for the latest")
}

// Execute implements subcommands.Command.
func (dc *diffCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 1 || !dc.valid() {
		return printUsage(dc)
	}
	files, err := configurer.Files(fs.Arg(0))
	if err != nil {
		return dc.fail(subcommands.ExitFailure, err)
	}
	number, before, err := dc.loadFiles(ctx)
	if err != nil {
		return dc.fail(storeExitCode(err), err)
	}
	changes := publisher.Difference(before, files)
	dc.print(number, changes)
	if len(changes) > 0 {
		return ExitDiffers
	}
	return subcommands.ExitSuccess
}

// loadFiles returns the number and the files of the revision to compare with, 0
// and none before the first revision.
func (dc *diffCommand) loadFiles(ctx context.Context) (int64, []configurer.File, error) {
	rv, err := dc.load(ctx, dc.revision)
	if errors.Is(err, publisher.ErrNoRevision) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	return rv.Number(), rv.Files(), nil
}

func (dc *diffCommand) print(number int64, changes []publisher.Change) {
	if dc.isJSON() {
		printJSON(map[string]any{"revision": number, "changes": changeFields(changes)})
		return
	}
	for _, ch := range changes {
		printf("%s\n", ch)
	}
	printf("%d keys differ from revision %d\n", len(changes), number)
}
