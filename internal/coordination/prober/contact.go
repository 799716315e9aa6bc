package prober

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/lister"
)

const (
	// listBytesPerSecond bounds what a node spends on reading the list.
	listBytesPerSecond = 700
	// listLineBytes is the size of a line of the list.
	listLineBytes = 100
	// The bounds of the time between two readings of the list.
	minListInterval = time.Second
	maxListInterval = 5 * time.Minute
	// listTimeout bounds one reading.
	listTimeout = 2 * time.Second
)

// listInterval grows with the list. With many nodes some node reads it every
// second all the same, and tells the others who is leaving.
func (pb *Prober) listInterval() time.Duration {
	bytes := pb.listLines * listLineBytes
	dn := time.Duration(bytes) * time.Second / listBytesPerSecond
	return min(max(dn, minListInterval), maxListInterval)
}

func (pb *Prober) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := pb.list.VMs(ctx)
	pb.mu.Lock()
	defer pb.mu.Unlock()
	pb.listing = false
	pb.listedAt = time.Now()
	if err != nil {
		pb.registry.Inc("membership", "list-unread")
		return
	}
	pb.takeList(vms)
	if !pb.listed {
		pb.rounds = 0
		pb.startContacts(context.WithoutCancel(ctx), pb.listedAt)
	}
	pb.listed = true
	pb.readAt = pb.listedAt
	for _, vm := range pb.vms {
		if vm.State == lister.StateLeaving {
			pb.table.markLeaving(vm.Name)
		}
	}
	pb.publish(time.Now())
}

// takeList keeps the entry nodes, and the backend VMs that are leaving. A line
// that names a live VM at the same address outweighs one that is leaving: a
// replacement took the address over.
func (pb *Prober) takeList(vms []lister.VM) {
	pb.listLines = len(vms)
	pb.vms = pb.vms[:0]
	live := map[string]bool{}
	for _, vm := range vms {
		if vm.Kind == lister.KindEntry {
			pb.vms = append(pb.vms, vm)
		}
		if vm.Kind == lister.KindBackend && vm.State == lister.StateLive {
			live[vm.Address] = true
		}
	}
	var departing []lister.VM
	for _, vm := range vms {
		if vm.Kind == lister.KindBackend && vm.State == lister.StateLeaving && !live[vm.Address] {
			departing = append(departing, vm)
		}
	}
	pb.departing.Store(&departing)
	pb.readings.Add(1)
}

// ListReadings returns how often the list was read.
func (pb *Prober) ListReadings() int64 { return pb.readings.Load() }

// Departing returns the backend VMs that the list named as leaving when it was
// last read. The slice is shared and may not be changed.
func (pb *Prober) Departing() []lister.VM {
	departing := pb.departing.Load()
	if departing == nil {
		return nil
	}
	return *departing
}

// startContacts tries listed VMs that are not known as members, and members
// that are dead: some at once while the node is alone, one now and then later.
func (pb *Prober) startContacts(ctx context.Context, now time.Time) {
	count := 1
	if pb.table.alone() {
		count = joinContacts
	} else if pb.rounds%contactRounds != 0 {
		return
	}
	addresses := pb.contacts()
	pb.random.Shuffle(len(addresses), func(ix, jx int) { addresses[ix], addresses[jx] = addresses[jx], addresses[ix] })
	for _, ct := range addresses[:min(count, len(addresses))] {
		ping := &messenger.Ping{Gossip: pb.gossip(ct.id)}
		pb.goProbe(ctx, func(ctx context.Context) { pb.ping(ctx, ct.address, ping, now) })
	}
}

// contact is where a node may be that is not a member.
type contact struct{ id, address string }

func (pb *Prober) contacts() []contact {
	known := map[string]bool{pb.table.self.PeerAddress: true}
	for _, en := range pb.table.living(func(*entry) bool { return true }) {
		known[en.PeerAddress] = true
	}
	var found []contact
	for _, vm := range pb.vms {
		if !known[vm.Address] {
			known[vm.Address] = true
			found = append(found, contact{vm.Name, vm.Address})
		}
	}
	for _, id := range pb.table.deadIDs() {
		if en := pb.table.entries[id]; !known[en.PeerAddress] {
			known[en.PeerAddress] = true
			found = append(found, contact{id, en.PeerAddress})
		}
	}
	return found
}
