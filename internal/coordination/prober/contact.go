package prober

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/vmlister"
)

const (
	// listBytesPerSecond bounds the mean rate at which a node reads the list.
	listBytesPerSecond = 700
	// listLineBytes is the assumed size of a line of the list.
	listLineBytes = 100
	// minListInterval and maxListInterval bound the time between two reads of
	// the list.
	minListInterval = time.Second
	maxListInterval = 5 * time.Minute
	// listTimeout bounds one read of the list.
	listTimeout = 2 * time.Second
)

// listInterval returns the time between two reads, which grows with the list.
// With many nodes, some node still reads the list every second and tells the
// others which VMs are leaving.
func (pb *Prober) listInterval() time.Duration {
	bytes := pb.listLines * listLineBytes
	dn := time.Duration(bytes) * time.Second / listBytesPerSecond
	return min(max(dn, minListInterval), maxListInterval)
}

func (pb *Prober) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := pb.vmList.VMs(ctx)
	pb.mu.Lock()
	defer pb.mu.Unlock()
	pb.listReadRunning = false
	pb.listAttemptedAt = time.Now()
	if err != nil {
		pb.registry.Inc("membership", "list-unread")
		return
	}
	pb.applyList(vms)
	if !pb.listKnown {
		pb.rounds = 0
		pb.startContacts(context.WithoutCancel(ctx), pb.listAttemptedAt)
	}
	pb.listKnown = true
	pb.listReadAt = pb.listAttemptedAt
	for _, vm := range pb.vms {
		if vm.State == vmlister.StateLeaving {
			pb.table.markLeaving(vm.Name)
		}
	}
	pb.publishView(time.Now())
}

// applyList stores the entry VMs, and the backend VMs that are leaving. A
// leaving VM is ignored if a live VM has the same address, because that VM is
// its replacement.
func (pb *Prober) applyList(vms []vmlister.VM) {
	pb.listLines = len(vms)
	pb.vms = pb.vms[:0]
	live := map[string]bool{}
	for _, vm := range vms {
		if vm.Kind == vmlister.KindEntry {
			pb.vms = append(pb.vms, vm)
		}
		if vm.Kind == vmlister.KindBackend && vm.State == vmlister.StateLive {
			live[vm.Address] = true
		}
	}
	var leavingBackends []vmlister.VM
	for _, vm := range vms {
		if vm.Kind == vmlister.KindBackend && vm.State == vmlister.StateLeaving && !live[vm.Address] {
			leavingBackends = append(leavingBackends, vm)
		}
	}
	pb.leavingBackends.Store(&leavingBackends)
	pb.listReadCount.Add(1)
}

// ListReadCount returns the number of successful reads of the list.
func (pb *Prober) ListReadCount() int64 { return pb.listReadCount.Load() }

// LeavingBackends returns the backend VMs that the list named as leaving when
// it was last read. Callers must not modify the slice.
func (pb *Prober) LeavingBackends() []vmlister.VM {
	leavingBackends := pb.leavingBackends.Load()
	if leavingBackends == nil {
		return nil
	}
	return *leavingBackends
}

// startContacts pings listed VMs that are not members, and dead members. A node
// without peers pings several of them in each round, any other node one of them
// every few rounds.
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
		pb.runBackground(ctx, func(ctx context.Context) { pb.ping(ctx, ct.address, ping, now) })
	}
}

// contact is the address of a listed VM that is not a member, or of a dead
// member. A node may run there.
type contact struct{ id, address string }

// contacts returns the contacts, each address once.
func (pb *Prober) contacts() []contact {
	known := map[string]bool{pb.table.self.PeerAddress: true}
	for _, en := range pb.table.notDead(func(*entry) bool { return true }) {
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
