package dispatcher

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/fingerprinter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/retrier"
	"github.com/lagoonpass/lagoonpass/internal/coordination/throttler"
	"github.com/lagoonpass/lagoonpass/internal/coordination/versionkeeper"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// maxUnsentInRow is the number of unsent attempts in a row after which the
	// request is refused.
	maxUnsentInRow = 4
	// maxRefusedInRow is that number if the last attempt was refused a connection. The
	// next one goes to a server that is not known to be down.
	maxRefusedInRow = 16
	// minRetryAfter is the shortest wait that a refusal tells the caller.
	minRetryAfter = 50 * time.Millisecond
	// minTimeToSend is the time before the deadline below which a request is
	// not sent, since no server answers in less.
	minTimeToSend = 5 * time.Millisecond
)

// ProxyRequest is a request whose body and answer are forwarded unchanged.
type ProxyRequest struct {
	// Ticket describes the request to the admission. The dispatcher sets its
	// Avoid and Repeated, and Resumed and Software once a stream has begun.
	Ticket admitter.Ticket
	// Route sets the attempt limit and whether the answer is a stream.
	Route *configurer.Route
	// Method, Host and Path go to the server unchanged.
	Method, Host, Path string
	// Header goes to the server with the headers that Wire adds.
	Header http.Header
	// Body goes to the server unchanged.
	Body []byte
	// LastEvent is the id of the last event that the caller has, or empty.
	LastEvent string
	// Parts are the ids of the parts of the prompt that other requests may share.
	Parts []uint64
	// Delegated says that another node delegated the request to this one, and Servers
	// is the number of servers to which it was sent before.
	Delegated bool
	Servers   int
	// Revision is that of the configuration under which the request was taken.
	Revision int64
	// Wire encodes and decodes the headers of the protocol.
	Wire Wire
}

// AttemptInfo is what a Wire needs to encode one attempt.
type AttemptInfo struct {
	// Server is the server's name.
	Server string
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Priority orders requests in the engine; zero is the most urgent.
	Priority int
	// PrefixSource is the address of a server from which this one should fetch the
	// cached start of the prompt, or empty.
	PrefixSource string
	// LastEvent is the id of the last event that the caller has, or empty. The
	// server continues after it.
	LastEvent string
}

// DelegateInfo is what a Wire needs to have another node run a request.
type DelegateInfo struct {
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// LastEvent is the id of the last event that the caller has, or empty.
	LastEvent string
	// Resumes is the id of the request that brought the stream's first event, or empty
	// if the caller named it.
	Resumes string
}

// Classification is the meaning of the status and headers of an answer.
type Classification struct {
	// NotRun says that the server guarantees that it did not run the request.
	NotRun bool
	// Misdirected says that the server lacks what the request needs.
	Misdirected bool
	// Genuine says that the answer comes from a backend server itself.
	Genuine bool
	// Signals is what the server says about itself.
	Signals throttler.Signals
}

// Wire maps between the headers of a protocol and the dispatcher's values.
type Wire interface {
	// Prepare adds the headers of one attempt.
	Prepare(hd http.Header, ai AttemptInfo)
	// PrepareDelegated makes the header that of a caller's request to another node.
	PrepareDelegated(hd http.Header, di DelegateInfo)
	// Owns reports whether the answer belongs to the request with this id. With an
	// empty id it reports whether the answer names no request.
	Owns(id string, rs *http.Response) bool
	// Classify evaluates the status and headers of an answer.
	Classify(rs *http.Response) Classification
	// Forward copies the headers of an answer that the caller gets.
	Forward(to http.Header, rs *http.Response)
}

// proxyExecution is the state of one proxied request over all its attempts.
type proxyExecution struct {
	*ProxyRequest
	ds       *Dispatcher
	settings *configurer.Settings
	writer   *answerWriter
	// answering is set once a piece of the answer was received.
	answering atomic.Bool
	callerCtx context.Context
	ticket    admitter.Ticket
	began     time.Time

	// server is the last server that the request was sent to, and servers
	// counts all of them.
	server  string
	servers int
	// unsent counts the last attempts in a row that reached no server. hops counts the
	// attempts that ended since the adapter was not ready.
	unsent, hops int
	// submitted is when the request was first submitted to admission since it was last
	// sent, and keepsPlace says that it was.
	submitted  time.Time
	keepsPlace bool
	// mayHaveRun says that a server may have run the request.
	mayHaveRun bool
	// bufferedFailure is the 5xx answer of the last attempt, or nil.
	bufferedFailure *bufferedAnswer
	// resumes says that the next attempt resumes a stream.
	resumes bool
	// admitted says that the request was submitted to admission before.
	admitted bool
	// estimate is what was known of the server at the last grant.
	estimate admitter.LoadEstimate
	// queued is the time spent waiting for grants.
	queued time.Duration
	// request identifies the request by its content.
	request fingerprinter.Content
	// contents are what other requests may have in common with this one.
	contents []fingerprinter.Content
	// elsewhere says that another node ran the request, and notRun that its answer
	// guarantees that the request was not run.
	elsewhere, notRun bool
	// trial says that the request has an excluded content and is sent once.
	trial bool
	// reserved says that the next sending is a retry for which the shared budget holds a
	// place. It may wait for seconds before it is sent.
	reserved bool
}

// Proxy runs the request and writes its answer to wr. It returns nil if the
// answer is complete. If it returns a refusal and begun is true, a part of the
// answer was written and the connection must be aborted; otherwise nothing was
// written.
func (ds *Dispatcher) Proxy(ctx context.Context, st *configurer.Settings, rq *ProxyRequest, wr http.ResponseWriter) (rf *refuser.Refusal, begun bool) {
	up, cancel := context.WithDeadline(ctx, rq.Ticket.Deadline)
	defer cancel()
	up, exclude := context.WithCancelCause(up)
	defer exclude(nil)
	pe := &proxyExecution{
		ProxyRequest: rq,
		ds:           ds,
		settings:     st,
		callerCtx:    ctx,
		writer:       newAnswerWriter(wr, rq.LastEvent, rq.Ticket.Deadline),
		ticket:       rq.Ticket,
		request:      fingerprinter.Request(callerName(rq.Ticket.Caller), rq.Method, rq.Host, rq.Path, rq.Body),
		began:        time.Now(),
		servers:      rq.Servers,
	}
	pe.contents = append(fingerprinter.Parts(rq.Parts), pe.request)
	if ds.shared != nil && !rq.Delegated {
		ds.shared.Arrived(pe.key(), pe.began)
	}
	// A content that is excluded later ends the request unless its answer has begun.
	defer ds.quarantine.Watch(pe.contents, func() {
		if !pe.answering.Load() {
			exclude(errExcluded)
		}
	})()
	defer pe.releaseRetry()
	rf = pe.runCharged(up)
	if rf != nil && pe.writer.begun() {
		// What is not flushed is lost when the connection is aborted.
		_ = pe.writer.flush()
	}
	pe.logEnd(rf)
	return rf, pe.writer.begun()
}

// callerName returns the name of a caller, or "" if it is not known.
func callerName(ca *configurer.Caller) string {
	if ca == nil {
		return ""
	}
	return ca.Name()
}

// key returns the key of the shared retry budget: the model's pool.
func (pe *proxyExecution) key() string { return pe.ticket.Model.Pool() }

// run makes attempts until the answer is complete or no retry is allowed.
func (pe *proxyExecution) run(ctx context.Context) *refuser.Refusal {
	wait, trial := pe.ds.quarantine.Admit(ctx, pe.contents)
	if wait > 0 {
		return excludedRefusal().WithRetryAfter(wait)
	}
	pe.trial = trial
	for {
		fl := pe.runAttempt(ctx)
		if fl == nil {
			return nil
		}
		if !fl.unsent && !fl.refused && fl.admissionRefusal == nil {
			pe.mayHaveRun = true
		}
		if fl.decided != nil {
			// A request that crashed the server may be excluded by now.
			select {
			case <-fl.decided:
			case <-ctx.Done():
			}
		}
		if again, rf := pe.retryOrRefuse(ctx, fl); !again {
			return pe.setOutcome(rf)
		}
		pe.count("retry", string(fl.reason))
		if pe.hops > maxHopsLogged && fl.notReady {
			continue
		}
		log.WithFields(log.Fields{
			"request": pe.ticket.ID, "reason": string(fl.reason), "detail": fl.detail, "servers": pe.servers,
			"server": pe.server, "software": pe.ticket.Software, "after": pe.writer.lastEvent(), "budget": pe.usage(fl),
		}).Info("request is sent again")
	}
}

// usage returns what the retry budget allowed, for the log, or "" if the retry took
// nothing from the shared budget.
func (pe *proxyExecution) usage(fl *failure) string {
	if fl.unsent || pe.ds.shared == nil {
		return ""
	}
	return pe.ds.shared.Usage(pe.key(), time.Now()).String()
}

// runAttempt waits for a grant and sends the request once. It returns nil if
// the answer is complete.
func (pe *proxyExecution) runAttempt(ctx context.Context) *failure {
	pe.bufferedFailure, pe.writer.blocked = nil, 0
	if pe.Delegated && pe.ds.delegate.CutOff(pe.key()) {
		return &failure{reason: refuser.PathLost, detail: "this node has lost its path to the servers as well", unsent: true, detached: true, final: true}
	}
	asked := pe.delegatable()
	if asked {
		if fl, taken := pe.runElsewhere(ctx); taken {
			return fl
		}
	}
	tk := pe.ticket
	tk.Resumed = tk.Resumed || pe.resumes
	tk.Repeated = pe.admitted
	tk.Charged = pe.ds.charges
	pe.admitted = true
	submitted := time.Now()
	if pe.keepsPlace {
		tk.Since = pe.submitted
	} else {
		pe.submitted, pe.keepsPlace = submitted, true
	}
	gr, rf := pe.ds.admission.Admit(ctx, pe.settings, &tk)
	if rf != nil {
		return &failure{reason: rf.Reason(), admissionRefusal: rf}
	}
	pe.queued += time.Since(submitted)
	if !asked && pe.delegatable() {
		gr.Done(admitter.Result{})
		return &failure{reason: refuser.BackendUnreachable, detail: "the path to the servers was lost while the request waited", unsent: true, detached: true}
	}
	pe.estimate = gr.LoadEstimate()
	rs, fl := pe.send(ctx, gr)
	rs.Refused, rs.Full = fl != nil && fl.refused, fl != nil && fl.full
	pe.ds.releaseGrant(gr, pe.key(), rs, fl)
	if fl != nil && !fl.notReady {
		pe.ticket.Avoid = withServer(pe.ticket.Avoid, gr.Server())
		if fl.refusedConnection {
			pe.ticket.RefusedBy = append(slices.Clip(pe.ticket.RefusedBy), gr.Process())
		}
	}
	return fl
}

// send sends the request to the server of the grant and forwards the answer.
func (pe *proxyExecution) send(ctx context.Context, gr *admitter.Grant) (admitter.Result, *failure) {
	if ad := pe.ticket.Adapter; ad != nil {
		release, err := pe.ds.adapters.Ensure(ctx, gr.Server(), ad)
		if err != nil {
			return admitter.Result{}, &failure{reason: refuser.NoWorker, detail: err.Error(), unsent: true, notReady: true, retryAfter: retryAfterOf(err)}
		}
		defer release()
	}
	remaining := time.Until(pe.ticket.Deadline)
	if remaining < minTimeToSend {
		return admitter.Result{}, &failure{reason: refuser.DeadlinePassed, detail: "no time is left to send it", unsent: true, final: true}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	pa := &proxyAttempt{proxyExecution: pe, grant: gr, server: gr.Server(), address: gr.Address(), sent: time.Now(), cancel: cancel}
	defer pe.ds.track(pa)()
	if fl := pa.checkSoftware(); fl != nil {
		return admitter.Result{}, fl
	}
	if bound, ok := pe.failoverTimeout(); ok {
		pa.watchdog = time.AfterFunc(bound, func() { cancel(errNoProgress) })
		defer pa.watchdog.Stop()
	}
	hd := pe.Header.Clone()
	pe.Wire.Prepare(hd, AttemptInfo{
		Server:       gr.Server(),
		Remaining:    remaining,
		Priority:     gr.Priority(),
		LastEvent:    pe.writer.lastEvent(),
		PrefixSource: gr.PrefixSource(),
	})
	pa.answer = pe.ds.truncation.Begin(pe.ticket.ID, pa.process, gr.Address())
	defer pa.answer.End()
	rs, err := pe.ds.forwarder.Send(ctx, forwarder.Request{
		ID:        pe.ticket.ID,
		Address:   gr.Address(),
		Host:      pe.Host,
		Method:    pe.Method,
		Path:      pe.Path,
		Header:    hd,
		Body:      pe.Body,
		Connected: func(lk *forwarder.Link) { pa.link = lk },
		Begin:     pa.begin,
		Owns:      func(rs *http.Response) bool { return pe.Wire.Owns(pe.ticket.ID, rs) },
		Reusable:  func(rs *http.Response) bool { return !pe.Wire.Owns("", rs) },
	})
	if err != nil && forwarder.NotSent(err) {
		return admitter.Result{}, pa.classifyError(ctx, err, true)
	}
	pe.server = gr.Server()
	pe.servers++
	pe.unsent, pe.keepsPlace = 0, false
	if err != nil {
		return admitter.Result{}, pa.classifyError(ctx, err, false)
	}
	defer func() { _ = rs.Body.Close() }()
	pa.hear()
	fl := pa.receive(ctx, rs)
	return pa.result, fl
}

// failoverTimeout returns how long to wait for the start of an answer before
// the request goes to another server. It returns false if no retry is allowed.
func (pe *proxyExecution) failoverTimeout() (time.Duration, bool) {
	rt := pe.Route
	if !rt.Repeatable() || pe.servers+1 >= rt.AttemptLimit() {
		return 0, false
	}
	target := pe.ticket.Class.FirstToken()
	if rt.Streams() {
		target *= targetFactor
	}
	return target, true
}

// retryOrRefuse reports whether to retry on another server. If not, it returns
// the final refusal, or nil if it delivered a buffered 5xx answer.
func (pe *proxyExecution) retryOrRefuse(ctx context.Context, fl *failure) (again bool, rf *refuser.Refusal) {
	if ctx.Err() != nil {
		return false, pe.endRefusal(ctx)
	}
	if fl.admissionRefusal != nil {
		return false, pe.deliverBufferedFailure(fl.admissionRefusal)
	}
	refusal := refuser.New(fl.reason, "%s", fl.detail).WithRetryAfter(max(pe.retryAfter(), fl.retryAfter))
	if fl.detached && pe.Delegated {
		return false, refuser.New(refuser.PathLost, "%s", fl.detail).WithRetryAfter(pe.retryAfter())
	}
	if fl.final {
		return false, refusal
	}
	if fl.notReady {
		return pe.hop(ctx, fl, refusal)
	}
	if fl.unsent {
		limit := maxUnsentInRow
		if fl.refusedConnection {
			// The server is out by now, so that no other request repeats the attempt.
			limit = maxRefusedInRow
		}
		if pe.unsent++; pe.unsent < limit {
			return true, nil
		}
		return false, pe.deliverBufferedFailure(refusal)
	}
	unrepeatable := pe.trial || !fl.refused && !pe.Route.Repeatable() || pe.writer.begun() && !pe.Route.Resumable()
	if unrepeatable || pe.servers >= pe.Route.AttemptLimit() {
		return false, pe.deliverBufferedFailure(refusal)
	}
	if !pe.reserveRetry() {
		log.WithFields(log.Fields{"request": pe.ticket.ID, "reason": string(fl.reason), "budget": pe.usage(fl)}).Info("request is not sent again: the retry budget is used up")
		return false, pe.deliverBufferedFailure(refuser.New(refuser.RetryBudget, "not sent again: %s", fl.detail).WithRetryAfter(pe.retryAfter()))
	}
	if pe.resumes = pe.writer.begun(); !pe.resumes {
		return true, nil
	}
	origin, certain := pe.ds.versions.Find(ctx, pe.ticket.ID, versionkeeper.Route{Pools: []string{pe.key()}})
	if !certain {
		return false, refuser.New(refuser.VersionUnknown, "it is not certain at which software the stream began")
	}
	pe.ticket.Software = origin.Software
	return true, nil
}

// deliverBufferedFailure delivers the buffered 5xx answer of the last attempt
// and returns nil. Without one, it returns rf.
func (pe *proxyExecution) deliverBufferedFailure(rf *refuser.Refusal) *refuser.Refusal {
	if pe.bufferedFailure == nil || pe.writer.begun() {
		return rf
	}
	if err := pe.writer.deliver(pe.Wire, pe.bufferedFailure); err != nil {
		return refuser.New(refuser.Cancelled, "caller took no more of the answer: %v", err)
	}
	return nil
}

// endRefusal returns the refusal for a request whose context ended.
func (pe *proxyExecution) endRefusal(ctx context.Context) *refuser.Refusal {
	if errors.Is(context.Cause(pe.callerCtx), ErrStopping) {
		return refuser.New(refuser.Leaving, "node stops before the request has ended").WithRetryAfter(minRetryAfter)
	}
	if pe.callerCtx.Err() != nil {
		return refuser.New(refuser.Cancelled, "caller is gone")
	}
	if errors.Is(context.Cause(ctx), errExcluded) {
		wait, _ := pe.ds.quarantine.Admit(ctx, pe.contents)
		return excludedRefusal().WithRetryAfter(max(wait, pe.retryAfter()))
	}
	return refuser.New(refuser.DeadlinePassed, "no whole answer before the deadline").WithRetryAfter(pe.retryAfter())
}

// ErrStopping is the cause of the end of the contexts of requests that are in progress
// when the node stops.
var ErrStopping = errors.New("node stops")

// errExcluded ends requests with a content that is excluded while they wait.
var errExcluded = errors.New("a content is excluded")

func excludedRefusal() *refuser.Refusal {
	return refuser.New(refuser.ContentExcluded, "its content crashed backend servers")
}

// retryAfter returns how long the caller of a refused request should wait.
func (pe *proxyExecution) retryAfter() time.Duration {
	return max(pe.ticket.Class.FirstToken()/retryAfterDivisor, minRetryAfter)
}

// retryAfterOf returns the time after which the error says that another try makes
// sense, or 0.
func retryAfterOf(err error) time.Duration {
	var timed interface{ RetryAfter() time.Duration }
	if errors.As(err, &timed) {
		return timed.RetryAfter()
	}
	return 0
}

// retryAfterDivisor divides a class's first-token target to get the time after
// which a server that refused is likely to have capacity again.
const retryAfterDivisor = 4

// setOutcome sets the outcome unknown if a server may have run the request, and
// a retry time if the request was not run. A nil refusal stays nil.
func (pe *proxyExecution) setOutcome(rf *refuser.Refusal) *refuser.Refusal {
	if rf == nil {
		return nil
	}
	if pe.mayHaveRun {
		rf = rf.WithOutcome(refuser.Unknown)
	}
	if rf.Outcome() == refuser.NotRun && rf.RetryAfter() <= 0 && rf.Reason() != refuser.VersionGone {
		rf = rf.WithRetryAfter(pe.retryAfter())
	}
	assertOutcome(pe.ticket.ID, rf, pe.mayHaveRun)
	return rf
}

// reserveRetry reserves a retry in the shared budget, or takes one from this node's
// budget if there is no shared one. It reports whether the retry is allowed.
func (pe *proxyExecution) reserveRetry() bool {
	if pe.ds.shared == nil {
		return pe.ds.budget.Take(pe.settings.Retries().Budget())
	}
	pe.reserved = pe.ds.shared.Reserve(pe.key(), time.Now())
	return pe.reserved
}

// retrySent records that a reserved retry is on its way.
func (pe *proxyExecution) retrySent() {
	if pe.reserved {
		pe.ds.shared.Sent(pe.key(), time.Now())
		pe.reserved = false
	}
}

// releaseRetry gives back a reserved retry that was not sent.
func (pe *proxyExecution) releaseRetry() {
	if pe.reserved {
		pe.ds.shared.Release(pe.key(), time.Now())
		pe.reserved = false
	}
}

// WithSharedBudget makes proxied requests take retries from a budget that all
// nodes share.
func WithSharedBudget(sh *retrier.SharedBudget) Option {
	return func(ds *Dispatcher) { ds.shared = sh }
}

// logAnswer records the latencies of a complete answer, and logs it if it
// missed a target.
func (pe *proxyExecution) logAnswer(line *log.Entry) {
	first := pe.writer.first.Sub(pe.began)
	result := "in-time"
	switch {
	case first > pe.ticket.Class.FirstToken():
		result = "late-first"
	case pe.Route.Streams() && pe.writer.pause > pe.Route.PauseTarget():
		result = "late-pause"
	}
	pe.count("answer", result)
	pe.ds.registry.Observe(pe.queued, "queue-wait", pe.ticket.Class.Name())
	pe.ds.registry.Observe(first, "first-token", pe.ticket.Class.Name())
	if pe.Route.Streams() {
		pe.ds.registry.Observe(pe.writer.pause, "longest-pause", pe.ticket.Class.Name())
	}
	if result != "in-time" {
		line.WithFields(log.Fields{
			"result": result, "first-ms": first.Milliseconds(), "pause-ms": pe.writer.pause.Milliseconds(), "server": pe.server,
			"class": pe.ticket.Class.Name(), "caller": callerName(pe.ticket.Caller), "prefill": pe.estimate.Prefill, "known": pe.estimate.String(),
		}).Info("request answered late")
	}
}

// count increments the counters of all requests and of the request's class.
func (pe *proxyExecution) count(what, reason string) {
	pe.ds.registry.Inc(what, reason)
	pe.ds.registry.Inc("class", pe.ticket.Class.Name(), what, reason)
}

// subject returns the name of the request's adapter, which begins with that of
// its model, or of the model if it needs no adapter.
func (pe *proxyExecution) subject() string {
	if ad := pe.ticket.Adapter; ad != nil {
		return ad.Name()
	}
	return pe.ticket.Model.Name()
}

// logEnd logs a refusal, or calls logAnswer if there is none.
func (pe *proxyExecution) logEnd(rf *refuser.Refusal) {
	line := log.WithFields(log.Fields{
		"request":   pe.ticket.ID,
		"route":     pe.Route.Name(),
		"model":     pe.ticket.Model.Name(),
		"servers":   pe.servers,
		"queued-ms": pe.queued.Milliseconds(),
		"total-ms":  time.Since(pe.began).Milliseconds(),
	})
	if ad := pe.ticket.Adapter; ad != nil {
		line = line.WithField("adapter", ad.Name()).WithField("hops", pe.hops)
	}
	if rf == nil {
		if !pe.elsewhere {
			pe.ds.quarantine.Succeeded(pe.contents)
		}
		pe.ds.tally.Answered(pe.subject())
		pe.logAnswer(line)
		return
	}
	pe.ds.tally.Unanswered(pe.subject(), string(rf.Reason()))
	pe.count("refusal", string(rf.Reason()))
	if rf.Reason() == refuser.ContentExcluded {
		line = line.WithField("contents", fingerprinter.Join(pe.contents))
	}
	line.WithFields(log.Fields{
		"reason":  string(rf.Reason()),
		"outcome": string(rf.Outcome()),
		"detail":  rf.Message(),
		"begun":   pe.writer.begun(),
		"avoid":   pe.ticket.Avoid,
		"class":   pe.ticket.Class.Name(),
		"caller":  callerName(pe.ticket.Caller),
		"known":   pe.estimate.String(),
	}).Warn("request not answered")
}
