package keyspacerunner

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/versionkeeper"
)

// confirmTimeout bounds the question which process a server is.
const confirmTimeout = 200 * time.Millisecond

// serverVersions implements dispatcher.Versions.
type serverVersions struct {
	*versionkeeper.Keeper
	rn *Runner
}

// Confirm implements dispatcher.Versions. A report that comes after an answer from the
// process shows that no later one had given the answer.
func (sv serverVersions) Confirm(ctx context.Context, pr versionkeeper.Process, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	number, ok := sv.rn.askIncarnation(ctx, pr.Server, address)
	return ok && number == pr.Incarnation
}
