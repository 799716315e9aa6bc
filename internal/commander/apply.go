package commander

import (
	"context"
	"flag"
	"fmt"
	"os/user"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// defaultStore is where the stand-in platform listens.
const defaultStore = "http://127.0.0.1:2379"

// latest asks for the revision in the store as the base of a new one.
const latest = -1

// applyCommand writes a folder of settings as a new revision.
type applyCommand struct {
	store string
	base  int64
}

// Name implements subcommands.Command.
func (*applyCommand) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (*applyCommand) Synopsis() string { return "put a folder of settings in force" }

// Usage implements subcommands.Command.
func (*applyCommand) Usage() string { return "apply [-store URL] [-base REVISION] FOLDER\n" }

// SetFlags implements subcommands.Command.
func (ac *applyCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&ac.store, "store", defaultStore, "base URL of the platform's store")
	fs.Int64Var(&ac.base, "base", latest, "revision that the change was made from; -1 for the latest")
}

// Execute implements subcommands.Command.
func (ac *applyCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 1 {
		return complain(subcommands.ExitUsageError, "apply wants one folder")
	}
	files, err := configurer.Files(fs.Arg(0))
	if err != nil {
		return complain(subcommands.ExitFailure, "%v", err)
	}
	st := storer.NewClient(ac.store)
	base, err := ac.findBase(ctx, st)
	if err != nil {
		return complain(ExitUnreachable, "%v", err)
	}
	rv, err := publisher.Apply(ctx, st, files, author(), base)
	switch {
	case errors.Is(err, publisher.ErrRaced):
		return complain(ExitRaced, "%v", err)
	case errors.Is(err, publisher.ErrInvalid):
		return complain(ExitFaults, "%v", err)
	case err != nil:
		return complain(ExitUnreachable, "%v", err)
	}
	fmt.Printf("revision %d applied\n", rv.Number())
	return subcommands.ExitSuccess
}

func (ac *applyCommand) findBase(ctx context.Context, st storer.Store) (int64, error) {
	if ac.base != latest {
		return ac.base, nil
	}
	rv, err := publisher.Load(ctx, st)
	if errors.Is(err, publisher.ErrNone) {
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
