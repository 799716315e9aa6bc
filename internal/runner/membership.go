package runner

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// releaseTimeout bounds the release of claims at a planned stop.
const releaseTimeout = 3 * time.Second

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
