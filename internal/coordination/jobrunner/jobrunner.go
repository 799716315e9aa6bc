// Package jobrunner runs accepted requests asynchronously. It accepts a job
// once it is durable, runs it when there is room, and stores its result.
//
// A job is one value in the platform's store, changed only by compare-and-swap.
// The owner of the job's shard claims the job, runs it and writes its end. If
// the executor of a job is gone, the shard's owner claims it again. A request
// that may not be repeated runs under a key in the at-most-once record. The key
// is stored with the first claim. The executor of a second claim therefore
// learns the outcome of the first run, or ends the job with an unknown outcome
// if the record does not hold it.
//
// # Usage
//
//	rn := jobrunner.New("entry-1", store, view, pool, settings, executor)
//	go rn.Run(ctx)
//	jb, rf := rn.Accept(ctx, jobrunner.Submission{Caller: "desk", Request: rq})
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
	// Execute runs the request. A refusal with outcome not-run and a retry
	// delay means that there was no room.
	Execute(ctx context.Context, jb *Job) (Result, *refuser.Refusal)
	// Repeatable reports whether the request may be run more than once.
	Repeatable(rq Request) bool
}

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// jobRef identifies a job.
type jobRef struct {
	shard int
	id    string
}

// Runner accepts jobs and runs those of the shards that its node owns.
type Runner struct {
	node        string // id of the node
	incarnation string // node id and a random part; identifies this process as an executor
	store       storer.Store
	view        func() *prober.View // current cluster membership
	caller      Caller
	settings    func() *configurer.Records // current settings, or nil
	executor    Executor
	registry    *counter.Registry

	mu        sync.Mutex
	random    *mathrand.Rand                // source of jitter; guarded by mu
	pending   []jobRef                      // jobs to claim, in order; guarded by mu
	active    map[jobRef]context.CancelFunc // cancel functions of running jobs; guarded by mu
	nextScans map[int]time.Time             // next scan of each owned shard; used by Run only
	wake      chan struct{}                 // signals a pending job or the end of an active one
	running   sync.WaitGroup                // goroutines of active jobs
}

// Option configures a Runner.
type Option func(*Runner)

// WithRegistry sets the registry of the runner's metrics; the default is none.
func WithRegistry(rg *counter.Registry) Option { return func(rn *Runner) { rn.registry = rg } }

// WithRandom sets the source of jitter.
func WithRandom(random *mathrand.Rand) Option { return func(rn *Runner) { rn.random = random } }

// New returns the runner of a node. The function settings returns nil while no
// configuration is in force.
func New(node string, st storer.Store, view func() *prober.View, cl Caller, settings func() *configurer.Records, ex Executor, opts ...Option) *Runner {
	rn := &Runner{
		node:        node,
		incarnation: node + "/" + rand.Text(),
		store:       st,
		view:        view,
		caller:      cl,
		settings:    settings,
		executor:    ex,
		random:      mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
		active:      map[jobRef]context.CancelFunc{},
		nextScans:   map[int]time.Time{},
		wake:        make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(rn)
	}
	return rn
}

// storeKey returns the store key of a job.
func storeKey(ref jobRef) string { return fmt.Sprintf("job/%d/%s", ref.shard, ref.id) }

// shardResource returns the name under which nodes own a shard.
func shardResource(shard int) string { return fmt.Sprintf("job/%d", shard) }

// signal wakes Run.
func (rn *Runner) signal() {
	select {
	case rn.wake <- struct{}{}:
	default:
	}
}

// jitter returns a random duration from half of dn to all of it.
func (rn *Runner) jitter(dn time.Duration) time.Duration {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return dn/2 + time.Duration(rn.random.Int64N(int64(dn/2)+1))
}

// Handle answers a peer's notice of a job with whether this node runs the job.
// It cancels the run if the notice says so. Otherwise it queues the job if this
// node owns the shard and does not run it.
func (rn *Runner) Handle(notice *messenger.JobNotice) *messenger.JobNotice {
	ref := jobRef{notice.Shard, notice.ID}
	rn.mu.Lock()
	cancel, running := rn.active[ref]
	rn.mu.Unlock()
	if running && notice.Cancel {
		cancel()
	}
	if !running && !notice.Cancel && rn.view().Owns(shardResource(ref.shard)) {
		rn.enqueue(ref)
	}
	return &messenger.JobNotice{Shard: notice.Shard, ID: notice.ID, Running: running}
}

// enqueue adds a job to the pending ones unless it is among them, and wakes
// Run.
func (rn *Runner) enqueue(ref jobRef) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for _, known := range rn.pending {
		if known == ref {
			return
		}
	}
	rn.pending = append(rn.pending, ref)
	rn.signal()
}

// notify tells the owner of the job's shard that the job is pending. If the
// notice is lost, the owner's next scan finds the job.
func (rn *Runner) notify(ctx context.Context, ref jobRef) {
	owner, ok := rn.view().Owner(shardResource(ref.shard))
	switch {
	case !ok:
	case owner.ID == rn.view().Self():
		rn.enqueue(ref)
	default:
		_, _ = rn.caller.Call(ctx, owner.PeerAddress, &messenger.JobNotice{Shard: ref.shard, ID: ref.id})
	}
}
