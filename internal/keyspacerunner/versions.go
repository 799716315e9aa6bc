package keyspacerunner

import (
	"context"
	"strconv"
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
	st, err := sv.rn.binding.EngineClient.State(ctx, pr.Server, address)
	return err == nil && st.Boot == strconv.FormatInt(pr.Incarnation, 10)
}
