// Package registrar keeps a node registered in the platform's store under a
// lease, tracks the registered nodes, and elects one of them as leader.
//
// A node's registration and leadership end with its lease. A leader acts only
// while it knows that its lease is valid, counted from before it requested the
// lease, by a clock that runs while the machine is suspended. A new leader
// first waits until the previous one can no longer act.
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
)

const (
	// defaultLifetime is how long a node counts as alive without a renewal.
	defaultLifetime = 1200 * time.Millisecond
	// renewalsPerLifetime is the number of renewals of the lease in its
	// lifetime.
	renewalsPerLifetime = 4
	// retryInterval is the time between two steps after a failure, or while no
	// node leads.
	retryInterval = 100 * time.Millisecond
	// nodesPrefix precedes node ids in keys, under the registrar's prefix.
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
	// lifetime is the requested lifetime of the lease.
	lifetime time.Duration
	// handover is the time in which no leader acts, between two leaders.
	handover time.Duration
	registry *counter.Registry
	// clock returns the time since a fixed point; it runs while the machine is
	// suspended.
	clock func() time.Duration
	// wake starts the next step at once.
	wake chan struct{}
	view atomic.Pointer[prober.View]

	mu sync.Mutex
	// lease is the node's lease; 0 means none.
	lease storer.Lease
	// renewedAt is when the last successful renewal was requested.
	renewedAt time.Duration
	// nextRenewalAt is when the next renewal is due.
	nextRenewalAt time.Duration
	// written is the registration as it is in the store; nil means not known.
	written []byte
	// revision is the revision of the node's own registration; 0 means none.
	revision int64
	// replicated says that members and leaderEntry have been read from the
	// store.
	replicated bool
	members    map[string]member
	// goneAt holds when registrations ended, by node.
	goneAt map[string]time.Duration
	// leaderEntry is the leader's key as last replicated; revision 0 means no
	// leader.
	leaderEntry storer.Entry
	// term is the term of this node's leadership; 0 means it does not lead.
	term int64
	// electedAt is when the node learned that it had been elected.
	electedAt time.Duration
}

// member is the registration of a node.
type member struct {
	presence messenger.Presence
	ready    bool
	revision int64
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
		lifetime: defaultLifetime,
		clock:    stopwatch.Now,
		wake:     make(chan struct{}, 1),
		members:  map[string]member{},
		goneAt:   map[string]time.Duration{},
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
// registration ended within the last 30 s.
func (rg *Registrar) NodeCount() int {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	count := 1
	self := rg.presence().ID
	for id := range rg.members {
		if id != self {
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
	rp := replicator.New(rg.store, rg.prefix, rg, replicator.WithRegistry(rg.registry))
	var replication sync.WaitGroup
	defer replication.Wait()
	defer cancel()
	replication.Go(func() { _ = rp.Run(ctx) })
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

// step keeps the lease and the registration up to date, campaigns if there is
// no leader, and returns the time until the next step.
func (rg *Registrar) step(ctx context.Context) time.Duration {
	if !rg.keepLease(ctx) {
		return retryInterval
	}
	if !rg.register(ctx) {
		return retryInterval
	}
	if rg.mayCampaign() {
		rg.campaign(ctx)
	}
	if rg.noLeader() {
		return retryInterval
	}
	return rg.lifetime / renewalsPerLifetime
}

// keepLease obtains or renews the lease if that is due, and reports whether the
// node has a lease.
func (rg *Registrar) keepLease(ctx context.Context) bool {
	rg.mu.Lock()
	lease, due := rg.lease, rg.clock() >= rg.nextRenewalAt
	rg.mu.Unlock()
	if lease != 0 && !due {
		return true
	}
	requestedAt := rg.clock()
	var ttl time.Duration
	var err error
	if lease == 0 {
		lease, ttl, err = rg.store.Grant(ctx, rg.lifetime)
	} else {
		ttl, err = rg.store.Renew(ctx, lease)
	}
	if storer.Is(err, storer.NotFound) {
		log.WithField("lease", int64(lease)).Warn("registration lease ended; the node registers again")
		rg.forgetLease()
		return false
	}
	if err != nil {
		rg.registry.Inc("lease", "failed")
		return false
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if rg.lease != lease {
		log.WithField("lease", int64(lease)).WithField("lifetime-ms", ttl.Milliseconds()).Info("registration lease granted")
	}
	rg.lease = lease
	rg.renewedAt = requestedAt
	rg.nextRenewalAt = requestedAt + ttl/renewalsPerLifetime
	return true
}

func (rg *Registrar) forgetLease() {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.lease, rg.written, rg.revision = 0, nil, 0
	rg.nextRenewalAt = 0
	rg.resignLocked("lease ended")
}

// register writes the node's registration if it changed, and reports whether
// the store has it.
func (rg *Registrar) register(ctx context.Context) bool {
	pr := rg.presence()
	value := encodePresence(pr, rg.ready())
	rg.mu.Lock()
	lease, revision := rg.lease, rg.revision
	same := string(value) == string(rg.written)
	rg.mu.Unlock()
	if same {
		return true
	}
	key := rg.nodeKey(pr.ID)
	revision, err := rg.store.Commit(ctx, storer.Transaction{
		Expected: map[string]int64{key: revision},
		Writes:   []storer.Write{{Key: key, Value: value, Lease: lease}},
	})
	switch {
	case storer.Is(err, storer.NotFound):
		rg.forgetLease()
		return false
	case storer.Is(err, storer.Conflict), storer.Is(err, storer.Uncertain):
		rg.rereadRegistration(ctx, key)
		return false
	case err != nil:
		return false
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.written, rg.revision = value, revision
	return true
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
	rg.written, rg.revision = en.Value, en.Revision
}

func (rg *Registrar) nodeKey(id string) string { return rg.prefix + nodesPrefix + id }
