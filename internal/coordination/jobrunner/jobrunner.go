// Package jobrunner keeps work that was accepted for later: it accepts a job
// once it is durable, runs it once there is room, and keeps its result.
//
// A job is one value of the platform's store, changed by compare-and-swap
// alone. The owner of a job's shard claims it, runs it and writes its end. A
// job whose executor is gone is claimed again. A call that may not be repeated
// runs under a key that was stored with the first claim, through the
// at-most-once record, so that a second claim finds out what became of the
// first, and ends the job as unknown if nobody can tell.
//
// # Usage
//
//	rn := jobrunner.New("entry-1", store, view, pool, settings, executor)
//	go rn.Run(ctx)
//	jb, rf := rn.Accept(ctx, jobrunner.Order{Caller: "desk", Request: rq})
//	jb, rf = rn.Get(ctx, "desk", jb.ID())
//
// Peers' JobNotice messages go to Handle.
package jobrunner

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// Executor runs the request of a job.
type Executor interface {
	// Execute runs the request. A refusal with outcome not-run and a time to
	// wait means that there was no room.
	Execute(ctx context.Context, jb *Job) (Result, *refuser.Refusal)
	// Repeatable reports whether the request may be run more than once.
	Repeatable(rq Request) bool
}

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// place names a job.
type place struct {
	shard int
	id    string
}

// Runner is one node's part in jobs.
type Runner struct {
	node     string
	life     string
	store    storer.Store
	view     func() *prober.View
	caller   Caller
	settings func() *configurer.Records
	executor Executor
	registry *counter.Registry

	mu      sync.Mutex
	random  *mathrand.Rand
	pending []place
	active  map[place]context.CancelFunc
	owned   map[int]time.Time
	wake    chan struct{}
	running sync.WaitGroup
}

// Option changes a Runner that is being made.
type Option func(*Runner)

// WithRegistry makes the runner count in rg.
func WithRegistry(rg *counter.Registry) Option { return func(rn *Runner) { rn.registry = rg } }

// WithRandom makes the runner draw its delays from random.
func WithRandom(random *mathrand.Rand) Option { return func(rn *Runner) { rn.random = random } }

// New returns the runner of a node. The settings may be nil while no
// configuration is in force.
func New(node string, st storer.Store, view func() *prober.View, cl Caller, settings func() *configurer.Records, ex Executor, opts ...Option) *Runner {
	rn := &Runner{
		node:     node,
		life:     node + "/" + rand.Text(),
		store:    st,
		view:     view,
		caller:   cl,
		settings: settings,
		executor: ex,
		random:   mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
		active:   map[place]context.CancelFunc{},
		owned:    map[int]time.Time{},
		wake:     make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(rn)
	}
	return rn
}

func keyOf(pc place) string { return fmt.Sprintf("job/%d/%s", pc.shard, pc.id) }

func resource(shard int) string { return fmt.Sprintf("job/%d", shard) }

func (rn *Runner) signal() {
	select {
	case rn.wake <- struct{}{}:
	default:
	}
}

// jitter returns a random time from half of dn to all of it.
func (rn *Runner) jitter(dn time.Duration) time.Duration {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return dn/2 + time.Duration(rn.random.Int64N(int64(dn/2)+1))
}

// Handle answers a peer's notice of a job.
func (rn *Runner) Handle(notice *messenger.JobNotice) *messenger.JobNotice {
	pc := place{notice.Shard, notice.ID}
	rn.mu.Lock()
	cancel, holding := rn.active[pc]
	rn.mu.Unlock()
	if holding && notice.Cancel {
		cancel()
	}
	if !holding && !notice.Cancel && rn.view().Owns(resource(pc.shard)) {
		rn.enqueue(pc)
	}
	return &messenger.JobNotice{Shard: notice.Shard, ID: notice.ID, Running: holding}
}

// enqueue lets the loop look at a job.
func (rn *Runner) enqueue(pc place) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for _, known := range rn.pending {
		if known == pc {
			return
		}
	}
	rn.pending = append(rn.pending, pc)
	rn.signal()
}

// notify tells the owner of a job's shard; the owner's scan finds the job if
// the notice is lost.
func (rn *Runner) notify(ctx context.Context, pc place) {
	owner, ok := rn.view().Owner(resource(pc.shard))
	switch {
	case !ok:
	case owner.ID == rn.view().Self():
		rn.enqueue(pc)
	default:
		_, _ = rn.caller.Call(ctx, owner.PeerAddress, &messenger.JobNotice{Shard: pc.shard, ID: pc.id})
	}
}
