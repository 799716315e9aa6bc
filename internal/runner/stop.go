package runner

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/checker"
)

// defaultDrain bounds a planned stop while no configuration is in force.
const defaultDrain = 10 * time.Second

// shutdown performs a planned stop. The node first announces that it is
// leaving, so that new address answers omit it. It serves callers until the
// last answer that contains it has expired. Then it accepts no new connections
// and waits for the requests in flight. It serves peers until the end.
func (nd *Node) shutdown() {
	defer close(nd.drained)
	nd.callers.Leave()
	nd.leaving.Store(true)
	nd.stopJobs()
	notice, drain := nd.stopTimes()
	log.WithField("node", nd.identity.ID()).WithField("notice", notice.String()).Info("node is leaving")
	select {
	case <-nd.after(notice):
	case <-nd.aborted:
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer cancel()
		select {
		case <-nd.after(drain):
		case <-nd.aborted:
		case <-ctx.Done():
		}
	}()
	err := nd.callers.Shutdown(ctx, nd.web)
	nd.stopRecords(ctx)
	if nd.isAborted() {
		return
	}
	cut := nd.server.InFlight()
	checker.Assert(checker.GracefulStop, err == nil && cut == 0, "planned stop of %s cuts off %d requests: %v", nd.identity.ID(), cut, err)
}

// stopTimes returns how long address answers that contain the node may be in
// use, and how long the node waits for requests in flight. Peers give such
// answers until they have noticed that the node is leaving.
func (nd *Node) stopTimes() (notice, drain time.Duration) {
	st := nd.settings()
	if st == nil {
		return 0, defaultDrain
	}
	return st.Limits().AddressAnswerLifetime() + st.Timeouts().PeerSilence(), st.Timeouts().Drain()
}

// Abort ends a planned stop at once and breaks off the requests in flight.
func (nd *Node) Abort() { nd.abortOnce.Do(func() { close(nd.aborted) }) }

func (nd *Node) isAborted() bool {
	select {
	case <-nd.aborted:
		return true
	default:
		return false
	}
}
