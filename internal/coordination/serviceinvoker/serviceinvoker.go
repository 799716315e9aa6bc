// Package serviceinvoker sends calls of plain services. It decides whether a call
// may be sent more than once, and reports for a call without an answer whether
// it may have been run.
//
// # Usage
//
//	iv := serviceinvoker.New(record, forwarder.New(), forwarder.New())
//	call := serviceinvoker.Call{Service: sv, Method: "POST", Path: "/book", Key: key}
//	an, rf := iv.Invoke(ctx, settings, call)
//
// A call that may be repeated is retried on other instances. Any other call is
// sent once. If it has a key, the at-most-once record has to grant the key
// first. If the service honours idempotency keys itself, a call with a key is
// sent with the key and retried.
package serviceinvoker

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

// HeaderIdempotencyKey is the header with the idempotency key in calls to services.
const HeaderIdempotencyKey = "Idempotency-Key"

// defaultRetryAfter is the retry delay of refusals.
const defaultRetryAfter = time.Second

// Sender sends one request, without retries.
type Sender interface {
	// Send returns the answer with an unread body, or a *forwarder.Error.
	Send(ctx context.Context, rq forwarder.Request) (*http.Response, error)
}

// Record grants the right to run a key at most once.
type Record interface {
	// Begin requests the right to run a key.
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
	// KeyResent means that the caller has sent the key before. The outcome of a
	// refusal is then unknown, since an earlier request may have been run.
	KeyResent bool
}

// Answer is the complete answer of a service.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the media type of the body.
	ContentType string
	// Body is the complete body.
	Body []byte
	// Replayed means that the answer is the recorded one of an earlier request.
	Replayed bool
}

// Invoker sends calls. It is safe for concurrent use.
type Invoker struct {
	record      Record
	pooled      Sender // keeps connections; for calls that may be repeated
	unpooled    Sender // opens a connection for each call; for calls that are sent once
	registry    *counter.Registry
	mu          sync.Mutex
	random      *rand.Rand // source of jitter; guarded by mu
	rotation    int        // calls so far, to rotate the instances; guarded by mu
	retryBudget float64    // retries still allowed; guarded by mu
}

// Option configures an Invoker.
type Option func(*Invoker)

// WithRegistry sets the registry of the Invoker's metrics; the default is none.
func WithRegistry(rg *counter.Registry) Option { return func(iv *Invoker) { iv.registry = rg } }

// WithRandom sets the source of jitter.
func WithRandom(random *rand.Rand) Option { return func(iv *Invoker) { iv.random = random } }

// New returns an Invoker. Calls that are sent once go through unpooled, each on
// its own connection: if a server closes a kept connection while a call is sent
// on it, it is unknown whether the call arrived.
func New(rc Record, pooled, unpooled Sender, opts ...Option) *Invoker {
	iv := &Invoker{
		record:      rc,
		pooled:      pooled,
		unpooled:    unpooled,
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		retryBudget: initialRetryBudget,
	}
	for _, opt := range opts {
		opt(iv)
	}
	return iv
}

// Invoke runs the call. Exactly one of the results is nil.
func (iv *Invoker) Invoke(ctx context.Context, st *configurer.Settings, cl Call) (*Answer, *refuser.Refusal) {
	an, rf := iv.invoke(ctx, st, cl)
	if rf == nil {
		return an, nil
	}
	if cl.KeyResent && cl.Key != "" && rf.Reason() != refuser.KeyConflict {
		rf = rf.WithOutcome(refuser.Unknown)
	}
	return nil, rf
}

// invoke sends the call in the way that its service and its key permit.
func (iv *Invoker) invoke(ctx context.Context, st *configurer.Settings, cl Call) (*Answer, *refuser.Refusal) {
	switch {
	case Repeatable(cl.Service, cl.Method, cl.Path):
		return iv.sendWithRetries(ctx, st.Retries(), cl)
	case cl.Key == "":
		return iv.sendOnce(ctx, cl, nil)
	case cl.Service.HonoursKey():
		return iv.sendWithRetries(ctx, st.Retries(), cl)
	default:
		return iv.sendRecorded(ctx, cl)
	}
}

// Repeatable reports whether a call may be sent more than once. It may unless
// method and path match a non-repeatable pattern of the service.
func Repeatable(sv *configurer.Service, method, pathQuery string) bool {
	call := method + " " + normalisePath(pathQuery)
	for _, pattern := range sv.NonRepeatable() {
		prefix, isPrefix := strings.CutSuffix(pattern, "*")
		if call == pattern || isPrefix && strings.HasPrefix(call, prefix) {
			return false
		}
	}
	return true
}

// normalisePath returns a path without its query, with escapes decoded and dot
// segments resolved.
func normalisePath(pathQuery string) string {
	bare, _, _ := strings.Cut(pathQuery, "?")
	if decoded, err := url.PathUnescape(bare); err == nil {
		bare = decoded
	}
	return path.Clean(bare)
}

// sendRecorded sends the call once if the record grants its key.
func (iv *Invoker) sendRecorded(ctx context.Context, cl Call) (*Answer, *refuser.Refusal) {
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
		return iv.sendOnce(ctx, cl, an.Grant)
	}
}

// sendOnce sends the call once. It tries the next instance only if nothing was
// sent.
func (iv *Invoker) sendOnce(ctx context.Context, cl Call, gr *recorder.Grant) (*Answer, *refuser.Refusal) {
	rf := refuser.New(refuser.BackendUnreachable, "service %q has no instance", cl.Service.Name())
	for _, address := range iv.rotatedAddresses(cl.Service) {
		if deadlinePassed(ctx) {
			rf = refuser.New(refuser.DeadlinePassed, "the deadline passed before the call was sent")
			break
		}
		markSending(gr)
		an, err := iv.send(ctx, iv.unpooled, address, cl)
		if err == nil {
			recordResult(gr, an)
			return an, nil
		}
		if !forwarder.NotSent(err) {
			markLost(gr)
			return nil, unknownOutcome(ctx, err)
		}
		markNotSent(gr)
		iv.registry.Inc("retry", string(refuser.BackendUnreachable))
		rf = refuser.New(refuser.BackendUnreachable, "%v", err).WithRetryAfter(defaultRetryAfter)
	}
	if gr != nil {
		gr.Abandon()
	}
	return nil, rf
}

// deadlinePassed reports whether the deadline has passed. It compares the
// monotonic clock, because the context's timer may not have fired yet after the
// process was paused.
func deadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// markSending records that the call is about to be sent, if there is a grant.
func markSending(gr *recorder.Grant) {
	if gr != nil {
		gr.MarkSent()
	}
}

// markNotSent records that the call was not sent, if there is a grant.
func markNotSent(gr *recorder.Grant) {
	if gr != nil {
		gr.MarkUnsent()
	}
}

// markLost records that the outcome stays unknown, if there is a grant.
func markLost(gr *recorder.Grant) {
	if gr != nil {
		gr.FinishLost()
	}
}

// recordResult records the answer, if there is a grant.
func recordResult(gr *recorder.Grant, an *Answer) {
	if gr == nil {
		return
	}
	rs := recorder.Result{}
	rs.Status = an.Status
	rs.ContentType = an.ContentType
	rs.Body = an.Body
	gr.Finish(rs)
}

// unknownOutcome returns the refusal of a call that may have been run.
func unknownOutcome(ctx context.Context, err error) *refuser.Refusal {
	reason := refuser.BackendFailed
	if ctx.Err() != nil {
		reason = refuser.BackendSilent
	}
	return refuser.New(reason, "%v", err).WithOutcome(refuser.Unknown)
}

// rotatedAddresses returns the addresses of the instances, starting with the
// next one on each call.
func (iv *Invoker) rotatedAddresses(sv *configurer.Service) []string {
	iv.mu.Lock()
	defer iv.mu.Unlock()
	all := sv.Addresses()
	if len(all) == 0 {
		return nil
	}
	iv.rotation++
	first := iv.rotation % len(all)
	return append(append([]string(nil), all[first:]...), all[:first]...)
}
