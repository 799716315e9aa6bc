// Package custodian keeps in the platform's store to which backend servers the
// leader may have sent orders lately. The next leader waits before it sends
// orders to these, and to no others, so that the loss of a leader holds up what
// it was busy with and not all placing.
//
// A leader enters a server before the first order to it, in a transaction that
// succeeds only while it still has its leadership. It strikes the server once no
// order was sent there for as long as the next leader would have to wait. What
// a leader did not enter it cannot have sent, so the next one need not ask.
//
// # Usage
//
//	cu := custodian.New(store, "holders", "vm-1", "leader", 3*time.Second)
//	err := cu.Begin(ctx, term) // once the node leads
//	if cu.Free("w1") {
//		if done, err := cu.Enter(ctx, "w1"); err == nil {
//			// send the order
//			done(true)
//		}
//	}
//	cu.Strike(ctx) // now and then
package custodian

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/internal/stopwatch"
)

// arrivalTime is how long an order that a leader sent with its last right to do
// so may take to arrive: the time of an order's connection and its way.
const arrivalTime = 500 * time.Millisecond

// lateTime is how much longer a server stays entered after an order that was
// not answered: such orders were seen to arrive some seconds later.
const lateTime = 10 * time.Second

// failurePause is the time after a failed write in which no other is tried: the
// store may be away, and orders are asked for many times a second.
const failurePause = 200 * time.Millisecond

var (
	// ErrHeld means that the orders of an earlier leader may be too recent.
	ErrHeld = errors.New("another VM sent orders to the server lately")
	// ErrNotBegun means that the record was not read under the present term.
	ErrNotBegun = errors.New("the record of orders was not read yet")
	// ErrPaused means that the record could not be written a moment ago.
	ErrPaused = errors.New("the record of orders was not written a moment ago")
)

// Custodian is one node's view of the record.
type Custodian struct {
	store     storer.Keyspace
	key       string
	holder    string
	leaderKey string
	gap       time.Duration
	clock     func() time.Duration

	// writing is held by the one write of the record that is under way.
	writing chan struct{}

	mu       sync.Mutex
	term     int64
	begun    time.Duration
	failed   time.Duration
	revision int64
	holders  map[string]string
	// unreadable says that the record told nothing when the term began.
	unreadable bool
	uses       map[string]*use
}

// use is what this node sends to one server.
type use struct {
	underWay int
	until    time.Duration
}

// Option changes a Custodian that is being made.
type Option func(*Custodian)

// WithClock replaces the clock, which has to run while the machine is
// suspended.
func WithClock(clock func() time.Duration) Option { return func(cu *Custodian) { cu.clock = clock } }

// New returns the custodian of the VM that is named holder; processes that
// follow each other on a VM have the same name. The record stands under key;
// leaderKey is the key whose revision is the leader's term. Orders of two VMs
// to one server are at least gap apart.
func New(st storer.Keyspace, key, holder, leaderKey string, gap time.Duration, opts ...Option) *Custodian {
	cu := &Custodian{
		store:     st,
		key:       key,
		holder:    holder,
		leaderKey: leaderKey,
		gap:       gap + arrivalTime,
		clock:     stopwatch.Now,
		writing:   make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(cu)
	}
	return cu
}

// Begin reads the record under a new term. The earlier leader has to have
// stopped by then. Without a good answer nothing may be sent.
func (cu *Custodian) Begin(ctx context.Context, term int64) error {
	en, err := cu.store.Get(ctx, cu.key)
	if err != nil && !storer.Is(err, storer.NotFound) {
		return errors.Wrap(err, "read record of orders")
	}
	holders, err := decode(en.Value)
	if err != nil {
		log.WithError(err).WithField("term", term).Error("record of orders is not readable; orders to all servers wait")
	}
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.term, cu.begun, cu.revision = term, cu.clock(), en.Revision
	cu.holders, cu.unreadable = holders, err != nil
	cu.uses = map[string]*use{}
	for server, holder := range holders {
		if holder == cu.holder {
			// Orders of an earlier term or process may still be under way.
			cu.uses[server] = &use{until: cu.begun + cu.gap + lateTime}
		}
	}
	log.WithFields(log.Fields{"term": term, "record-revision": en.Revision, "held": cu.heldLocked(), "entered": len(holders), "wait-ms": cu.gap.Milliseconds()}).
		Info("record of orders read")
	return nil
}

// Begun reports whether the record was read under the term.
func (cu *Custodian) Begun(term int64) bool {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	return term != 0 && cu.term == term
}

// End forgets the term.
func (cu *Custodian) End() {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.term = 0
}

// Free reports whether orders may be sent to the server now.
func (cu *Custodian) Free(server string) bool {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	return cu.term != 0 && cu.freeLocked(server)
}

func (cu *Custodian) freeLocked(server string) bool {
	holder, entered := cu.holders[server]
	known := !cu.unreadable && (!entered || holder == cu.holder)
	return known || cu.clock() >= cu.begun+cu.gap
}

func (cu *Custodian) heldLocked() int {
	held := 0
	for server := range cu.holders {
		if !cu.freeLocked(server) {
			held++
		}
	}
	return held
}

// Enter makes sure that the record names this VM for the server. The caller
// sends its order only without an error, and then calls done with whether it
// was answered.
func (cu *Custodian) Enter(ctx context.Context, server string) (done func(answered bool), err error) {
	term, err := cu.reserve(server)
	if err != nil {
		return nil, err
	}
	done = func(answered bool) { cu.done(term, server, answered) }
	if err := cu.write(ctx, term, server); err != nil {
		done(true)
		return nil, err
	}
	return done, nil
}

// reserve keeps the server from being struck.
func (cu *Custodian) reserve(server string) (term int64, err error) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	switch {
	case cu.term == 0:
		return 0, ErrNotBegun
	case !cu.freeLocked(server):
		return 0, ErrHeld
	}
	us := cu.uses[server]
	if us == nil {
		us = &use{}
		cu.uses[server] = us
	}
	us.underWay++
	return cu.term, nil
}

func (cu *Custodian) done(term int64, server string, answered bool) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	us := cu.uses[server]
	if us == nil || cu.term != term {
		return
	}
	us.underWay--
	until := cu.clock() + cu.gap
	if !answered {
		until += lateTime
	}
	us.until = max(us.until, until)
}

// write enters the server unless the record names this VM for it.
func (cu *Custodian) write(ctx context.Context, term int64, server string) error {
	if !cu.lock(ctx) {
		return errors.Wrap(ctx.Err(), "wait to write record of orders")
	}
	defer cu.unlock()
	cu.mu.Lock()
	current := cu.term == term
	known := cu.holders[server] == cu.holder
	paused := cu.pausedLocked()
	next := cu.nextLocked()
	cu.mu.Unlock()
	switch {
	case !current:
		return ErrNotBegun
	case known:
		return nil
	case paused:
		return ErrPaused
	}
	next[server] = cu.holder
	return cu.commit(ctx, term, next)
}

// Strike takes servers out of the record whose orders are no longer recent.
func (cu *Custodian) Strike(ctx context.Context) {
	cu.mu.Lock()
	term, next, known := cu.term, cu.nextLocked(), len(cu.holders)
	cu.mu.Unlock()
	if term == 0 || len(next) == known || !cu.lock(ctx) {
		return
	}
	defer cu.unlock()
	cu.mu.Lock()
	current := cu.term == term && !cu.pausedLocked()
	next = cu.nextLocked()
	cu.mu.Unlock()
	if !current {
		return
	}
	if err := cu.commit(ctx, term, next); err != nil {
		log.WithError(err).WithField("term", term).Warn("record of orders was not shortened")
	}
}

// pausedLocked reports whether a write failed a moment ago.
func (cu *Custodian) pausedLocked() bool {
	return cu.failed > 0 && cu.clock() < cu.failed+failurePause
}

// nextLocked returns the entries that still say something. Those of another VM
// say nothing once their wait is over.
func (cu *Custodian) nextLocked() map[string]string {
	next := map[string]string{}
	now := cu.clock()
	for server, holder := range cu.holders {
		us := cu.uses[server]
		recent := us != nil && (us.underWay > 0 || now < us.until)
		if holder == cu.holder && recent || holder != cu.holder && !cu.freeLocked(server) {
			next[server] = holder
		}
	}
	return next
}

// commit writes the record if the node still leads.
func (cu *Custodian) commit(ctx context.Context, term int64, next map[string]string) error {
	value, err := encode(next)
	if err != nil {
		return err
	}
	cu.mu.Lock()
	revision := cu.revision
	cu.mu.Unlock()
	written, err := cu.store.Commit(ctx, storer.Transaction{
		Expected: map[string]int64{cu.leaderKey: term, cu.key: revision},
		Writes:   []storer.Write{{Key: cu.key, Value: value}},
	})
	if err != nil {
		cu.doubt(term, next)
		cu.settle(ctx, term)
		return errors.Wrap(err, "write record of orders")
	}
	cu.mu.Lock()
	defer cu.mu.Unlock()
	if cu.term == term {
		cu.holders, cu.revision = maps.Clone(next), written
	}
	return nil
}

// doubt forgets own entries that a write may have struck, or may strike yet: an
// order to their servers has to enter them again, at another revision.
func (cu *Custodian) doubt(term int64, next map[string]string) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	if cu.term != term {
		return
	}
	cu.failed = cu.clock()
	for server, holder := range cu.holders {
		if holder == cu.holder && next[server] != holder {
			delete(cu.holders, server)
		}
	}
}

// settle reads the revision that the next write has to expect, if that can be
// had. What the record holds besides is known already.
func (cu *Custodian) settle(ctx context.Context, term int64) {
	en, err := cu.store.Get(ctx, cu.key)
	if err != nil && !storer.Is(err, storer.NotFound) {
		log.WithError(err).WithField("term", term).Warn("record of orders was not read again")
		return
	}
	cu.mu.Lock()
	defer cu.mu.Unlock()
	if cu.term == term {
		cu.revision = en.Revision
	}
}

func (cu *Custodian) lock(ctx context.Context) bool {
	select {
	case cu.writing <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (cu *Custodian) unlock() { <-cu.writing }
