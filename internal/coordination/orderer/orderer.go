// Package orderer brings backend servers to what the plan wants of them: it
// sends orders to load and unload models and to change roles. Whoever sends
// other orders to a server does so with the orderer's fencing numbers.
//
// Each backend server has a record in the platform's store with its fencing
// number and its memory ledger. The node that owns the server takes the record
// over by compare-and-swap, writes every intent before the order goes out, and
// forgets the record as soon as one of its writes does not certainly take
// effect. Each model has a record of the replicas that count; a replica leaves
// it before it is unloaded, and only if enough others stay.
//
// The decisions are in keepers, one a server, which take the time and the
// results of their tasks as arguments. All keepers belong to the goroutine that
// calls Pursue and Handle; tasks run in goroutines of their own and post their
// results to Events.
//
// # Usage
//
//	od := orderer.New(nodeID, store, orderer.WithCounters(registry))
//	od.Pursue(ctx, time.Now(), goals) // the goals of the servers that are owned
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

// eventBuffer is the number of results that wait for the control goroutine.
const eventBuffer = 64

// Event is the result of a task for the goroutine that owns the orderer.
type Event struct {
	keeper *keeper
	result result
}

// Orderer sends orders for the backend servers that its node owns.
type Orderer struct {
	self    string
	tools   tools
	random  *rand.Rand
	serving func(model, server string) bool
	keepers map[string]*keeper
	events  chan Event

	fenceFloor int64

	mu       sync.Mutex
	mandates map[string]Mandate
	raises   map[string]bool
}

// Option changes an Orderer that is being made.
type Option func(*Orderer)

// WithCounters makes the orderer count in rg.
func WithCounters(rg *counter.Registry) Option {
	return func(od *Orderer) { od.tools.counters = rg }
}

// WithEngines sets how engines are reached.
func WithEngines(eg Engines) Option { return func(od *Orderer) { od.tools.engines = eg } }

// WithTokens sets the limits that all nodes share.
func WithTokens(tk Tokens) Option { return func(od *Orderer) { od.tools.tokens = tk } }

// WithRandom sets the source of jitter and batch ids.
func WithRandom(random *rand.Rand) Option { return func(od *Orderer) { od.random = random } }

// WithFenceFloor sets the greatest fencing number that may have been in use
// before the store's records begin.
func WithFenceFloor(floor int64) Option { return func(od *Orderer) { od.fenceFloor = floor } }

// WithServing sets how to tell whether a server is known and serves a model, by
// its load reports. Only such servers count when a replica is to be unloaded.
func WithServing(serving func(model, server string) bool) Option {
	return func(od *Orderer) { od.serving = serving }
}

// New returns the orderer of the node self, which owns nothing yet.
func New(self string, st storer.Store, opts ...Option) *Orderer {
	od := &Orderer{
		self: self,
		tools: tools{
			store:   st,
			engines: NewHTTPEngines(forwarder.New()),
			tokens:  NewLocalTokens(1, 1),
			now:     time.Now,
		},
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		serving: func(string, string) bool { return true },
		keepers: map[string]*keeper{},
		events:  make(chan Event, eventBuffer),

		mandates: map[string]Mandate{},
		raises:   map[string]bool{},
	}
	for _, opt := range opts {
		opt(od)
	}
	return od
}

// Pursue sets the goals of the servers that the node owns now and starts the
// tasks that are due. It does not wait for any of them.
func (od *Orderer) Pursue(ctx context.Context, now time.Time, goals []*Goal) {
	owned := map[string]bool{}
	for _, gl := range goals {
		owned[gl.server] = true
		od.keeper(gl).goal = gl
	}
	for server, kp := range od.keepers {
		if !owned[server] {
			delete(od.keepers, server)
			od.unshare(server)
			kp.abandon()
			continue
		}
		od.advance(ctx, now, kp)
	}
}

func (od *Orderer) keeper(gl *Goal) *keeper {
	kp, ok := od.keepers[gl.server]
	if !ok {
		kp = newKeeper(od.self, gl, od.random, od.tools.counters)
		kp.serving = od.serving
		kp.fenceFloor = od.fenceFloor
		od.keepers[gl.server] = kp
	}
	return kp
}

// Events returns the results that have to be given to Handle.
func (od *Orderer) Events() <-chan Event { return od.events }

// Handle takes the result of a task and starts the next one.
func (od *Orderer) Handle(ctx context.Context, now time.Time, ev Event) {
	ev.keeper.done(now, ev.result)
	if od.keepers[ev.keeper.goal.server] != ev.keeper {
		ev.keeper.abandon()
		return
	}
	od.advance(ctx, now, ev.keeper)
}

// advance starts the keeper's next task in a goroutine of its own.
func (od *Orderer) advance(ctx context.Context, now time.Time, kp *keeper) {
	od.share(kp)
	tk := kp.next(now)
	if tk == nil {
		return
	}
	go func() {
		rs := tk.perform(ctx, &od.tools)
		select {
		case od.events <- Event{kp, rs}:
		case <-ctx.Done():
		}
	}()
}
