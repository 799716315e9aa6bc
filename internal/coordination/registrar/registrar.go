// Package registrar keeps a node registered in the platform's store under a
// lease, knows the nodes that are, and lets one of them lead.
//
// The registration and the leadership of a node end with its lease. A node
// leads only while it knows that its lease lasts, counted from before it asked
// for it by a clock that runs while the machine is suspended, and only after a
// time in which an earlier leader can no longer act.
//
// # Usage
//
//	rg := registrar.New(keyspace, "lagoonpass/", presence, registrar.WithLifetime(2*time.Second))
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
	// renewals is how many renewals fit in a lifetime.
	renewals = 4
	// retryPause is the time between two steps while something is missing.
	retryPause = 100 * time.Millisecond
	// nodesFolder stands under the registrar's prefix.
	nodesFolder = "nodes/"
	// recentNodes is how long a node that is gone counts in Nodes.
	recentNodes = 30 * time.Second
)

// LeaderKey is the key under the registrar's prefix whose revision is the term
// of the node that leads.
const LeaderKey = "leader"

// Registrar is the registration of one node.
type Registrar struct {
	store    storer.Keyspace
	prefix   string
	presence func() messenger.Presence
	ready    func() bool
	lifetime time.Duration
	handover time.Duration
	registry *counter.Registry
	clock    func() time.Duration
	wake     chan struct{}
	view     atomic.Pointer[prober.View]

	mu        sync.Mutex
	lease     storer.Lease
	renewedAt time.Duration
	renewAt   time.Duration
	written   []byte
	revision  int64
	synced    bool
	members   map[string]member
	gone      map[string]time.Duration
	leader    storer.Entry
	term      int64
	wonAt     time.Duration
}

// member is a registered node.
type member struct {
	presence messenger.Presence
	ready    bool
	revision int64
}

// Option changes a Registrar that is being made.
type Option func(*Registrar)

// WithLifetime sets how long the node counts as alive without a renewal.
func WithLifetime(dn time.Duration) Option { return func(rg *Registrar) { rg.lifetime = dn } }

// WithHandover sets how long no leader acts between two of them.
func WithHandover(dn time.Duration) Option { return func(rg *Registrar) { rg.handover = dn } }

// WithRegistry counts what the registrar does.
func WithRegistry(cr *counter.Registry) Option { return func(rg *Registrar) { rg.registry = cr } }

// WithReady tells whether the node serves callers.
func WithReady(ready func() bool) Option { return func(rg *Registrar) { rg.ready = ready } }

// WithClock replaces the clock, which has to run while the machine is
// suspended.
func WithClock(clock func() time.Duration) Option { return func(rg *Registrar) { rg.clock = clock } }

// New returns a registrar of the node that says presence of itself. The id in
// it differs from that of any earlier process.
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
		gone:     map[string]time.Duration{},
	}
	for _, opt := range opts {
		opt(rg)
	}
	rg.rebuild()
	return rg
}

// View returns the nodes that are registered, and this one.
func (rg *Registrar) View() *prober.View { return rg.view.Load() }

// Nodes returns how many nodes there are or lately were.
func (rg *Registrar) Nodes() int {
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
	for id, at := range rg.gone {
		if now-at > recentNodes {
			delete(rg.gone, id)
			continue
		}
		count++
	}
	return count
}

// Notify makes the registrar write what the node says of itself at once.
func (rg *Registrar) Notify() {
	select {
	case rg.wake <- struct{}{}:
	default:
	}
}

// Run keeps the node registered until the context ends.
func (rg *Registrar) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rp := replicator.New(rg.store, rg.prefix, rg, replicator.WithRegistry(rg.registry))
	var following sync.WaitGroup
	defer following.Wait()
	defer cancel()
	following.Go(func() { _ = rp.Run(ctx) })
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

// step does what is due and returns the time until the next look.
func (rg *Registrar) step(ctx context.Context) time.Duration {
	if !rg.keepLease(ctx) {
		return retryPause
	}
	if !rg.register(ctx) {
		return retryPause
	}
	if rg.mayStand() {
		rg.stand(ctx)
	}
	if rg.vacant() {
		return retryPause
	}
	return rg.lifetime / renewals
}

// keepLease obtains or renews the lease and reports whether there is one.
func (rg *Registrar) keepLease(ctx context.Context) bool {
	rg.mu.Lock()
	lease, due := rg.lease, rg.clock() >= rg.renewAt
	rg.mu.Unlock()
	if lease != 0 && !due {
		return true
	}
	asked := rg.clock()
	var ttl time.Duration
	var err error
	if lease == 0 {
		lease, ttl, err = rg.store.Grant(ctx, rg.lifetime)
	} else {
		ttl, err = rg.store.Renew(ctx, lease)
	}
	if storer.Is(err, storer.NotFound) {
		log.WithField("lease", int64(lease)).Warn("lease ended; registering anew")
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
		log.WithField("lease", int64(lease)).WithField("lifetime-ms", ttl.Milliseconds()).Info("lease granted")
	}
	rg.lease = lease
	rg.renewedAt = asked
	rg.renewAt = asked + ttl/renewals
	return true
}

func (rg *Registrar) forgetLease() {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.lease, rg.written, rg.revision = 0, nil, 0
	rg.renewAt = 0
	rg.resignLocked("lease ended")
}

// register writes what the node says of itself if that changed.
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
		rg.settle(ctx, key)
		return false
	case err != nil:
		return false
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.written, rg.revision = value, revision
	return true
}

// settle reads what became of a write that may have taken effect.
func (rg *Registrar) settle(ctx context.Context, key string) {
	en, err := rg.store.Get(ctx, key)
	if err != nil && !storer.Is(err, storer.NotFound) {
		return
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.written, rg.revision = en.Value, en.Revision
}

func (rg *Registrar) nodeKey(id string) string { return rg.prefix + nodesFolder + id }
