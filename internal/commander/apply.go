package commander

import (
	"context"
	"flag"
	"os/user"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// applyCommand publishes a folder of settings as a new revision.
type applyCommand struct {
	storeFlag
	outputFlag
	// base is the revision that the change was made from, or latestRevision.
	base   int64
	author string
}

// Name implements subcommands.Command.
func (*applyCommand) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (*applyCommand) Synopsis() string { return "put a folder of settings in force" }

// Usage implements subcommands.Command.
func (*applyCommand) Usage() string {
	return "apply [-store URL] [-base REVISION] [-author NAME] [-output text|json] FOLDER\n"
}

// SetFlags implements subcommands.Command.
func (ac *applyCommand) SetFlags(fs *flag.FlagSet) {
	ac.addStoreFlag(fs)
	ac.addOutputFlag(fs)
	fs.Int64Var(&ac.base, "base", latestRevision, "revision that the change was made from; -1 for the latest")
	fs.StringVar(&ac.author, "author", author(), "who the history names")
}

// Execute implements subcommands.Command.
func (ac *applyCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 1 || !ac.valid() {
		return printUsage(ac)
	}
	files, err := configurer.Files(fs.Arg(0))
	if err != nil {
		return ac.fail(subcommands.ExitFailure, err)
	}
	if faults := verify(files); len(faults) > 0 {
		return ac.printFailure(&publisher.InvalidError{Faults: faults})
	}
	st := ac.client()
	base, err := ac.findBase(ctx, st)
	if err != nil {
		return ac.fail(storeExitCode(err), err)
	}
	rv, err := publisher.Apply(ctx, st, files, ac.author, base)
	if err != nil {
		return ac.printFailure(err)
	}
	if ac.isJSON() {
		printJSON(map[string]any{"revision": rv.Number(), "author": rv.Author(), "hash": rv.Hash()})
		return subcommands.ExitSuccess
	}
	printf("revision %d applied\n", rv.Number())
	return subcommands.ExitSuccess
}

// printFailure prints why a revision was not applied, or that the outcome is
// unknown, and returns the exit code.
func (ac *applyCommand) printFailure(err error) subcommands.ExitStatus {
	var invalid *publisher.InvalidError
	var conflict *publisher.ConflictError
	switch {
	case errors.As(err, &invalid):
		return ac.printFaults(invalid)
	case errors.As(err, &conflict):
		return ac.printConflict(conflict)
	case errors.Is(err, publisher.ErrUncertain):
		return ac.fail(ExitUncertain, errors.Wrap(err, "look at history before you apply again"))
	default:
		return ac.fail(ExitUnreachable, err)
	}
}

func (ac *applyCommand) printFaults(er *publisher.InvalidError) subcommands.ExitStatus {
	if ac.isJSON() {
		printJSON(map[string]any{"error": "invalid", "faults": faultFields(er.Faults)})
	}
	for _, ft := range er.Faults {
		printError(ExitFaults, "%s", ft.Error())
	}
	return printError(ExitFaults, "%d faults; nothing was applied", len(er.Faults))
}

func (ac *applyCommand) printConflict(er *publisher.ConflictError) subcommands.ExitStatus {
	if ac.isJSON() {
		printJSON(map[string]any{
			"error":    "raced",
			"base":     er.Base,
			"revision": er.Number,
			"author":   er.Author,
			"changes":  changeFields(er.Changes),
		})
	}
	printError(ExitConflict, "%v; nothing was applied", er)
	for _, ch := range er.Changes {
		printError(ExitConflict, "%s", ch)
	}
	return ExitConflict
}

// verify returns the faults of the files. If they parse, it returns the reasons
// why their models can't be placed.
func verify(files []configurer.File) []configurer.Fault {
	st, faults := configurer.Parse(files)
	if st == nil {
		return faults
	}
	return planner.Verify(st)
}

// findBase returns the number of the revision that the change was made from, or
// 0 before the first revision.
func (ac *applyCommand) findBase(ctx context.Context, st storer.Store) (int64, error) {
	if ac.base != latestRevision {
		return ac.base, nil
	}
	rv, err := publisher.Load(ctx, st)
	if errors.Is(err, publisher.ErrNoRevision) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return rv.Number(), nil
}

func author() string {
	us, err := user.Current()
	if err != nil {
		return "operator"
	}
	return us.Username
}
