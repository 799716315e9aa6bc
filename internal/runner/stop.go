package runner

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/checker"
)

// defaultDrain bounds a planned stop before any configuration is in force.
const defaultDrain = 10 * time.Second

// shutdown is a planned stop. The node first says that it leaves, so that no
// address answer names it any more; it goes on serving until the last answer
// that named it has run out; then it takes no new connection and waits for the
// requests in progress. Peers are served all the time.
func (nd *Node) shutdown() {
	defer close(nd.drained)
	nd.leaving.Store(true)
	nd.stopJobs()
	notice, drain := nd.stopTimes()
	log.WithField("node", nd.identity.ID()).WithField("notice", notice.String()).Info("node is leaving")
	select {
	case <-nd.pause(notice):
	case <-nd.aborted:
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer cancel()
		select {
		case <-nd.pause(drain):
		case <-nd.aborted:
		case <-ctx.Done():
		}
	}()
	err := nd.web.Shutdown(ctx)
	nd.stopRecords(ctx)
	if nd.isAborted() {
		return
	}
	cut := nd.server.InFlight()
	checker.Assert(checker.GracefulStop, err == nil && cut == 0, "planned stop of %s cuts off %d requests: %v", nd.identity.ID(), cut, err)
}

// stopTimes returns how long address answers that name the node may still be
// in use, and how long requests in progress are waited for. Peers give such
// answers until they have noticed that the node leaves.
func (nd *Node) stopTimes() (notice, drain time.Duration) {
	st := nd.settings()
	if st == nil {
		return 0, defaultDrain
	}
	return st.Limits().AddressAnswerLifetime() + st.Timeouts().PeerSilence(), st.Timeouts().Drain()
}

// Abort cuts a planned stop short: requests in progress are cut off.
func (nd *Node) Abort() { nd.abortOnce.Do(func() { close(nd.aborted) }) }

func (nd *Node) isAborted() bool {
	select {
	case <-nd.aborted:
		return true
	default:
		return false
	}
}
