// Package claimer gives named resources, such as the planner or a shared
// limit, one holder at a time.
//
// The membership's view says which node should hold a resource; a record in
// the platform's store decides. The record is written by compare-and-swap
// only, and each new holder raises its epoch, which is the fencing number of
// what the holder does. No decision rests on a lease or a clock: a holder that
// is paused and wakes finds its next write refused.
//
// A resource passes from a live holder only by the holder's own release, asked
// for by a message between the two. It is taken from a holder that the view
// says is dead. Two nodes with different views cannot pass it to and fro: a
// live holder does not release what its own view gives it, and a node that has
// lost a resource waits, longer each time, before it takes it again.
//
// With the store down a holder keeps what it holds and nothing new is taken.
//
// # Usage
//
//	cl := claimer.New(store, prober.View, pool)
//	epoch, err := cl.Hold(ctx, "planner") // in each pass of the control loop
//	err = cl.Update(ctx, "planner", payload) // a write fenced by the record
//	cl.Release(ctx, "planner")
package claimer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// keyPrefix is where the records are in the store.
const keyPrefix = "claim/"

const (
	// The bounds of the delay before a failed acquisition is tried again.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 30 * time.Second
	// The bounds of the delay before a lost resource is taken again.
	minLossBackoff = 10 * time.Second
	maxLossBackoff = 10 * time.Minute
	// checkInterval is the mean time between two readings of a held record.
	checkInterval = 10 * time.Second
	// acquisitionsPerSecond and acquisitionBurst pace one node.
	acquisitionsPerSecond = 2
	acquisitionBurst      = 4
	// releaseTimeout bounds the question to a live holder.
	releaseTimeout = time.Second
)

// Errors of this layer.
var (
	// ErrNotOwner means that the view gives the resource to another node, or
	// is stale.
	ErrNotOwner = errors.New("resource belongs to another node")
	// ErrHeld means that another node holds the resource.
	ErrHeld = errors.New("resource is held by another node")
	// ErrWait means that an acquisition is not due yet.
	ErrWait = errors.New("acquisition is delayed")
	// ErrLost means that another node has taken the resource.
	ErrLost = errors.New("resource was taken by another node")
	// ErrUnavailable means that the store did not answer.
	ErrUnavailable = errors.New("claims cannot be read or written")
	// ErrCorrupt means that a record cannot be read.
	ErrCorrupt = errors.New("claim is corrupt")
)

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Claimer holds resources for one node.
type Claimer struct {
	store    storer.Store
	view     func() *prober.View
	caller   Caller
	random   *rand.Rand
	registry *counter.Registry
	pace     *rate.Limiter

	mu     sync.Mutex
	claims map[string]*claim
}

// claim is what the node knows of one resource. Its fields belong to whoever
// holds turn.
type claim struct {
	resource string
	turn     chan struct{}

	known       atomic.Pointer[holding]
	held        bool
	record      record
	revision    int64
	highest     int64
	pending     string
	confirmedAt time.Time
	nextCheck   time.Time
	notBefore   time.Time
	backoff     time.Duration
	lossDelay   time.Duration
	acquiredAt  time.Time
}

// holding is what any goroutine may read of a held resource.
type holding struct {
	epoch       int64
	confirmedAt time.Time
}

// Option changes a Claimer that is being made.
type Option func(*Claimer)

// WithRandom sets the source of delays.
func WithRandom(random *rand.Rand) Option { return func(cl *Claimer) { cl.random = random } }

// WithRegistry counts what the claimer does.
func WithRegistry(rg *counter.Registry) Option { return func(cl *Claimer) { cl.registry = rg } }

// New returns a claimer that holds nothing.
func New(st storer.Store, view func() *prober.View, caller Caller, opts ...Option) *Claimer {
	cl := &Claimer{
		store:  st,
		view:   view,
		caller: caller,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pace:   rate.NewLimiter(acquisitionsPerSecond, acquisitionBurst),
		claims: map[string]*claim{},
	}
	for _, opt := range opts {
		opt(cl)
	}
	return cl
}

// Hold returns the epoch under which the node holds a resource, and acquires
// the resource first if the view gives it to the node. It is called again and
// again; it reads a held record now and then, and gives the resource up when
// the view gives it to another node that asks for it.
func (cl *Claimer) Hold(ctx context.Context, resource string) (int64, error) {
	cm, err := cl.enter(ctx, resource)
	if err != nil {
		return 0, err
	}
	defer cm.leave()
	vw := cl.view()
	if vw.Stale() {
		return 0, ErrNotOwner
	}
	if cm.held {
		return cl.keep(ctx, cm, vw)
	}
	if !vw.Owns(resource) {
		return 0, ErrNotOwner
	}
	return cl.acquire(ctx, cm, vw)
}

// Epoch returns the epoch under which the node holds a resource as far as it
// knows, without a call or a wait. It reports false if the node was paused
// since it last confirmed that.
func (cl *Claimer) Epoch(resource string) (int64, bool) {
	cl.mu.Lock()
	cm := cl.claims[resource]
	cl.mu.Unlock()
	if cm == nil {
		return 0, false
	}
	vw := cl.view()
	at := cm.known.Load()
	if at == nil || vw.Stale() || at.confirmedAt.Before(vw.Since()) {
		return 0, false
	}
	return at.epoch, true
}

// Payload returns what stands with the record of a held resource.
func (cl *Claimer) Payload(ctx context.Context, resource string) ([]byte, bool) {
	cm, err := cl.enter(ctx, resource)
	if err != nil {
		return nil, false
	}
	defer cm.leave()
	return cm.record.payload, cm.held
}

// Update writes a payload into the record of a held resource. It fails with
// ErrLost if another node has taken the resource meanwhile, however long the
// node was paused.
func (cl *Claimer) Update(ctx context.Context, resource string, payload []byte) error {
	cm, err := cl.enter(ctx, resource)
	if err != nil {
		return err
	}
	defer cm.leave()
	if !cm.held {
		return ErrLost
	}
	next := cm.record
	next.payload = payload
	return cl.rewrite(ctx, cm, next)
}

// Release gives a resource up, so that its next holder need not wait.
func (cl *Claimer) Release(ctx context.Context, resource string) error {
	cm, err := cl.enter(ctx, resource)
	if err != nil {
		return err
	}
	defer cm.leave()
	if !cm.held {
		return nil
	}
	return cl.giveUp(ctx, cm)
}

// ReleaseAll gives all resources up at a planned stop.
func (cl *Claimer) ReleaseAll(ctx context.Context) {
	for _, resource := range cl.resources() {
		if err := cl.Release(ctx, resource); err != nil {
			cl.registry.Inc("claim", "unreleased")
		}
	}
}

func (cl *Claimer) resources() []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var all []string
	for resource := range cl.claims {
		all = append(all, resource)
	}
	return all
}

// enter waits for the turn on a resource.
func (cl *Claimer) enter(ctx context.Context, resource string) (*claim, error) {
	cl.mu.Lock()
	cm := cl.claims[resource]
	if cm == nil {
		cm = &claim{resource: resource, turn: make(chan struct{}, 1)}
		cl.claims[resource] = cm
	}
	cl.mu.Unlock()
	select {
	case cm.turn <- struct{}{}:
		return cm, nil
	case <-ctx.Done():
		return nil, ErrWait
	}
}

// leave ends the turn and makes the outcome known.
func (cm *claim) leave() {
	var hd *holding
	if cm.held {
		hd = &holding{cm.record.epoch, cm.confirmedAt}
	}
	cm.known.Store(hd)
	<-cm.turn
}

func (cm *claim) key() string { return keyPrefix + cm.resource }

// jitter returns a random part of a duration, at least half of it.
func (cl *Claimer) jitter(dn time.Duration) time.Duration {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return dn/2 + time.Duration(cl.random.Int64N(int64(dn/2)+1))
}
