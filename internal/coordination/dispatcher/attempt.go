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
	"github.com/lagoonpass/lagoonpass/internal/coordination/crashdetector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/downlister"
	"github.com/lagoonpass/lagoonpass/internal/protocol/headchecker"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// HeaderResumeFrom is the request header with the number of tokens of the
// stream that the caller already has.
const HeaderResumeFrom = "Lagoonpass-Resume-From"

// HeaderResumeFingerprint is the request header with the system_fingerprint of
// these tokens.
const HeaderResumeFingerprint = "Lagoonpass-Resume-Fingerprint"

const (
	// detailBytes is the maximum length of the quoted error of a backend server.
	detailBytes = 256
	// targetFactor times a latency target is the timeout after which an
	// attempt counts as silent.
	targetFactor = 2
)

var errNoProgress = errors.New("no progress within the time allowed")

// attempt is one sending of a request to a backend server.
type attempt struct {
	*execution
	server  string
	address string
	process downlister.Process
	// began is the time of the grant.
	began time.Time
	// watchdog cancels the attempt when the server makes no progress.
	watchdog *time.Timer
	// result is what admission learns from the attempt.
	result admitter.Result
	// priority orders requests in the engine; zero is the most urgent.
	priority int
	// handle names the KV cache that a prefill server exported, or is empty.
	handle string
}

// runAttempt sends the request once. It returns nil if the answer is complete.
func (ex *execution) runAttempt(ctx context.Context) *failure {
	gr, fl := ex.admit(ctx)
	if fl != nil {
		return fl
	}
	at := &attempt{execution: ex, server: gr.Server(), address: gr.Address(), process: gr.Process(), priority: gr.Priority(), began: time.Now()}
	resumed := ex.progress.begun()
	fl = at.prefill(ctx, gr)
	if fl == nil {
		fl = at.send(ctx)
	}
	if fl == nil && !resumed {
		// Only a complete answer from one server shows how long the model's
		// requests take. A refusal under load, a request whose caller left and
		// the rest of a broken stream end much sooner.
		at.result.Duration = time.Since(at.began)
	}
	ex.ds.releaseGrant(gr, ex.request.Model.Pool(), at.result, fl)
	if fl != nil {
		ex.avoidServer(at.server)
	}
	return fl
}

// releaseGrant releases a grant with the result of its attempt and reports
// success or failure of the server, which is one of the pool, to the ejector.
func (ds *Dispatcher) releaseGrant(gr *admitter.Grant, pool string, rs admitter.Result, fl *failure) {
	rs.Failed = fl != nil && fl.blamesServer() && !ds.delegate.CutOff(pool)
	gr.Done(rs)
	switch {
	case fl == nil:
		ds.ejector.Succeeded(gr.Server())
	case rs.Failed:
		ds.ejector.Failed(gr.Server())
	}
}

// blamesServer reports whether the server itself failed. A refusal under load
// does not count, since overload would otherwise eject healthy servers.
func (fl *failure) blamesServer() bool {
	return fl.faulty || !fl.final && !fl.refused && !fl.detached && !fl.unread && fl.reason != refuser.NoWorker && fl.reason != refuser.VersionGone
}

func (at *attempt) send(ctx context.Context) *failure {
	rq := at.request
	if rq.Adapter != nil {
		release, err := at.ds.adapters.Ensure(ctx, at.server, rq.Adapter)
		if err != nil {
			return &failure{reason: refuser.NoWorker, detail: err.Error(), unsent: true}
		}
		defer release()
	}
	if at.attempts == 0 {
		at.ds.budget.Sent()
	}
	at.attempts++
	ctx, cancel := context.WithCancelCause(ctx)
	at.watchdog = time.AfterFunc(at.firstEventTimeout(), func() { cancel(errNoProgress) })
	defer at.watchdog.Stop()
	rs, err := at.ds.forwarder.Send(ctx, at.backendRequest())
	if err != nil {
		cancel(nil)
		return at.classifyError(ctx, err, forwarder.NotSent(err))
	}
	fl := at.receive(ctx, rs)
	if fl == nil {
		at.unreadBody = rs.Body
		return nil
	}
	// Close the connection with its unread bytes. Reusing it could deliver a
	// late frame to another request.
	cancel(nil)
	_ = rs.Body.Close()
	return fl
}

func (at *attempt) receive(ctx context.Context, rs *http.Response) *failure {
	if rs.StatusCode != http.StatusOK {
		return classifyStatus(rs)
	}
	if !at.request.Stream {
		return at.receiveAnswer(ctx, rs)
	}
	if !strings.HasPrefix(rs.Header.Get("Content-Type"), contentTypeEvents) {
		return &failure{reason: refuser.BackendFailed, detail: "answer is not a stream of events"}
	}
	return at.receiveStream(ctx, rs)
}

// firstEventTimeout returns how long the attempt waits for the first byte of
// the answer. An answer that is not a stream starts after its last token.
func (at *attempt) firstEventTimeout() time.Duration {
	cs := at.request.Class
	bound := max(at.silenceTimeout(), targetFactor*cs.FirstToken())
	if !at.request.Stream {
		bound += targetFactor * time.Duration(at.request.MaxTokens) * cs.TokenGap()
	}
	return bound
}

func (at *attempt) silenceTimeout() time.Duration { return at.settings.Timeouts().EngineSilence() }

// classifyError turns a connection error into a failure. unsent says that no
// byte reached the server.
func (at *attempt) classifyError(ctx context.Context, err error, unsent bool) *failure {
	fl := &failure{reason: refuser.BackendFailed, detail: err.Error(), unsent: unsent}
	switch {
	case errors.Is(context.Cause(ctx), errNoProgress):
		fl.reason = refuser.BackendSilent
	case errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded):
		fl.reason, fl.final = refuser.Cancelled, true
		return fl
	case unsent:
		fl.reason = refuser.BackendUnreachable
		if forwarder.Refused(err) {
			at.ds.outages.Refused(at.process)
		} else {
			at.ds.outages.Lost(at.server)
		}
	case errors.Is(err, headchecker.ErrMalformed):
		// The server has not crashed: it answered.
	default:
		fl.crashed = true
		at.ds.outages.Lost(at.server)
		at.ds.crashes.Lost(at.server, at.address, crashdetector.Loss{
			ID: at.request.ID, Request: at.contents[0], Contents: at.contents, Sent: at.began, Answering: at.result.Tokens > 0,
		})
	}
	if !unsent && at.progress.begun() && fl.reason == refuser.BackendFailed {
		fl.reason = refuser.StreamBroken
	}
	at.ds.forwarder.DropIdle(at.address)
	return fl
}

// classifyStatus turns an answer with a status other than 200 into a failure.
func classifyStatus(rs *http.Response) *failure {
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

func (at *attempt) backendRequest() forwarder.Request {
	rq := at.request
	hd := http.Header{}
	hd.Set("Content-Type", "application/json")
	hd.Set("X-Request-Id", rq.ID)
	hd.Set("X-Priority", strconv.Itoa(at.priority))
	if at.handle != "" {
		hd.Set(HeaderCacheHandle, at.handle)
	}
	if at.progress.begun() {
		at.ds.registry.Inc("stream", "resumed")
		hd.Set(HeaderResumeFrom, strconv.Itoa(at.progress.next))
	}
	return forwarder.Request{
		Address: at.address,
		Method:  http.MethodPost,
		Path:    rq.Path,
		Header:  hd,
		Body:    rq.Body,
		// Only the body of a whole answer names its request.
		Reusable: func(rs *http.Response) bool { return rs.StatusCode == http.StatusOK },
	}
}
