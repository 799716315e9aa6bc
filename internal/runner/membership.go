package runner

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// releaseTimeout bounds the release of claims at a planned stop.
const releaseTimeout = 3 * time.Second

// A node may always make this many calls of the store a second, since the few
// that poll or hold something need more than an even share.
const (
	minStoreReads  = 8
	minStoreWrites = 4
)

// shareStore sets the node's allowance of store calls to its share.
func (nd *Node) shareStore(lm *configurer.Limits) {
	alive := 0
	for _, mb := range nd.prober.View().Members() {
		if mb.State != prober.Dead {
			alive++
		}
	}
	nodes := float64(max(alive, 1))
	nd.allowance.Set(max(lm.StoreReadsPerSecond()/nodes, minStoreReads), max(lm.StoreWritesPerSecond()/nodes, minStoreWrites))
}

// handleMembership answers the messages about members, claims and the
// configuration in force.
func (nd *Node) handleMembership(ctx context.Context, call messenger.Message) (messenger.Message, error) {
	switch ms := call.(type) {
	case *messenger.Release:
		return nd.claimer.Handle(ctx, ms)
	case *messenger.Fetch:
		return nd.holder.Handle(ms)
	default:
		return nd.prober.Handle(ctx, call)
	}
}

// leaveMembership tells the peers that the node is leaving and gives up what
// it holds.
func (nd *Node) leaveMembership() {
	nd.prober.Announce()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	nd.claimer.ReleaseAll(ctx)
}
