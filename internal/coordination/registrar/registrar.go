// Package registrar keeps a node registered in the platform's store, tracks the
// registered nodes, and elects one of them as leader.
//
// A node writes its registration when it changes, and not otherwise. The leader
// removes the registrations of nodes that neither report to it nor answer it.
// Only leadership has a lease, so that the calls to the store do not grow with
// the number of nodes.
//
// A leader acts only while it knows that its lease is valid, counted from before
// it requested the lease, by a clock that runs while the machine is suspended. A
// new leader first waits until the previous one can no longer act.
//
// # Usage
//
//	rg := registrar.New(keyspace, "lagoonpass/", presence,
//		registrar.WithLifetime(2*time.Second))
//	go rg.Run(ctx)
//	view := rg.View()
//	if term, ok := rg.Leads(); ok { ... }
package registrar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/replicator"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/internal/stopwatch"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

const (
	// defaultLifetime is how long a leader's lease lasts without a renewal.
	defaultLifetime = 1200 * time.Millisecond
	// renewalsPerLifetime is the number of renewals of the lease in its
	// lifetime.
	renewalsPerLifetime = 4
	// retryInterval is the time between two steps after a failure, or while no
	// node leads.
	retryInterval = 100 * time.Millisecond
	// maxRegistrationDelay is twice the longest time between two attempts to write
	// the registration.
	maxRegistrationDelay = 2 * time.Second
	// idleInterval is the time between two steps of a node that does not lead.
	idleInterval = 500 * time.Millisecond
	// nodesPrefix precedes the peer addresses of nodes in keys, under the
	// registrar's prefix. A restarted node replaces its earlier registration.
	nodesPrefix = "nodes/"
	// goneNodeRetention is how long NodeCount counts a node after its
	// registration ended.
	goneNodeRetention = 30 * time.Second
)

// LeaderKey is the leader's key under the registrar's prefix. The key's
// revision is the leader's term.
const LeaderKey = "leader"

// Registrar maintains the registration of one node.
type Registrar struct {
	store    storer.Keyspace
	prefix   string
	presence func() messenger.Presence
	// ready reports whether the node serves callers.
	ready func() bool
	// fit reports whether the node can do all that a leader does.
	fit func() bool
	// lost returns the pools whose servers the node does not reach.
	lost func() []string
	// capacity returns how many requests a second the node bears; 0 means unknown.
	capacity func() int64
	// lifetime is the requested lifetime of the lease.
	lifetime time.Duration
	// handover is the time in which no leader acts, between two leaders.
	handover time.Duration
	registry *counter.Registry
	// followed says that the registrar is the sink of another replicator.
	followed bool
	// check asks the node at an address for its id.
	check CheckFunc
	// clock returns the time since a fixed point; it runs while the machine is
	// suspended.
	clock func() time.Duration
	// wake starts the next step at once.
	wake chan struct{}
	view atomic.Pointer[prober.View]

	mu sync.Mutex
	// lease is the lease of the node's leadership or candidacy; 0 means none.
	lease storer.Lease
	// renewedAt is when the last successful renewal was requested.
	renewedAt time.Duration
	// nextRenewalAt is when the next renewal is due.
	nextRenewalAt time.Duration
	// written is the registration as it is in the store; nil means not known.
	written []byte
	// revision is the revision of the node's own registration; 0 means none.
	revision int64
	// failedRegistrations counts failed writes of the registration in a row, and
	// nextRegistration is when the next one is due.
	failedRegistrations int
	nextRegistration    time.Duration
	// reread says that revision was read from the store and may be newer than the
	// replicated registrations.
	reread bool
	// era is the era of the store to which all revisions belong; 0 means none.
	era int64
	// seen is the highest revision of a replicated change.
	seen int64
	// replicated says that members and leaderEntry have been read from the
	// store.
	replicated bool
	// history is nil until the registrations were read for the first time.
	history *history
	// members are the registrations by key.
	members map[string]member
	// goneAt holds when registrations ended, by node.
	goneAt map[string]time.Duration
	// leaderEntry is the leader's key as last replicated; revision 0 means no
	// leader.
	leaderEntry storer.Entry
	// voidRevision is the revision of a leader's key of a former era, which no
	// node acts on; 0 means none.
	voidRevision int64
	// restoredTerm is the term in which this node led when the store returned from
	// an older copy, or 0, and restoredAt when the node learned of it.
	restoredTerm int64
	restoredAt   time.Duration
	// term is the term of this node's leadership; 0 means it does not lead.
	term int64
	// electedAt is when the node learned that it had been elected.
	electedAt time.Duration
	// continued is the term of a former era that the leadership continues, or 0.
	continued int64
	// leaderless is since when no node has led; 0 means that one leads.
	leaderless time.Duration
	// previousLeader is the id of the last leader.
	previousLeader string
	// nextCampaign is when the node may try again to become the leader.
	nextCampaign time.Duration
	// contacts says when each node was last heard of, while this node leads.
	contacts contacts
}

// CheckFunc asks the process at a peer address for its id.
type CheckFunc func(ctx context.Context, address string) (id string, err error)

// member is the registration of a node.
type member struct {
	presence messenger.Presence
	ready    bool
	capacity int64
	// lost are the pools whose servers the node does not reach.
	lost     []string
	revision int64
	// keptUntil is when the node is dropped whose registration the store lost with
	// its last writes, if it has not registered again; 0 means never.
	keptUntil time.Duration
}

// Option configures a Registrar.
type Option func(*Registrar)

// WithLifetime sets how long the node counts as alive without a renewal.
func WithLifetime(dn time.Duration) Option { return func(rg *Registrar) { rg.lifetime = dn } }

// WithHandover sets the time between two leaders in which no leader acts.
func WithHandover(dn time.Duration) Option { return func(rg *Registrar) { rg.handover = dn } }

// WithRegistry sets the registry that counts lease and leader events.
func WithRegistry(cr *counter.Registry) Option { return func(rg *Registrar) { rg.registry = cr } }

// WithReady sets the function that reports whether the node serves callers.
func WithReady(ready func() bool) Option { return func(rg *Registrar) { rg.ready = ready } }

// WithFitness sets the function that reports whether the node can do all that a leader
// does. A node that can't campaigns after all others.
func WithFitness(fit func() bool) Option { return func(rg *Registrar) { rg.fit = fit } }

// WithLostPools sets the function that returns the pools whose servers the node does not
// reach. They are part of the registration.
func WithLostPools(lost func() []string) Option { return func(rg *Registrar) { rg.lost = lost } }

// WithCapacity sets the function that returns how many requests a second the node
// bears, or 0 if that is not known. It is part of the registration.
func WithCapacity(capacity func() int64) Option {
	return func(rg *Registrar) { rg.capacity = capacity }
}

// WithCheck sets how the leader asks nodes that it has not heard of. Without it,
// registrations of lost nodes are not removed.
func WithCheck(check CheckFunc) Option { return func(rg *Registrar) { rg.check = check } }

// WithoutReplication makes Run leave it to the caller to replicate the keys
// under the prefix to the registrar, which is a replicator.Sink.
func WithoutReplication() Option { return func(rg *Registrar) { rg.followed = true } }

// WithClock replaces the clock. It must run while the machine is suspended.
func WithClock(clock func() time.Duration) Option { return func(rg *Registrar) { rg.clock = clock } }

// New returns a registrar for the node that presence describes. Its id must
// differ from that of every earlier process.
func New(st storer.Keyspace, prefix string, presence func() messenger.Presence, opts ...Option) *Registrar {
	rg := &Registrar{
		store:    st,
		prefix:   prefix,
		presence: presence,
		ready:    func() bool { return true },
		fit:      func() bool { return true },
		lost:     func() []string { return nil },
		capacity: func() int64 { return 0 },
		lifetime: defaultLifetime,
		clock:    stopwatch.Now,
		wake:     make(chan struct{}, 1),
		members:  map[string]member{},
		goneAt:   map[string]time.Duration{},
		contacts: newContacts(),
	}
	for _, opt := range opts {
		opt(rg)
	}
	rg.rebuildView()
	return rg
}

// View returns the registered nodes and this node.
func (rg *Registrar) View() *prober.View { return rg.view.Load() }

// NodeCount returns the number of nodes, including this one and those whose
// registration ended within the last 30 s, or 0 until the registrations were read.
func (rg *Registrar) NodeCount() int {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if rg.history == nil {
		return 0
	}
	count := 1
	self := rg.presence().ID
	for _, mb := range rg.members {
		if mb.presence.ID != self {
			count++
		}
	}
	now := rg.clock()
	for id, at := range rg.goneAt {
		if now-at > goneNodeRetention {
			delete(rg.goneAt, id)
			continue
		}
		count++
	}
	return count
}

// Notify makes the registrar write a changed presence at once.
func (rg *Registrar) Notify() {
	select {
	case rg.wake <- struct{}{}:
	default:
	}
}

// Run keeps the node registered, and lets it become leader, until the context
// ends. It always returns nil.
func (rg *Registrar) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var replication sync.WaitGroup
	defer replication.Wait()
	defer cancel()
	if !rg.followed {
		rp := replicator.New(rg.store, rg.prefix, rg, replicator.WithRegistry(rg.registry))
		replication.Go(func() { _ = rp.Run(ctx) })
	}
	if rg.check != nil {
		replication.Go(func() { waiter.Every(ctx, evictInterval, func() { rg.evictLost(ctx) }) })
	}
	for ctx.Err() == nil {
		pause := rg.step(ctx)
		tm := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-tm.C:
		case <-rg.wake:
		}
		tm.Stop()
	}
	return nil
}

// step keeps the registration and the lease up to date, campaigns if there is
// no leader, and returns the time until the next step.
func (rg *Registrar) step(ctx context.Context) time.Duration {
	rg.mu.Lock()
	replicated := rg.replicated
	rg.mu.Unlock()
	if !replicated {
		return idleInterval
	}
	rg.dropKept()
	// The lease comes first: a leader must not miss a renewal.
	kept := rg.keepLease(ctx)
	registered := rg.register(ctx)
	if rg.mayCampaign() {
		rg.campaign(ctx)
	}
	switch {
	case !kept || !registered || rg.noLeader():
		return retryInterval
	case rg.holdsLease():
		return rg.lifetime / renewalsPerLifetime
	}
	return idleInterval
}

func (rg *Registrar) holdsLease() bool {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.lease != 0
}

// RenewedAt returns when the last successful renewal of the lease was requested,
// by the registrar's clock.
func (rg *Registrar) RenewedAt() time.Duration {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.renewedAt
}

// keepLease renews the lease if there is one and that is due. It reports false
// if that failed.
func (rg *Registrar) keepLease(ctx context.Context) bool {
	rg.mu.Lock()
	lease, due := rg.lease, rg.clock() >= rg.nextRenewalAt
	rg.mu.Unlock()
	if lease == 0 || !due {
		return true
	}
	requestedAt := rg.clock()
	ttl, err := rg.store.Renew(ctx, lease)
	if storer.Is(err, storer.NotFound) {
		log.WithField("lease", int64(lease)).Warn("lease of the leadership ended")
		rg.forgetLease()
		return false
	}
	if err != nil {
		rg.registry.Inc("lease", "failed")
		return false
	}
	rg.setLease(lease, requestedAt, ttl)
	return true
}

// obtainLease returns the node's lease. It requests one if there is none, and
// returns 0 if that fails.
func (rg *Registrar) obtainLease(ctx context.Context) storer.Lease {
	rg.mu.Lock()
	lease := rg.lease
	rg.mu.Unlock()
	if lease != 0 {
		return lease
	}
	requestedAt := rg.clock()
	lease, ttl, err := rg.store.Grant(ctx, rg.lifetime)
	if err != nil {
		rg.registry.Inc("lease", "failed")
		return 0
	}
	log.WithField("lease", int64(lease)).WithField("lifetime-ms", ttl.Milliseconds()).Info("lease granted to a candidate for the leadership")
	rg.setLease(lease, requestedAt, ttl)
	return lease
}

func (rg *Registrar) setLease(lease storer.Lease, requestedAt, ttl time.Duration) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.lease, rg.renewedAt = lease, requestedAt
	rg.nextRenewalAt = requestedAt + ttl/renewalsPerLifetime
}

func (rg *Registrar) forgetLease() {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.lease, rg.nextRenewalAt = 0, 0
	rg.resignLocked("lease ended")
}

// register writes the node's registration if it changed, and reports whether
// the store has it.
func (rg *Registrar) register(ctx context.Context) bool {
	pr := rg.presence()
	value := encodeRegistration(member{presence: pr, ready: rg.ready(), capacity: rg.capacity(), lost: rg.lost()})
	key := rg.nodeKey(pr.PeerAddress)
	rg.mu.Lock()
	revision, era := rg.revision, rg.era
	if !rg.reread {
		revision = max(revision, rg.members[key].revision)
	}
	same := string(value) == string(rg.written)
	early := rg.clock() < rg.nextRegistration
	rg.mu.Unlock()
	if same {
		return true
	}
	// Whoever asks this node for addresses need not wait for the store.
	rg.rebuildView()
	if early {
		return false
	}
	revision, err := rg.store.Commit(ctx, storer.Transaction{
		Era:      era,
		Expected: map[string]int64{key: revision},
		Writes:   []storer.Write{{Key: key, Value: value}},
	})
	switch {
	case storer.Is(err, storer.Conflict), storer.Is(err, storer.Uncertain):
		rg.postponeRegistration()
		rg.rereadRegistration(ctx, key)
		return false
	case err != nil:
		rg.postponeRegistration()
		return false
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.failedRegistrations = 0
	if rg.era == era {
		rg.written, rg.revision, rg.reread = value, revision, false
	}
	return true
}

// postponeRegistration sets the time of the next attempt. The first one follows
// soon, since an uncertain write has mostly taken effect.
func (rg *Registrar) postponeRegistration() {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.nextRegistration = rg.clock() + min(retryInterval<<min(rg.failedRegistrations, 8), maxRegistrationDelay)/2
	rg.failedRegistrations++
}

// rereadRegistration reads the registration back after a write with an unknown
// outcome or a conflict.
func (rg *Registrar) rereadRegistration(ctx context.Context, key string) {
	en, err := rg.store.Get(ctx, key)
	if err != nil && !storer.Is(err, storer.NotFound) {
		return
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.written, rg.revision, rg.reread = en.Value, en.Revision, true
}

func (rg *Registrar) nodeKey(address string) string { return rg.prefix + nodesPrefix + address }
