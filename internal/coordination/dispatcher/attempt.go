package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// HeaderResumeFrom tells an engine how many tokens of the stream are already
// delivered.
const HeaderResumeFrom = "Lagoonpass-Resume-From"

const (
	// detailBytes bounds what is quoted of a backend server's error.
	detailBytes = 256
	// targetFactor is how far a target may be missed before the sending counts
	// as silent.
	targetFactor = 2
)

var errSilent = errors.New("no progress within the time allowed")

// sending is one attempt on one server.
type sending struct {
	*execution
	server   string
	address  string
	began    time.Time
	watchdog *time.Timer
	result   admitter.Result
	priority int
	handle   string
}

// attempt sends the request once. It returns nil if the answer is whole.
func (ex *execution) attempt(ctx context.Context) *failure {
	gr, fl := ex.admit(ctx)
	if fl != nil {
		return fl
	}
	sn := &sending{execution: ex, server: gr.Server(), address: gr.Address(), priority: gr.Priority(), began: time.Now()}
	resumed := ex.progress.begun()
	fl = sn.prefill(ctx, gr)
	if fl == nil {
		fl = sn.send(ctx)
	}
	if fl == nil && !resumed {
		// Only a whole answer from one server tells how long the model's
		// requests take: a refusal under load, a caller that left and the rest
		// of a broken stream end much sooner.
		sn.result.Duration = time.Since(sn.began)
	}
	ex.ds.account(gr, sn.result, fl)
	if fl != nil {
		ex.avoidServer(sn.server)
	}
	return fl
}

// account gives a grant back with the result of its sending, and tells the
// ejector how that ended.
func (ds *Dispatcher) account(gr *admitter.Grant, rs admitter.Result, fl *failure) {
	rs.Failed = fl != nil && fl.blamesServer()
	gr.Done(rs)
	switch {
	case fl == nil:
		ds.ejector.Succeeded(gr.Server())
	case rs.Failed:
		ds.ejector.Failed(gr.Server())
	}
}

// blamesServer reports whether the server itself failed. A refusal under load
// is no fault: or else overload would take healthy servers out.
func (fl *failure) blamesServer() bool {
	return !fl.final && !fl.refused && fl.reason != refuser.NoWorker
}

func (sn *sending) send(ctx context.Context) *failure {
	rq := sn.request
	if rq.Adapter != nil {
		release, err := sn.ds.adapters.Ensure(ctx, sn.server, rq.Adapter)
		if err != nil {
			return &failure{reason: refuser.NoWorker, detail: err.Error(), unsent: true}
		}
		defer release()
	}
	if sn.attempts == 0 {
		sn.ds.budget.Sent()
	}
	sn.attempts++
	ctx, cancel := context.WithCancelCause(ctx)
	sn.watchdog = time.AfterFunc(sn.firstBound(), func() { cancel(errSilent) })
	defer sn.watchdog.Stop()
	rs, err := sn.ds.forwarder.Send(ctx, sn.backendRequest())
	if err != nil {
		cancel(nil)
		return sn.broken(ctx, err, forwarder.NotSent(err))
	}
	fl := sn.receive(ctx, rs)
	if fl == nil {
		sn.leftover = rs.Body
		return nil
	}
	// The connection is closed with unread bytes on it: it serves no other
	// request, so that a late frame reaches nobody.
	cancel(nil)
	_ = rs.Body.Close()
	return fl
}

func (sn *sending) receive(ctx context.Context, rs *http.Response) *failure {
	if rs.StatusCode != http.StatusOK {
		return refusedBy(rs)
	}
	if !sn.request.Stream {
		return sn.receiveAnswer(ctx, rs)
	}
	if !strings.HasPrefix(rs.Header.Get("Content-Type"), contentTypeEvents) {
		return &failure{reason: refuser.BackendFailed, detail: "answer is not a stream of events"}
	}
	return sn.receiveStream(ctx, rs)
}

// firstBound is the time until the first sign of the answer. An answer that is
// no stream shows none before all its tokens are there.
func (sn *sending) firstBound() time.Duration {
	cs := sn.request.Class
	bound := max(sn.silence(), targetFactor*cs.FirstToken())
	if !sn.request.Stream {
		bound += targetFactor * time.Duration(sn.request.MaxTokens) * cs.TokenGap()
	}
	return bound
}

func (sn *sending) silence() time.Duration { return sn.settings.Timeouts().EngineSilence() }

// broken classes an error of the connection.
func (sn *sending) broken(ctx context.Context, err error, unsent bool) *failure {
	fl := &failure{reason: refuser.BackendFailed, detail: err.Error(), unsent: unsent}
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		fl.reason = refuser.BackendSilent
	case errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded):
		fl.reason, fl.final = refuser.Cancelled, true
		return fl
	case unsent:
		fl.reason = refuser.BackendUnreachable
	default:
		fl.died = true
	}
	if !unsent && sn.progress.begun() && fl.reason == refuser.BackendFailed {
		fl.reason = refuser.StreamBroken
	}
	sn.ds.forwarder.DropIdle(sn.address)
	return fl
}

// refusedBy classes an answer other than 200.
func refusedBy(rs *http.Response) *failure {
	body, _ := io.ReadAll(io.LimitReader(rs.Body, detailBytes))
	fl := &failure{detail: "status " + strconv.Itoa(rs.StatusCode) + ": " + string(body)}
	switch rs.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		fl.reason, fl.refused, fl.final = refuser.Malformed, true, true
	case http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		fl.reason, fl.refused = refuser.BackendRefused, true
	default:
		fl.reason = refuser.BackendFailed
	}
	return fl
}

func (sn *sending) backendRequest() forwarder.Request {
	rq := sn.request
	hd := http.Header{}
	hd.Set("Content-Type", "application/json")
	hd.Set("X-Request-Id", rq.ID)
	hd.Set("X-Priority", strconv.Itoa(sn.priority))
	if sn.handle != "" {
		hd.Set(HeaderCacheHandle, sn.handle)
	}
	if sn.progress.begun() {
		sn.ds.registry.Inc("stream", "resumed")
		hd.Set(HeaderResumeFrom, strconv.Itoa(sn.progress.next))
	}
	return forwarder.Request{
		Address: sn.address,
		Method:  http.MethodPost,
		Path:    rq.Path,
		Header:  hd,
		Body:    rq.Body,
	}
}
