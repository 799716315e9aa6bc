// Package relayer gives every node a copy of the keys under some prefixes of the
// platform's store, with calls to the store that do not grow with the number of
// nodes. One node reads the store; the others take the changes from it, over
// the connections between nodes.
//
// Choose says whom a node asks. A poll waits at the other node for the next
// change, and its answer says how old the copy there is at most: a node that is
// frozen or cut off from the store can't pass for one without news. If no other
// node has a current copy, a node reads the store itself, one after the other,
// so that a lost reader does not send all nodes to the store at once.
//
// Changes are ordered by the store's revisions. A node never takes a copy that
// lacks a change which it has already seen.
//
// # Usage
//
//	rl := relayer.New(store, view, leader, pool, []relayer.Prefix{
//		relayer.NewPrefix("servers/", sink, 400*time.Millisecond),
//	})
//	go rl.Run(ctx)
//	page, err := rl.Answer(ctx, poll) // a peer's messenger.FeedPoll
package relayer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/replicator"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/internal/stopwatch"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

const (
	// pollWait is how long a poll waits for a change. A node learns at this
	// interval how old its copy is.
	pollWait = 200 * time.Millisecond
	// minPollInterval is the least time between two polls that bring changes.
	minPollInterval = 20 * time.Millisecond
	// pollTimeout bounds a poll. A peer without an answer by then is frozen or
	// cut off.
	pollTimeout = 600 * time.Millisecond
	// probeTimeout bounds a poll of a peer that is not the present source.
	probeTimeout = 300 * time.Millisecond
	// maxAge is the age of the copy of the node that reads the store, above which
	// others turn away from it. maxRelayedAge is that of other nodes; it leaves
	// them the time to find another source.
	maxAge        = 900 * time.Millisecond
	maxRelayedAge = 1200 * time.Millisecond
	// minBlock and maxBlock bound the time in which a peer that failed is not
	// asked again.
	minBlock = time.Second
	maxBlock = 8 * time.Second
	// rankDelay is the time between two nodes that turn to the store, and
	// maxRankDelay the longest one.
	rankDelay    = 125 * time.Millisecond
	maxRankDelay = 4 * time.Second
	// maxAskedAtOnce is how many nodes are asked at once if no source has a
	// current copy.
	maxAskedAtOnce = 4
	// retryDelay is the pause before sources are tried again.
	retryDelay = 50 * time.Millisecond
	// reviewInterval is the time between two looks at whether a node should read
	// the store.
	reviewInterval = 250 * time.Millisecond
	// readerWait is how long a watch waits at the node whose age is confirmed by
	// other calls, and deputyWait at one without such calls.
	readerWait = 4 * time.Second
	deputyWait = 500 * time.Millisecond
	// settleTime is how long the first nodes of a fleet that starts follow only
	// the first prefix, to learn which of them is to read the store.
	settleTime = 400 * time.Millisecond
	// maxSettleTime is settleTime for those that are not.
	maxSettleTime = 2 * time.Second
	// minStoreBackoff and maxStoreBackoff bound the time between two attempts of a
	// node that is no reader to reach the store.
	minStoreBackoff = 250 * time.Millisecond
	maxStoreBackoff = 2 * time.Second
)

// ErrNoCopy means that a node has no copy that the asking node can use.
var ErrNoCopy = errors.New("relayer: no copy that is as new as the sender's")

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address and returns its answer.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Prefix is a prefix of the store's keys.
type Prefix struct {
	name  string
	sink  replicator.Sink
	pause time.Duration
}

// NewPrefix returns a prefix whose keys are copied to the sink. Changes within
// the pause after others arrive together.
func NewPrefix(name string, sk replicator.Sink, pause time.Duration) Prefix {
	return Prefix{name: name, sink: sk, pause: pause}
}

// Relayer keeps the copies of one node.
type Relayer struct {
	store  storer.Keyspace
	view   func() *prober.View
	leader func() string
	caller Caller
	feeds  []*feed
	// seeds are addresses of peers to ask while no peer is known and the store
	// does not answer.
	seeds []string
	// confirmedAt returns when the store was last known to answer by other calls.
	confirmedAt func() time.Duration
	registry    *counter.Registry
	clock       func() time.Duration

	mu sync.Mutex
	// changed is closed at the next change.
	changed chan struct{}
	// source is the address of the present source, "" for the store.
	source string
	// answeredAt is when the source last answered, and sourceAge the age of its
	// copy then.
	answeredAt time.Duration
	sourceAge  time.Duration
	// reachedAt is when the store last answered this node.
	reachedAt time.Duration
	// failures are the peers that failed, by address.
	failures map[string]failure
	// storeFailures counts failed attempts in a row to reach the store, and
	// nextAttempt is when the next one is due.
	storeFailures int
	nextAttempt   time.Duration
	// staleSince is since when no source has had a current copy; zero means that
	// one has.
	staleSince time.Duration
}

// failure says until when a peer is not asked.
type failure struct {
	count int
	until time.Duration
}

// Option configures a Relayer.
type Option func(*Relayer)

// WithSeeds sets addresses of peers to ask if the store does not answer a node
// that knows no peer.
func WithSeeds(addresses []string) Option { return func(rl *Relayer) { rl.seeds = addresses } }

// WithConfirmation sets a function that returns when the store last answered
// other calls of the node, by the relayer's clock.
func WithConfirmation(at func() time.Duration) Option {
	return func(rl *Relayer) { rl.confirmedAt = at }
}

// WithRegistry makes the relayer count its sources and record the age of its
// copy in rg.
func WithRegistry(rg *counter.Registry) Option { return func(rl *Relayer) { rl.registry = rg } }

// WithClock replaces the clock, which must run while the machine is suspended.
func WithClock(clock func() time.Duration) Option { return func(rl *Relayer) { rl.clock = clock } }

// New returns the relayer of the view's node. The first prefix is the one with
// the registrations of the nodes. leader returns the id of the leader, or "".
func New(st storer.Keyspace, view func() *prober.View, leader func() string, ca Caller, prefixes []Prefix, opts ...Option) *Relayer {
	rl := &Relayer{
		store:       st,
		view:        view,
		leader:      leader,
		caller:      ca,
		confirmedAt: func() time.Duration { return 0 },
		clock:       stopwatch.Now,
		changed:     make(chan struct{}),
		failures:    map[string]failure{},
	}
	for _, opt := range opts {
		opt(rl)
	}
	for _, px := range prefixes {
		rl.feeds = append(rl.feeds, &feed{prefix: px.name, sink: px.sink, pause: px.pause, clock: rl.clock, entries: map[string]storer.Entry{}})
	}
	return rl
}

// Run keeps the copies up to date until the context ends, and returns nil.
func (rl *Relayer) Run(ctx context.Context) error {
	for ctx.Err() == nil && !rl.readNodes(ctx) {
		waiter.Sleep(ctx, minStoreBackoff/2+rand.N(minStoreBackoff))
	}
	for ctx.Err() == nil {
		sc := Choose(rl.view(), rl.leader())
		switch {
		case sc.Reader() && rl.mayReadStore(sc):
			rl.readStore(ctx)
		case !rl.askPeers(ctx, sc) && rl.mayReadStore(sc):
			rl.readStore(ctx)
		}
	}
	return nil
}

// readNodes reads the keys under the first prefix, so that the node knows which
// others it can ask. If the store does not answer, it asks the seeds. It reports
// whether it has a copy.
func (rl *Relayer) readNodes(ctx context.Context) bool {
	fd := rl.feeds[0]
	entries, revision, err := rl.store.Snapshot(ctx, fd.prefix)
	if err == nil {
		fd.Replace(entries)
		fd.advance(rl.store.Era(), revision)
		// The node is no source for others: it does not follow the store yet.
		rl.mu.Lock()
		defer rl.mu.Unlock()
		rl.reachedAt = rl.clock()
		return true
	}
	rl.noteStoreFailure(err)
	for _, address := range rl.seeds {
		if !rl.blocked(address) && rl.poll(ctx, prober.Member{PeerAddress: address}) {
			return true
		}
	}
	return false
}

// Age returns how old the node's copy may be.
func (rl *Relayer) Age() time.Duration {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.ageLocked()
}

func (rl *Relayer) ageLocked() time.Duration {
	at, age := rl.answeredAt, rl.sourceAge
	if rl.source == "" {
		at = max(at, rl.confirmedAt())
	}
	return max(rl.clock()-at, 0) + age
}

// Answer returns the changes that a peer lacks. If there are none, it waits for
// one, at most for the time that the poll says.
func (rl *Relayer) Answer(ctx context.Context, fp *messenger.FeedPoll) (*messenger.FeedPage, error) {
	ctx, cancel := context.WithTimeout(ctx, min(fp.Wait, pollTimeout))
	defer cancel()
	for {
		rl.mu.Lock()
		changed := rl.changed
		rl.mu.Unlock()
		page, news, err := rl.page(fp)
		if err != nil || news {
			return page, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			page, _, err = rl.page(fp)
			return page, err
		}
	}
}

// page returns the answer to a poll, and whether it has changes.
func (rl *Relayer) page(fp *messenger.FeedPoll) (*messenger.FeedPage, bool, error) {
	if len(fp.Positions) != len(rl.feeds) {
		return nil, false, errors.Errorf("relayer: poll has %d positions, not %d", len(fp.Positions), len(rl.feeds))
	}
	page, news := &messenger.FeedPage{Age: rl.Age()}, false
	for ix, fd := range rl.feeds {
		pt, ok := fd.part(fp.Positions[ix])
		if !ok || ix == 0 && pt.Revision == 0 {
			return nil, false, ErrNoCopy
		}
		news = news || pt.Whole || len(pt.Changes) > 0
		page.Parts = append(page.Parts, pt)
	}
	return page, news, nil
}

// announce wakes the polls of other nodes.
func (rl *Relayer) announce() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	close(rl.changed)
	rl.changed = make(chan struct{})
}

// askPeers takes changes from the best peer that has not failed lately, and if
// that fails from some of the others. It reports false, after a pause, if none
// has a current copy.
func (rl *Relayer) askPeers(ctx context.Context, sc Sources) bool {
	candidates := slices.Concat(sc.Peers(), sc.Others())
	candidates = slices.DeleteFunc(candidates, func(mb prober.Member) bool { return rl.blocked(mb.PeerAddress) })
	if len(candidates) > 0 {
		if rl.poll(ctx, candidates[0]) || rl.askSome(ctx, candidates[1:]) {
			return true
		}
	}
	rl.noteStale()
	waiter.Sleep(ctx, retryDelay)
	return false
}

// askSome takes changes from the first nodes that have not failed lately, and
// reports whether one has a current copy. It asks a few at once, because several
// may be lost.
func (rl *Relayer) askSome(ctx context.Context, members []prober.Member) bool {
	var asked atomic.Int64
	var current atomic.Bool
	var polls sync.WaitGroup
	for _, mb := range members {
		if rl.blocked(mb.PeerAddress) {
			continue
		}
		if asked.Add(1) > maxAskedAtOnce {
			break
		}
		polls.Go(func() {
			if rl.poll(ctx, mb) {
				current.Store(true)
			}
		})
	}
	polls.Wait()
	return current.Load()
}

// blocked reports whether a peer failed lately.
func (rl *Relayer) blocked(address string) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.clock() < rl.failures[address].until
}

// poll asks a peer for changes and takes them. It reports whether the peer's
// copy is current.
func (rl *Relayer) poll(ctx context.Context, mb prober.Member) bool {
	address, limit := mb.PeerAddress, maxRelayedAge
	if mb.ID != "" && mb.ID == rl.leader() {
		limit = maxAge
	}
	rl.mu.Lock()
	present := rl.source == address
	rl.mu.Unlock()
	call, timeout := &messenger.FeedPoll{}, probeTimeout
	if present {
		call.Wait, timeout = pollWait, pollTimeout
	}
	for _, fd := range rl.feeds {
		era, position, _ := fd.positions()
		call.Positions = append(call.Positions, messenger.FeedPosition{Era: era, Revision: position})
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := rl.caller.Call(ctx, address, call)
	page, ok := answer.(*messenger.FeedPage)
	if err != nil || !ok || len(page.Parts) != len(rl.feeds) {
		rl.registry.Inc("feed", "unanswered")
		if messenger.Is(err, messenger.Rejected) {
			rl.blockBriefly(address)
		} else {
			rl.block(address, err)
		}
		return false
	}
	// A copy that is too old may still have changes that this one lacks.
	for ix, fd := range rl.feeds {
		if page.Age <= limit || !page.Parts[ix].Down {
			rl.store.NoteEra(page.Parts[ix].Era)
			fd.take(page.Parts[ix])
		}
	}
	if page.Age > limit {
		rl.registry.Inc("feed", "old")
		rl.blockBriefly(address)
		return false
	}
	rl.settle(address, page.Age)
	if !present || anyChange(page) {
		rl.announce()
		waiter.Sleep(ctx, minPollInterval)
	}
	return true
}

func anyChange(page *messenger.FeedPage) bool {
	for _, pt := range page.Parts {
		if len(pt.Changes) > 0 {
			return true
		}
	}
	return false
}

// settle records a current source.
func (rl *Relayer) settle(address string, age time.Duration) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.source != address {
		rl.logSourceLocked(address, age)
	}
	rl.source, rl.answeredAt, rl.sourceAge = address, rl.clock(), age
	rl.staleSince, rl.storeFailures = 0, 0
	delete(rl.failures, address)
}

func (rl *Relayer) logSourceLocked(address string, age time.Duration) {
	name := address
	if name == "" {
		name = "store"
	}
	rl.registry.Inc("feed", "source-changed")
	log.WithFields(log.Fields{"source": name, "age-ms": age.Milliseconds(), "own-age-ms": rl.ageLocked().Milliseconds()}).
		Info("node takes the store's changes from another source")
}

// block keeps a peer from being asked for a time that doubles with each failure
// in a row.
func (rl *Relayer) block(address string, err error) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	fl := rl.failures[address]
	if fl.count == 0 && rl.source == address {
		log.WithError(err).WithField("source", address).Warn("source of the store's changes does not answer; another is asked")
	}
	fl.until = rl.clock() + min(minBlock<<min(fl.count, 8), maxBlock)
	fl.count++
	rl.failures[address] = fl
	if len(rl.failures) > maxFailures {
		rl.failures = map[string]failure{address: fl}
	}
}

// maxFailures bounds the peers in Relayer.failures.
const maxFailures = 1000

func (rl *Relayer) blockBriefly(address string) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.failures[address] = failure{until: rl.clock() + 2*retryDelay}
}

func (rl *Relayer) noteStale() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.staleSince == 0 {
		rl.staleSince = rl.clock()
	}
}

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
	settleUntil := began
	if _, position, _ := rl.feeds[len(rl.feeds)-1].positions(); position == 0 && len(rl.view().Members()) == 1 {
		settleUntil += settleTime
	}
	started := 0
	for ctx.Err() == nil {
		started = rl.startReaders(ctx, &readers, started, began, settleUntil)
		if !waiter.Sleep(ctx, reviewInterval) {
			return
		}
		if era != 0 && era != rl.store.Era() {
			// Watches of the former era may wait for long.
			return
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

// startReaders starts to follow prefixes that are not followed yet, and returns
// how many are. Until a time it follows only the first one, and longer if it
// learns meanwhile of others that read the store before it.
func (rl *Relayer) startReaders(ctx context.Context, readers *sync.WaitGroup, started int, began, settleUntil time.Duration) int {
	wanted := len(rl.feeds)
	if settles := settleUntil > began; settles && !Choose(rl.view(), rl.leader()).Reader() {
		settleUntil += maxSettleTime - settleTime
	}
	if settleUntil > rl.clock() {
		wanted = 1
	}
	for _, fd := range rl.feeds[started:max(started, wanted)] {
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
	return max(started, wanted)
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
