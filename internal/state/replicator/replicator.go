// Package replicator keeps a local copy of the keys under a prefix of the
// platform's store. It follows a watch and reloads all keys after the watch
// missed changes.
//
// # Usage
//
//	counted := replicator.WithRegistry(registry)
//	rp := replicator.New(keyspace, "nodes/", sink, counted)
//	err := rp.Run(ctx)
//
// The replicator calls the sink in order, from one goroutine.
package replicator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

const (
	// defaultWait is how long one watch call waits for a change. It is also the
	// delay until a silent connection is noticed.
	defaultWait = 2 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call, before
	// jitter.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Sink receives the state of the keys. A Replicator calls it from one
// goroutine.
type Sink interface {
	// Replace replaces all known entries.
	Replace(entries []storer.Entry)
	// Apply applies changes to the entries known so far, in order.
	Apply(changes []storer.Change)
	// StoreDown reports that the store stopped answering. It is called once for
	// each outage.
	StoreDown()
	// StoreRestored reports that the store returned from an older copy and begins
	// an era. Revisions and leases that were seen before mean nothing any more. A
	// call of Replace follows.
	StoreRestored(era int64)
	// StoreUp reports that the store answers again. Calls of Replace or Apply
	// follow.
	StoreUp()
}

// Replicator copies the keys under one prefix to a Sink.
type Replicator struct {
	store    storer.Keyspace
	prefix   string
	sink     Sink
	registry *counter.Registry

	wait     func() time.Duration // how long the next watch call waits
	pause    time.Duration        // time after a watch that brought changes
	progress func(revision int64)

	revision int64 // revision from which to watch; 0 means reload
	era      int64 // era of revision; 0 means none
	failures int   // failed calls in a row
}

// Option configures a new Replicator.
type Option func(*Replicator)

// WithRegistry makes the replicator count failed and restarted watches in rg.
func WithRegistry(rg *counter.Registry) Option { return func(rp *Replicator) { rp.registry = rg } }

// WithRevision makes the replicator watch from a revision of an era up to which
// the sink already has every change.
func WithRevision(era, revision int64) Option {
	return func(rp *Replicator) { rp.era, rp.revision = era, revision }
}

// WithWait sets the function that returns how long the next watch call waits.
func WithWait(wait func() time.Duration) Option { return func(rp *Replicator) { rp.wait = wait } }

// WithPause sets the time after a watch that brought changes. Changes in that
// time arrive together, with one call.
func WithPause(pause time.Duration) Option { return func(rp *Replicator) { rp.pause = pause } }

// WithProgress sets a function that is called after each answer of the store,
// with the revision up to which the sink has every change.
func WithProgress(progress func(revision int64)) Option {
	return func(rp *Replicator) { rp.progress = progress }
}

// New returns a replicator of the keys under the prefix to sk. Call Run to
// start it.
func New(st storer.Keyspace, prefix string, sk Sink, opts ...Option) *Replicator {
	rp := &Replicator{
		store:    st,
		prefix:   prefix,
		sink:     sk,
		wait:     func() time.Duration { return defaultWait },
		progress: func(int64) {},
	}
	for _, opt := range opts {
		opt(rp)
	}
	return rp
}

// Run copies the keys until the context ends and then returns nil. It retries
// failed calls with exponential backoff.
func (rp *Replicator) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := rp.step(ctx); err != nil && ctx.Err() == nil {
			rp.recordFailure(ctx, err)
		}
	}
	return nil
}

// step makes one call to the store and passes the result to the sink.
func (rp *Replicator) step(ctx context.Context) error {
	if rp.revision == 0 || rp.era != 0 && rp.era != rp.store.Era() {
		return rp.reload(ctx)
	}
	changes, revision, err := rp.store.Watch(ctx, rp.prefix, rp.revision, rp.wait())
	if storer.Is(err, storer.TooOld) {
		log.WithField("prefix", rp.prefix).WithField("revision", rp.revision).Warn("watch missed changes; reloading all keys under the prefix")
		rp.registry.Inc("watch", "too-old")
		rp.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	rp.recordSuccess()
	if rp.era == 0 {
		rp.era = rp.store.Era()
	}
	if len(changes) > 0 {
		rp.sink.Apply(changes)
	}
	for _, ch := range changes {
		rp.revision = max(rp.revision, ch.Revision)
	}
	rp.revision = max(rp.revision, revision)
	rp.progress(rp.revision)
	if len(changes) > 0 {
		waiter.Sleep(ctx, rp.pause)
	}
	return nil
}

// reload reads all keys and replaces the sink's entries.
func (rp *Replicator) reload(ctx context.Context) error {
	begun := rp.store.Era()
	entries, revision, err := rp.store.Snapshot(ctx, rp.prefix)
	if err != nil {
		return err
	}
	era := rp.store.Era()
	if begun != 0 && begun != era {
		return errors.Wrap(storer.ErrEraChanged, "replicator: reload keys")
	}
	if rp.era != 0 && era > rp.era {
		rp.sink.StoreRestored(era)
	}
	rp.era = era
	rp.recordSuccess()
	rp.sink.Replace(entries)
	rp.revision = revision
	rp.progress(rp.revision)
	return nil
}

// recordSuccess ends an outage.
func (rp *Replicator) recordSuccess() {
	if rp.failures > 0 {
		log.WithField("prefix", rp.prefix).WithField("failures", rp.failures).Info("store answers again")
		rp.sink.StoreUp()
	}
	rp.failures = 0
}

// recordFailure reports the start of an outage to the sink and waits for the
// backoff.
func (rp *Replicator) recordFailure(ctx context.Context, err error) {
	rp.registry.Inc("watch", "failed")
	if rp.failures == 0 {
		log.WithError(err).WithField("prefix", rp.prefix).Warn("store does not answer")
		rp.sink.StoreDown()
	}
	backoff := min(minBackoff<<min(rp.failures, 8), maxBackoff)
	rp.failures++
	waiter.Sleep(ctx, backoff/2+rand.N(backoff))
}
