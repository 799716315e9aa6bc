package runner

import (
	"math/rand/v2"

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
		admitter.WithScheduler(admitter.WithLocation(id.ID(), id.Zone(), id.Region())),
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
