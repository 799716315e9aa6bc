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
	// maxInlineBytes is the size of the largest value that is passed on. Others are
	// read from the store by each node.
	maxInlineBytes = 32 << 10
	// inlineTime is how long a node that does not reach the store asks for large
	// values inline.
	inlineTime = 5 * time.Second
	// readerWait is how long a watch waits at the node whose age is confirmed by
	// other calls, and deputyWait at one without such calls. A connection that has
	// gone silent shows only after that time.
	readerWait = 2 * time.Second
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
	// configuration is that of the node, or nil.
	configuration Configuration
	// asked is set once other nodes were asked for their configuration, and behind
	// while one of them has a later one than this node.
	asked, behind atomic.Bool

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
	// inlineUntil is until when large values are asked for inline.
	inlineUntil time.Duration
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

		configuration: noConfiguration{},
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
	var asking sync.WaitGroup
	defer asking.Wait()
	asking.Go(func() { rl.askConfiguration(ctx) })
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
		rl.readRest(ctx)
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

// readRest reads the keys under the other prefixes, unless the node knows no
// other one. After the loss of all nodes, one of them would take long to pass
// all keys on to the others. What can't be read now follows from a peer.
func (rl *Relayer) readRest(ctx context.Context) {
	if len(rl.view().Members()) == 1 {
		return
	}
	for _, fd := range rl.feeds[1:] {
		begun := rl.store.Era()
		entries, revision, err := rl.store.Snapshot(ctx, fd.prefix)
		if err != nil || begun != rl.store.Era() {
			return
		}
		fd.Replace(entries)
		fd.advance(begun, revision)
	}
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
