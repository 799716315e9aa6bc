// Package dispatcher runs a caller's request from admission to the last byte of
// its answer. Dispatch runs a completion request and checks its answer; Proxy
// forwards a request and its answer unchanged.
//
// It retries a failed attempt on another server within the retry budget and
// resumes a broken stream after its last token if the engine supports this. It
// checks that the caller gets the answer to its own request, that no token is
// repeated or skipped, and that only a complete answer ends as complete.
//
// # Usage
//
//	ds := dispatcher.New(ad, fw, adapters, dispatcher.WithRegistry(registry))
//	rf := ds.Dispatch(ctx, settings, request, responseWriter)
//
// Without a refusal, the answer is complete. With a refusal, it is not: if
// nothing was written, send the refusal as the answer; if a stream had begun,
// its last event was "error" and the connection must be aborted.
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
	"github.com/lagoonpass/lagoonpass/internal/coordination/crashdetector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/downlister"
	"github.com/lagoonpass/lagoonpass/internal/coordination/ejector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/fingerprinter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/retrier"
	"github.com/lagoonpass/lagoonpass/internal/coordination/tallier"
	"github.com/lagoonpass/lagoonpass/internal/coordination/throttler"
	"github.com/lagoonpass/lagoonpass/internal/coordination/truncationdetector"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// defaultRetryAfter is the wait that a refusal tells the caller.
const defaultRetryAfter = time.Second

// Request is one validated completion request.
type Request struct {
	// ID is the unique id of the request.
	ID string
	// Caller is the sender of the request.
	Caller *configurer.Caller
	// Class is its priority class.
	Class *configurer.Class
	// Model is the model that runs the request.
	Model *configurer.Model
	// Adapter is the required adapter, or nil.
	Adapter *configurer.Adapter
	// Path is the path of the completions API.
	Path string
	// Body is the JSON body for the backend server.
	Body []byte
	// Prompt is the text of the prompt.
	Prompt string
	// Stream says that the answer is a stream of events.
	Stream bool
	// MaxTokens is the maximum number of tokens in the answer.
	MaxTokens int
	// Deadline is the time after which the caller no longer needs the answer.
	Deadline time.Time
	// ResumeFrom is the number of tokens that the caller already has from a
	// broken stream with the same ID.
	ResumeFrom int
	// ResumeFingerprint is the system_fingerprint of these tokens, or empty if the
	// caller does not name it.
	ResumeFingerprint string
	// Once says that the caller forbids retries.
	Once bool
}

// Admission decides when and where a request is sent.
type Admission interface {
	// Admit waits for a grant. It returns a refusal with outcome not-run if
	// the request is not admitted.
	Admit(ctx context.Context, st *configurer.Settings, tk *admitter.Ticket) (*admitter.Grant, *refuser.Refusal)
}

// Adapters loads adapters on backend servers.
type Adapters interface {
	// Ensure waits until the adapter is ready on the server, or returns an
	// error. The adapter stays loaded until release is called.
	Ensure(ctx context.Context, server string, ad *configurer.Adapter) (release func(), err error)
	// Pause returns how long a request for the adapter should wait until it is sent to
	// another server, or 0 if one may have the adapter now.
	Pause(ad *configurer.Adapter) time.Duration
}

// Dispatcher runs requests on backend servers.
type Dispatcher struct {
	admission Admission
	forwarder *forwarder.Forwarder
	adapters  Adapters
	registry  *counter.Registry
	ejector   *ejector.Ejector
	budget    *retrier.Budget
	// shared is the retry budget of all nodes, or nil if only budget applies.
	shared *retrier.SharedBudget
	// tally counts the results of proxied requests by model and adapter.
	tally *tallier.Tally
	// onSignals is called with what servers say about themselves.
	onSignals SignalsFunc
	// versions knows at which software streams began.
	versions Versions
	// suspects are the requests that crashed engines.
	suspects *retrier.Suspects
	// crashes is told of lost connections.
	crashes *crashdetector.Detector
	// truncation judges answers that end with their connections.
	truncation *truncationdetector.Detector
	// quarantine keeps requests from servers that they would crash.
	quarantine Quarantine
	// delegate has other nodes run requests while this one does not reach the servers.
	delegate Delegate
	// outages records servers that do not answer.
	outages Outages
	// quota charges requests. charges says that the admission does not.
	quota   Quota
	charges bool
	// buffered is the number of answer bytes that callers have not read.
	buffered atomic.Int64

	// hopping is the number of requests that wait between two servers without their
	// adapter.
	hopping atomic.Int64

	attemptsMu sync.Mutex
	attempts   map[*proxyAttempt]bool // attempts in progress

	randomMu sync.Mutex
	random   *rand.Rand
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithRegistry makes the dispatcher count retries by reason.
func WithRegistry(rg *counter.Registry) Option { return func(ds *Dispatcher) { ds.registry = rg } }

// WithEjector makes the dispatcher report the result of each attempt to ej.
func WithEjector(ej *ejector.Ejector) Option { return func(ds *Dispatcher) { ds.ejector = ej } }

// WithTally makes the dispatcher count the results of proxied requests by model
// and adapter.
func WithTally(tl *tallier.Tally) Option { return func(ds *Dispatcher) { ds.tally = tl } }

// SignalsFunc is called with what a server says about itself in its answer to a
// request that was sent at the given time.
type SignalsFunc func(server string, sent time.Time, sg throttler.Signals)

// WithSignals sets the function that is called for each answer of a server to a
// proxied request.
func WithSignals(fn SignalsFunc) Option { return func(ds *Dispatcher) { ds.onSignals = fn } }

// WithCrashes makes the dispatcher tell dt of lost connections.
func WithCrashes(dt *crashdetector.Detector) Option { return func(ds *Dispatcher) { ds.crashes = dt } }

// WithTruncation sets what judges answers that end with their connections. The default asks
// only whether the server's address refuses connections.
func WithTruncation(dt *truncationdetector.Detector) Option {
	return func(ds *Dispatcher) { ds.truncation = dt }
}

// Quarantine keeps requests from servers that they would crash.
type Quarantine interface {
	// Admit returns how long a request with the contents is kept from servers, or
	// zero. A request on trial is sent once.
	Admit(ctx context.Context, contents []fingerprinter.Content) (wait time.Duration, trial bool)
	// Watch has the function called, without blocking, when one of the contents is
	// excluded, until stop is called.
	Watch(contents []fingerprinter.Content, excluded func()) (stop func())
	// Succeeded records a complete answer to a request with the contents.
	Succeeded(contents []fingerprinter.Content)
}

// noQuarantine is the default Quarantine, which excludes nothing.
type noQuarantine struct{}

func (noQuarantine) Admit(context.Context, []fingerprinter.Content) (time.Duration, bool) {
	return 0, false
}

func (noQuarantine) Watch([]fingerprinter.Content, func()) func() { return func() {} }
func (noQuarantine) Succeeded([]fingerprinter.Content)            {}

// WithQuarantine sets what keeps requests from servers that they would crash.
func WithQuarantine(qt Quarantine) Option { return func(ds *Dispatcher) { ds.quarantine = qt } }

// Outages records servers that do not answer.
type Outages interface {
	// Refused records that the process refused a connection.
	Refused(pr downlister.Process)
	// Lost records that a connection to the server was lost, or could not be opened for
	// another reason.
	Lost(server string)
}

// noOutages is the default Outages.
type noOutages struct{}

func (noOutages) Refused(downlister.Process) {}

func (noOutages) Lost(string) {}

// WithOutages sets what records servers that do not answer.
func WithOutages(ou Outages) Option { return func(ds *Dispatcher) { ds.outages = ou } }

// WithRandom sets the source of the backoff jitter.
func WithRandom(random *rand.Rand) Option { return func(ds *Dispatcher) { ds.random = random } }

// New returns a dispatcher that sends requests that am admits.
func New(am Admission, fw *forwarder.Forwarder, ad Adapters, opts ...Option) *Dispatcher {
	ds := &Dispatcher{
		admission:  am,
		forwarder:  fw,
		adapters:   ad,
		ejector:    ejector.New(),
		budget:     retrier.NewBudget(),
		suspects:   retrier.NewSuspects(),
		quarantine: noQuarantine{},
		onSignals:  func(string, time.Time, throttler.Signals) {},
		versions:   noVersions{},
		delegate:   noDelegate{},
		outages:    noOutages{},
		quota:      noQuota{},
		attempts:   map[*proxyAttempt]bool{},
		random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, opt := range opts {
		opt(ds)
	}
	if ds.crashes == nil {
		ds.crashes = crashdetector.New(fw.Refuses, crashdetector.WithRegistry(ds.registry))
	}
	if ds.truncation == nil {
		ds.truncation = truncationdetector.New(fw.Refuses, truncationdetector.WithRegistry(ds.registry))
	}
	return ds
}

// Dispatch runs the request and writes its answer to wr. It returns nil if the
// answer is complete.
func (ds *Dispatcher) Dispatch(ctx context.Context, st *configurer.Settings, rq *Request, wr http.ResponseWriter) *refuser.Refusal {
	// up follows the cancellation of ctx only until unlink is called.
	up, cancel := context.WithDeadline(context.WithoutCancel(ctx), rq.Deadline)
	unlink := context.AfterFunc(ctx, cancel)
	rl := newRelay(&ds.buffered, rq.ID, rq.ResumeFrom)
	ex := &execution{
		ds:          ds,
		settings:    st,
		request:     rq,
		relay:       rl,
		progress:    newProgress(rq),
		fingerprint: xxhash.Sum64(rq.Body),
		contents:    []fingerprinter.Content{fingerprinter.Request(callerName(rq.Caller), http.MethodPost, "", rq.Path, rq.Body)},
		callerCtx:   ctx,
	}
	go func() {
		defer cancel()
		rl.end(ex.runCharged(up, unlink))
		ex.drainBody(cancel)
	}()
	rf, err := rl.deliver(wr)
	if err != nil {
		cancel()
		return refuser.New(refuser.Cancelled, "caller took no more of the answer: %v", err).WithOutcome(refuser.Unknown)
	}
	return rf
}

// Buffered returns the number of answer bytes that callers have not read yet.
func (ds *Dispatcher) Buffered() int64 { return ds.buffered.Load() }

func (ds *Dispatcher) backoff(rt *configurer.Retries, retry int) time.Duration {
	ds.randomMu.Lock()
	defer ds.randomMu.Unlock()
	return retrier.Backoff(rt, retry, ds.random)
}
