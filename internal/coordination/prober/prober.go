// Package prober keeps each entry node's view of the membership: who is alive,
// suspect, leaving or dead, from the platform's lagging list of VMs and the
// node's own probes of its peers.
//
// # Usage
//
//	pb := prober.New(presence, vmList, pool)
//	go pb.Run(ctx)
//	if pb.View().Owns("worker/w7") { ... }
//
// The view is an immutable snapshot; any goroutine may read it.
package prober

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/lister"
)

// defaultInterval is the time between two rounds of probes.
const defaultInterval = 500 * time.Millisecond

// VMList is the platform's list of VMs.
type VMList interface {
	// VMs returns the lines of the list, which may be outdated.
	VMs(ctx context.Context) ([]lister.VM, error)
}

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Prober finds and watches the peers of one node.
type Prober struct {
	presence func() messenger.Presence
	list     VMList
	caller   Caller
	interval time.Duration
	view     atomic.Pointer[View]
	vms      []lister.VM
	known    map[string]Member
}

// Option changes a Prober that is being made.
type Option func(*Prober)

// WithInterval sets the time between two rounds of probes.
func WithInterval(dn time.Duration) Option {
	return func(pb *Prober) { pb.interval = dn }
}

// New returns a prober whose own node says presence of itself.
func New(presence func() messenger.Presence, list VMList, caller Caller, opts ...Option) *Prober {
	pb := &Prober{
		presence: presence,
		list:     list,
		caller:   caller,
		interval: defaultInterval,
		known:    map[string]Member{},
	}
	for _, opt := range opts {
		opt(pb)
	}
	pb.publish()
	return pb
}

// View returns the latest view.
func (pb *Prober) View() *View { return pb.view.Load() }

// Answer answers a peer's ping.
func (pb *Prober) Answer() *messenger.Pong {
	return &messenger.Pong{Presence: pb.presence()}
}

// Run probes until the context ends.
func (pb *Prober) Run(ctx context.Context) error {
	tk := time.NewTicker(pb.interval)
	defer tk.Stop()
	for {
		pb.round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tk.C:
		}
	}
}

// round probes every listed peer once.
func (pb *Prober) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pb.interval)
	defer cancel()
	if vms, err := pb.list.VMs(ctx); err == nil {
		pb.vms = vms
	}
	type result struct {
		address string
		pong    *messenger.Pong
	}
	results := make(chan result)
	self := pb.presence()
	asked := 0
	for _, vm := range pb.vms {
		if vm.Kind != lister.KindEntry || vm.Address == self.PeerAddress {
			continue
		}
		asked++
		go func() {
			answer, _ := pb.caller.Call(ctx, vm.Address, &messenger.Ping{Presence: self})
			pong, _ := answer.(*messenger.Pong)
			results <- result{vm.Address, pong}
		}()
	}
	for range asked {
		rs := <-results
		pb.note(rs.address, rs.pong)
	}
	pb.publish()
}

func (pb *Prober) note(address string, pong *messenger.Pong) {
	if pong == nil {
		for id, mb := range pb.known {
			if mb.PeerAddress == address {
				mb.State = Dead
				pb.known[id] = mb
			}
		}
		return
	}
	pb.known[pong.ID] = memberOf(pong.Presence)
}

func (pb *Prober) publish() {
	members := []Member{memberOf(pb.presence())}
	self := members[0].ID
	for id, mb := range pb.known {
		if id != self {
			members = append(members, mb)
		}
	}
	pb.view.Store(NewView(self, members))
}

func memberOf(pr messenger.Presence) Member {
	mb := Member{
		ID:            pr.ID,
		Zone:          pr.Zone,
		Region:        pr.Region,
		PeerAddress:   pr.PeerAddress,
		CallerAddress: pr.CallerAddress,
		State:         Alive,
	}
	if pr.Leaving {
		mb.State = Leaving
	}
	return mb
}
