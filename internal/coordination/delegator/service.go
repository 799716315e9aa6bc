package delegator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

const (
	// maxPageBytes bounds the data of one page, and the bytes that wait to be asked
	// for.
	maxPageBytes = 64 << 10
	// askTimeout is how long the other node may take to ask for the next page. It
	// asks once its caller has read the page before, for which the caller has 30 s.
	// With one second, callers that read slowly lost their answers. A request of a
	// lost node ends at its deadline.
	askTimeout = 35 * time.Second
)

// errNotAsked ends a request whose answer the other node no longer asks for.
var errNotAsked = errors.New("the other node asks for no more")

// Info is what a handler learns of a request that was delegated to its node.
type Info struct {
	// Servers is the number of servers to which the request was sent before.
	Servers int
	// Caller is the name of the caller that the other node authenticated, or empty if
	// that node is of a build which authenticates nobody.
	Caller string
}

type infoKey struct{}

// NewContext returns a context in which FromContext finds the Info.
func NewContext(ctx context.Context, in Info) context.Context {
	return context.WithValue(ctx, infoKey{}, in)
}

// FromContext returns the Info of a request that was delegated to this node, or false
// if its caller sent it here.
func FromContext(ctx context.Context) (Info, bool) {
	in, ok := ctx.Value(infoKey{}).(Info)
	return in, ok
}

// service is a request of another node that this node runs. It is the
// http.ResponseWriter of the request.
type service struct {
	cancel context.CancelCauseFunc
	header http.Header // until the status is written

	mu sync.Mutex
	// changed is closed at the next change of the fields below.
	changed chan struct{}
	status  int
	// answer is the header of the answer, once the status is written.
	answer http.Header
	// sent says that a page with the status was sent.
	sent          bool
	pending       []byte
	ended, broken bool
	unasked       *time.Timer
	// writeBy is until when a write waits; zero means askTimeout.
	writeBy time.Time
}

// Handle answers a message of a peer. It returns nil if the message is of another
// kind.
func (dg *Delegator) Handle(ctx context.Context, call messenger.Message) messenger.Message {
	switch tc := call.(type) {
	case *messenger.DelegatePart:
		if !dg.receivePart(tc) {
			return dg.decline()
		}
		return &messenger.DelegatePage{}
	case *messenger.DelegateLast:
		body, ok := dg.takeUpload(tc.ID, tc.Body)
		if !ok {
			return dg.decline()
		}
		tc.Body = body
		return dg.run(ctx, &tc.Delegate, func() { dg.releaseUpload(len(body)) })
	case *messenger.Delegate:
		return dg.run(ctx, tc, func() {})
	case *messenger.DelegateNext:
		dg.mu.Lock()
		sv, ok := dg.served[tc.ID]
		dg.mu.Unlock()
		if !ok {
			return &messenger.DelegatePage{Declined: true}
		}
		return sv.next(ctx)
	case *messenger.DelegateCancel:
		dg.mu.Lock()
		sv, ok := dg.served[tc.ID]
		dg.mu.Unlock()
		if ok {
			sv.cancel(context.Canceled)
		}
		dg.dropUpload(tc.ID)
		return &messenger.DelegatePage{Ended: true}
	}
	return nil
}

// run runs the request and returns the first page of its answer. It calls release once the
// body is no longer needed.
func (dg *Delegator) run(ctx context.Context, call *messenger.Delegate, release func()) messenger.Message {
	sv := dg.begin(call, release)
	if sv == nil {
		release()
		return dg.decline()
	}
	return sv.next(ctx)
}

// decline returns the answer to a request that the node does not run.
func (dg *Delegator) decline() *messenger.DelegatePage {
	dg.registry.Inc("delegate", "refused")
	return &messenger.DelegatePage{Declined: true}
}

// begin starts the request, or returns nil if the node does not take it. It has release called
// after the request.
func (dg *Delegator) begin(call *messenger.Delegate, release func()) *service {
	if dg.handler == nil || !dg.serves(call.Revision, call.Pool) {
		return nil
	}
	dg.mu.Lock()
	defer dg.mu.Unlock()
	if _, known := dg.served[call.ID]; known || len(dg.served) >= maxServed {
		return nil
	}
	ctx, cancel := context.WithCancelCause(NewContext(context.Background(), Info{Servers: call.Servers, Caller: call.Caller}))
	rq, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Host, bytes.NewReader(call.Body))
	if err != nil {
		cancel(err)
		return nil
	}
	rq.Host, rq.RequestURI, rq.Header = call.Host, call.Target, fromFields(call.Header)
	sv := &service{cancel: cancel, header: http.Header{}, changed: make(chan struct{})}
	sv.unasked = time.AfterFunc(askTimeout, func() { cancel(errNotAsked) })
	sv.unasked.Stop()
	if len(dg.served) == 0 {
		dg.idle = make(chan struct{})
	}
	dg.served[call.ID] = sv
	dg.registry.Inc("delegate", "served")
	go func() {
		sv.run(dg.handler, rq)
		release()
		dg.end(ctx, call.ID, sv)
	}()
	return sv
}

// end forgets a request once its answer was asked for to the end, or nobody wants it.
func (dg *Delegator) end(ctx context.Context, id uint64, sv *service) {
	sv.drained(ctx)
	sv.cancel(nil)
	dg.mu.Lock()
	defer dg.mu.Unlock()
	delete(dg.served, id)
	if len(dg.served) == 0 {
		close(dg.idle)
	}
}

// AwaitIdle waits until the node runs no request of another node, or until the context
// ends.
func (dg *Delegator) AwaitIdle(ctx context.Context) {
	dg.mu.Lock()
	idle := dg.idle
	dg.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// run runs the handler.
func (sv *service) run(hd http.Handler, rq *http.Request) {
	defer func() {
		broken := recover() != nil
		sv.update(func() { sv.ended, sv.broken = true, broken })
	}()
	hd.ServeHTTP(sv, rq)
	sv.WriteHeader(http.StatusOK)
}

// update changes the service and wakes those who wait for a change.
func (sv *service) update(change func()) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	change()
	close(sv.changed)
	sv.changed = make(chan struct{})
}

// await waits until done returns true, which is called with the lock held, or until the
// context ends. It returns with the lock held.
func (sv *service) await(ctx context.Context, done func() bool) error {
	sv.mu.Lock()
	for !done() {
		changed := sv.changed
		sv.mu.Unlock()
		select {
		case <-changed:
			sv.mu.Lock()
		case <-ctx.Done():
			sv.mu.Lock()
			return ctx.Err()
		}
	}
	return nil
}

// next returns the next page, as soon as there is one. The end of the context, with the
// connection of the other node, cancels the request.
func (sv *service) next(ctx context.Context) *messenger.DelegatePage {
	sv.unasked.Stop()
	err := sv.await(ctx, func() bool { return sv.status != 0 && (len(sv.pending) > 0 || !sv.sent) || sv.ended })
	defer sv.mu.Unlock()
	if err != nil {
		sv.cancel(errNotAsked)
		return &messenger.DelegatePage{Ended: true, Broken: true}
	}
	page := &messenger.DelegatePage{Data: sv.pending, Ended: sv.ended, Broken: sv.broken}
	if !sv.sent {
		page.Status, page.Header = sv.status, toFields(sv.answer)
	}
	sv.pending, sv.sent = nil, true
	close(sv.changed)
	sv.changed = make(chan struct{})
	if !sv.ended {
		sv.unasked.Reset(askTimeout)
	}
	return page
}

// drained waits until the last page was asked for.
func (sv *service) drained(ctx context.Context) {
	wait, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	_ = sv.await(wait, func() bool { return sv.sent && len(sv.pending) == 0 })
	sv.mu.Unlock()
}

// Header implements http.ResponseWriter.
func (sv *service) Header() http.Header { return sv.header }

// WriteHeader implements http.ResponseWriter.
func (sv *service) WriteHeader(status int) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.status == 0 {
		sv.status, sv.answer = status, sv.header.Clone()
	}
}

// Write implements http.ResponseWriter. It waits while too many bytes are pending.
func (sv *service) Write(data []byte) (int, error) {
	sv.WriteHeader(http.StatusOK)
	by := time.Now().Add(askTimeout)
	if !sv.writeBy.IsZero() && sv.writeBy.Before(by) {
		by = sv.writeBy
	}
	for written := 0; written < len(data); {
		ctx, cancel := context.WithDeadline(context.Background(), by)
		err := sv.await(ctx, func() bool { return len(sv.pending) < maxPageBytes })
		cancel()
		if err != nil {
			sv.mu.Unlock()
			return written, io.ErrClosedPipe
		}
		count := min(len(data)-written, maxPageBytes-len(sv.pending))
		sv.pending = append(sv.pending, data[written:written+count]...)
		written += count
		sv.mu.Unlock()
		if len(data) > count {
			sv.Flush()
		}
	}
	return len(data), nil
}

// SetWriteDeadline sets until when Write waits, for http.ResponseController.
func (sv *service) SetWriteDeadline(by time.Time) error {
	sv.writeBy = by
	return nil
}

// Flush implements http.Flusher. What was written goes with the next page.
func (sv *service) Flush() { sv.update(func() {}) }
