// Package orderregistrar records in the platform's store to which backend servers
// the leader may have sent orders recently. After a change of leader, the next
// one delays its orders to these servers only, so that the loss of a leader
// does not delay the placement on all other servers.
//
// A leader adds a server to the record before its first order to that server,
// in a transaction that succeeds only while the node is the leader. It removes
// the server when it has sent no order there for as long as the next leader
// would wait. A leader sends no orders to servers that are missing from the
// record, so the next leader need not wait for those.
//
// # Usage
//
//	cu := orderregistrar.New(store, "holders", "vm-1", "leader", 3*time.Second)
//	err := cu.Begin(ctx, term) // once the node leads
//	if cu.MaySend("w1") {
//		if done, err := cu.Register(ctx, "w1"); err == nil {
//			// send the order
//			done(true)
//		}
//	}
//	cu.Prune(ctx) // at regular intervals
package orderregistrar

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

// maxArrivalDelay is the longest time until an order arrives that a leader sent
// at the end of its lease. It covers the connection and the transfer.
const maxArrivalDelay = 500 * time.Millisecond

// unansweredHold is the additional time for which a server stays in the record
// after an unanswered order. Such orders have arrived some seconds late.
const unansweredHold = 10 * time.Second

// writeRetryDelay is the time without writes after a failed write. It limits
// the calls to an unavailable store, since orders are requested many times a
// second.
const writeRetryDelay = 200 * time.Millisecond

var (
	// ErrRecentOrders means that another VM may have sent orders to the server
	// less than the gap ago.
	ErrRecentOrders = errors.New("custodian: another VM recently sent orders to the server")
	// ErrTermNotBegun means that the record was not read in the current term.
	ErrTermNotBegun = errors.New("custodian: record of orders was not read in the current term")
	// ErrWritePaused means that a recent write of the record failed.
	ErrWritePaused = errors.New("custodian: record of orders is not written because the last write failed")
)

// Record is one node's view of the record. It is safe for concurrent use.
type Record struct {
	store     storer.Keyspace
	key       string        // of the record
	holder    string        // name of this VM
	leaderKey string        // its revision is the leader's term
	gap       time.Duration // least time between orders of two VMs, plus maxArrivalDelay
	clock     func() time.Duration

	// writeLock is a semaphore that serialises the writes of the record.
	writeLock chan struct{}

	mu       sync.Mutex
	term     int64             // 0 without a term
	begunAt  time.Duration     // start of the term
	failedAt time.Duration     // time of the last failed write; 0 for none
	revision int64             // of the record
	holders  map[string]string // VM by server
	// recordUnreadable is true if the record could not be decoded when the term
	// began.
	recordUnreadable bool
	activities       map[string]*activity // by server
}

// activity describes the recent orders of this VM to one server.
type activity struct {
	inFlight    int           // orders without an answer
	recentUntil time.Duration // end of the time for which the orders are recent
}

// Option configures a Custodian.
type Option func(*Record)

// WithClock replaces the monotonic clock, which must also run while the machine
// is suspended.
func WithClock(clock func() time.Duration) Option { return func(cu *Record) { cu.clock = clock } }

// New returns the custodian of the VM with the name holder. Successive
// processes on one VM use the same name. The record is stored under key, and
// the revision of leaderKey is the leader's term. Orders of two VMs to one
// server are at least gap apart.
func New(st storer.Keyspace, key, holder, leaderKey string, gap time.Duration, opts ...Option) *Record {
	cu := &Record{
		store:     st,
		key:       key,
		holder:    holder,
		leaderKey: leaderKey,
		gap:       gap + maxArrivalDelay,
		clock:     stopwatch.Now,
		writeLock: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(cu)
	}
	return cu
}

// Begin reads the record for a new term. The previous leader must have stopped
// before the call. After an error no orders may be sent.
func (cu *Record) Begin(ctx context.Context, term int64) error {
	en, err := cu.store.Get(ctx, cu.key)
	if err != nil && !storer.Is(err, storer.NotFound) {
		return errors.Wrap(err, "custodian: read record of orders")
	}
	holders, err := decode(en.Value)
	if err != nil {
		log.WithError(err).WithField("term", term).Error("custodian: record of orders can't be decoded; orders to all servers are delayed")
	}
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.term, cu.begunAt, cu.revision = term, cu.clock(), en.Revision
	cu.holders, cu.recordUnreadable = holders, err != nil
	cu.activities = map[string]*activity{}
	for server, holder := range holders {
		if holder == cu.holder {
			// Orders of an earlier term or process may still be in flight.
			cu.activities[server] = &activity{recentUntil: cu.begunAt + cu.gap + unansweredHold}
		}
	}
	log.WithFields(log.Fields{"term": term, "record-revision": en.Revision, "held": cu.blockedCountLocked(), "entered": len(holders), "wait-ms": cu.gap.Milliseconds()}).
		Info("record of orders read")
	return nil
}

// Begun reports whether Begin succeeded for the term.
func (cu *Record) Begun(term int64) bool {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	return term != 0 && cu.term == term
}

// End ends the term. Until the next Begin no orders may be sent.
func (cu *Record) End() {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.term = 0
}

// MaySend reports whether this VM may send orders to the server now.
func (cu *Record) MaySend(server string) bool {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	return cu.term != 0 && cu.maySendLocked(server)
}

func (cu *Record) maySendLocked(server string) bool {
	holder, recorded := cu.holders[server]
	known := !cu.recordUnreadable && (!recorded || holder == cu.holder)
	return known || cu.clock() >= cu.begunAt+cu.gap
}

func (cu *Record) blockedCountLocked() int {
	blocked := 0
	for server := range cu.holders {
		if !cu.maySendLocked(server) {
			blocked++
		}
	}
	return blocked
}

// Register ensures that the record names this VM for the server. After an error
// the caller must not send its order. Otherwise it sends the order and then
// calls done with whether the order was answered. The error is ErrTermNotBegun,
// ErrRecentOrders, ErrWritePaused or that of the write or of ctx.
func (cu *Record) Register(ctx context.Context, server string) (done func(answered bool), err error) {
	term, err := cu.startOrder(server)
	if err != nil {
		return nil, err
	}
	done = func(answered bool) { cu.done(term, server, answered) }
	if err := cu.writeEntry(ctx, term, server); err != nil {
		done(true)
		return nil, err
	}
	return done, nil
}

// startOrder counts an order in flight to the server, which keeps the server in
// the record.
func (cu *Record) startOrder(server string) (term int64, err error) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	switch {
	case cu.term == 0:
		return 0, ErrTermNotBegun
	case !cu.maySendLocked(server):
		return 0, ErrRecentOrders
	}
	ac := cu.activities[server]
	if ac == nil {
		ac = &activity{}
		cu.activities[server] = ac
	}
	ac.inFlight++
	return cu.term, nil
}

func (cu *Record) done(term int64, server string, answered bool) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	ac := cu.activities[server]
	if ac == nil || cu.term != term {
		return
	}
	ac.inFlight--
	recentUntil := cu.clock() + cu.gap
	if !answered {
		recentUntil += unansweredHold
	}
	ac.recentUntil = max(ac.recentUntil, recentUntil)
}

// writeEntry adds the server to the record unless the record names this VM for
// it already.
func (cu *Record) writeEntry(ctx context.Context, term int64, server string) error {
	if !cu.lockWrites(ctx) {
		return errors.Wrap(ctx.Err(), "custodian: wait to write record of orders")
	}
	defer cu.unlockWrites()
	cu.mu.Lock()
	current := cu.term == term
	known := cu.holders[server] == cu.holder
	paused := cu.writePausedLocked()
	next := cu.currentEntriesLocked()
	cu.mu.Unlock()
	switch {
	case !current:
		return ErrTermNotBegun
	case known:
		return nil
	case paused:
		return ErrWritePaused
	}
	next[server] = cu.holder
	return cu.commit(ctx, term, next)
}

// Prune removes servers from the record whose orders are no longer recent. It
// logs a failed write.
func (cu *Record) Prune(ctx context.Context) {
	cu.mu.Lock()
	term, next, known := cu.term, cu.currentEntriesLocked(), len(cu.holders)
	cu.mu.Unlock()
	if term == 0 || len(next) == known || !cu.lockWrites(ctx) {
		return
	}
	defer cu.unlockWrites()
	cu.mu.Lock()
	current := cu.term == term && !cu.writePausedLocked()
	next = cu.currentEntriesLocked()
	cu.mu.Unlock()
	if !current {
		return
	}
	if err := cu.commit(ctx, term, next); err != nil {
		log.WithError(err).WithField("term", term).Warn("custodian: old servers could not be removed from the record of orders")
	}
}

// writePausedLocked reports whether a write failed within writeRetryDelay.
func (cu *Record) writePausedLocked() bool {
	return cu.failedAt > 0 && cu.clock() < cu.failedAt+writeRetryDelay
}

// currentEntriesLocked returns the entries that are still needed: those of this
// VM with recent orders, and those of other VMs while orders are delayed.
func (cu *Record) currentEntriesLocked() map[string]string {
	next := map[string]string{}
	now := cu.clock()
	for server, holder := range cu.holders {
		ac := cu.activities[server]
		recent := ac != nil && (ac.inFlight > 0 || now < ac.recentUntil)
		if holder == cu.holder && recent || holder != cu.holder && !cu.maySendLocked(server) {
			next[server] = holder
		}
	}
	return next
}

// commit writes the record if the node is still the leader of the term.
func (cu *Record) commit(ctx context.Context, term int64, next map[string]string) error {
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
		cu.forgetRemoved(term, next)
		cu.rereadRevision(ctx, term)
		return errors.Wrap(err, "custodian: write record of orders")
	}
	cu.mu.Lock()
	defer cu.mu.Unlock()
	if cu.term == term {
		cu.holders, cu.revision = maps.Clone(next), written
	}
	return nil
}

// forgetRemoved removes the entries of this VM that a failed write may have
// removed from the record, or may still remove. Before the next order to such a
// server, the entry is written again at another revision.
func (cu *Record) forgetRemoved(term int64, next map[string]string) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	if cu.term != term {
		return
	}
	cu.failedAt = cu.clock()
	for server, holder := range cu.holders {
		if holder == cu.holder && next[server] != holder {
			delete(cu.holders, server)
		}
	}
}

// rereadRevision reads the revision that the next write expects. It ignores the
// content of the record, which is known. If the read fails, it logs a warning.
func (cu *Record) rereadRevision(ctx context.Context, term int64) {
	en, err := cu.store.Get(ctx, cu.key)
	if err != nil && !storer.Is(err, storer.NotFound) {
		log.WithError(err).WithField("term", term).Warn("custodian: record of orders can't be read after a failed write; the next write may fail")
		return
	}
	cu.mu.Lock()
	defer cu.mu.Unlock()
	if cu.term == term {
		cu.revision = en.Revision
	}
}

func (cu *Record) lockWrites(ctx context.Context) bool {
	select {
	case cu.writeLock <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (cu *Record) unlockWrites() { <-cu.writeLock }
