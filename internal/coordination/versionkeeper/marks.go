package versionkeeper

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const (
	// maxWrites bounds the keys of one transaction.
	maxWrites = 32
	// followerDelay is how long a pool with several versions lacks its mark before a
	// node that does not lead writes it, and followerSpread the time over which such
	// nodes do.
	followerDelay  = time.Second
	followerSpread = 4 * time.Second
)

// Replace takes up all keys of the store. Keys outside the prefix are ignored.
func (kp *Keeper) Replace(entries []storer.Entry) {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	kp.history.marked = map[string]bool{}
	for _, en := range entries {
		if name, ok := kp.poolOf(en.Key); ok {
			kp.history.marked[name] = true
		}
	}
}

// Apply takes up changes in the store. Keys outside the prefix are ignored.
func (kp *Keeper) Apply(changes []storer.Change) {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	for _, ch := range changes {
		name, ok := kp.poolOf(ch.Key)
		switch {
		case !ok:
		case ch.Deleted:
			delete(kp.history.marked, name)
		default:
			kp.history.marked[name] = true
		}
	}
}

func (kp *Keeper) poolOf(key string) (string, bool) {
	name, ok := strings.CutPrefix(key, kp.prefix)
	return name, ok && kp.store != nil
}

// mark writes marks for the pools that have had several versions lately. The leader
// also removes those of pools that it has seen with one version for streamMemory.
func (kp *Keeper) mark(ctx context.Context) {
	if kp.store == nil {
		return
	}
	tx := storer.Transaction{}
	now, leads := time.Now(), kp.leads()
	kp.mu.Lock()
	mixed := kp.history.mixed(now)
	for name := range mixed {
		if kp.mayMarkLocked(now, name, leads) && len(tx.Writes) < maxWrites {
			tx.Writes = append(tx.Writes, storer.Write{Key: kp.prefix + name, Value: []byte(strings.Join(kp.history.Seen(now, name), " "))})
		}
	}
	for name := range kp.history.marked {
		if leads && !mixed[name] && kp.history.covers(now) && len(tx.Writes)+len(tx.Deletes) < maxWrites {
			tx.Deletes = append(tx.Deletes, kp.prefix+name)
		}
	}
	kp.mu.Unlock()
	if len(tx.Writes)+len(tx.Deletes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := kp.store.Commit(ctx, tx); err != nil {
		kp.registry.Inc("stream", "mark-unwritten")
		return
	}
	kp.mu.Lock()
	defer kp.mu.Unlock()
	for _, wr := range tx.Writes {
		delete(kp.unmarkedSince, strings.TrimPrefix(wr.Key, kp.prefix))
		name, _ := kp.poolOf(wr.Key)
		kp.history.marked[name] = true
	}
	for _, key := range tx.Deletes {
		name, _ := kp.poolOf(key)
		delete(kp.history.marked, name)
	}
}

// mayMarkLocked reports whether the node is to mark the pool, which has had several
// versions. A leader that has just started may not know of them.
func (kp *Keeper) mayMarkLocked(now time.Time, name string, leads bool) bool {
	if kp.history.marked[name] {
		delete(kp.unmarkedSince, name)
		return false
	}
	since, ok := kp.unmarkedSince[name]
	if !ok {
		since = now
		kp.unmarkedSince[name] = since
	}
	spread := time.Duration(xxhash.Sum64String(kp.self+name) % uint64(followerSpread))
	return leads || now.Sub(since) >= followerDelay+spread
}
