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
// If the store returned from an older copy, the record lacks its last entries. A
// leader then delays its orders to all servers, unless its leadership continues
// the one before, whose orders it knows.
//
// # Usage
//
//	rc := orderregistrar.New(store, "holders", "vm-1", "leader", 3*time.Second)
//	err := rc.Begin(ctx, term) // once the node leads
//	if rc.MaySend("w1") {
//		if done, err := rc.Register(ctx, "w1"); err == nil {
//			// send the order
//			done(true)
//		}
//	}
//	rc.Prune(ctx) // at regular intervals
package orderregistrar

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/registrar"
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
	ErrRecentOrders = errors.New("orderregistrar: another VM recently sent orders to the server")
	// ErrTermNotBegun means that the record was not read in the current term.
	ErrTermNotBegun = errors.New("orderregistrar: record of orders was not read in the current term")
	// ErrWritePaused means that a recent write of the record failed.
	ErrWritePaused = errors.New("orderregistrar: record of orders is not written because the last write failed")
)

// Record is one VM's view of the stored record of orders. It is safe for
// concurrent use.
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
	lastTerm int64             // the last one that began
	begunAt  time.Duration     // start of the term
	failedAt time.Duration     // time of the last failed write; 0 for none
	revision int64             // of the record
	holders  map[string]string // VM by server
	// restored is true if the store returned from an older copy since the process
	// started.
	restored bool
	// recordIncomplete is true if the record could not be decoded, or lacks what
	// the store lost with its last writes, when the term
	// began.
	recordIncomplete bool
	activities       map[string]*activity // by server
	// unwritten says that the stored record lacks entries of holders, all of which
	// have to be written before the next order.
	unwritten bool
}

// activity describes the recent orders of this VM to one server.
type activity struct {
	inFlight    int           // orders without an answer
	recentUntil time.Duration // end of the time for which the orders are recent
}

// Option configures a Record.
type Option func(*Record)

// WithClock replaces the monotonic clock, which must also run while the machine
// is suspended.
func WithClock(clock func() time.Duration) Option { return func(rc *Record) { rc.clock = clock } }

// New returns the Record of the VM with the name holder. Successive
// processes on one VM use the same name. The record is stored under key, and
// the revision of leaderKey is the leader's term. Orders of two VMs to one
// server are at least gap apart.
func New(st storer.Keyspace, key, holder, leaderKey string, gap time.Duration, opts ...Option) *Record {
	rc := &Record{
		store:     st,
		key:       key,
		holder:    holder,
		leaderKey: leaderKey,
		gap:       gap + maxArrivalDelay,
		clock:     stopwatch.Now,
		writeLock: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(rc)
	}
	return rc
}

// Begin reads the record for a new term. The previous leader must have stopped
// before the call. After an error no orders may be sent.
func (rc *Record) Begin(ctx context.Context, term int64) error {
	en, err := rc.read(ctx, term)
	if err != nil {
		return err
	}
	recordEra, holders, err := decode(en.Value)
	if err != nil {
		log.WithError(err).WithField("term", term).Error("orderregistrar: record of orders can't be decoded; orders to all servers are delayed")
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.term, rc.lastTerm, rc.begunAt, rc.revision = term, term, rc.clock(), en.Revision
	era, _ := registrar.SplitTerm(term)
	lacksEntries := recordEra < era && (en.Revision != 0 || rc.restored)
	rc.unwritten = false
	rc.holders, rc.recordIncomplete = holders, err != nil || lacksEntries
	rc.activities = map[string]*activity{}
	for server, holder := range holders {
		if holder == rc.holder {
			// Orders of an earlier term or process may still be in flight.
			rc.activities[server] = &activity{recentUntil: rc.begunAt + rc.gap + unansweredHold}
		}
	}
	log.WithFields(log.Fields{"term": term, "record-revision": en.Revision, "held": rc.blockedCountLocked(), "entered": len(holders), "incomplete": rc.recordIncomplete, "wait-ms": rc.gap.Milliseconds()}).
		Info("record of orders read")
	return nil
}

// read returns the record, or an empty entry if there is none. A record of
// another era than the term's may lack entries that the term relies on.
func (rc *Record) read(ctx context.Context, term int64) (storer.Entry, error) {
	en, err := rc.store.Get(ctx, rc.key)
	if err != nil && !storer.Is(err, storer.NotFound) {
		return storer.Entry{}, errors.Wrap(err, "orderregistrar: read record of orders")
	}
	if era, _ := registrar.SplitTerm(term); era != 0 && era != rc.store.Era() {
		return storer.Entry{}, errors.Wrap(storer.ErrEraChanged, "orderregistrar: read record of orders")
	}
	return en, nil
}

// Continue begins a term that continues this VM's former one after the store
// returned from an older copy. No other VM sent orders in between, so that the
// entries that this process knows take the place of the record's. If the former
// term had not begun here, it is the same as Begin.
func (rc *Record) Continue(ctx context.Context, former, term int64) error {
	rc.mu.Lock()
	known := rc.lastTerm == former
	rc.mu.Unlock()
	if !known {
		return rc.Begin(ctx, term)
	}
	en, err := rc.read(ctx, term)
	if err != nil {
		return err
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.term, rc.lastTerm, rc.revision = term, term, en.Revision
	recentUntil := rc.clock() + rc.gap + unansweredHold
	entered := len(rc.activities)
	for _, ac := range rc.activities {
		if ac.inFlight > 0 {
			ac.inFlight, ac.recentUntil = 0, max(ac.recentUntil, recentUntil)
		}
	}
	rc.unwritten = true
	log.WithFields(log.Fields{"term": term, "record-revision": en.Revision, "entered": entered}).
		Info("record of orders is continued after the store returned from an older copy")
	return nil
}

// StoreRestored records that the store returned from an older copy.
func (rc *Record) StoreRestored() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.restored = true
}

// Begun reports whether Begin succeeded for the term.
func (rc *Record) Begun(term int64) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return term != 0 && rc.term == term
}

// End ends the term. Until the next Begin no orders may be sent.
func (rc *Record) End() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.term = 0
}

// MaySend reports whether this VM may send orders to the server now.
func (rc *Record) MaySend(server string) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.term != 0 && rc.maySendLocked(server)
}

func (rc *Record) maySendLocked(server string) bool {
	holder, recorded := rc.holders[server]
	known := !rc.recordIncomplete && (!recorded || holder == rc.holder)
	return known || rc.clock() >= rc.begunAt+rc.gap
}

func (rc *Record) blockedCountLocked() int {
	blocked := 0
	for server := range rc.holders {
		if !rc.maySendLocked(server) {
			blocked++
		}
	}
	return blocked
}

// Register ensures that the record names this VM for the server. After an error
// the caller must not send its order. Otherwise it sends the order and then
// calls done with whether the order was answered. The error is ErrTermNotBegun,
// ErrRecentOrders, ErrWritePaused or that of the write or of ctx.
func (rc *Record) Register(ctx context.Context, server string) (done func(answered bool), err error) {
	term, err := rc.startOrder(server)
	if err != nil {
		return nil, err
	}
	done = func(answered bool) { rc.done(term, server, answered) }
	if err := rc.writeEntry(ctx, term, server); err != nil {
		done(true)
		return nil, err
	}
	return done, nil
}

// startOrder counts an order in flight to the server, which keeps the server in
// the record.
func (rc *Record) startOrder(server string) (term int64, err error) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	switch {
	case rc.term == 0:
		return 0, ErrTermNotBegun
	case !rc.maySendLocked(server):
		return 0, ErrRecentOrders
	}
	ac := rc.activities[server]
	if ac == nil {
		ac = &activity{}
		rc.activities[server] = ac
	}
	ac.inFlight++
	return rc.term, nil
}

func (rc *Record) done(term int64, server string, answered bool) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	ac := rc.activities[server]
	if ac == nil || rc.term != term {
		return
	}
	ac.inFlight--
	recentUntil := rc.clock() + rc.gap
	if !answered {
		recentUntil += unansweredHold
	}
	ac.recentUntil = max(ac.recentUntil, recentUntil)
}

// writeEntry adds the server to the record unless the record names this VM for
// it already.
func (rc *Record) writeEntry(ctx context.Context, term int64, server string) error {
	if !rc.lockWrites(ctx) {
		return errors.Wrap(ctx.Err(), "orderregistrar: wait to write record of orders")
	}
	defer rc.unlockWrites()
	rc.mu.Lock()
	current := rc.term == term
	known := rc.holders[server] == rc.holder && !rc.unwritten
	paused := rc.writePausedLocked()
	next := rc.currentEntriesLocked()
	rc.mu.Unlock()
	switch {
	case !current:
		return ErrTermNotBegun
	case known:
		return nil
	case paused:
		return ErrWritePaused
	}
	next[server] = rc.holder
	return rc.commit(ctx, term, next)
}

// Prune removes servers from the record whose orders are no longer recent. It
// logs a failed write.
func (rc *Record) Prune(ctx context.Context) {
	rc.mu.Lock()
	term, next, known := rc.term, rc.currentEntriesLocked(), len(rc.holders)
	rc.mu.Unlock()
	if term == 0 || len(next) == known || !rc.lockWrites(ctx) {
		return
	}
	defer rc.unlockWrites()
	rc.mu.Lock()
	current := rc.term == term && !rc.writePausedLocked()
	next = rc.currentEntriesLocked()
	rc.mu.Unlock()
	if !current {
		return
	}
	if err := rc.commit(ctx, term, next); err != nil {
		log.WithError(err).WithField("term", term).Warn("orderregistrar: old servers could not be removed from the record of orders")
	}
}

// writePausedLocked reports whether a write failed within writeRetryDelay.
func (rc *Record) writePausedLocked() bool {
	return rc.failedAt > 0 && rc.clock() < rc.failedAt+writeRetryDelay
}

// currentEntriesLocked returns the entries that are still needed: those of this
// VM with recent orders, and those of other VMs while orders are delayed.
func (rc *Record) currentEntriesLocked() map[string]string {
	next := map[string]string{}
	now := rc.clock()
	for server, holder := range rc.holders {
		ac := rc.activities[server]
		recent := ac != nil && (ac.inFlight > 0 || now < ac.recentUntil)
		if holder == rc.holder && recent || holder != rc.holder && !rc.maySendLocked(server) {
			next[server] = holder
		}
	}
	return next
}

// commit writes the record if the node is still the leader of the term.
func (rc *Record) commit(ctx context.Context, term int64, next map[string]string) error {
	era, leaderRevision := registrar.SplitTerm(term)
	value, err := encode(era, next)
	if err != nil {
		return err
	}
	rc.mu.Lock()
	revision := rc.revision
	rc.mu.Unlock()
	written, err := rc.store.Commit(ctx, storer.Transaction{
		Era:      era,
		Expected: map[string]int64{rc.leaderKey: leaderRevision, rc.key: revision},
		Writes:   []storer.Write{{Key: rc.key, Value: value}},
	})
	if err != nil {
		rc.forgetRemoved(term, next)
		rc.rereadRevision(ctx, term)
		return errors.Wrap(err, "orderregistrar: write record of orders")
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.term == term {
		rc.holders, rc.revision, rc.unwritten = maps.Clone(next), written, false
	}
	return nil
}

// forgetRemoved removes the entries of this VM that a failed write may have
// removed from the record, or may still remove. Before the next order to such a
// server, the entry is written again at another revision.
func (rc *Record) forgetRemoved(term int64, next map[string]string) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.term != term {
		return
	}
	rc.failedAt = rc.clock()
	for server, holder := range rc.holders {
		if holder == rc.holder && next[server] != holder {
			delete(rc.holders, server)
		}
	}
}

// rereadRevision reads the revision that the next write expects. It ignores the
// content of the record, which is known. If the read fails, it logs a warning.
func (rc *Record) rereadRevision(ctx context.Context, term int64) {
	en, err := rc.store.Get(ctx, rc.key)
	if err != nil && !storer.Is(err, storer.NotFound) {
		log.WithError(err).WithField("term", term).Warn("orderregistrar: record of orders can't be read after a failed write; the next write may fail")
		return
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.term == term {
		rc.revision = en.Revision
	}
}

func (rc *Record) lockWrites(ctx context.Context) bool {
	select {
	case rc.writeLock <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (rc *Record) unlockWrites() { <-rc.writeLock }
