package runner

import (
	"context"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// handleMembership answers the messages about members, claims and the
// configuration in force.
func (nd *Node) handleMembership(ctx context.Context, call messenger.Message) (messenger.Message, error) {
	return nd.prober.Handle(ctx, call)
}
