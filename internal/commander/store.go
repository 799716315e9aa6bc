package commander

import (
	"context"
	"flag"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// defaultStore is where the stand-in platform listens.
const defaultStore = "http://127.0.0.1:2379"

// latest asks for the revision in the store as the base of a new one.
const latest = -1

// storeFlag is embedded in the commands that read the platform's store.
type storeFlag struct {
	store string
}

func (sf *storeFlag) setStore(fs *flag.FlagSet) {
	fs.StringVar(&sf.store, "store", defaultStore, "base URL of the platform's store")
}

func (sf *storeFlag) client() storer.Store { return storer.NewClient(sf.store) }

// load returns one revision, or the latest one.
func (sf *storeFlag) load(ctx context.Context, number int64) (*publisher.Revision, error) {
	if number == latest {
		return publisher.Load(ctx, sf.client())
	}
	return publisher.LoadRevision(ctx, sf.client(), number)
}

// storeCode returns the exit code for an error of reading revisions.
func storeCode(err error) subcommands.ExitStatus {
	switch {
	case errors.Is(err, publisher.ErrNoRevision), errors.Is(err, publisher.ErrNotFound), errors.Is(err, publisher.ErrCorrupt):
		return subcommands.ExitFailure
	default:
		return ExitUnreachable
	}
}
