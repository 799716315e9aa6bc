package relayer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/state/replicator"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

// mayReadStore reports whether a node without a current source may read the
// store now: the others that come before it had their time, and the last
// failed attempt is long enough ago.
func (rl *Relayer) mayReadStore(sc Sources) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := rl.clock()
	return now >= rl.nextAttempt && now-rl.staleSince >= min(time.Duration(sc.Rank())*rankDelay, maxRankDelay)
}

// readStore follows the store until a peer can be asked instead, or until the
// store does not answer.
func (rl *Relayer) readStore(ctx context.Context) {
	if !rl.reachStore(ctx) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	var readers sync.WaitGroup
	defer readers.Wait()
	defer cancel()
	began, era := rl.clock(), rl.store.Era()
	alone := rl.startsAlone()
	started := 0
	for ctx.Err() == nil {
		wanted := len(rl.feeds)
		if alone && !rl.settled(began) {
			wanted = 1
		}
		for ; started < wanted; started++ {
			rl.startReader(ctx, &readers, rl.feeds[started])
		}
		if !waiter.Sleep(ctx, reviewInterval) {
			return
		}
		if era != 0 && era != rl.store.Era() {
			// Watches of the former era may wait for long.
			return
		}
		if rl.behind.Load() {
			rl.askConfiguration(ctx)
		}
		sc := Choose(rl.view(), rl.leader())
		if rl.askSome(ctx, sc.Before()) {
			return
		}
		if rl.Age() > maxRelayedAge && rl.clock()-began > maxRelayedAge {
			rl.noteStoreFailure(errOldCopy)
			return
		}
	}
}

// errOldCopy is logged if the watches of a node have had no answer for too long.
var errOldCopy = errors.New("relayer: watches of the store have no answer")

// reachStore asks the store for changes once, and reports whether it answered.
func (rl *Relayer) reachStore(ctx context.Context) bool {
	fd := rl.feeds[0]
	_, _, revision := fd.positions()
	rl.mu.Lock()
	reached := rl.clock()-rl.reachedAt < maxAge
	rl.mu.Unlock()
	if reached {
		return true
	}
	_, _, err := rl.store.Watch(ctx, fd.prefix, revision, 0)
	if err == nil || storer.Is(err, storer.TooOld) {
		return true
	}
	rl.noteStoreFailure(err)
	return false
}

// noteStoreFailure sets the time of the next attempt to reach the store, and
// tells the sinks that it is down.
func (rl *Relayer) noteStoreFailure(err error) {
	rl.mu.Lock()
	backoff := min(minStoreBackoff<<min(rl.storeFailures, 8), maxStoreBackoff)
	rl.storeFailures++
	rl.nextAttempt = rl.clock() + backoff/2 + rand.N(backoff)
	first := rl.storeFailures == 1
	rl.mu.Unlock()
	if first {
		log.WithError(err).Warn("store does not answer this node; it asks other nodes, and the copies stay in use")
	}
	for _, fd := range rl.feeds {
		fd.StoreDown()
	}
}

// startsAlone reports whether the node has no copy yet and knows no other node,
// as in a fleet that starts.
func (rl *Relayer) startsAlone() bool {
	_, position, _ := rl.feeds[len(rl.feeds)-1].positions()
	return position == 0 && len(rl.view().Members()) == 1
}

// settled reports whether a node that began to read alone may follow more than
// the first prefix. It waits longer if it has learnt of a node that reads the
// store before it.
func (rl *Relayer) settled(began time.Duration) bool {
	limit := settleTime
	if !Choose(rl.view(), rl.leader()).Reader() {
		limit = maxSettleTime
	}
	return rl.clock()-began >= limit
}

// startReader follows the store's keys under the prefix of a feed until the
// context ends.
func (rl *Relayer) startReader(ctx context.Context, readers *sync.WaitGroup, fd *feed) {
	era, _, revision := fd.positions()
	rd := &reader{feed: fd, era: era}
	rp := replicator.New(rl.store, fd.prefix, rd,
		replicator.WithRegistry(rl.registry),
		replicator.WithRevision(era, revision),
		replicator.WithPause(fd.pause),
		replicator.WithWait(rl.watchWait),
		replicator.WithProgress(func(revision int64) { rl.progress(rd, revision) }))
	readers.Go(func() { _ = rp.Run(ctx) })
}

// watchWait returns how long a watch waits.
func (rl *Relayer) watchWait() time.Duration {
	if rl.clock()-rl.confirmedAt() < maxAge {
		return readerWait
	}
	return deputyWait
}

// progress records an answer of the store.
func (rl *Relayer) progress(rd *reader, revision int64) {
	if rd.era == 0 {
		rd.era = rl.store.Era()
	}
	rd.advance(rd.era, revision)
	rd.StoreUp()
	rl.settle("", 0)
	rl.mu.Lock()
	rl.reachedAt = rl.clock()
	rl.mu.Unlock()
	rl.announce()
}
