package demonstrator

import (
	"context"

	"github.com/go-faster/errors"
)

// FastLoads keeps the weight store's limits from making the start of a test
// take as long as the loads would.
const FastLoads = "weight-loads-per-second = 1000\nweight-loads-at-once = 16"

// AskAdapters asks every adapter once through each node.
func (dm *Demo) AskAdapters(ctx context.Context) error {
	for _, address := range dm.Addresses() {
		for _, ad := range dm.settings.Adapters() {
			if _, err := dm.ask(ctx, address, ad.Name(), 1); err != nil {
				return errors.Wrapf(err, "adapter %q", ad.Name())
			}
		}
	}
	return nil
}
