package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
)

// newAdmitter returns the node's admitter.
func (nd *Node) newAdmitter(hl admitter.Health) *admitter.Admitter {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	id := nd.identity
	return admitter.New(nd.watcher, hl, random,
		admitter.WithNodes(nd.liveNodes),
		admitter.WithCounters(nd.registry),
		admitter.WithScheduler(admitter.WithLocation(id.ID(), id.Zone(), id.Region()), admitter.WithQuota(callerQuota{&nd.limits})),
	)
}

// liveNodes counts the nodes that send work, this one included.
func (nd *Node) liveNodes() int {
	count := 0
	for _, mb := range nd.prober.View().Members() {
		if mb.State != prober.Dead {
			count++
		}
	}
	return max(count, 1)
}

// exchangeLoad tells the owners of the backend servers in use what this node
// has there, and learns what the others have.
func (nd *Node) exchangeLoad(ctx context.Context) {
	vw := nd.prober.View()
	owner := func(server string) (address string, self, ok bool) {
		mb, ok := vw.Owner("worker/" + server)
		return mb.PeerAddress, mb.ID == vw.Self(), ok
	}
	nd.exchange.Round(ctx, time.Now, nd.admitter.Outstanding(), owner, nd.pool)
}
