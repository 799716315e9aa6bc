package keyspacerunner

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

const (
	// unservedInterval is the window over which unserved models are counted.
	unservedInterval = 5 * time.Second
	// maxUnservedLogged is how many unserved models and adapters a log line names.
	maxUnservedLogged = 12
)

// reportUnserved logs the models and adapters that callers of this node asked
// for and that were not served at all in the last interval.
func (rn *Runner) reportUnserved(ctx context.Context) error {
	waiter.Every(ctx, unservedInterval, func() {
		unserved := rn.tally.Unserved()
		rn.registry.Set(int64(len(unserved)), "unserved", "names")
		if len(unserved) == 0 {
			return
		}
		var names strings.Builder
		for _, un := range unserved[:min(maxUnservedLogged, len(unserved))] {
			fmt.Fprintf(&names, "%s:%d:%s ", un.Name, un.Asked, un.Reason)
		}
		log.WithField("count", len(unserved)).WithField("names", strings.TrimSpace(names.String())).
			Warn("models or adapters are asked for and not served")
	})
	return nil
}
