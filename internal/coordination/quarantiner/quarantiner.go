// Package quarantiner finds out which content crashes backend servers, and keeps
// requests with it from them. A content is a part of prompts or a whole request.
//
// A server that crashes takes with it all that it runs, so that each crash is
// evidence against every content in flight there. What tells the cause from the
// bystanders is that it is there each time, that its request has no piece of an
// answer yet, and that no answer with it is ever completed:
//
//   - A completed answer clears the contents of its request, on all nodes.
//   - A content is excluded after minCrashes crashes of requests without a piece of
//     their answer, if no other content explains all of these crashes as well.
//     Otherwise, and if it had completed answers not long before, it takes
//     maxCrashes. Fewer exclude a whole request.
//   - A part is excluded only if several requests with it crashed servers, or one
//     that others complete.
//   - Crashes that an excluded content explains count against nothing else.
//   - Crashes at one moment are one: the loss of a rack is no evidence against
//     what runs on several of its servers.
//
// Nodes send each other what they saw of a crash, and answer with which contents
// they completed last and when. Each reaches its own conclusions from the same
// evidence. An exclusion ends after a time, which grows with each failure, with a
// trial: one request of all nodes is let through.
//
// The last part of a prompt belongs to one request or session. It is no content
// here.
//
// # Usage
//
//	qt := quarantiner.New()
//	excluded := qt.Record(now, quarantiner.NewReport(now, crash))
//	if vd := qt.Check(now, contents); vd.Wait > 0 {
//		return // refuse the request
//	}
//	qt.Succeeded(now, contents)
//
// A Quarantine reads no clock. It is safe for concurrent use.
package quarantiner

import (
	"sync"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/fingerprinter"
)

const (
	// minCrashes is the number of crashes that exclude a part without rivals, and
	// maxCrashes that which excludes any part.
	minCrashes = 3
	maxCrashes = 5
	// minRequestCrashes and maxRequestCrashes are the same for whole requests,
	// whose exclusion concerns no other request.
	minRequestCrashes = 2
	maxRequestCrashes = 3
	// sameCrashTime is how far reports of one crash may lie apart, and noticeTime how
	// long after it a node that has not noticed may send requests.
	sameCrashTime = 1500 * time.Millisecond
	noticeTime    = 50 * time.Millisecond
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
	// that a content is the cause.
	goodLifetime = time.Minute
	// maxSuspects, maxEvents and maxGood bound the contents with evidence against
	// them, the crashes, and the contents with completed answers.
	maxSuspects = 4096
	maxEvents   = 256
	maxGood     = 8192
	// maxMarks bounds the contents of one report.
	maxMarks = 1024
)

// Mark is what one crash says about a content.
type Mark struct {
	// Content is the id of the content.
	Content fingerprinter.Content
	// Answering says that all requests with the content had a piece of their answer.
	Answering bool
	// InFlight is how long before the crash the latest of them was sent.
	InFlight time.Duration
	// Request is the content of that request as a whole, or 0.
	Request fingerprinter.Content
}

// Report is what a node saw of a crash.
type Report struct {
	// Server is the name of the server.
	Server string
	// Age is the time since the crash.
	Age time.Duration
	// Marks are the contents in flight, each once.
	Marks []Mark
}

// Voucher says that an answer to a request with a content was completed.
type Voucher struct {
	// Content is the id of the content.
	Content fingerprinter.Content
	// Age is the time since the answer ended.
	Age time.Duration
}

// Quarantine is the record of one node.
type Quarantine struct {
	mu sync.Mutex
	// events are the crashes, the oldest first.
	events []*event
	// suspects are the contents with evidence against them.
	suspects map[fingerprinter.Content]*suspect
	// goodParts and goodRequests have what answers were completed with.
	goodParts, goodRequests goods
	// exclusions are the contents that are kept from servers.
	exclusions map[fingerprinter.Content]*exclusion
	// watches are the requests that are told of exclusions, by content.
	watches map[fingerprinter.Content]map[*watch]bool
}

// event is a crash of one server.
type event struct {
	server string
	at     time.Time
	// explained says that an excluded content was among its causes.
	explained bool
}

// suspect has the evidence against a content.
type suspect struct {
	// marks are the crashes, in the order in which they were reported.
	marks []mark
	// latest is the time of the last crash.
	latest time.Time
}

// mark is one crash as evidence against a content.
type mark struct {
	event     *event
	answering bool
	sent      time.Time
	request   fingerprinter.Content
}

// New returns an empty record.
func New() *Quarantine {
	return &Quarantine{
		suspects:   map[fingerprinter.Content]*suspect{},
		exclusions: map[fingerprinter.Content]*exclusion{},
		watches:    map[fingerprinter.Content]map[*watch]bool{},
	}
}

// Succeeded records a completed answer to a request with the contents. It returns
// those that were excluded until now; other nodes have to be told of them.
func (qt *Quarantine) Succeeded(now time.Time, contents []fingerprinter.Content) []fingerprinter.Content {
	qt.mu.Lock()
	defer qt.mu.Unlock()
	var lifted []fingerprinter.Content
	for _, content := range contents {
		if qt.vouch(now, content, now) {
			lifted = append(lifted, content)
		}
	}
	return lifted
}

// Accept records what other nodes completed, and returns the contents that were
// excluded until now.
func (qt *Quarantine) Accept(now time.Time, vouchers []Voucher) []fingerprinter.Content {
	qt.mu.Lock()
	defer qt.mu.Unlock()
	var lifted []fingerprinter.Content
	for _, vc := range vouchers {
		if qt.vouch(now, vc.Content, now.Add(-vc.Age)) {
			lifted = append(lifted, vc.Content)
		}
	}
	return lifted
}

// vouch records that an answer with the content was completed at the time, which
// clears the content of all that happened before. It reports whether the content was
// excluded.
func (qt *Quarantine) vouch(now time.Time, content fingerprinter.Content, at time.Time) (lifted bool) {
	qt.goods(content).note(now, content, at)
	if sp, ok := qt.suspects[content]; ok && sp.latest.Before(at) {
		delete(qt.suspects, content)
	}
	if ex, ok := qt.exclusions[content]; ok && ex.since.Before(at) {
		qt.lift(content)
		return true
	}
	return false
}

// goods returns the record that the content belongs to.
func (qt *Quarantine) goods(content fingerprinter.Content) *goods {
	if content.IsRequest() {
		return &qt.goodRequests
	}
	return &qt.goodParts
}

// lastGood returns when an answer with the content was last completed.
func (qt *Quarantine) lastGood(content fingerprinter.Content) time.Time {
	return qt.goods(content).last(content)
}

// Vouchers returns which contents of a report this node completed answers with not
// long before.
func (qt *Quarantine) Vouchers(now time.Time, rp Report) []Voucher {
	qt.mu.Lock()
	defer qt.mu.Unlock()
	var vouchers []Voucher
	for _, mk := range rp.Marks {
		if at := qt.lastGood(mk.Content); !at.IsZero() && now.Sub(at) < goodLifetime {
			vouchers = append(vouchers, Voucher{Content: mk.Content, Age: max(now.Sub(at), 0)})
		}
	}
	return vouchers
}
