// Package cluster is a stand-in for a fleet of entry nodes: their probers on
// one in-memory network, with a list of VMs.
//
// # Usage
//
//	cs := cluster.New()
//	nd := cs.Start(ctx, "n1", "10.0.0.1:7", "region-1")
//	cs.Isolate(nd, true, others...)
//	cs.Kill(nd)
//
// Parts of a node beside its prober get their messages by WithSetup.
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
	"github.com/lagoonpass/lagoonpass/internal/state/lister"
)

// delay is the time that a message takes.
const delay = time.Millisecond

// Cluster is some nodes on one network.
type Cluster struct {
	*network.Network
	mu    sync.Mutex
	vms   []lister.VM
	lives uint64
}

// New returns a cluster without nodes.
func New() *Cluster {
	return &Cluster{Network: network.New(network.WithDelay(delay))}
}

// Node is one node.
type Node struct {
	*prober.Prober
	// ID is the node's id.
	ID string
	// Address is where peers call the node.
	Address string
	// Caller calls peers.
	Caller *network.Caller

	life     uint64
	leaving  atomic.Bool
	revision func() int64
	setup    func(*Node) messenger.HandlerFunc
	handler  messenger.HandlerFunc
	stop     context.CancelFunc
}

// Option changes a Node that is being started.
type Option func(*Node)

// WithSetup calls fn before the node runs. The function that it returns answers
// the messages that are not about the membership, and returns
// prober.ErrUnhandled for the others.
func WithSetup(fn func(*Node) messenger.HandlerFunc) Option {
	return func(nd *Node) { nd.setup = fn }
}

// WithRevision makes the node say that it has this revision in force.
func WithRevision(fn func() int64) Option { return func(nd *Node) { nd.revision = fn } }

// Start starts a node and adds its address to the list of VMs.
func (cs *Cluster) Start(ctx context.Context, id, address, region string, opts ...Option) *Node {
	ctx, cancel := context.WithCancel(ctx)
	nd := &Node{ID: id, Address: address, Caller: cs.From(address), life: cs.enlist(id, address), stop: cancel}
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

// handle tries the node's own handler first.
func (nd *Node) handle(ctx context.Context, call messenger.Message) (messenger.Message, error) {
	if nd.handler != nil {
		if answer, err := nd.handler(ctx, call); !errors.Is(err, prober.ErrUnhandled) {
			return answer, err
		}
	}
	return nd.Handle(ctx, call)
}

// Random returns a source of random numbers from the node's seed.
func (nd *Node) Random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(nd.life, stream)) }

// Leave makes the node say that it is leaving.
func (nd *Node) Leave() {
	nd.leaving.Store(true)
	nd.Announce()
}

// Stop ends the node's prober; its address still answers.
func (nd *Node) Stop() { nd.stop() }

// Kill ends a node.
func (cs *Cluster) Kill(nd *Node) {
	cs.Resume(nd.Address)
	cs.Network.Kill(nd.Address)
	nd.Stop()
}

// Isolate cuts or heals the network between a node and others, both ways.
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

func (cs *Cluster) enlist(id, address string) uint64 {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.lives++
	known := func(vm lister.VM) bool { return vm.Address == address }
	if !slices.ContainsFunc(cs.vms, known) {
		cs.vms = append(cs.vms, lister.VM{Name: id, Address: address, Kind: lister.KindEntry, State: lister.StateLive})
	}
	return cs.lives
}

// VMs implements prober.VMList.
func (cs *Cluster) VMs(context.Context) ([]lister.VM, error) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return slices.Clone(cs.vms), nil
}

// EditList changes the list of VMs.
func (cs *Cluster) EditList(edit func([]lister.VM) []lister.VM) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.vms = edit(cs.vms)
}
