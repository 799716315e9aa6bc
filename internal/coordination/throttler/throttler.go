// Package throttler keeps a node's requests within what backend servers say in
// their answers that they take.
//
// A limit holds for all nodes together. Nodes exchange no messages about it: each
// has an equal share, which it saves up to one request at most. If there are
// more nodes than a server's limit has room for, only some of them, chosen by the
// hash of server and node, send it requests; the shares of all others would add
// up to more than the limit as soon as each is used once.
//
// # Usage
//
//	th := throttler.New("n1", members)
//	th.Observe(now, "w1", sent, throttler.Signals{Limit: 1.5})
//	if th.Wait(now, "w1") == 0 {
//		th.Sent(now, "w1")
//	}
//
// A Throttler has no clock and no lock.
package throttler

import (
	"math"
	"time"
)

// Never is the wait for a server that takes no request of this node.
const Never time.Duration = math.MaxInt64

// Throttler holds what servers said to one node.
type Throttler struct {
	// node is the id of this node, and members returns those of all nodes.
	node    string
	members func() []string
}

// New returns a throttler of the node with this id. The function members returns
// the ids of the nodes that share limits.
func New(node string, members func() []string) *Throttler {
	return &Throttler{node: node, members: members}
}

// Observe records what a server said in its answer to a request that was sent at
// the given time.
func (*Throttler) Observe(time.Time, string, time.Time, Signals) {}

// Wait returns the time until the server takes a request of this node, 0 if it
// does now, or Never.
func (*Throttler) Wait(time.Time, string) time.Duration { return 0 }

// Sent counts a request that is sent to the server now.
func (*Throttler) Sent(time.Time, string) {}
