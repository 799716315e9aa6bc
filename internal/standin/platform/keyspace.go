package platform

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// watchPollInterval is how often a waiting watch checks for changes.
const watchPollInterval = 5 * time.Millisecond

// Keyspace is a Memory with leases, transactions and watches.
type Keyspace struct {
	*Memory
	history []storer.Change // since oldest, in the order of revisions
	oldest  int64           // revision of the last compaction
	leases  map[storer.Lease]*leaseState
	renewed int64 // calls of Renew
	era     int64 // 0 until SetEra or Restore
	copied  *keyspaceCopy
}

// keyspaceCopy is the state to which a keyspace returns.
type keyspaceCopy struct {
	entries  map[string]storer.Entry
	history  []storer.Change
	oldest   int64
	revision int64
	leases   map[storer.Lease]leaseState
}

// leaseState is the duration and the expiry of a lease.
type leaseState struct {
	ttl time.Duration
	end time.Time
}

// NewKeyspace returns an empty keyspace. Its revision starts above zero, so that
// a watch from the revision of an empty snapshot misses no write.
func NewKeyspace() *Keyspace {
	ks := &Keyspace{Memory: NewMemory(), leases: map[storer.Lease]*leaseState{}}
	ks.revision = 1
	return ks
}

// Compact discards the history, so that a watch after an older revision fails as
// TooOld.
func (ks *Keyspace) Compact() {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.history, ks.oldest = nil, ks.revision
}

// Remove removes a key although its lease has not expired.
func (ks *Keyspace) Remove(key string) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.drop(key)
}

// SetEra makes the keyspace one with eras.
func (ks *Keyspace) SetEra(era int64) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.era = era
}

// Era implements storer.Keyspace.
func (ks *Keyspace) Era() int64 {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	return ks.era
}

// NoteEra implements storer.Keyspace. The keyspace itself knows its era.
func (*Keyspace) NoteEra(int64) {}

// Copy keeps the present state for Restore.
func (ks *Keyspace) Copy() {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	cp := &keyspaceCopy{
		entries: maps.Clone(ks.entries), history: slices.Clone(ks.history), oldest: ks.oldest, revision: ks.revision,
		leases: map[storer.Lease]leaseState{},
	}
	for id, state := range ks.leases {
		cp.leases[id] = *state
	}
	ks.copied = cp
}

// Restore returns to the state of the last Copy and begins the next era. What
// was written since is gone, revisions and leases are given out again, and a
// watch from a later revision fails as TooOld. Leases of the copy last for their
// whole duration again.
func (ks *Keyspace) Restore() {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	cp := ks.copied
	ks.entries, ks.history, ks.oldest, ks.revision = maps.Clone(cp.entries), slices.Clone(cp.history), cp.oldest, cp.revision
	ks.leases = map[storer.Lease]*leaseState{}
	for id, state := range cp.leases {
		ks.leases[id] = &leaseState{ttl: state.ttl, end: time.Now().Add(state.ttl)}
	}
	ks.era++
}

// Renewals returns how often leases were renewed so far.
func (ks *Keyspace) Renewals() int64 {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	return ks.renewed
}

// Put writes a key without a condition, as another client of the service may.
func (ks *Keyspace) Put(key string, value []byte) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.set(storer.Write{Key: key, Value: value})
}

func (ks *Keyspace) set(wr storer.Write) {
	ks.revision++
	en := storer.Entry{Key: wr.Key, Value: slices.Clone(wr.Value), Revision: ks.revision, Lease: wr.Lease}
	ks.entries[wr.Key] = en
	ks.history = append(ks.history, storer.Change{Entry: en})
}

func (ks *Keyspace) drop(key string) {
	if _, ok := ks.entries[key]; !ok {
		return
	}
	ks.revision++
	delete(ks.entries, key)
	ks.history = append(ks.history, storer.Change{Entry: storer.Entry{Key: key, Revision: ks.revision}, Deleted: true})
}

// begin waits for the latency, takes the lock and ends the expired leases. The
// lock is held only if begin returns nil.
func (ks *Keyspace) begin(ctx context.Context, op string) error {
	if err := ks.wait(ctx); err != nil {
		return &storer.Error{Op: op, Kind: storer.Unavailable, Cause: err}
	}
	ks.mu.Lock()
	if ks.down {
		ks.mu.Unlock()
		return &storer.Error{Op: op, Kind: storer.Unavailable, Cause: errInjected}
	}
	now := time.Now()
	for id, state := range ks.leases {
		if now.After(state.end) {
			ks.end(id)
		}
	}
	return nil
}

func (ks *Keyspace) end(id storer.Lease) {
	delete(ks.leases, id)
	for key, en := range ks.entries {
		if en.Lease == id {
			ks.drop(key)
		}
	}
}

// Snapshot implements storer.Keyspace.
func (ks *Keyspace) Snapshot(ctx context.Context, prefix string) ([]storer.Entry, int64, error) {
	if err := ks.begin(ctx, "list"); err != nil {
		return nil, 0, err
	}
	revision := ks.revision
	ks.mu.Unlock()
	entries, err := ks.List(ctx, prefix)
	return entries, revision, err
}

// Watch implements storer.Keyspace.
func (ks *Keyspace) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]storer.Change, int64, error) {
	for until := time.Now().Add(wait); ; time.Sleep(watchPollInterval) {
		if err := ks.begin(ctx, "watch"); err != nil {
			return nil, 0, err
		}
		old, revision := after < ks.oldest || after > ks.revision, ks.revision
		var found []storer.Change
		for _, ch := range ks.history {
			if ch.Revision > after && strings.HasPrefix(ch.Key, prefix) {
				found = append(found, ch)
			}
		}
		ks.mu.Unlock()
		if old {
			return nil, 0, &storer.Error{Op: "watch", Key: prefix, Kind: storer.TooOld}
		}
		if len(found) > 0 || time.Now().After(until) {
			return found, revision, nil
		}
	}
}

// Commit implements storer.Keyspace.
func (ks *Keyspace) Commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	if err := ks.begin(ctx, "commit"); err != nil {
		return 0, err
	}
	defer ks.mu.Unlock()
	for key, revision := range tx.Expected {
		if ks.entries[key].Revision != revision {
			return 0, &storer.Error{Op: "commit", Key: key, Kind: storer.Conflict}
		}
	}
	for _, wr := range tx.Writes {
		if _, ok := ks.leases[wr.Lease]; wr.Lease != 0 && !ok {
			return 0, &storer.Error{Op: "commit", Key: wr.Key, Kind: storer.NotFound}
		}
	}
	for _, wr := range tx.Writes {
		ks.set(wr)
	}
	for _, key := range tx.Deletes {
		ks.drop(key)
	}
	if ks.loseAnswers > 0 {
		ks.loseAnswers--
		return 0, &storer.Error{Op: "commit", Kind: storer.Uncertain, Cause: errInjected}
	}
	return ks.revision, nil
}

// Delete implements storer.Store.
func (ks *Keyspace) Delete(ctx context.Context, key string, revision int64) error {
	_, err := ks.Commit(ctx, storer.Transaction{Expected: map[string]int64{key: revision}, Deletes: []string{key}})
	return err
}

// Grant implements storer.Keyspace.
func (ks *Keyspace) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, time.Duration, error) {
	if err := ks.begin(ctx, "grant"); err != nil {
		return 0, 0, err
	}
	defer ks.mu.Unlock()
	ks.revision++
	ks.leases[storer.Lease(ks.revision)] = &leaseState{ttl: ttl, end: time.Now().Add(ttl)}
	return storer.Lease(ks.revision), ttl, nil
}

// Renew implements storer.Keyspace.
func (ks *Keyspace) Renew(ctx context.Context, ls storer.Lease) (time.Duration, error) {
	if err := ks.begin(ctx, "renew"); err != nil {
		return 0, err
	}
	defer ks.mu.Unlock()
	ks.renewed++
	state, ok := ks.leases[ls]
	if !ok {
		return 0, &storer.Error{Op: "renew", Kind: storer.NotFound}
	}
	state.end = time.Now().Add(state.ttl)
	return state.ttl, nil
}

// Revoke implements storer.Keyspace.
func (ks *Keyspace) Revoke(ctx context.Context, ls storer.Lease) error {
	if err := ks.begin(ctx, "revoke"); err != nil {
		return err
	}
	defer ks.mu.Unlock()
	ks.end(ls)
	return nil
}
