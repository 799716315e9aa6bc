// Package claimer ensures that a named resource, such as the planner or a
// shared limit, has at most one holder at a time.
//
// The membership view says which node should hold a resource; a record in the
// platform's store decides which node does. The record is written only by
// compare-and-swap. Each new holder increments its epoch, which is the fencing
// number of the holder's actions. Nothing depends on a lease or a clock: when a
// paused holder resumes, the store refuses its next write.
//
// A live holder loses a resource only by releasing it, which another node
// requests with a message. A node takes a resource without a release if its
// view says that the holder is dead. Two nodes with different views don't take
// a resource from each other repeatedly: a live holder doesn't release a
// resource that its own view assigns to it, and a node that lost a resource
// waits before it takes the resource again, longer after each loss.
//
// While the store is down, holders keep their resources and no node acquires
// new ones.
//
// # Usage
//
//	cl := claimer.New(store, pb.View, pool) // pb is the node's prober.Prober
//	epoch, err := cl.Hold(ctx, "planner") // in each pass of the control loop
//	err = cl.Update(ctx, "planner", payload) // fails if the claim is lost
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

// keyPrefix is the prefix of the records' keys in the store.
const keyPrefix = "claim/"

const (
	// The bounds of the delay after a failed acquisition.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 30 * time.Second
	// The bounds of the delay after the loss of a resource.
	minLossBackoff = 10 * time.Second
	maxLossBackoff = 10 * time.Minute
	// checkInterval is the longest time between two reads of a held record; the
	// shortest is half of it.
	checkInterval = 10 * time.Second
	// acquisitionsPerSecond and acquisitionBurst limit the acquisitions of a node.
	acquisitionsPerSecond = 2
	acquisitionBurst      = 4
	// releaseTimeout bounds a release request to a live holder.
	releaseTimeout = time.Second
)

// The errors that a Claimer returns.
var (
	// ErrNotOwner means that the view assigns the resource to another node, or
	// is stale.
	ErrNotOwner = errors.New("resource belongs to another node")
	// ErrHeld means that another node holds the resource.
	ErrHeld = errors.New("resource is held by another node")
	// ErrWait means that an acquisition is not due yet, or that the context ended
	// before the claim was free.
	ErrWait = errors.New("acquisition is delayed")
	// ErrLost means that another node has taken the resource.
	ErrLost = errors.New("resource was taken by another node")
	// ErrUnavailable means that the store did not answer. A write may have
	// taken effect.
	ErrUnavailable = errors.New("claims cannot be read or written")
	// ErrCorrupt means that a record cannot be decoded.
	ErrCorrupt = errors.New("claim is corrupt")
)

// Caller sends messages to peers.
type Caller interface {
	// Call sends a message to the peer at the address and returns its answer.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Claimer acquires and holds resources for one node. It is safe for concurrent
// use.
type Claimer struct {
	store    storer.Store
	view     func() *prober.View
	caller   Caller
	random   *rand.Rand
	registry *counter.Registry
	limiter  *rate.Limiter

	mu     sync.Mutex
	claims map[string]*claim
}

// claim is the node's state of one resource. Only the goroutine that holds lock
// may access its fields, except published.
type claim struct {
	resource string
	// lock has room for one value; the goroutine that sent it holds the lock.
	lock chan struct{}

	// published is the state for readers without lock; nil if the node doesn't
	// hold the resource.
	published atomic.Pointer[holding]
	held      bool
	// record and revision are those of the last confirmation.
	record   record
	revision int64
	// highestEpoch is the highest epoch under which the node held the resource.
	highestEpoch int64
	// pendingBatch is the batch of the last acquisition that was written; its
	// answer may be lost.
	pendingBatch string
	// confirmedAt is when the record last confirmed that the node is the holder.
	confirmedAt time.Time
	// nextCheck is when the record of a held resource is read again.
	nextCheck time.Time
	// notBefore is the earliest time of the next acquisition.
	notBefore time.Time
	// backoff is the last delay after a failed acquisition.
	backoff time.Duration
	// lossDelay is the last delay after the loss of the resource.
	lossDelay  time.Duration
	acquiredAt time.Time
}

// holding is the state of a held resource that any goroutine may read.
type holding struct {
	epoch       int64
	confirmedAt time.Time
}

// Option configures a Claimer.
type Option func(*Claimer)

// WithRandom sets the random source of the jitter.
func WithRandom(random *rand.Rand) Option { return func(cl *Claimer) { cl.random = random } }

// WithRegistry sets the registry of the claimer's counters.
func WithRegistry(rg *counter.Registry) Option { return func(cl *Claimer) { cl.registry = rg } }

// New returns a claimer that holds nothing.
func New(st storer.Store, view func() *prober.View, caller Caller, opts ...Option) *Claimer {
	cl := &Claimer{
		store:   st,
		view:    view,
		caller:  caller,
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		limiter: rate.NewLimiter(acquisitionsPerSecond, acquisitionBurst),
		claims:  map[string]*claim{},
	}
	for _, opt := range opts {
		opt(cl)
	}
	return cl
}

// Hold returns the epoch under which the node holds a resource, and acquires
// the resource first if the view assigns it to the node. Callers call it
// repeatedly: it reads the record of a held resource once per check interval,
// and releases the resource when the node leaves the cluster. Errors wrap one
// of the package's errors.
func (cl *Claimer) Hold(ctx context.Context, resource string) (int64, error) {
	cm, err := cl.lockClaim(ctx, resource)
	if err != nil {
		return 0, err
	}
	defer cm.unlock()
	vw := cl.view()
	if vw.Stale() {
		return 0, ErrNotOwner
	}
	if cm.held {
		return cl.recheck(ctx, cm, vw)
	}
	if !vw.Owns(resource) {
		return 0, ErrNotOwner
	}
	return cl.acquire(ctx, cm, vw)
}

// Epoch returns the last confirmed epoch under which the node holds a resource.
// It neither blocks nor reads the store. It returns false if the node doesn't
// hold the resource, its view is stale, or it was paused since the
// confirmation.
func (cl *Claimer) Epoch(resource string) (int64, bool) {
	cl.mu.Lock()
	cm := cl.claims[resource]
	cl.mu.Unlock()
	if cm == nil {
		return 0, false
	}
	vw := cl.view()
	hd := cm.published.Load()
	if hd == nil || vw.Stale() || hd.confirmedAt.Before(vw.ValidSince()) {
		return 0, false
	}
	return hd.epoch, true
}

// Payload returns the payload in the record of a held resource, or false if the
// node doesn't hold the resource.
func (cl *Claimer) Payload(ctx context.Context, resource string) ([]byte, bool) {
	cm, err := cl.lockClaim(ctx, resource)
	if err != nil {
		return nil, false
	}
	defer cm.unlock()
	return cm.record.payload, cm.held
}

// Update writes a payload into the record of a held resource. It returns
// ErrLost if another node has taken the resource, however long this node was
// paused.
func (cl *Claimer) Update(ctx context.Context, resource string, payload []byte) error {
	cm, err := cl.lockClaim(ctx, resource)
	if err != nil {
		return err
	}
	defer cm.unlock()
	if !cm.held {
		return ErrLost
	}
	next := cm.record
	next.payload = payload
	return cl.rewrite(ctx, cm, next)
}

// Release releases a resource, so that its next holder need not wait.
func (cl *Claimer) Release(ctx context.Context, resource string) error {
	cm, err := cl.lockClaim(ctx, resource)
	if err != nil {
		return err
	}
	defer cm.unlock()
	if !cm.held {
		return nil
	}
	return cl.writeReleased(ctx, cm)
}

// ReleaseAll releases all resources, for a planned stop.
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

// lockClaim locks and returns the claim of a resource, or returns ErrWait if
// the context ends first.
func (cl *Claimer) lockClaim(ctx context.Context, resource string) (*claim, error) {
	cl.mu.Lock()
	cm := cl.claims[resource]
	if cm == nil {
		cm = &claim{resource: resource, lock: make(chan struct{}, 1)}
		cl.claims[resource] = cm
	}
	cl.mu.Unlock()
	select {
	case cm.lock <- struct{}{}:
		return cm, nil
	case <-ctx.Done():
		return nil, ErrWait
	}
}

// unlock publishes the state of the claim and unlocks it.
func (cm *claim) unlock() {
	var hd *holding
	if cm.held {
		hd = &holding{cm.record.epoch, cm.confirmedAt}
	}
	cm.published.Store(hd)
	<-cm.lock
}

func (cm *claim) key() string { return keyPrefix + cm.resource }

// jitter returns a random duration between half of dn and dn.
func (cl *Claimer) jitter(dn time.Duration) time.Duration {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return dn/2 + time.Duration(cl.random.Int64N(int64(dn/2)+1))
}
