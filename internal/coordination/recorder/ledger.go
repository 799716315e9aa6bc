package recorder

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// maxKeyTimeAhead is how far the time of a new key may be in the future.
const maxKeyTimeAhead = 5 * time.Minute

// ledger is the committed state of one shard. It does no I/O.
type ledger struct {
	head
	entries map[hash]*entry
	// idsBySegment holds the ids of the keys in each segment, by its number.
	idsBySegment map[int64][]hash
	// bytes is the total length of the sealed segments.
	bytes int64
}

// newLedger returns a ledger with the head and without entries, see load.
func newLedger(hd head) *ledger {
	lg := &ledger{head: hd, entries: map[hash]*entry{}, idsBySegment: map[int64][]hash{}}
	for _, sg := range hd.segments {
		lg.bytes += sg.bytes
	}
	return lg
}

// load adds the entries of one segment. Segments must be loaded oldest first.
func (lg *ledger) load(number int64, all []*entry) {
	for _, et := range all {
		et.segment = number
		lg.entries[et.id] = et
		lg.idsBySegment[number] = append(lg.idsBySegment[number], et.id)
	}
}

// rules are the settings that apply to new keys and to expiry.
type rules struct {
	// retention is how long keys stay recorded at least, from their time.
	retention time.Duration
	// shardBytes is the size of a shard from which on it grants no new key.
	shardBytes int64
}

// stage collects the changes of one batch to a ledger.
type stage struct {
	ledger *ledger
	rules  rules
	now    time.Time
	// changed holds the last staged entry of each key.
	changed map[hash]*entry
	// staged holds all staged entries in the order of their changes.
	staged []*entry
	// encoded holds the staged entries as appended to the open segment.
	encoded []byte
	// verify is set if an answer depends on the ledger being current, for
	// example on the absence of a key, which only a compare-and-swap confirms.
	verify bool
	// violations describes violated invariants.
	violations []string
	// err is the last error of encoding.
	err error
}

// stage returns an empty stage on top of the ledger.
func (lg *ledger) stage(now time.Time, rl rules) *stage {
	return &stage{ledger: lg, rules: rl, now: now, changed: map[hash]*entry{}}
}

// find returns the staged or committed entry of a key, or nil.
func (sg *stage) find(id hash) *entry {
	if et, ok := sg.changed[id]; ok {
		return et
	}
	return sg.ledger.entries[id]
}

// put stages an entry.
func (sg *stage) put(et *entry) {
	buf, err := et.append(sg.encoded)
	if err != nil {
		sg.err = err
		return
	}
	sg.encoded = buf
	sg.changed[et.id] = et
	sg.staged = append(sg.staged, et)
}

// begin returns the answer to a Begin and stages the entry if the key is
// granted. If the stage needs a commit, the answer must be sent only after it.
func (sg *stage) begin(bg *messenger.Begin) *messenger.Begun {
	et := sg.find(hash(bg.Key))
	if et == nil {
		return &messenger.Begun{Status: sg.grant(bg)}
	}
	if et.request != hash(bg.Request) || et.time != bg.Time {
		return &messenger.Begun{Status: messenger.BeginConflict}
	}
	switch et.state {
	case finished:
		return &messenger.Begun{Status: messenger.BeginFinished, Result: et.result}
	case resultGone:
		return &messenger.Begun{Status: messenger.BeginResultGone}
	case lost:
		return &messenger.Begun{Status: messenger.BeginLost}
	case started:
		if et.attempt == bg.Attempt {
			return &messenger.Begun{Status: messenger.BeginGranted}
		}
		return &messenger.Begun{Status: messenger.BeginStarted, Executor: et.executor, Attempt: et.attempt}
	case abandoned:
	}
	if et.hasAbandoned(bg.Attempt) {
		return &messenger.Begun{Status: messenger.BeginAbandoned}
	}
	return &messenger.Begun{Status: sg.grant(bg)}
}

// grant grants a key that is not in the record or was abandoned, unless its
// time is out of range or the shard is full, and returns the status.
func (sg *stage) grant(bg *messenger.Begin) messenger.BeginStatus {
	if bg.Time <= sg.ledger.watermark {
		return messenger.BeginExpired
	}
	if bg.Time > sg.now.Add(maxKeyTimeAhead).UnixMilli() {
		sg.verify = true
		return messenger.BeginAhead
	}
	if sg.ledger.bytes+int64(len(sg.ledger.open)+len(sg.encoded)) >= sg.rules.shardBytes {
		sg.verify = true
		return messenger.BeginFull
	}
	sg.put(newEntry(bg, started).withAbandonedOf(sg.find(hash(bg.Key))))
	return messenger.BeginGranted
}

// finish stages the outcome of an attempt. If the key is missing or has another
// attempt, another owner may have changed it, so that the answer needs a
// commit.
func (sg *stage) finish(fn *messenger.Finish) {
	et := sg.find(hash(fn.Key))
	switch {
	case et == nil && fn.Abandoned && fn.Time > sg.ledger.watermark:
		// The Begin of the attempt may still arrive and must not be granted.
		sg.put(newEntry(&fn.Begin, abandoned).withAbandonedOf(nil))
	case et == nil:
		sg.expect(fn.Time <= sg.ledger.watermark, fn, "a key that was never begun")
	case et.attempt != fn.Attempt:
		sg.expect(fn.Abandoned, fn, "a key that another attempt holds")
		if fn.Abandoned && et.keepsAbandoned() && !et.hasAbandoned(fn.Attempt) {
			sg.put(et.withAbandoned(fn.Attempt))
		}
	case et.state == abandoned:
		sg.expect(fn.Abandoned, fn, "a key that it had abandoned")
	case et.state == started:
		sg.put(finishedEntry(fn).withAbandonedOf(et))
	}
}

// expect stages an assertion, which is made once the commit shows that the
// ledger is current.
func (sg *stage) expect(ok bool, fn *messenger.Finish, what string) {
	sg.verify = true
	if !ok {
		sg.violations = append(sg.violations, "attempt "+fn.Attempt+" finished "+what)
	}
}

// finishedEntry returns the entry that records the outcome of an attempt.
func finishedEntry(fn *messenger.Finish) *entry {
	switch {
	case fn.Abandoned:
		return newEntry(&fn.Begin, abandoned)
	case fn.Lost:
		return newEntry(&fn.Begin, lost)
	case !fn.Kept:
		return newEntry(&fn.Begin, resultGone)
	}
	et := newEntry(&fn.Begin, finished)
	et.result = fn.Result
	return et
}

// expired returns how many of the oldest segments hold only keys older than the
// retention. Segments are dropped oldest first, so that an earlier entry of a
// key is never kept longer than a later one.
func (lg *ledger) expired(now time.Time, retention time.Duration) int {
	cutoff := now.Add(-retention).UnixMilli()
	count := 0
	for count < len(lg.segments) && lg.segments[count].latest < cutoff {
		count++
	}
	return count
}

// nextHead returns the head that the commit of the stage writes. sealed is the
// open segment if it was sealed, else nil.
func (sg *stage) nextHead(batchID string, sealed *segment) head {
	hd := sg.ledger.head
	hd.batchID = batchID
	drop := sg.ledger.expired(sg.now, sg.rules.retention)
	for _, old := range hd.segments[:drop] {
		hd.watermark = max(hd.watermark, old.latest)
	}
	hd.segments = append([]segment(nil), hd.segments[drop:]...)
	if sealed != nil {
		hd.segments = append(hd.segments, *sealed)
		hd.number++
		hd.open = nil
	}
	hd.open = append(append([]byte(nil), hd.open...), sg.encoded...)
	return hd
}

// commit applies the staged changes to the ledger after hd was written, and
// returns the expired segments that hd does not list any more.
func (sg *stage) commit(hd head) []segment {
	lg := sg.ledger
	for _, violation := range sg.violations {
		checker.Assert(checker.AtMostOnce, false, "%s", violation)
	}
	checker.Assert(checker.FenceMonotonic, hd.epoch >= lg.epoch && hd.watermark >= lg.watermark, "record head went back")
	dropped := lg.segments[:lg.expired(sg.now, sg.rules.retention)]
	lg.head = hd
	lg.load(hd.number, sg.staged)
	lg.bytes = 0
	for _, kept := range hd.segments {
		lg.bytes += kept.bytes
	}
	for _, old := range dropped {
		lg.unload(old.number)
	}
	return dropped
}

// unload removes the entries of a dropped segment.
func (lg *ledger) unload(number int64) {
	for _, id := range lg.idsBySegment[number] {
		if et := lg.entries[id]; et != nil && et.segment == number {
			delete(lg.entries, id)
		}
	}
	delete(lg.idsBySegment, number)
}

// openSegment returns the description of the open segment for sealing it under
// the name.
func (lg *ledger) openSegment(name string) *segment {
	sg := &segment{number: lg.number, name: name, bytes: int64(len(lg.open))}
	for _, id := range lg.idsBySegment[lg.number] {
		if et := lg.entries[id]; et != nil {
			sg.latest = max(sg.latest, et.time)
		}
	}
	return sg
}
