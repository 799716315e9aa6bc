package runner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/watcher"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

// newAdmitter returns the node's admitter.
func (nd *Node) newAdmitter(hl admitter.Health) *admitter.Admitter {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	id := nd.identity
	return admitter.New(nd.watcher, hl, random,
		admitter.WithNodes(nd.liveNodes),
		admitter.WithCounters(nd.registry),
		admitter.WithScheduler(admitter.WithReachability(nd.downs), admitter.WithLocation(id.ID(), id.Zone(), id.Region())),
	)
}

// liveNodes counts the nodes that may send requests, including this one.
func (nd *Node) liveNodes() int {
	count := 0
	for _, mb := range nd.prober.View().Members() {
		if mb.State != prober.Dead {
			count++
		}
	}
	return max(count, 1)
}

// newWatcher returns the node's watcher, which polls the servers that it owns.
func (nd *Node) newWatcher() *watcher.Watcher {
	opts := []watcher.Option{
		watcher.WithExchange(nd.exchange),
		watcher.WithOwns(func(server string) bool { return nd.prober.View().OwnsServer(server) }),
		watcher.WithGossiper(nd.prober.Gossiper()),
		watcher.WithListedLeaving(nd.prober.LeavingBackends),
		watcher.WithListReadCount(nd.prober.ListReadCount),
		watcher.WithRegistry(nd.registry),
	}
	if nd.network.Dial != nil {
		opts = append(opts, watcher.WithTransport(&http.Transport{DialContext: nd.network.Dial}))
	}
	return watcher.New(opts...)
}

// watch polls backend servers until the context ends.
func (nd *Node) watch(ctx context.Context) error {
	return nd.watcher.Run(ctx, nd.settings)
}

// exchangeLoads exchanges loads with peers until the context ends.
func (nd *Node) exchangeLoads(ctx context.Context) error {
	waiter.Every(ctx, controlInterval, func() {
		if nd.holder.Current() != nil {
			nd.exchangeLoad(ctx)
		}
	})
	return nil
}

// exchangeLoad sends the owners of backend servers this node's load on them,
// and receives the load of the other nodes.
func (nd *Node) exchangeLoad(ctx context.Context) {
	nd.exchange.Round(ctx, time.Now, nd.admitter.Outstanding(), nd.prober.View().ServerOwner, nd.pool)
}
