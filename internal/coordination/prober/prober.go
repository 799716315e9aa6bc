// Package prober keeps each entry node's view of the membership: who is alive,
// suspect, leaving or dead.
//
// Each interval the node probes one peer, directly and then through others, so
// that the work of a node does not grow with the number of nodes. A peer that
// does not answer is suspect, keeps what it owns, and can refute the suspicion;
// unrefuted, it is dead. Probes and their answers carry news of other members
// and of spread entries within a budget of bytes, and nodes compare checksums
// of what they know now and then. The platform's lagging list of VMs tells
// where to find peers and who is leaving; it never ends the membership of a
// node that answers.
//
// A node that was paused notices it by the monotonic time since its last
// round: its view expires, and it owns nothing until a peer has answered it
// again.
//
// # Usage
//
//	pb := prober.New(presence, vmList, pool)
//	go pb.Run(ctx)
//	if pb.View().Owns("worker/w7") { ... }
//
// The view is a snapshot; any goroutine may read it.
package prober

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/spreader"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/lister"
)

const (
	// defaultInterval is the time between two probes.
	defaultInterval = 500 * time.Millisecond
	// relays is how many peers are asked to probe one that did not answer.
	relays = 3
	// suspicionIntervals is the time to refute a suspicion, in intervals.
	suspicionIntervals = 3
	// doublingsInSuspicion is how many doublings of the members make the time
	// to refute a suspicion longer by itself.
	doublingsInSuspicion = 3
	// staleIntervals is how long a view lasts, in intervals.
	staleIntervals = 4
	// contactRounds is how often one of the lost or unknown is tried.
	contactRounds = 4
	// joinContacts is how many listed VMs a node tries at once to join.
	joinContacts = 8
	// pushPeers is how many peers are told of fresh news at once.
	pushPeers = 4
	// farProbeShare is the part of cycles in which a member of another region
	// is probed.
	farProbeShare = 0.25
	// syncInterval is the mean time between two comparisons with a peer.
	syncInterval = 20 * time.Second
	// syncItems bounds the members and the entries in the answer to one.
	syncItems = 16
	// joinItems bounds the same when joining.
	joinItems = 2048
	// quietSends marks an update as sent often enough.
	quietSends = 1 << 10
	// updateBudget and entryBudget bound the news in one message, in bytes.
	updateBudget = 200
	entryBudget  = 200
	// updateOverheadBytes is what the encoding adds to an update's texts.
	updateOverheadBytes = 20
	// forgetAfter is how long the dead are tried again.
	forgetAfter = 2 * time.Hour
	// tellDead is how long others are told of the dead.
	tellDead = time.Minute
)

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
	presence  func() messenger.Presence
	list      VMList
	caller    Caller
	interval  time.Duration
	random    *rand.Rand
	spread    *spreader.Spreader
	registry  *counter.Registry
	view      atomic.Pointer[View]
	departing atomic.Pointer[[]lister.VM]
	readings  atomic.Int64
	probes    sync.WaitGroup

	mu        sync.Mutex
	table     *table
	vms       []lister.VM
	listLines int
	listed    bool
	listedAt  time.Time
	readAt    time.Time
	listing   bool
	stale     bool
	awakeAt   time.Time
	since     time.Time
	lastRound time.Time
	nextSync  time.Time
	joining   bool
	rounds    int
	urgent    chan struct{}
}

// Option changes a Prober that is being made.
type Option func(*Prober)

// WithInterval sets the time between two probes.
func WithInterval(dn time.Duration) Option {
	return func(pb *Prober) { pb.interval = dn }
}

// WithRandom sets the source of the random choices.
func WithRandom(random *rand.Rand) Option {
	return func(pb *Prober) { pb.random = random }
}

// WithSpreader makes the probes carry the entries of sp.
func WithSpreader(sp *spreader.Spreader) Option {
	return func(pb *Prober) { pb.spread = sp }
}

// WithRegistry counts what the prober does.
func WithRegistry(rg *counter.Registry) Option {
	return func(pb *Prober) { pb.registry = rg }
}

// New returns a prober whose own node says presence of itself.
func New(presence func() messenger.Presence, list VMList, caller Caller, opts ...Option) *Prober {
	pb := &Prober{
		presence: presence,
		list:     list,
		caller:   caller,
		interval: defaultInterval,
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		spread:   spreader.New(),
		stale:    true,
		urgent:   make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(pb)
	}
	pb.table = newTable(presence(), pb.random, suspicionIntervals*pb.interval)
	pb.mu.Lock()
	defer pb.mu.Unlock()
	pb.publish(time.Now())
	return pb
}

// View returns the latest view.
func (pb *Prober) View() *View { return pb.view.Load() }

// Spreader returns the entries that the probes carry.
func (pb *Prober) Spreader() *spreader.Spreader { return pb.spread }

// Leaving reports whether the node itself was found to be leaving, by its own
// word or by the platform's list.
func (pb *Prober) Leaving() bool {
	pb.mu.Lock()
	defer pb.mu.Unlock()
	return pb.table.self.Leaving
}

// Run probes until the context ends. Before it returns it tells some peers of
// the node's last state.
func (pb *Prober) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer pb.probes.Wait()
	defer cancel()
	tk := time.NewTicker(pb.interval)
	defer tk.Stop()
	for {
		pb.round(ctx)
		if !pb.wait(ctx, tk) {
			return nil
		}
	}
}

// wait pushes fresh news until the next round is due.
func (pb *Prober) wait(ctx context.Context, tk *time.Ticker) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-pb.spread.Changed():
			pb.push(ctx)
		case <-pb.urgent:
			pb.push(ctx)
		case <-tk.C:
			return true
		}
	}
}

// round starts what is due now. It never waits for the network.
func (pb *Prober) round(ctx context.Context) {
	self := pb.presence()
	now := time.Now()
	pb.mu.Lock()
	defer pb.mu.Unlock()
	if !pb.lastRound.IsZero() && now.Sub(pb.lastRound) >= pb.viewLifetime() {
		pb.wake(now)
	}
	pb.lastRound = now
	pb.rounds++
	pb.table.setSelf(self)
	pb.table.expire(now)
	if !pb.listing && now.Sub(pb.listedAt) >= pb.listInterval() {
		pb.listing = true
		pb.goProbe(ctx, pb.readList)
	}
	pb.startProbe(ctx, now)
	pb.startContacts(ctx, now)
	if !pb.nextSync.IsZero() && !now.Before(pb.nextSync) {
		pb.startSync(ctx, now)
	}
	pb.settle()
	pb.publish(now)
}

// wake notes that the node was paused: whatever it knows is outdated.
func (pb *Prober) wake(now time.Time) {
	pb.registry.Inc("membership", "paused")
	pb.stale = true
	pb.awakeAt = now
	pb.since = now
	pb.table.restartSuspicions(now)
}

// settle ends staleness where there is nobody to ask: the list was read and
// names no other node that answers.
func (pb *Prober) settle() {
	if !pb.stale || !pb.listed || !pb.table.alone() {
		return
	}
	if pb.rounds > contactRounds || len(pb.contacts()) == 0 {
		pb.stale = false
	}
}

func (pb *Prober) goProbe(ctx context.Context, fn func(context.Context)) {
	pb.probes.Go(func() { fn(ctx) })
}

// take merges what a peer says.
func (pb *Prober) take(gs messenger.Gossip, now time.Time) {
	pb.mu.Lock()
	before := pb.table.incarnation
	if pb.table.hear(gs.Sender, now) {
		pb.joining = true
		pb.nextSync = now
	}
	for _, mu := range gs.Updates {
		pb.hearOfSelf(mu, now)
		pb.table.apply(mu, now)
	}
	if pb.table.incarnation != before {
		pb.registry.Inc("membership", "refuted")
		pb.Announce()
	}
	pb.publish(now)
	pb.mu.Unlock()
	pb.spread.Merge(gs.Entries)
}

// hearOfSelf notes that others took the node for dead: what it held may have
// been taken.
func (pb *Prober) hearOfSelf(mu messenger.MemberUpdate, now time.Time) {
	if mu.ID == pb.table.self.ID && State(mu.State) == Dead && mu.Incarnation == pb.table.incarnation {
		pb.registry.Inc("membership", "taken-for-dead")
		pb.since = now
	}
}

// gossip returns what the node says in its next message to a peer.
func (pb *Prober) gossip(receiver string) messenger.Gossip {
	gs := messenger.Gossip{Sender: pb.table.selfUpdate()}
	gs.Updates = pb.table.take(receiver, updateBudget)
	gs.Entries = pb.spread.NextEntries(entryBudget, len(pb.table.entries)+1)
	return gs
}

// Announce makes the node tell a few peers at once of its own new state.
func (pb *Prober) Announce() {
	select {
	case pb.urgent <- struct{}{}:
	default:
	}
}

// push tells a few peers at once of what is new.
func (pb *Prober) push(ctx context.Context) {
	self := pb.presence()
	pb.mu.Lock()
	defer pb.mu.Unlock()
	now := time.Now()
	pb.table.setSelf(self)
	for _, en := range pb.table.pick(pushPeers, "") {
		address, ping := en.PeerAddress, &messenger.Ping{Gossip: pb.gossip(en.ID)}
		pb.goProbe(ctx, func(ctx context.Context) { pb.ping(ctx, address, ping, now) })
	}
}

func (pb *Prober) viewLifetime() time.Duration { return staleIntervals * pb.interval }

// publish makes the view known. The expiry counts from the last round, so that
// an answer that arrives just after a pause does not renew an old view.
func (pb *Prober) publish(now time.Time) {
	opts := []ViewOption{WithStale(pb.stale), WithSince(pb.since)}
	if !pb.lastRound.IsZero() {
		now = pb.lastRound
	}
	opts = append(opts, WithExpiry(now.Add(pb.viewLifetime())))
	pb.view.Store(NewView(pb.table.self.ID, pb.table.members(), opts...))
}

func memberOf(pr messenger.Presence) Member {
	mb := Member{
		ID:            pr.ID,
		Zone:          pr.Zone,
		Region:        pr.Region,
		PeerAddress:   pr.PeerAddress,
		CallerAddress: pr.CallerAddress,
		State:         Alive,
		Revision:      pr.Revision,
	}
	if pr.Leaving {
		mb.State = Leaving
	}
	return mb
}
