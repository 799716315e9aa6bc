package runner

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// releaseTimeout bounds the release of all claims at a planned stop.
const releaseTimeout = 3 * time.Second

// Every node may make at least this many store calls a second, because the few
// nodes that poll or hold claims need more than an even share.
const (
	minStoreReads  = 8
	minStoreWrites = 4
)

// limitStoreCalls sets the node's share of the store calls.
func (nd *Node) limitStoreCalls(lm *configurer.Limits) {
	alive := 0
	for _, mb := range nd.prober.View().Members() {
		if mb.State != prober.Dead {
			alive++
		}
	}
	nodes := float64(max(alive, 1))
	nd.callBudget.Set(max(lm.StoreReadsPerSecond()/nodes, minStoreReads), max(lm.StoreWritesPerSecond()/nodes, minStoreWrites))
}

// handleMembership answers messages about members, claims and the configuration
// in force.
func (nd *Node) handleMembership(ctx context.Context, call messenger.Message) (messenger.Message, error) {
	switch ms := call.(type) {
	case *messenger.Release:
		return nd.claimer.Handle(ctx, ms)
	case *messenger.RevisionFetch:
		return nd.holder.Handle(ms)
	default:
		return nd.prober.Handle(ctx, call)
	}
}

// leaveMembership tells the peers that the node is leaving, and releases its
// claims.
func (nd *Node) leaveMembership() {
	nd.prober.Announce()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	nd.claimer.ReleaseAll(ctx)
}
