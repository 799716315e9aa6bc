package relayer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/replicator"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const (
	// maxLogChanges and maxLogBytes bound the changes that a node keeps for its
	// followers. A follower that needs older ones gets all keys.
	maxLogChanges = 2048
	maxLogBytes   = 2 << 20
	// outageRetention is how long followers are told that an outage of the store
	// has ended. It exceeds the time in which registrations come back.
	outageRetention = 10 * time.Second
)

// feed is a node's copy of the keys under one prefix. It passes each change to
// the sink, and keeps the latest ones for other nodes.
type feed struct {
	prefix string
	sink   replicator.Sink
	pause  time.Duration
	clock  func() time.Duration

	// order keeps the calls of the sink in the order in which the copy changes.
	order sync.Mutex

	mu      sync.Mutex
	entries map[string]storer.Entry
	// log has the latest changes after logStart, in order.
	log      []storer.Change
	logStart int64
	logBytes int
	// era is the era of the store to which the revisions belong; zero means none.
	era int64
	// position is the revision of the last change, or of the last list of all
	// keys; zero means no copy.
	position int64
	// seen is the highest revision of a change or of a key in a list.
	seen int64
	// listed says that the revision of the last list is not known yet.
	listed bool
	// revision is the revision of the store up to which no change is missing.
	revision int64
	// down says that the store does not answer.
	down bool
	// backAt is when the store's last outage ended; zero means never.
	backAt time.Duration
}

// reader is the sink of one replicator, which may still be in a former era when
// the copy has come from a peer in the next one. It must be used by one goroutine
// only.
type reader struct {
	*feed
	// era is the era of what the replicator reads; zero means not known.
	era int64
}

// currentOrdered reports whether the copy is of the reader's era. Its caller holds
// order.
func (rd *reader) currentOrdered() bool {
	era, _, _ := rd.positions()
	return era == 0 || rd.era == 0 || era == rd.era
}

// Replace implements replicator.Sink.
func (rd *reader) Replace(entries []storer.Entry) {
	rd.order.Lock()
	defer rd.order.Unlock()
	if rd.currentOrdered() {
		rd.replaceOrdered(entries)
	}
}

// Apply implements replicator.Sink.
func (rd *reader) Apply(changes []storer.Change) {
	rd.order.Lock()
	defer rd.order.Unlock()
	if rd.currentOrdered() {
		rd.applyOrdered(changes)
	}
}

// StoreRestored implements replicator.Sink.
func (rd *reader) StoreRestored(era int64) {
	rd.era = era
	rd.feed.StoreRestored(era)
}

// Replace implements replicator.Sink.
func (fd *feed) Replace(entries []storer.Entry) {
	fd.order.Lock()
	defer fd.order.Unlock()
	fd.replaceOrdered(entries)
}

// replaceOrdered is Replace for callers that hold order.
func (fd *feed) replaceOrdered(entries []storer.Entry) {
	fd.mu.Lock()
	fd.entries = make(map[string]storer.Entry, len(entries))
	for _, en := range entries {
		fd.entries[en.Key] = en
		fd.seen = max(fd.seen, en.Revision)
	}
	fd.log, fd.logBytes, fd.listed = nil, 0, true
	fd.mu.Unlock()
	fd.sink.Replace(entries)
}

// applyOrdered applies the changes that the copy does not have yet. Those that a list
// brought are logged all the same, since followers may have the list's revision without
// them. Its caller holds order.
func (fd *feed) applyOrdered(changes []storer.Change) {
	fd.mu.Lock()
	fresh := make([]storer.Change, 0, len(changes))
	logged := fd.position
	for _, ch := range changes {
		fd.position, fd.seen = max(fd.position, ch.Revision), max(fd.seen, ch.Revision)
		known, ok := fd.entries[ch.Key]
		has := ok && known.Revision >= ch.Revision || !ok && ch.Deleted
		if !has || ch.Revision > logged {
			fd.log = append(fd.log, ch)
			fd.logBytes += len(ch.Key) + len(ch.Value)
		}
		if has {
			continue
		}
		if ch.Deleted {
			delete(fd.entries, ch.Key)
		} else {
			fd.entries[ch.Key] = ch.Entry
		}
		fresh = append(fresh, ch)
	}
	fd.trimLocked()
	fd.mu.Unlock()
	if len(fresh) > 0 {
		fd.sink.Apply(fresh)
	}
}

// trimLocked drops the oldest changes beyond the bounds of the log.
func (fd *feed) trimLocked() {
	dropped := 0
	for dropped < len(fd.log) && (len(fd.log)-dropped > maxLogChanges || fd.logBytes > maxLogBytes) {
		ch := fd.log[dropped]
		fd.logBytes -= len(ch.Key) + len(ch.Value)
		fd.logStart = max(fd.logStart, ch.Revision)
		dropped++
	}
	fd.log = slices.Delete(fd.log, 0, dropped)
}

// StoreDown implements replicator.Sink.
func (fd *feed) StoreDown() {
	fd.order.Lock()
	defer fd.order.Unlock()
	fd.mu.Lock()
	known := fd.down
	fd.down = true
	fd.mu.Unlock()
	if !known {
		fd.sink.StoreDown()
	}
}

// StoreUp implements replicator.Sink.
func (fd *feed) StoreUp() {
	fd.order.Lock()
	defer fd.order.Unlock()
	fd.mu.Lock()
	known := fd.down
	fd.down = false
	if known {
		fd.backAt = fd.clock()
	}
	fd.mu.Unlock()
	if known {
		fd.sink.StoreUp()
	}
}

// StoreRestored implements replicator.Sink. The copy stays in use until the keys
// are read again, but is not passed on.
func (fd *feed) StoreRestored(era int64) {
	fd.order.Lock()
	defer fd.order.Unlock()
	fd.restoreOrdered(era)
}

// restoreOrdered is StoreRestored for callers that hold order.
func (fd *feed) restoreOrdered(era int64) {
	fd.mu.Lock()
	former, position := fd.era, fd.position
	if era <= former {
		fd.mu.Unlock()
		return
	}
	fd.era, fd.position, fd.revision, fd.seen = era, 0, 0, 0
	fd.log, fd.logBytes, fd.logStart = nil, 0, 0
	fd.backAt = fd.clock()
	fd.mu.Unlock()
	log.WithFields(log.Fields{"prefix": fd.prefix, "former-era": former, "era": era, "former-position": position}).
		Warn("store returned from an older copy; its keys are read again")
	fd.sink.StoreRestored(era)
}

// advance records that the copy has every change up to a revision of an era.
func (fd *feed) advance(era, revision int64) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	if fd.era == 0 {
		fd.era = era
	}
	if era != fd.era {
		return
	}
	fd.revision = max(fd.revision, revision)
	if fd.listed {
		// The list lacks the removals before it.
		fd.listed = false
		fd.position = max(fd.position, revision)
		fd.logStart = fd.position
	}
}

// messagePosition returns how far the copy goes.
func (fd *feed) messagePosition() messenger.FeedPosition {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	return messenger.FeedPosition{Era: fd.era, Revision: fd.position, Seen: fd.seen}
}

// positions returns the era, the revision of the last change, and the revision up
// to which no change is missing.
func (fd *feed) positions() (era, position, revision int64) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	return fd.era, fd.position, fd.revision
}

// part returns what a node with a copy at the position lacks. It returns false
// if that node may have changes that this copy lacks. Its revision is zero if
// neither node has a copy.
func (fd *feed) part(ps messenger.FeedPosition) (messenger.FeedPart, bool) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	position, seen := ps.Revision, ps.Seen
	if ps.Era < fd.era {
		// The sender's copy is of a former era.
		position, seen = 0, 0
	}
	if ps.Era > fd.era || fd.position == 0 || fd.listed || seen > fd.revision {
		return messenger.FeedPart{}, ps.Revision == 0
	}
	pt := messenger.FeedPart{Era: fd.era, Revision: fd.revision, Down: fd.down}
	if fd.backAt != 0 && !fd.down {
		if back := fd.clock() - fd.backAt; back < outageRetention {
			pt.Back = max(back, time.Millisecond)
		}
	}
	if position == 0 || position < fd.logStart {
		pt.Whole = true
		for _, en := range fd.entries {
			pt.Changes = append(pt.Changes, changeOf(storer.Change{Entry: en}))
		}
		slices.SortFunc(pt.Changes, func(one, two messenger.FeedChange) int { return cmp.Compare(one.Revision, two.Revision) })
		return pt, true
	}
	for _, ch := range fd.log {
		if ch.Revision > position {
			pt.Changes = append(pt.Changes, changeOf(ch))
		}
	}
	return pt, true
}

// take applies a part that another node sent. It ignores one that lacks changes
// which have come in since the node was asked.
func (fd *feed) take(pt messenger.FeedPart) {
	if pt.Revision == 0 {
		return
	}
	fd.takeOutage(pt)
	fd.order.Lock()
	defer fd.order.Unlock()
	if era, _, _ := fd.positions(); era != 0 && pt.Whole {
		fd.restoreOrdered(pt.Era)
	}
	if era, position, _ := fd.positions(); pt.Era < era || pt.Revision < position {
		return
	}
	switch {
	case pt.Whole:
		entries := make([]storer.Entry, 0, len(pt.Changes))
		for _, fc := range pt.Changes {
			entries = append(entries, storeChange(fc).Entry)
		}
		fd.replaceOrdered(entries)
	case len(pt.Changes) > 0:
		changes := make([]storer.Change, 0, len(pt.Changes))
		for _, fc := range pt.Changes {
			changes = append(changes, storeChange(fc))
		}
		fd.applyOrdered(changes)
	}
	fd.advance(pt.Era, pt.Revision)
}

// takeOutage passes an outage of the store to the sink that the sender saw. The
// sink has to know of it before the changes that it caused, even if it was over
// between two polls.
func (fd *feed) takeOutage(pt messenger.FeedPart) {
	if pt.Down {
		fd.StoreDown()
		return
	}
	fd.mu.Lock()
	missed := pt.Back > 0 && !fd.down && fd.clock()-pt.Back > fd.backAt+outageMargin
	fd.mu.Unlock()
	if missed {
		fd.StoreDown()
	}
	fd.StoreUp()
}

// outageMargin is how far two nodes may differ in when one outage ended.
const outageMargin = time.Second

func changeOf(ch storer.Change) messenger.FeedChange {
	return messenger.FeedChange{Key: ch.Key, Value: ch.Value, Revision: ch.Revision, Lease: int64(ch.Lease), Deleted: ch.Deleted}
}

func storeChange(fc messenger.FeedChange) storer.Change {
	en := storer.Entry{Key: fc.Key, Value: fc.Value, Revision: fc.Revision, Lease: storer.Lease(fc.Lease)}
	return storer.Change{Entry: en, Deleted: fc.Deleted}
}
