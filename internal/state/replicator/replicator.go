// Package replicator keeps a copy of the keys under a prefix of the platform's
// store up to date by a watch, and takes the whole again where the watch missed
// something.
//
// # Usage
//
//	rp := replicator.New(keyspace, "nodes/", sink, replicator.WithRegistry(registry))
//	err := rp.Run(ctx)
//
// The sink hears of everything in order, from one goroutine.
package replicator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

const (
	// watchWait is how long one watch waits for a change. A connection that
	// fell silent is found out about as late.
	watchWait = 2 * time.Second
	// minPause and maxPause bound the pause after a call that failed.
	minPause = 50 * time.Millisecond
	maxPause = 400 * time.Millisecond
)

// Sink takes in what is known of the keys.
type Sink interface {
	// Replace says that the entries are all that there is.
	Replace(entries []storer.Entry)
	// Apply says what changed since.
	Apply(changes []storer.Change)
	// Lost says that the store no longer answers.
	Lost()
	// Regained says that it answers again; Replace or Apply follow.
	Regained()
}

// Replicator follows one prefix.
type Replicator struct {
	store    storer.Keyspace
	prefix   string
	sink     Sink
	registry *counter.Registry

	revision int64
	failures int
}

// Option changes a Replicator that is being made.
type Option func(*Replicator)

// WithRegistry counts what the replicator does.
func WithRegistry(rg *counter.Registry) Option { return func(rp *Replicator) { rp.registry = rg } }

// New returns a replicator of the keys under the prefix.
func New(st storer.Keyspace, prefix string, sk Sink, opts ...Option) *Replicator {
	rp := &Replicator{store: st, prefix: prefix, sink: sk}
	for _, opt := range opts {
		opt(rp)
	}
	return rp
}

// Run follows the keys until the context ends.
func (rp *Replicator) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := rp.step(ctx); err != nil && ctx.Err() == nil {
			rp.failed(ctx, err)
		}
	}
	return nil
}

// step makes one call and passes its result on.
func (rp *Replicator) step(ctx context.Context) error {
	if rp.revision == 0 {
		return rp.reload(ctx)
	}
	changes, revision, err := rp.store.Watch(ctx, rp.prefix, rp.revision, watchWait)
	if storer.Is(err, storer.TooOld) {
		log.WithField("prefix", rp.prefix).WithField("revision", rp.revision).Warn("watch missed changes; taking the whole again")
		rp.registry.Inc("watch", "too-old")
		rp.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	rp.answered()
	if len(changes) > 0 {
		rp.sink.Apply(changes)
	}
	for _, ch := range changes {
		rp.revision = max(rp.revision, ch.Revision)
	}
	rp.revision = max(rp.revision, revision)
	return nil
}

// reload takes the whole.
func (rp *Replicator) reload(ctx context.Context) error {
	entries, revision, err := rp.store.Snapshot(ctx, rp.prefix)
	if err != nil {
		return err
	}
	rp.answered()
	rp.sink.Replace(entries)
	rp.revision = revision
	return nil
}

func (rp *Replicator) answered() {
	if rp.failures > 0 {
		log.WithField("prefix", rp.prefix).WithField("failures", rp.failures).Info("store answers again")
		rp.sink.Regained()
	}
	rp.failures = 0
}

func (rp *Replicator) failed(ctx context.Context, err error) {
	rp.registry.Inc("watch", "failed")
	if rp.failures == 0 {
		log.WithError(err).WithField("prefix", rp.prefix).Warn("store does not answer")
		rp.sink.Lost()
	}
	pause := min(minPause<<min(rp.failures, 8), maxPause)
	rp.failures++
	waiter.Sleep(ctx, pause/2+rand.N(pause))
}
