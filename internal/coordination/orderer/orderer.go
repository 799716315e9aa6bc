// Package orderer reconciles backend servers with the plan: it sends orders to
// load and unload models and to change roles. Other senders of orders, such as
// those for adapters, use the fencing numbers of the orderer.
//
// Each backend server has a record in the platform's store with its fencing
// number and its memory ledger. The node that owns the server takes the record
// over by compare-and-swap and writes every intent before it sends the order.
// It drops its copy of the record when it can't confirm that a write took
// effect. Each model has a record of the replicas that count. A replica is
// removed from that record before it is unloaded, and only if enough other
// replicas remain.
//
// Each server has one reconciler, which decides on the next step and receives
// the time and the results of its tasks as arguments. The goroutine that calls
// Reconcile and Handle owns all reconcilers. Tasks run in their own goroutines
// and post their results to Events.
//
// # Usage
//
//	od := orderer.New(nodeID, store, orderer.WithCounters(registry))
//	od.Reconcile(ctx, time.Now(), goals) // one goal for each owned server
//	for ev := range od.Events() {
//		od.Handle(ctx, time.Now(), ev)
//	}
package orderer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
)

// eventBuffer is the number of results that can wait for the control goroutine.
const eventBuffer = 64

// Event is the result of a task. Pass it to Orderer.Handle.
type Event struct {
	reconciler *reconciler
	result     result
}

// Orderer sends orders for the backend servers that its node owns.
type Orderer struct {
	self        string // ID of this node
	deps        deps
	random      *rand.Rand
	serving     func(model, server string) bool // according to load reports
	resident    func(model, server string) bool // weights are kept by the server\'s host
	reconcilers map[string]*reconciler          // by server
	events      chan Event

	fenceFloor int64 // see WithFenceFloor
	suspended  bool  // no tasks are started

	mu            sync.Mutex
	ownerships    map[string]Ownership // by server
	fenceRequests map[string]bool      // servers whose fencing number is to be advanced
}

// Option configures an Orderer.
type Option func(*Orderer)

// WithCounters sets the registry for the orderer's counters.
func WithCounters(rg *counter.Registry) Option {
	return func(od *Orderer) { od.deps.counters = rg }
}

// WithEngines sets the client that sends orders to engines. The default sends
// them over HTTP.
func WithEngines(eg Engines) Option { return func(od *Orderer) { od.deps.engines = eg } }

// WithTokens sets the source of tokens for the shared limits. The default
// allows this node one load of a model and one of an adapter at a time.
func WithTokens(tk Tokens) Option { return func(od *Orderer) { od.deps.tokens = tk } }

// WithRandom sets the random source for jitter and batch IDs.
func WithRandom(random *rand.Rand) Option { return func(od *Orderer) { od.random = random } }

// WithFenceFloor sets the greatest fencing number that may have been used
// before the records in the store were created.
func WithFenceFloor(floor int64) Option { return func(od *Orderer) { od.fenceFloor = floor } }

// WithServing sets the function that reports whether a server is known and
// serves a model according to its load reports. A replica is unloaded only if
// enough other servers for which serving is true remain.
func WithServing(serving func(model, server string) bool) Option {
	return func(od *Orderer) { od.serving = serving }
}

// WithResident sets the function that reports whether a server's host keeps a model's
// weights in its memory or on its disk. A load from there takes no token of the weight
// store.
func WithResident(resident func(model, server string) bool) Option {
	return func(od *Orderer) { od.resident = resident }
}

// New returns an orderer for the node self. It owns no servers yet.
func New(self string, st storer.Store, opts ...Option) *Orderer {
	od := &Orderer{
		self: self,
		deps: deps{
			store:   st,
			engines: NewHTTPEngines(forwarder.New()),
			tokens:  NewLocalTokens(1, 1),
			now:     time.Now,
		},
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		serving:     func(string, string) bool { return true },
		resident:    func(string, string) bool { return false },
		reconcilers: map[string]*reconciler{},
		events:      make(chan Event, eventBuffer),

		ownerships:    map[string]Ownership{},
		fenceRequests: map[string]bool{},
	}
	for _, opt := range opts {
		opt(od)
	}
	return od
}

// Reconcile sets the goals of the servers that the node owns now and starts the
// tasks that are due, without waiting for them. It stops reconciling servers
// that are missing from goals.
func (od *Orderer) Reconcile(ctx context.Context, now time.Time, goals []*Goal) {
	od.suspended = false
	owned := map[string]bool{}
	for _, gl := range goals {
		owned[gl.server] = true
		od.reconciler(gl).goal = gl
	}
	for server, rc := range od.reconcilers {
		if !owned[server] {
			delete(od.reconcilers, server)
			od.withdraw(server)
			rc.stop()
			continue
		}
		od.startNext(ctx, now, rc)
	}
}

func (od *Orderer) reconciler(gl *Goal) *reconciler {
	rc, ok := od.reconcilers[gl.server]
	if !ok {
		rc = newReconciler(od.self, gl, od.random, od.deps.counters)
		rc.serving, rc.resident = od.serving, od.resident
		rc.fenceFloor = od.fenceFloor
		od.reconcilers[gl.server] = rc
	}
	return rc
}

// Events returns the channel of results, each of which must be passed to
// Handle.
func (od *Orderer) Events() <-chan Event { return od.events }

// Handle processes the result of a task and starts the next task of the server.
func (od *Orderer) Handle(ctx context.Context, now time.Time, ev Event) {
	ev.reconciler.done(now, ev.result)
	if od.reconcilers[ev.reconciler.goal.server] != ev.reconciler {
		ev.reconciler.stop()
		return
	}
	od.startNext(ctx, now, ev.reconciler)
}

// Suspend starts no more tasks until the next call of Reconcile.
func (od *Orderer) Suspend() { od.suspended = true }

// startNext starts the reconciler's next task, if any, in a new goroutine.
func (od *Orderer) startNext(ctx context.Context, now time.Time, rc *reconciler) {
	od.publish(rc)
	if od.suspended {
		return
	}
	tk := rc.next(now)
	if tk == nil {
		return
	}
	go func() {
		rs := tk.perform(ctx, &od.deps)
		select {
		case od.events <- Event{rc, rs}:
		case <-ctx.Done():
		}
	}()
}
