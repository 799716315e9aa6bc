// Package invoker runs calls of plain services. It decides whether a call may
// be sent more than once, and vouches for the outcome of calls without an
// answer.
//
// # Usage
//
//	iv := invoker.New(record, forwarder.New(), forwarder.New())
//	an, rf := iv.Invoke(ctx, settings, invoker.Call{Service: sv, Method: "POST", Path: "/book", Key: key, ...})
//
// A call that may be repeated is retried on other instances. One that may not
// be is sent once: under a key through the at-most-once record, unless the
// service itself honours keys, in which case the key goes with the call and the
// call is repeated.
package invoker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"path"
	"strings"
	"sync"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/recorder"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// HeaderKey carries the idempotency key to callers' services.
const HeaderKey = "Idempotency-Key"

// retryLater is what a caller is told to wait.
const retryLater = time.Second

// Sender sends one request once.
type Sender interface {
	// Send returns the head of the answer, or a forwarder.Error.
	Send(ctx context.Context, rq forwarder.Request) (*http.Response, error)
}

// Record grants keys.
type Record interface {
	// Begin asks for the right to run a key.
	Begin(ctx context.Context, key recorder.Key) recorder.Answer
}

// Call is one call of a plain service.
type Call struct {
	// Caller is the name of the caller.
	Caller string
	// Service is the service.
	Service *configurer.Service
	// Method is the HTTP method.
	Method string
	// Path is the path at the service, with its query.
	Path string
	// ContentType is the media type of the body.
	ContentType string
	// Body is the body.
	Body []byte
	// Key is the idempotency key, or empty.
	Key string
	// KeyTime is the time of a key that is no UUIDv7, or empty.
	KeyTime string
	// Repeated says that the caller has sent the key before, so that a
	// refusal cannot vouch that the earlier request was not run.
	Repeated bool
}

// Answer is the whole answer of a service.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the media type of the body.
	ContentType string
	// Body is the whole body.
	Body []byte
	// Replayed says that the answer is the kept one of an earlier request.
	Replayed bool
}

// Invoker runs calls.
type Invoker struct {
	record   Record
	pooled   Sender
	fresh    Sender
	registry *counter.Registry
	mu       sync.Mutex
	random   *rand.Rand
	next     int
	credit   float64
}

// Option changes an Invoker that is being made.
type Option func(*Invoker)

// WithRegistry makes the invoker count in rg.
func WithRegistry(rg *counter.Registry) Option { return func(iv *Invoker) { iv.registry = rg } }

// WithRandom makes the invoker draw its delays from random.
func WithRandom(random *rand.Rand) Option { return func(iv *Invoker) { iv.random = random } }

// New returns an invoker. Calls that are sent once go through fresh, each on a
// connection of its own: on a kept connection that the server closes at that
// moment, nobody could tell whether the call arrived.
func New(rc Record, pooled, fresh Sender, opts ...Option) *Invoker {
	iv := &Invoker{
		record: rc,
		pooled: pooled,
		fresh:  fresh,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		credit: initialCredit,
	}
	for _, opt := range opts {
		opt(iv)
	}
	return iv
}

// Invoke runs the call. Exactly one of the results is nil.
func (iv *Invoker) Invoke(ctx context.Context, st *configurer.Settings, cl Call) (*Answer, *refuser.Refusal) {
	an, rf := iv.choose(ctx, st, cl)
	if rf == nil {
		return an, nil
	}
	if cl.Repeated && cl.Key != "" && rf.Reason() != refuser.KeyConflict {
		rf = rf.WithOutcome(refuser.Unknown)
	}
	return nil, rf
}

func (iv *Invoker) choose(ctx context.Context, st *configurer.Settings, cl Call) (*Answer, *refuser.Refusal) {
	switch {
	case Repeatable(cl.Service, cl.Method, cl.Path):
		return iv.repeat(ctx, st.Retries(), cl)
	case cl.Key == "":
		return iv.once(ctx, cl, nil)
	case cl.Service.HonoursKey():
		return iv.repeat(ctx, st.Retries(), cl)
	default:
		return iv.recorded(ctx, cl)
	}
}

// Repeatable reports whether a call may be sent more than once by itself.
func Repeatable(sv *configurer.Service, method, full string) bool {
	call := method + " " + plain(full)
	for _, pattern := range sv.NonRepeatable() {
		prefix, open := strings.CutSuffix(pattern, "*")
		if call == pattern || open && strings.HasPrefix(call, prefix) {
			return false
		}
	}
	return true
}

// plain returns a path without its query, encoding and detours.
func plain(full string) string {
	bare, _, _ := strings.Cut(full, "?")
	if decoded, err := url.PathUnescape(bare); err == nil {
		bare = decoded
	}
	return path.Clean(bare)
}

// recorded sends the call if the record grants its key.
func (iv *Invoker) recorded(ctx context.Context, cl Call) (*Answer, *refuser.Refusal) {
	key, rf := recorder.NewKey(cl.Caller, cl.Key, cl.KeyTime,
		[]byte(cl.Service.Name()), []byte(cl.Method), []byte(cl.Path), []byte(cl.ContentType), cl.Body)
	if rf != nil {
		return nil, rf
	}
	an := iv.record.Begin(ctx, key)
	switch {
	case an.Refusal != nil:
		return nil, an.Refusal
	case an.Result != nil:
		iv.registry.Inc("record", "replayed")
		return &Answer{Status: an.Result.Status, ContentType: an.Result.ContentType, Body: an.Result.Body, Replayed: true}, nil
	default:
		return iv.once(ctx, cl, an.Grant)
	}
}

// once sends the call a single time. As long as nothing was sent, the next
// instance is tried.
func (iv *Invoker) once(ctx context.Context, cl Call, gr *recorder.Grant) (*Answer, *refuser.Refusal) {
	rf := refuser.New(refuser.BackendUnreachable, "service %q has no instance", cl.Service.Name())
	for _, address := range iv.order(cl.Service) {
		if passed(ctx) {
			rf = refuser.New(refuser.DeadlinePassed, "the deadline passed before the call was sent")
			break
		}
		use(gr)
		an, err := iv.send(ctx, iv.fresh, address, cl)
		if err == nil {
			finish(gr, an)
			return an, nil
		}
		if !forwarder.NotSent(err) {
			lose(gr)
			return nil, failed(ctx, err)
		}
		unuse(gr)
		iv.registry.Inc("retry", string(refuser.BackendUnreachable))
		rf = refuser.New(refuser.BackendUnreachable, "%v", err).WithRetryAfter(retryLater)
	}
	if gr != nil {
		gr.Abandon()
	}
	return nil, rf
}

// passed reports whether the deadline is over, on the monotonic clock: the
// context's own timer may not have run yet in a process that was paused.
func passed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

func use(gr *recorder.Grant) {
	if gr != nil {
		gr.MarkSent()
	}
}

func unuse(gr *recorder.Grant) {
	if gr != nil {
		gr.MarkUnsent()
	}
}

func lose(gr *recorder.Grant) {
	if gr != nil {
		gr.FinishLost()
	}
}

func finish(gr *recorder.Grant, an *Answer) {
	if gr == nil {
		return
	}
	rs := recorder.Result{}
	rs.Status = an.Status
	rs.ContentType = an.ContentType
	rs.Body = an.Body
	gr.Finish(rs)
}

// failed is the refusal of a call that may have been run.
func failed(ctx context.Context, err error) *refuser.Refusal {
	reason := refuser.BackendFailed
	if ctx.Err() != nil {
		reason = refuser.BackendSilent
	}
	return refuser.New(reason, "%v", err).WithOutcome(refuser.Unknown)
}

// order returns the instances, starting with another one each time.
func (iv *Invoker) order(sv *configurer.Service) []string {
	iv.mu.Lock()
	defer iv.mu.Unlock()
	all := sv.Addresses()
	if len(all) == 0 {
		return nil
	}
	iv.next++
	first := iv.next % len(all)
	return append(append([]string(nil), all[first:]...), all[:first]...)
}
