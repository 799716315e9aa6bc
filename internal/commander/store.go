package commander

import (
	"context"
	"flag"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// defaultStore is the default base URL of the store that the stand-in platform
// serves.
const defaultStore = "http://127.0.0.1:2379"

// latestRevision selects the latest revision in the store.
const latestRevision = -1

// storeFlag is embedded in the commands that read the platform's store.
type storeFlag struct {
	store string
}

func (sf *storeFlag) addStoreFlag(fs *flag.FlagSet) {
	fs.StringVar(&sf.store, "store", defaultStore, "base URL of the platform's store")
}

func (sf *storeFlag) client() storer.Store { return storer.NewClient(sf.store) }

// load returns the revision with the number, or the latest for latestRevision.
func (sf *storeFlag) load(ctx context.Context, number int64) (*publisher.Revision, error) {
	if number == latestRevision {
		return publisher.Load(ctx, sf.client())
	}
	return publisher.LoadRevision(ctx, sf.client(), number)
}

// storeExitCode returns the exit code for an error of reading revisions:
// ExitFailure for a missing or corrupt revision, ExitUnreachable otherwise.
func storeExitCode(err error) subcommands.ExitStatus {
	switch {
	case errors.Is(err, publisher.ErrNoRevision), errors.Is(err, publisher.ErrNotFound), errors.Is(err, publisher.ErrCorrupt):
		return subcommands.ExitFailure
	default:
		return ExitUnreachable
	}
}
