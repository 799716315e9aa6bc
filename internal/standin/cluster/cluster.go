// Package cluster is a stand-in for a fleet of entry nodes: their probers on one
// in-memory network, with a VM list.
//
// # Usage
//
//	cs := cluster.New()
//	nd := cs.Start(ctx, "n1", "10.0.0.1:7", "region-1")
//	cs.Isolate(nd, true, others...)
//	cs.Kill(nd)
//
// Other components of a node receive their messages through WithSetup.
package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/network"
	"github.com/lagoonpass/lagoonpass/internal/state/vmlister"
)

// delay is the delay of a message in one direction.
const delay = time.Millisecond

// Cluster is a set of entry nodes on one network, with a VM list.
type Cluster struct {
	*network.Network
	mu     sync.Mutex
	vms    []vmlister.VM
	starts uint64 // nodes started so far
}

// New returns a cluster without nodes.
func New() *Cluster {
	return &Cluster{Network: network.New(network.WithDelay(delay))}
}

// Node is one entry node.
type Node struct {
	*prober.Prober
	// ID is the id that the node announces.
	ID string
	// Address is where peers call the node.
	Address string
	// Caller calls peers.
	Caller *network.Caller

	seed     uint64       // number of the start, from one
	leaving  atomic.Bool  // the node announces that it is leaving
	revision func() int64 // nil announces revision 0
	setup    func(*Node) messenger.HandlerFunc
	handler  messenger.HandlerFunc // of setup; tried before the prober's
	stop     context.CancelFunc    // stops the prober
}

// Option configures a Node in Start.
type Option func(*Node)

// WithSetup calls fn before the node runs. The handler that fn returns gets all
// messages first; it returns prober.ErrUnhandled for those that the prober
// handles.
func WithSetup(fn func(*Node) messenger.HandlerFunc) Option {
	return func(nd *Node) { nd.setup = fn }
}

// WithRevision makes the node announce the result of fn as its revision.
func WithRevision(fn func() int64) Option { return func(nd *Node) { nd.revision = fn } }

// Start starts a node, which runs until ctx ends, Stop or Kill, and adds its
// address to the VM list unless it is there. Pausing the address also blocks the
// prober.
func (cs *Cluster) Start(ctx context.Context, id, address, region string, opts ...Option) *Node {
	ctx, cancel := context.WithCancel(ctx)
	nd := &Node{ID: id, Address: address, Caller: cs.From(address), seed: cs.register(id, address), stop: cancel}
	for _, opt := range opts {
		opt(nd)
	}
	presence := func() messenger.Presence {
		cs.Wait(address)
		pr := messenger.Presence{
			ID: id, Zone: "zone-" + region, Region: region,
			PeerAddress: address, CallerAddress: address + "0", Leaving: nd.leaving.Load(),
		}
		if nd.revision != nil {
			pr.Revision = nd.revision()
		}
		return pr
	}
	nd.Prober = prober.New(presence, cs, nd.Caller, prober.WithRandom(nd.Random(1)))
	if nd.setup != nil {
		nd.handler = nd.setup(nd)
	}
	cs.Listen(address, messenger.HandlerFunc(nd.handle))
	go func() { _ = nd.Run(ctx) }()
	return nd
}

// handle calls the handler of WithSetup first, and the prober for messages that
// it does not handle.
func (nd *Node) handle(ctx context.Context, call messenger.Message) (messenger.Message, error) {
	if nd.handler != nil {
		if answer, err := nd.handler(ctx, call); !errors.Is(err, prober.ErrUnhandled) {
			return answer, err
		}
	}
	return nd.Handle(ctx, call)
}

// Random returns a random source that depends on the order of starts and on the
// stream only, so that runs can be repeated.
func (nd *Node) Random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(nd.seed, stream)) }

// Leave makes the node announce that it is leaving.
func (nd *Node) Leave() {
	nd.leaving.Store(true)
	nd.Announce()
}

// Stop stops the node's prober; its address still answers calls.
func (nd *Node) Stop() { nd.stop() }

// Kill stops the node's prober, makes calls to its address fail and ends a pause.
func (cs *Cluster) Kill(nd *Node) {
	cs.Resume(nd.Address)
	cs.Network.Kill(nd.Address)
	nd.Stop()
}

// Isolate cuts the network between a node and others in both directions if cut is
// set, and heals it otherwise.
func (cs *Cluster) Isolate(nd *Node, cut bool, others ...*Node) {
	change := cs.Heal
	if cut {
		change = cs.Cut
	}
	for _, other := range others {
		change(nd.Address, other.Address)
		change(other.Address, nd.Address)
	}
}

// register adds the address to the VM list unless it is there, and returns the
// number of the start.
func (cs *Cluster) register(id, address string) uint64 {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.starts++
	known := func(vm vmlister.VM) bool { return vm.Address == address }
	if !slices.ContainsFunc(cs.vms, known) {
		cs.vms = append(cs.vms, vmlister.VM{Name: id, Address: address, Kind: vmlister.KindEntry, State: vmlister.StateLive})
	}
	return cs.starts
}

// VMs implements prober.VMList.
func (cs *Cluster) VMs(context.Context) ([]vmlister.VM, error) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return slices.Clone(cs.vms), nil
}

// EditVMs replaces the VM list by the result of edit.
func (cs *Cluster) EditVMs(edit func([]vmlister.VM) []vmlister.VM) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.vms = edit(cs.vms)
}
