// Package dispatcher takes a completion request of a caller from admission to
// the last byte of its answer.
//
// A failed sending is repeated on another server within the retry budget, a
// broken stream is resumed from its last token where the engine can, and what
// reaches the caller is checked: it is the answer to its own request, without
// a token repeated or skipped, and it ends as whole only if it is whole.
//
// # Usage
//
//	ds := dispatcher.New(admitter, forwarder, adapters, dispatcher.WithRegistry(registry))
//	rf := ds.Dispatch(ctx, settings, request, responseWriter)
//
// Without a refusal the answer is whole. With one it is not: if nothing was
// written, the caller gets the refusal as its answer; if a stream had begun,
// an event "error" was its last and the connection has to be aborted.
package dispatcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/ejector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/retrier"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// retryLater is what a caller is told to wait before it tries again.
const retryLater = time.Second

// Request is one completion request after it was checked.
type Request struct {
	// ID is unique to the request.
	ID string
	// Caller is who sent it.
	Caller *configurer.Caller
	// Class is its priority class.
	Class *configurer.Class
	// Model is the model that it needs.
	Model *configurer.Model
	// Adapter is the adapter that it needs, or nil.
	Adapter *configurer.Adapter
	// Path is the path of the completions API.
	Path string
	// Body is the JSON body as it goes to the backend server.
	Body []byte
	// Prompt is the text of the prompt.
	Prompt string
	// Stream says that the answer is a stream of events.
	Stream bool
	// MaxTokens is the greatest number of tokens of the answer.
	MaxTokens int
	// Deadline is when the answer becomes worthless.
	Deadline time.Time
	// ResumeFrom is the number of tokens that the caller already has, from a
	// stream with the same ID that broke off.
	ResumeFrom int
	// Once says that the caller forbids to send the request a second time.
	Once bool
}

// Admission grants the right to send a request.
type Admission interface {
	// Admit waits for a grant, or refuses with outcome not-run.
	Admit(ctx context.Context, st *configurer.Settings, tk *admitter.Ticket) (*admitter.Grant, *refuser.Refusal)
}

// Adapters makes adapters ready on backend servers.
type Adapters interface {
	// Ensure returns once the adapter is ready on the server, or an error. The
	// adapter stays there until release is called.
	Ensure(ctx context.Context, server string, ad *configurer.Adapter) (release func(), err error)
}

// Dispatcher runs requests on backend servers.
type Dispatcher struct {
	admission Admission
	forwarder *forwarder.Forwarder
	adapters  Adapters
	registry  *counter.Registry
	ejector   *ejector.Ejector
	budget    *retrier.Budget
	shared    *retrier.Shared
	suspects  *retrier.Suspects
	buffered  atomic.Int64

	randomMu sync.Mutex
	random   *rand.Rand
}

// Option changes a Dispatcher that is being made.
type Option func(*Dispatcher)

// WithRegistry makes the dispatcher count retries by reason.
func WithRegistry(rg *counter.Registry) Option { return func(ds *Dispatcher) { ds.registry = rg } }

// WithEjector tells the ejector how each sending ended.
func WithEjector(ej *ejector.Ejector) Option { return func(ds *Dispatcher) { ds.ejector = ej } }

// WithRandom replaces the source of the jitter.
func WithRandom(random *rand.Rand) Option { return func(ds *Dispatcher) { ds.random = random } }

// New returns a dispatcher that sends what the admission grants.
func New(am Admission, fw *forwarder.Forwarder, ad Adapters, opts ...Option) *Dispatcher {
	ds := &Dispatcher{
		admission: am,
		forwarder: fw,
		adapters:  ad,
		ejector:   ejector.New(),
		budget:    retrier.NewBudget(),
		suspects:  retrier.NewSuspects(),
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, opt := range opts {
		opt(ds)
	}
	return ds
}

// Dispatch runs the request and writes its answer to wr.
func (ds *Dispatcher) Dispatch(ctx context.Context, st *configurer.Settings, rq *Request, wr http.ResponseWriter) *refuser.Refusal {
	up, cancel := context.WithDeadline(context.WithoutCancel(ctx), rq.Deadline)
	unlink := context.AfterFunc(ctx, cancel)
	rl := newRelay(&ds.buffered, rq.ID, rq.ResumeFrom)
	ex := &execution{
		ds:          ds,
		settings:    st,
		request:     rq,
		relay:       rl,
		progress:    newProgress(rq.ID, rq.ResumeFrom),
		fingerprint: xxhash.Sum64(rq.Body),
		caller:      ctx,
	}
	go func() {
		defer cancel()
		rl.end(ex.run(up, unlink))
		ex.drain(cancel)
	}()
	rf, err := rl.deliver(wr)
	if err != nil {
		cancel()
		return refuser.New(refuser.Cancelled, "caller took no more of the answer: %v", err).WithOutcome(refuser.Unknown)
	}
	return rf
}

// Buffered returns the bytes that callers have not taken yet.
func (ds *Dispatcher) Buffered() int64 { return ds.buffered.Load() }

func (ds *Dispatcher) backoff(rt *configurer.Retries, retry int) time.Duration {
	ds.randomMu.Lock()
	defer ds.randomMu.Unlock()
	return retrier.Backoff(rt, retry, ds.random)
}
