package admitter

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// promptTokensPerAnswerToken is how many tokens of a prompt take as long as one
// token of an answer.
const promptTokensPerAnswerToken = 16

// stage is where an entry is.
type stage uint8

const (
	stageWaiting stage = iota + 1
	stageGranted
	stageEnded
)

// Entry is a request that was taken in.
type Entry struct {
	ticket  *Ticket
	seq     uint64
	stage   stage
	arrived time.Time
	// target is the latest time of a first token within the class's target.
	onTimeUntil time.Time
	cost        float64
	owed        bool
	target      *router.Target
	prefill     *router.Target
	refusal     *refuser.Refusal
	ready       chan struct{}
	flow        *flow
	class       int
	late        bool
	heapIndex   int
	grant       Grant
	// unread is the tokens of the prompt that the target has to read, backlog
	// what it had to read before, and reading the time for the own ones. The
	// latter is zero once they are read.
	unread  int
	backlog time.Duration
	reading time.Duration
	// wanted is the time for the part of the prompt that no server holds.
	wanted time.Duration
}

// Ticket returns the ticket.
func (en *Entry) Ticket() *Ticket { return en.ticket }

// Granted reports whether the entry may be sent.
func (en *Entry) Granted() bool { return en.stage == stageGranted }

// Target returns where the entry was granted to go, or nil.
func (en *Entry) Target() *router.Target { return en.target }

// Refusal returns why the entry left the queue without a grant, or nil.
func (en *Entry) Refusal() *refuser.Refusal { return en.refusal }

// Priority returns the priority for the engine; zero is the most urgent.
func (en *Entry) Priority() int {
	if en.owed {
		return 0
	}
	return en.ticket.Class.Rank()
}

func costOf(tk *Ticket) float64 {
	return float64(max(tk.MaxTokens, 1)) + float64(tk.PromptTokens)/promptTokensPerAnswerToken
}

// entryHeap orders entries by the time until which they are on time, or the
// late ones by their deadline.
type entryHeap struct {
	entries []*Entry
	late    bool
}

// Len implements heap.Interface.
func (eh *entryHeap) Len() int { return len(eh.entries) }

// Less implements heap.Interface.
func (eh *entryHeap) Less(ix, jx int) bool { return before(eh.entries[ix], eh.entries[jx], eh.late) }

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

func (eh *entryHeap) head() *Entry {
	if len(eh.entries) == 0 {
		return nil
	}
	return eh.entries[0]
}

// before orders two entries of one class.
func before(one, two *Entry, late bool) bool {
	atOne, atTwo := one.onTimeUntil, two.onTimeUntil
	if late {
		atOne, atTwo = one.ticket.Deadline, two.ticket.Deadline
	}
	if !atOne.Equal(atTwo) {
		return atOne.Before(atTwo)
	}
	return one.seq < two.seq
}
