// Package prober maintains each entry node's view of the membership: which
// nodes are alive, suspect, leaving or dead.
//
// In each interval the node probes one peer, directly and then through relays,
// so that the work of a node does not grow with the number of nodes. A peer
// that does not answer becomes suspect. A suspect keeps its resources and can
// refute the suspicion; if it does not, it is declared dead. Probes and their
// answers carry gossip, which is member updates and entries of the Gossiper
// within a budget of bytes. From time to time nodes compare checksums of their
// state. The platform's list of VMs may lag. It tells where to find peers and
// which VMs are leaving, but it never removes a node that answers.
//
// A node detects that it was paused by the monotonic time since its last round.
// Its view then expires, and it owns nothing until a peer has answered it
// again.
//
// # Usage
//
//	pb := prober.New(presence, vmList, pool)
//	go pb.Run(ctx)
//	if pb.View().Owns("worker/w7") { ... }
//
// A View is an immutable snapshot and safe for concurrent use.
package prober

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/gossiper"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/vmlister"
)

const (
	// defaultInterval is the time between two probes.
	defaultInterval = 500 * time.Millisecond
	// relayCount is the number of peers that relay a ping to a member that did
	// not answer.
	relayCount = 3
	// suspicionIntervals is the base time to refute a suspicion, in intervals.
	suspicionIntervals = 3
	// doublingsPerSuspicion is the number of doublings of the membership that
	// lengthen the time to refute a suspicion by its base time.
	doublingsPerSuspicion = 3
	// viewLifetimeIntervals is the time until a view expires, in intervals.
	viewLifetimeIntervals = 4
	// contactRounds is the number of rounds from one attempt to contact a dead
	// or unknown node to the next.
	contactRounds = 4
	// joinContacts is the number of listed VMs that a node without peers
	// contacts in each round.
	joinContacts = 8
	// pushPeers is the number of peers that urgent gossip is sent to at once.
	pushPeers = 4
	// remoteRegionProbeShare is the share of probe cycles that include a given
	// member of another region.
	remoteRegionProbeShare = 0.25
	// syncInterval is the mean time between two comparisons of checksums.
	syncInterval = 20 * time.Second
	// syncItems bounds the member updates, and likewise the entries, in the
	// answer to one comparison.
	syncItems = 16
	// joinItems is the same bound for a node that is joining.
	joinItems = 2048
	// exhaustedSends is a send count above every limit: the update is not sent
	// again.
	exhaustedSends = 1 << 10
	// updateBudget and entryBudget bound the member updates and the entries in
	// one message, in bytes.
	updateBudget = 200
	entryBudget  = 200
	// updateOverheadBytes is the encoded size of an update without its strings.
	updateOverheadBytes = 20
	// deadRetention is how long a node keeps contacting a dead member before it
	// forgets it.
	deadRetention = 2 * time.Hour
	// deadDigestTime is how long a dead member is part of digests.
	deadDigestTime = time.Minute
)

// VMList is the platform's list of VMs.
type VMList interface {
	// VMs returns the entries of the list, which may be outdated.
	VMs(ctx context.Context) ([]vmlister.VM, error)
}

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address and returns its answer.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Prober maintains the membership view of one node.
type Prober struct {
	presence func() messenger.Presence
	vmList   VMList
	caller   Caller
	interval time.Duration
	random   *rand.Rand
	// gossiped holds the entries that gossip carries.
	gossiped *gossiper.Gossiper
	registry *counter.Registry
	view     atomic.Pointer[View]
	// leavingBackends holds the backend VMs that the list last named as
	// leaving.
	leavingBackends atomic.Pointer[[]vmlister.VM]
	// listReadCount counts the successful reads of the list.
	listReadCount atomic.Int64
	// background tracks the goroutines of probes and list reads.
	background sync.WaitGroup

	mu    sync.Mutex
	table *table
	// vms are the entry VMs of the last successful list read.
	vms []vmlister.VM
	// listLines is the length of the whole list at that read.
	listLines int
	// listKnown says that the list has been read at least once.
	listKnown bool
	// listAttemptedAt is when the last read of the list ended, successful or
	// not.
	listAttemptedAt time.Time
	// listReadAt is when the list was last read successfully.
	listReadAt time.Time
	// listReadRunning says that a read of the list is in progress.
	listReadRunning bool
	// stale says that no peer has answered since the node started or was
	// paused.
	stale bool
	// resumedAt is when the node last detected that it had been paused.
	resumedAt time.Time
	// validSince is when the node last resumed after a pause, or learned that
	// peers had declared it dead.
	validSince time.Time
	// lastRound is when the last round began.
	lastRound time.Time
	// nextSync is when the next comparison of checksums is due.
	nextSync time.Time
	// joining says that the next comparison requests up to joinItems updates
	// and entries instead of syncItems.
	joining bool
	// rounds counts the rounds since the start or since the first list read.
	rounds int
	// announce requests that the node's own state be pushed at once.
	announce chan struct{}
}

// Option configures a Prober.
type Option func(*Prober)

// WithInterval sets the time between two probes.
func WithInterval(dn time.Duration) Option {
	return func(pb *Prober) { pb.interval = dn }
}

// WithRandom sets the source of randomness.
func WithRandom(random *rand.Rand) Option {
	return func(pb *Prober) { pb.random = random }
}

// WithGossiper makes probes carry the entries of gp.
func WithGossiper(gp *gossiper.Gossiper) Option {
	return func(pb *Prober) { pb.gossiped = gp }
}

// WithRegistry sets the registry that counts membership events.
func WithRegistry(rg *counter.Registry) Option {
	return func(pb *Prober) { pb.registry = rg }
}

// New returns a prober for the node that presence describes. The view is stale
// until Run has reached a peer or found that there is none.
func New(presence func() messenger.Presence, vmList VMList, caller Caller, opts ...Option) *Prober {
	pb := &Prober{
		presence: presence,
		vmList:   vmList,
		caller:   caller,
		interval: defaultInterval,
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		gossiped: gossiper.New(),
		stale:    true,
		announce: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(pb)
	}
	pb.table = newTable(presence(), pb.random, suspicionIntervals*pb.interval)
	pb.mu.Lock()
	defer pb.mu.Unlock()
	pb.publishView(time.Now())
	return pb
}

// View returns the current view.
func (pb *Prober) View() *View { return pb.view.Load() }

// Gossiper returns the Gossiper whose entries the probes carry.
func (pb *Prober) Gossiper() *gossiper.Gossiper { return pb.gossiped }

// Leaving reports whether the node itself is leaving, according to its own
// presence, its peers or the platform's list.
func (pb *Prober) Leaving() bool {
	pb.mu.Lock()
	defer pb.mu.Unlock()
	return pb.table.self.Leaving
}

// Run probes peers until the context ends, and waits for the probes in
// progress. It always returns nil.
func (pb *Prober) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer pb.background.Wait()
	defer cancel()
	tk := time.NewTicker(pb.interval)
	defer tk.Stop()
	for {
		pb.round(ctx)
		if !pb.waitForRound(ctx, tk) {
			return nil
		}
	}
}

// waitForRound pushes urgent gossip until the next round is due. It returns
// false when the context ends.
func (pb *Prober) waitForRound(ctx context.Context, tk *time.Ticker) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-pb.gossiped.Changed():
			pb.push(ctx)
		case <-pb.announce:
			pb.push(ctx)
		case <-tk.C:
			return true
		}
	}
}

// round starts everything that is due. It never waits for the network.
func (pb *Prober) round(ctx context.Context) {
	self := pb.presence()
	now := time.Now()
	pb.mu.Lock()
	defer pb.mu.Unlock()
	if !pb.lastRound.IsZero() && now.Sub(pb.lastRound) >= pb.viewLifetime() {
		pb.notePause(now)
	}
	pb.lastRound = now
	pb.rounds++
	pb.table.setSelf(self)
	pb.table.expire(now)
	if !pb.listReadRunning && now.Sub(pb.listAttemptedAt) >= pb.listInterval() {
		pb.listReadRunning = true
		pb.runBackground(ctx, pb.readList)
	}
	pb.startProbe(ctx, now)
	pb.startContacts(ctx, now)
	if !pb.nextSync.IsZero() && !now.Before(pb.nextSync) {
		pb.startSync(ctx, now)
	}
	pb.clearStaleWhenAlone()
	pb.publishView(now)
}

// notePause marks the view as stale after the node was paused.
func (pb *Prober) notePause(now time.Time) {
	pb.registry.Inc("membership", "paused")
	pb.stale = true
	pb.resumedAt = now
	pb.validSince = now
	pb.table.restartSuspicions(now)
}

// clearStaleWhenAlone makes the view valid if no peer can confirm it: the list
// was read and names no other node that answers.
func (pb *Prober) clearStaleWhenAlone() {
	if !pb.stale || !pb.listKnown || !pb.table.alone() {
		return
	}
	if pb.rounds > contactRounds || len(pb.contacts()) == 0 {
		pb.stale = false
	}
}

func (pb *Prober) runBackground(ctx context.Context, fn func(context.Context)) {
	pb.background.Go(func() { fn(ctx) })
}

// mergeGossip merges the gossip of a peer.
func (pb *Prober) mergeGossip(gs messenger.Gossip, now time.Time) {
	pb.mu.Lock()
	before := pb.table.incarnation
	if pb.table.applySender(gs.Sender, now) {
		pb.joining = true
		pb.nextSync = now
	}
	for _, mu := range gs.Updates {
		pb.noteOwnDeath(mu, now)
		pb.table.apply(mu, now)
	}
	if pb.table.incarnation != before {
		pb.registry.Inc("membership", "refuted")
		pb.Announce()
	}
	pb.publishView(now)
	pb.mu.Unlock()
	pb.gossiped.Merge(gs.Entries)
}

// noteOwnDeath handles an update that declares this node dead. Other nodes may
// have taken over what this node owned, so it must confirm that again.
func (pb *Prober) noteOwnDeath(mu messenger.MemberUpdate, now time.Time) {
	if mu.ID == pb.table.self.ID && State(mu.State) == Dead && mu.Incarnation == pb.table.incarnation {
		pb.registry.Inc("membership", "taken-for-dead")
		pb.validSince = now
	}
}

// gossip returns the gossip of the next message to a peer.
func (pb *Prober) gossip(receiver string) messenger.Gossip {
	gs := messenger.Gossip{Sender: pb.table.selfUpdate()}
	gs.Updates = pb.table.nextUpdates(receiver, updateBudget)
	gs.Entries = pb.gossiped.NextEntries(entryBudget, len(pb.table.entries)+1)
	return gs
}

// Announce makes the node send its own state to a few peers at once.
func (pb *Prober) Announce() {
	select {
	case pb.announce <- struct{}{}:
	default:
	}
}

// push sends gossip to a few peers at once.
func (pb *Prober) push(ctx context.Context) {
	self := pb.presence()
	pb.mu.Lock()
	defer pb.mu.Unlock()
	now := time.Now()
	pb.table.setSelf(self)
	for _, en := range pb.table.randomAlive(pushPeers, "") {
		address, ping := en.PeerAddress, &messenger.Ping{Gossip: pb.gossip(en.ID)}
		pb.runBackground(ctx, func(ctx context.Context) { pb.ping(ctx, address, ping, now) })
	}
}

func (pb *Prober) viewLifetime() time.Duration { return viewLifetimeIntervals * pb.interval }

// publishView stores a new view. The expiry counts from the last round, so that
// an answer that arrives just after a pause does not renew an old view.
func (pb *Prober) publishView(now time.Time) {
	opts := []ViewOption{WithStale(pb.stale), WithValidSince(pb.validSince)}
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
