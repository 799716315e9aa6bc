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
	// Deadline is when the answer becomes worthless.
	Deadline time.Time
	// Avoid names servers on which this request has already failed.
	Avoid []string
	// Resumed says that the request continues a broken stream; it is not
	// counted against quotas again and waits in no queue if that can be helped.
	Resumed bool
}

// Result is how a granted request ended.
type Result struct {
	// Failed says that the server gave no whole answer through its own fault.
	Failed bool
	// FirstToken is the time until the first token; zero if there was none.
	FirstToken time.Duration
	// Duration is the time from sending to the end.
	Duration time.Duration
	// Tokens is the number of tokens received.
	Tokens int
}

// Grant is the right to send one request to one server once.
type Grant struct {
	entry    *Entry
	admitter *Admitter
}

// Server returns the name of the backend server.
func (gr *Grant) Server() string { return gr.entry.target.Name }

// Address returns the host and port of the backend server.
func (gr *Grant) Address() string { return gr.entry.target.Address }

// Priority returns the priority for the engine; zero is the most urgent. A
// request that was granted by the least share of its class is as urgent as any,
// so that it isn't overtaken for ever in the engine.
func (gr *Grant) Priority() int { return gr.entry.Priority() }

// Prefill returns the server that should read the prompt and export its KV
// cache, if the prompt is long and the model has servers for that role.
func (gr *Grant) Prefill() (server, address string, ok bool) {
	tg := gr.entry.prefill
	if tg == nil {
		return "", "", false
	}
	return tg.Name, tg.Address, true
}

// PrefillDone says that the prefill server has read the prompt. It may be
// called at most once, before Done, and may be left out.
func (gr *Grant) PrefillDone() {
	gr.admitter.mu.Lock()
	defer gr.admitter.mu.Unlock()
	gr.admitter.scheduler.finishPrefill(gr.admitter.now(), gr.entry)
}

// Done gives the right back. It must be called exactly once.
func (gr *Grant) Done(rs Result) { gr.admitter.giveBack(gr.entry, rs) }
