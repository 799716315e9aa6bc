package recorder

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// maxAhead is how far in the future the time of a new key may lie.
const maxAhead = 5 * time.Minute

// ledger is the committed state of one shard: a plain state machine.
type ledger struct {
	head
	entries  map[hash]*entry
	contents map[int64][]hash
	bytes    int64
}

func newLedger(hd head) *ledger {
	lg := &ledger{head: hd, entries: map[hash]*entry{}, contents: map[int64][]hash{}}
	for _, sg := range hd.segments {
		lg.bytes += sg.bytes
	}
	return lg
}

// load adds the entries of one segment; segments are loaded in their order.
func (lg *ledger) load(number int64, all []*entry) {
	for _, et := range all {
		et.segment = number
		lg.entries[et.id] = et
		lg.contents[number] = append(lg.contents[number], et.id)
	}
}

// rules are the settings that decide about new keys.
type rules struct {
	retention  time.Duration
	shardBytes int64
}

// stage collects the changes of one batch on top of a ledger.
type stage struct {
	ledger  *ledger
	rules   rules
	now     time.Time
	changed map[hash]*entry
	order   []*entry
	encoded []byte
	// verify says that an answer rests on a key's absence, which only a
	// compare-and-swap confirms.
	verify   bool
	breaches []string
	err      error
}

func (lg *ledger) stage(now time.Time, rl rules) *stage {
	return &stage{ledger: lg, rules: rl, now: now, changed: map[hash]*entry{}}
}

func (sg *stage) find(id hash) *entry {
	if et, ok := sg.changed[id]; ok {
		return et
	}
	return sg.ledger.entries[id]
}

func (sg *stage) put(et *entry) {
	buf, err := et.append(sg.encoded)
	if err != nil {
		sg.err = err
		return
	}
	sg.encoded = buf
	sg.changed[et.id] = et
	sg.order = append(sg.order, et)
}

// begin decides about a key. An answer may be given only after the stage was
// committed, if it has to be.
func (sg *stage) begin(bg *messenger.Begin) *messenger.Begun {
	et := sg.find(hash(bg.Key))
	if et == nil {
		return &messenger.Begun{Status: sg.admit(bg)}
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
	if et.gaveUp(bg.Attempt) {
		return &messenger.Begun{Status: messenger.BeginAbandoned}
	}
	return &messenger.Begun{Status: sg.admit(bg)}
}

// admit grants a key that is not in the record, or was abandoned.
func (sg *stage) admit(bg *messenger.Begin) messenger.BeginStatus {
	if bg.Time <= sg.ledger.watermark {
		return messenger.BeginExpired
	}
	if bg.Time > sg.now.Add(maxAhead).UnixMilli() {
		sg.verify = true
		return messenger.BeginAhead
	}
	if sg.ledger.bytes+int64(len(sg.ledger.open)+len(sg.encoded)) >= sg.rules.shardBytes {
		sg.verify = true
		return messenger.BeginFull
	}
	sg.put(entryOf(bg, started).after(sg.find(hash(bg.Key))))
	return messenger.BeginGranted
}

// finish records how an attempt ended. What it finds missing may have been
// begun with another owner meanwhile, so that the answer needs a commit.
func (sg *stage) finish(fn *messenger.Finish) {
	et := sg.find(hash(fn.Key))
	switch {
	case et == nil && fn.Abandoned && fn.Time > sg.ledger.watermark:
		// The attempt's Begin may still arrive; it finds that it was abandoned.
		sg.put(entryOf(&fn.Begin, abandoned).after(nil))
	case et == nil:
		sg.expect(fn.Time <= sg.ledger.watermark, fn, "a key that was never begun")
	case et.attempt != fn.Attempt:
		sg.expect(fn.Abandoned, fn, "a key that another attempt holds")
		if fn.Abandoned && et.remembersAbandoned() && !et.gaveUp(fn.Attempt) {
			sg.put(et.without(fn.Attempt))
		}
	case et.state == abandoned:
		sg.expect(fn.Abandoned, fn, "a key that it had abandoned")
	case et.state == started:
		sg.put(endOf(fn).after(et))
	}
}

// expect keeps an assertion until the commit shows that the ledger is current.
func (sg *stage) expect(ok bool, fn *messenger.Finish, what string) {
	sg.verify = true
	if !ok {
		sg.breaches = append(sg.breaches, "attempt "+fn.Attempt+" finished "+what)
	}
}

func endOf(fn *messenger.Finish) *entry {
	switch {
	case fn.Abandoned:
		return entryOf(&fn.Begin, abandoned)
	case fn.Lost:
		return entryOf(&fn.Begin, lost)
	case !fn.Kept:
		return entryOf(&fn.Begin, resultGone)
	}
	et := entryOf(&fn.Begin, finished)
	et.result = fn.Result
	return et
}

// expired returns how many of the oldest segments hold only keys beyond the
// retention. Segments go in their order, so that no earlier entry of a key
// outlives a later one.
func (lg *ledger) expired(now time.Time, retention time.Duration) int {
	cutoff := now.Add(-retention).UnixMilli()
	count := 0
	for count < len(lg.segments) && lg.segments[count].latest < cutoff {
		count++
	}
	return count
}

// next returns the head after the stage was committed.
func (sg *stage) next(batch string, sealed *segment) head {
	hd := sg.ledger.head
	hd.batch = batch
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

// commit makes the staged changes the ledger's state and returns the segments
// that the new head lists no more.
func (sg *stage) commit(hd head) []segment {
	lg := sg.ledger
	for _, breach := range sg.breaches {
		checker.Assert(checker.AtMostOnce, false, "%s", breach)
	}
	checker.Assert(checker.FenceForward, hd.epoch >= lg.epoch && hd.watermark >= lg.watermark, "record head went back")
	dropped := lg.segments[:lg.expired(sg.now, sg.rules.retention)]
	lg.head = hd
	lg.load(hd.number, sg.order)
	lg.bytes = 0
	for _, kept := range hd.segments {
		lg.bytes += kept.bytes
	}
	for _, old := range dropped {
		lg.forget(old.number)
	}
	return dropped
}

func (lg *ledger) forget(number int64) {
	for _, id := range lg.contents[number] {
		if et := lg.entries[id]; et != nil && et.segment == number {
			delete(lg.entries, id)
		}
	}
	delete(lg.contents, number)
}

// openSegment describes the open segment as it would be sealed.
func (lg *ledger) openSegment(name string) *segment {
	sg := &segment{number: lg.number, name: name, bytes: int64(len(lg.open))}
	for _, id := range lg.contents[lg.number] {
		if et := lg.entries[id]; et != nil {
			sg.latest = max(sg.latest, et.time)
		}
	}
	return sg
}
