// Package dispatcher takes a completion request of a caller from admission to
// the end of its answer.
//
// # Usage
//
//	ds := dispatcher.New(admitter, forwarder, adapters)
//	rf := ds.Dispatch(ctx, settings, request, responseWriter)
//
// Dispatch returns a refusal only while nothing was written to the caller.
package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// copyBufferBytes is the size of the buffer between a stream's two ends.
const copyBufferBytes = 4096

// retryLater is what a caller is told to wait when no replica is ready.
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
	// Stream says that the answer is a stream of events.
	Stream bool
	// MaxTokens is the greatest number of tokens of the answer.
	MaxTokens int
	// Deadline is when the answer becomes worthless.
	Deadline time.Time
}

// Adapters makes adapters ready on backend servers.
type Adapters interface {
	// Ensure returns once the adapter is ready on the server, or an error.
	Ensure(ctx context.Context, server string, ad *configurer.Adapter) error
}

// Dispatcher runs requests on backend servers.
type Dispatcher struct {
	admitter  *admitter.Admitter
	forwarder *forwarder.Forwarder
	adapters  Adapters
}

// New returns a dispatcher that sends what the admitter grants.
func New(am *admitter.Admitter, fw *forwarder.Forwarder, ad Adapters) *Dispatcher {
	return &Dispatcher{admitter: am, forwarder: fw, adapters: ad}
}

// Dispatch runs the request and copies its answer to wr.
func (ds *Dispatcher) Dispatch(ctx context.Context, st *configurer.Settings, rq *Request, wr http.ResponseWriter) *refuser.Refusal {
	ctx, cancel := context.WithDeadline(ctx, rq.Deadline)
	defer cancel()
	gr, rf := ds.admitter.Admit(ctx, st, ticketOf(rq))
	if rf != nil {
		return rf
	}
	defer gr.Done(admitter.Result{})
	if rq.Adapter != nil {
		if err := ds.adapters.Ensure(ctx, gr.Server(), rq.Adapter); err != nil {
			return refuser.New(refuser.NoWorker, "adapter %q was not loaded: %v", rq.Adapter.Name(), err).WithRetryAfter(retryLater)
		}
	}
	rs, err := ds.forwarder.Send(ctx, backendRequest(gr.Address(), rq))
	if err != nil {
		return refusalOf(err)
	}
	defer func() { _ = rs.Body.Close() }()
	wr.Header().Set("Content-Type", rs.Header.Get("Content-Type"))
	wr.WriteHeader(rs.StatusCode)
	copyFlushing(wr, rs.Body)
	return nil
}

func ticketOf(rq *Request) *admitter.Ticket {
	return &admitter.Ticket{
		ID:        rq.ID,
		Caller:    rq.Caller,
		Class:     rq.Class,
		Model:     rq.Model,
		Adapter:   rq.Adapter,
		Bytes:     len(rq.Body),
		MaxTokens: rq.MaxTokens,
		Deadline:  rq.Deadline,
	}
}

func backendRequest(address string, rq *Request) forwarder.Request {
	hd := http.Header{}
	hd.Set("Content-Type", "application/json")
	hd.Set("X-Request-Id", rq.ID)
	hd.Set("X-Priority", strconv.Itoa(rq.Class.Rank()))
	return forwarder.Request{
		Address: address,
		Method:  http.MethodPost,
		Path:    rq.Path,
		Header:  hd,
		Body:    rq.Body,
	}
}

func refusalOf(err error) *refuser.Refusal {
	if forwarder.NotSent(err) {
		return refuser.New(refuser.BackendUnreachable, "%v", err).WithRetryAfter(retryLater)
	}
	return refuser.New(refuser.BackendFailed, "%v", err).WithOutcome(refuser.Unknown)
}

func copyFlushing(wr http.ResponseWriter, rd io.Reader) {
	ct := http.NewResponseController(wr)
	buf := make([]byte, copyBufferBytes)
	for {
		count, err := rd.Read(buf)
		if count > 0 {
			if _, werr := wr.Write(buf[:count]); werr != nil {
				return
			}
			_ = ct.Flush()
		}
		if err != nil {
			return
		}
	}
}
