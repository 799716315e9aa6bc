package admitter

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Ticket is what the decision needs to know of a request.
type Ticket struct {
	// ID is the request's id.
	ID string
	// Caller is who sent the request.
	Caller *configurer.Caller
	// Class is the priority class.
	Class *configurer.Class
	// Model is the model that the request needs.
	Model *configurer.Model
	// Adapter is the adapter that it needs, or nil.
	Adapter *configurer.Adapter
	// Bytes is the size of the body.
	Bytes int
	// PromptTokens is an estimate of the prompt's length.
	PromptTokens int
	// MaxTokens is the greatest length of the answer.
	MaxTokens int
	// Prefixes are the hashes of the prompt's leading blocks, the shortest
	// prefix first.
	Prefixes []uint64
	// PrefixTokens are the lengths of these prefixes in tokens, or nil if they
	// are not known.
	PrefixTokens []int
	// Deadline is when the answer becomes worthless.
	Deadline time.Time
	// Avoid names servers on which this request has already failed.
	Avoid []string
	// Resumed says that the request continues a broken stream; it is not
	// counted against quotas again and waits in no queue if that can be helped.
	Resumed bool
	// Repeated says that the same request was submitted before: it is no new
	// demand.
	Repeated bool
}

// Result is how a granted request ended.
type Result struct {
	// Failed says that the server gave no whole answer through its own fault.
	Failed bool
	// Refused says that the server had no room for the request, or not what it
	// needs.
	Refused bool
	// FirstToken is the time until the first token; zero if there was none.
	FirstToken time.Duration
	// Duration is the time from sending to the end.
	Duration time.Duration
	// Tokens is the number of tokens received.
	Tokens int
}
