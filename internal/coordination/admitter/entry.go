package admitter

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// promptTokensPerAnswerToken is how many prompt tokens an engine processes in
// the time of one answer token.
const promptTokensPerAnswerToken = 16

// stage is the state of an entry.
type stage uint8

const (
	stageWaiting stage = iota + 1
	stageGranted
	stageEnded
)

// Entry is a request that the scheduler accepted.
type Entry struct {
	ticket *Ticket
	// seq numbers the entries in the order of arrival.
	seq       uint64
	stage     stage
	arrivedAt time.Time
	// onTimeUntil is the latest time of a grant that meets the class's
	// first-token target.
	onTimeUntil time.Time
	// cost is the expected work in answer tokens.
	cost float64
	// underserved says that the entry was granted because its class had got
	// less than its minimum share of the server.
	underserved bool
	// target is the server that the request was granted, and prefillServer
	// the one that processes its prompt, or nil.
	target        *router.Target
	prefillServer *router.Target
	// prefixSource is the address of the server from which the target fetches the
	// start of the prompt, or empty.
	prefixSource string
	refusal      *refuser.Refusal
	// ready is closed when the entry is granted or refused.
	ready chan struct{}
	flow  *flow
	// class is the index in Scheduler.classes.
	class int
	// late says that the entry can't meet its first-token target any more.
	late bool
	// kept says that the entry waits on although it is displaced.
	kept bool
	// ahead is the number of entries of its model and class that were ahead when
	// it began to wait.
	ahead int
	// estimate is what was known of the target at the grant.
	estimate LoadEstimate
	// heapIndex is the entry's index in its heap while it waits.
	heapIndex int
	grant     Grant
	// uncachedTokens is the number of prompt tokens that the target had not
	// cached at the time of the grant, and backlog its prefill backlog before
	// them. prefillTime is the time for uncachedTokens, or zero once they are
	// processed.
	uncachedTokens int
	backlog        time.Duration
	prefillTime    time.Duration
	// ownPrefillTime is the prefill time for the part of the prompt that no
	// server has cached.
	ownPrefillTime time.Duration
}

// Ticket returns the ticket that was submitted.
func (en *Entry) Ticket() *Ticket { return en.ticket }

// Granted reports whether the entry is granted and has not ended.
func (en *Entry) Granted() bool { return en.stage == stageGranted }

// Target returns the server that the entry was granted, or nil.
func (en *Entry) Target() *router.Target { return en.target }

// Refusal returns why the entry left the queue without a grant, or nil.
func (en *Entry) Refusal() *refuser.Refusal { return en.refusal }

// Priority returns the priority for the engine; zero is the most urgent.
func (en *Entry) Priority() int {
	if en.underserved {
		return 0
	}
	return en.ticket.Class.Rank()
}

func costOf(tk *Ticket) float64 {
	return float64(max(tk.MaxTokens, 1)) + float64(tk.PromptTokens)/promptTokensPerAnswerToken
}

// entryHeap orders entries by onTimeUntil, or by deadline if late is set.
type entryHeap struct {
	entries []*Entry
	late    bool
}

// Len implements heap.Interface.
func (eh *entryHeap) Len() int { return len(eh.entries) }

// Less implements heap.Interface.
func (eh *entryHeap) Less(ix, jx int) bool { return earlier(eh.entries[ix], eh.entries[jx], eh.late) }

// Swap implements heap.Interface.
func (eh *entryHeap) Swap(ix, jx int) {
	eh.entries[ix], eh.entries[jx] = eh.entries[jx], eh.entries[ix]
	eh.entries[ix].heapIndex = ix
	eh.entries[jx].heapIndex = jx
}

// Push implements heap.Interface.
func (eh *entryHeap) Push(item any) {
	en := item.(*Entry)
	en.heapIndex = len(eh.entries)
	eh.entries = append(eh.entries, en)
}

// Pop implements heap.Interface.
func (eh *entryHeap) Pop() any {
	last := len(eh.entries) - 1
	en := eh.entries[last]
	eh.entries[last] = nil
	eh.entries = eh.entries[:last]
	return en
}

func (eh *entryHeap) peek() *Entry {
	if len(eh.entries) == 0 {
		return nil
	}
	return eh.entries[0]
}

// earlier reports whether one precedes two in their heap.
func earlier(one, two *Entry, late bool) bool {
	atOne, atTwo := one.onTimeUntil, two.onTimeUntil
	if late {
		atOne, atTwo = one.ticket.Deadline, two.ticket.Deadline
	}
	if !atOne.Equal(atTwo) {
		return atOne.Before(atTwo)
	}
	return one.seq < two.seq
}
