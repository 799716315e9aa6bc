package versionkeeper

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const (
	// markPrefix precedes the marks of pools with several versions, and recordPrefix the
	// records of the versions of all others, under the keeper's prefix.
	markPrefix   = "mixed/"
	recordPrefix = "software/"
	// maxWrites bounds the keys of one transaction.
	maxWrites = 32
	// followerDelay is how long a pool lacks its mark or record before a node that does
	// not lead writes it, and followerSpread the time over which such nodes do.
	followerDelay  = time.Second
	followerSpread = 4 * time.Second
)

// Replace takes up all keys of the store. Keys outside the prefix are ignored.
func (kp *Keeper) Replace(entries []storer.Entry) {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	kp.history.marked = map[string]bool{}
	kp.history.recorded = map[string]versionRecord{}
	for _, en := range entries {
		kp.applyLocked(storer.Change{Entry: en})
	}
}

// Apply takes up changes in the store. Keys outside the prefix are ignored.
func (kp *Keeper) Apply(changes []storer.Change) {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	for _, ch := range changes {
		kp.applyLocked(ch)
	}
}

// applyLocked takes up a change of a mark or a record.
func (kp *Keeper) applyLocked(ch storer.Change) {
	if kp.store == nil {
		return
	}
	key, ok := strings.CutPrefix(ch.Key, kp.prefix)
	if !ok {
		return
	}
	if name, ok := strings.CutPrefix(key, markPrefix); ok {
		delete(kp.lackingSince, ch.Key)
		if ch.Deleted {
			delete(kp.history.marked, name)
		} else {
			kp.history.marked[name] = true
		}
	}
	if name, ok := strings.CutPrefix(key, recordPrefix); ok {
		delete(kp.lackingSince, ch.Key)
		if ch.Deleted {
			delete(kp.history.recorded, name)
		} else {
			kp.history.recorded[name] = versionRecord{software: string(ch.Value), revision: ch.Revision}
		}
	}
}

// updateStore writes the marks and records that the store lacks, and, as leader, removes
// or replaces those that no longer hold.
func (kp *Keeper) updateStore(ctx context.Context) {
	if kp.store == nil {
		return
	}
	now, leads := time.Now(), kp.leads()
	kp.mu.Lock()
	marks := kp.missingMarksLocked(now, leads)
	kp.mu.Unlock()
	kp.commit(ctx, marks)
	if kp.age() > maxAge {
		return
	}
	kp.mu.Lock()
	records := kp.recordChangesLocked(now, leads)
	kp.mu.Unlock()
	kp.commit(ctx, records)
}

// missingMarksLocked returns the marks to write of pools that have had several versions
// lately.
func (kp *Keeper) missingMarksLocked(now time.Time, leads bool) storer.Transaction {
	tx := storer.Transaction{}
	for name := range kp.history.mixed(now) {
		key := kp.prefix + markPrefix + name
		if kp.history.marked[name] || leads && kp.singleLocked(now, name) || len(tx.Writes) == maxWrites {
			continue
		}
		if kp.mayWriteLocked(now, key, leads) {
			tx.Writes = append(tx.Writes, storer.Write{Key: key, Value: []byte(strings.Join(kp.history.Seen(now, name), " "))})
		}
	}
	return tx
}

// recordChangesLocked returns the records to write of pools that have none. For the
// leader it adds the marks to remove and the records to remove or replace, since they no
// longer hold. Records are written on condition that they are as this node knows them:
// another node may have seen a version that this one has not.
func (kp *Keeper) recordChangesLocked(now time.Time, leads bool) storer.Transaction {
	tx := storer.Transaction{Expected: map[string]int64{}}
	full := func() bool { return len(tx.Writes)+len(tx.Deletes) >= maxWrites }
	for name := range kp.history.pools {
		key := kp.prefix + recordPrefix + name
		versions, single := kp.history.observed(now, name), leads && kp.singleLocked(now, name)
		rc, recorded := kp.history.recorded[name]
		if full() || len(versions) != 1 || recorded && rc.software == versions[0] {
			continue
		}
		if single || !recorded && !kp.history.marked[name] && kp.mayWriteLocked(now, key, leads) {
			tx.Writes = append(tx.Writes, storer.Write{Key: key, Value: []byte(versions[0])})
			tx.Expected[key] = rc.revision
		}
	}
	for name, rc := range kp.history.recorded {
		if _, ok := kp.history.pools[name]; !ok && leads && kp.singleLocked(now, name) && !full() {
			key := kp.prefix + recordPrefix + name
			tx.Deletes = append(tx.Deletes, key)
			tx.Expected[key] = rc.revision
		}
	}
	for name := range kp.history.marked {
		if leads && kp.singleLocked(now, name) && !full() {
			tx.Deletes = append(tx.Deletes, kp.prefix+markPrefix+name)
		}
	}
	return tx
}

// singleLocked reports whether the node has followed the pool for streamMemory and has
// seen at most one version.
func (kp *Keeper) singleLocked(now time.Time, name string) bool {
	return kp.history.covers(now) && len(kp.history.observed(now, name)) <= 1
}

// mayWriteLocked reports whether the node is to write a key that the store lacks. A
// leader that has just started may not know that it does.
func (kp *Keeper) mayWriteLocked(now time.Time, key string, leads bool) bool {
	since, ok := kp.lackingSince[key]
	if !ok {
		since = now
		kp.lackingSince[key] = since
	}
	spread := time.Duration(xxhash.Sum64String(kp.self+key) % uint64(followerSpread))
	return leads || now.Sub(since) >= followerDelay+spread
}

// commit executes the transaction, unless it is empty, and takes up its changes.
func (kp *Keeper) commit(ctx context.Context, tx storer.Transaction) {
	if len(tx.Writes)+len(tx.Deletes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := kp.store.Commit(ctx, tx)
	if err != nil {
		kp.registry.Inc("stream", "mark-unwritten")
		return
	}
	kp.mu.Lock()
	defer kp.mu.Unlock()
	for _, wr := range tx.Writes {
		log.WithFields(log.Fields{"key": wr.Key, "versions": string(wr.Value), "expected": tx.Expected[wr.Key], "revision": revision}).
			Info("versions of a pool's software are written to the store")
		kp.applyLocked(storer.Change{Entry: storer.Entry{Key: wr.Key, Value: wr.Value, Revision: revision}})
	}
	for _, key := range tx.Deletes {
		log.WithFields(log.Fields{"key": key, "revision": revision}).Info("versions of a pool's software are removed from the store")
		kp.applyLocked(storer.Change{Entry: storer.Entry{Key: key}, Deleted: true})
	}
}
