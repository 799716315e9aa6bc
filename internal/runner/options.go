package runner

import (
	"context"
	"net"

	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
)

// Network opens the listeners and connections of a node.
type Network struct {
	// Listen opens a listener on a host and port.
	Listen func(address string) (net.Listener, error)
	// Dial opens a connection to a host and port.
	Dial forwarder.Dial
}

// WithNetwork replaces TCP for peers, callers and backend servers.
func WithNetwork(nt Network) Option { return func(nd *Node) { nd.network = nt } }

// WithVMList replaces the VM list that the node's settings name with ls.
func WithVMList(ls prober.VMList) Option { return func(nd *Node) { nd.vmList = ls } }

// Revision returns the revision number of the configuration in force, 0 for
// none.
func (nd *Node) Revision() int64 { return nd.holder.Number() }

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func (nd *Node) newForwarder() *forwarder.Forwarder {
	if nd.network.Dial == nil {
		return forwarder.New()
	}
	return forwarder.New(forwarder.WithDial(nd.network.Dial))
}

func (nd *Node) newPool() *messenger.Pool {
	if nd.network.Dial == nil {
		return nd.security.newPool()
	}
	return messenger.NewPool(messenger.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		return nd.network.Dial(ctx, "tcp", address)
	}))
}

// engines returns the client that sends orders to the engines.
func (nd *Node) engines() orderer.Engines { return orderer.NewHTTPEngines(nd.newForwarder()) }
