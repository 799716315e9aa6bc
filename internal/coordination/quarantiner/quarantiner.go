// Package quarantiner finds out which part of a prompt crashes backend servers,
// and keeps requests with that part from them.
//
// A server that crashes takes with it all that it runs, so that each crash is
// evidence against every part in flight there. What tells the cause from the
// bystanders is that it is there each time, that its request has no piece of an
// answer yet, and that no answer with it is ever completed:
//
//   - A completed answer clears the parts of its prompt, on all nodes.
//   - A part is excluded after minCrashes crashes of requests without a piece of
//     their answer, if no other part explains all of these crashes as well.
//     Otherwise, and if it had completed answers not long before, it takes
//     maxCrashes.
//   - Crashes that an excluded part explains count against nothing else.
//   - Crashes at one moment are one: the loss of a rack is no evidence against
//     what runs on several of its servers.
//
// Nodes send each other what they saw of a crash, and answer with which parts
// they completed last and when. Each reaches its own conclusions from the same
// evidence. An exclusion ends after a time, which grows with each failure, with a
// trial: one request of all nodes is let through.
//
// The last part of a prompt belongs to one request or session. It is not among
// the parts here.
//
// # Usage
//
//	qt := quarantiner.New()
//	excluded := qt.Record(now, quarantiner.NewReport(now, crash))
//	if vd := qt.Check(now, parts); vd.Wait > 0 {
//		return // refuse the request
//	}
//	qt.Succeeded(now, parts)
//
// A Quarantine reads no clock. It is safe for concurrent use.
package quarantiner

import (
	"sync"
	"time"
)

const (
	// minCrashes is the number of crashes that exclude a part without rivals, and
	// maxCrashes that which excludes any part.
	minCrashes = 3
	maxCrashes = 5
	// sameCrashTime is how far reports of one crash may lie apart. A server takes
	// longer to be back and crash again.
	sameCrashTime = 1500 * time.Millisecond
	// momentTime is how far crashes lie apart that may have one cause other than
	// the requests that they ended, unless one request was sent after the other
	// crash.
	momentTime = 100 * time.Millisecond
	// sentSlack is how far the times of two nodes may be apart that say whether a
	// request was sent after a crash.
	sentSlack = 5 * time.Millisecond
	// evidenceLifetime is how long a crash is evidence.
	evidenceLifetime = 10 * time.Minute
	// goodLifetime is how long before a crash a completed answer makes it unlikely
	// that a part is the cause.
	goodLifetime = time.Minute
	// maxSuspects, maxEvents and maxGood bound the parts with evidence against
	// them, the crashes, and the parts with completed answers.
	maxSuspects = 4096
	maxEvents   = 256
	maxGood     = 8192
	// maxMarks bounds the parts of one report.
	maxMarks = 1024
)

// Mark is what one crash says about a part.
type Mark struct {
	// Part is the id of the part.
	Part uint64
	// Answering says that all requests with the part had a piece of their answer.
	Answering bool
	// InFlight is how long before the crash the latest of them was sent.
	InFlight time.Duration
}

// Report is what a node saw of a crash.
type Report struct {
	// Server is the name of the server.
	Server string
	// Age is the time since the crash.
	Age time.Duration
	// Marks are the parts in flight, each once.
	Marks []Mark
}

// Voucher says that an answer to a request with a part was completed.
type Voucher struct {
	// Part is the id of the part.
	Part uint64
	// Age is the time since the answer ended.
	Age time.Duration
}

// Quarantine is the record of one node.
type Quarantine struct {
	mu sync.Mutex
	// events are the crashes, the oldest first.
	events []*event
	// suspects are the parts with evidence against them.
	suspects map[uint64]*suspect
	// good has the time of the last completed answer by part, of the present and
	// the former period.
	good, formerGood map[uint64]time.Time
	goodSince        time.Time
	// exclusions are the parts that are kept from servers.
	exclusions map[uint64]*exclusion
	// watches are the requests that are told of exclusions, by part.
	watches map[uint64]map[*watch]bool
}

// event is a crash of one server.
type event struct {
	server string
	at     time.Time
	// explained says that an excluded part was among its causes.
	explained bool
}

// suspect has the evidence against a part.
type suspect struct {
	// marks are the crashes, in the order in which they were reported.
	marks []mark
	// latest is the time of the last crash.
	latest time.Time
}

// mark is one crash as evidence against a part.
type mark struct {
	event     *event
	answering bool
	sent      time.Time
}

// New returns an empty record.
func New() *Quarantine {
	return &Quarantine{
		suspects:   map[uint64]*suspect{},
		good:       map[uint64]time.Time{},
		formerGood: map[uint64]time.Time{},
		exclusions: map[uint64]*exclusion{},
		watches:    map[uint64]map[*watch]bool{},
	}
}

// Succeeded records a completed answer to a request with the parts. It returns
// those that were excluded until now; other nodes have to be told of them.
func (qt *Quarantine) Succeeded(now time.Time, parts []uint64) []uint64 {
	qt.mu.Lock()
	defer qt.mu.Unlock()
	var lifted []uint64
	for _, part := range parts {
		if qt.vouch(now, part, now) {
			lifted = append(lifted, part)
		}
	}
	return lifted
}

// Accept records what other nodes completed, and returns the parts that were
// excluded until now.
func (qt *Quarantine) Accept(now time.Time, vouchers []Voucher) []uint64 {
	qt.mu.Lock()
	defer qt.mu.Unlock()
	var lifted []uint64
	for _, vc := range vouchers {
		if qt.vouch(now, vc.Part, now.Add(-vc.Age)) {
			lifted = append(lifted, vc.Part)
		}
	}
	return lifted
}

// vouch records that an answer with the part was completed at the time, which
// clears the part of all that happened before. It reports whether the part was
// excluded.
func (qt *Quarantine) vouch(now time.Time, part uint64, at time.Time) (lifted bool) {
	if at.After(qt.lastGood(part)) {
		qt.rotateGood(now)
		qt.good[part] = at
	}
	if sp, ok := qt.suspects[part]; ok && sp.latest.Before(at) {
		delete(qt.suspects, part)
	}
	if ex, ok := qt.exclusions[part]; ok && ex.since.Before(at) {
		qt.lift(part)
		return true
	}
	return false
}

// rotateGood starts a new period if the present one is over or full. A part that
// is in use is soon recorded again.
func (qt *Quarantine) rotateGood(now time.Time) {
	if len(qt.good) < maxGood && now.Sub(qt.goodSince) < goodLifetime {
		return
	}
	qt.formerGood, qt.good, qt.goodSince = qt.good, make(map[uint64]time.Time, len(qt.good)), now
}

// lastGood returns when an answer with the part was last completed.
func (qt *Quarantine) lastGood(part uint64) time.Time {
	if at, ok := qt.good[part]; ok {
		return at
	}
	return qt.formerGood[part]
}

// Vouchers returns which parts of a report this node completed answers with not
// long before.
func (qt *Quarantine) Vouchers(now time.Time, rp Report) []Voucher {
	qt.mu.Lock()
	defer qt.mu.Unlock()
	var vouchers []Voucher
	for _, mk := range rp.Marks {
		if at := qt.lastGood(mk.Part); !at.IsZero() && now.Sub(at) < goodLifetime {
			vouchers = append(vouchers, Voucher{Part: mk.Part, Age: max(now.Sub(at), 0)})
		}
	}
	return vouchers
}
