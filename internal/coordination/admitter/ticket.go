package admitter

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/downlister"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Ticket describes a request to the scheduler.
type Ticket struct {
	// ID is the request's id.
	ID string
	// Caller is the caller that sent the request.
	Caller *configurer.Caller
	// Class is the priority class.
	Class *configurer.Class
	// Model is the model that the request needs.
	Model *configurer.Model
	// Adapter is the adapter that the request needs, or nil.
	Adapter *configurer.Adapter
	// Bytes is the size of the request's body.
	Bytes int
	// PromptTokens is the estimated length of the prompt; zero if not known.
	PromptTokens int
	// MaxTokens is the maximum length of the answer.
	MaxTokens int
	// NamedPromptTokens and NamedAnswerTokens are the numbers of tokens of the prompt
	// and of the longest answer that the request itself names, for its caller's
	// quota; both are 0 if it names none.
	NamedPromptTokens, NamedAnswerTokens int
	// Prefixes are the hashes of the prompt's leading blocks, the shortest
	// prefix first.
	Prefixes []uint64
	// PrefixTokens are the lengths of these prefixes in tokens, or nil if they
	// are not known.
	PrefixTokens []int
	// Deadline is the time from which the caller has no use for the answer.
	Deadline time.Time
	// StartBy is when the caller leaves unless its answer has begun; zero if it stays
	// until the deadline.
	StartBy time.Time
	// Avoid names servers on which this request has already failed.
	Avoid []string
	// RefusedBy are the processes whose addresses refused a connection for this request.
	// Unlike those of Avoid, they are not used even if there is no other; the request
	// waits until its server has returned.
	RefusedBy []downlister.Process
	// Resumed says that the request continues a broken stream. It does not count
	// against the quota again, and it may use slots on top of the window so that
	// it rarely waits.
	Resumed bool
	// Software is the version of the server's software that the request needs, since
	// its stream began there; empty for any.
	Software string
	// Resumable says that the caller may take up the request's stream at any node.
	Resumable bool
	// Since is when the request was first submitted, if it comes back without having been
	// sent; else zero.
	Since time.Time
	// Repeated says that the same request was submitted before, so that it does
	// not count as new demand.
	Repeated bool
	// Charged says that the request was charged to its caller's quota before, so that
	// the scheduler does not charge it.
	Charged bool
}

// LatestStart returns the time by which an answer has to begin to be of use to the caller.
func (tk *Ticket) LatestStart() time.Time {
	if !tk.StartBy.IsZero() && tk.StartBy.Before(tk.Deadline) {
		return tk.StartBy
	}
	return tk.Deadline
}

// Result describes how a granted request ended.
type Result struct {
	// Failed says that the server failed to give a complete answer.
	Failed bool
	// Refused says that the server refused the request because it had no room or
	// lacked something that the request needs.
	Refused bool
	// Full says that the server refused the request because it had no room.
	Full bool
	// FirstToken is the time from sending to the first token; zero if there was
	// none.
	FirstToken time.Duration
	// Duration is the time from sending to the end.
	Duration time.Duration
	// Tokens is the number of tokens received.
	Tokens int
}
