package dispatcher

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/fingerprinter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/retrier"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// drainTimeout is how long to wait for the end of a complete answer before its
// connection is closed instead of reused.
const drainTimeout = 100 * time.Millisecond

// execution is the state of one request over all its attempts.
type execution struct {
	ds       *Dispatcher
	settings *configurer.Settings
	request  *Request
	relay    *relay
	progress *progress
	// fingerprint is the hash of the body. Requests that crashed engines are
	// recognised by it.
	fingerprint uint64
	// contents is what repeats of the request have in common with it.
	contents  []fingerprinter.Content
	callerCtx context.Context

	// avoid are the servers on which the request failed or can't be resumed.
	avoid []string
	// nonResumable are the servers that can't resume the stream.
	nonResumable []string
	// attempts counts the attempts that got as far as sending the request.
	attempts int
	// crashes counts the servers whose connection was lost during the request
	// or during earlier ones with the same fingerprint.
	crashes int
	// trial says that the request is excluded and is sent once.
	trial bool
	// mayHaveRun says that a server may have run the request.
	mayHaveRun bool
	// unreadBody is the body of a complete answer, whose end is not yet read.
	unreadBody io.ReadCloser
}

// failure is the result of an attempt without a complete answer.
type failure struct {
	reason refuser.Reason
	detail string
	// final says that a retry would not help.
	final bool
	// faulty says that the server is at fault, also if the failure is final or a refusal.
	faulty bool
	// refused says that the server guarantees that it did not run the request.
	refused bool
	// full says that the server refused the request for want of room.
	full bool
	// unsent says that no byte reached the server.
	unsent bool
	// notReady says that the server could not have the adapter.
	notReady bool
	// refusedConnection says that the server's address refused a connection.
	refusedConnection bool
	// detached says that the attempt ended since this node does not reach the server.
	detached bool
	// unread says that the server may have broken off since the caller read slowly.
	unread bool
	// crashed says that the connection was lost, as in a crash of the engine.
	crashed bool
	// retryAfter is the time after which another try makes sense; 0 if unknown.
	retryAfter time.Duration
	// decided is closed when it is known whether the loss of the connection was a
	// crash; nil if the connection was not lost.
	decided <-chan struct{}
	// admissionRefusal is set if admission refused the request.
	admissionRefusal *refuser.Refusal
}

// asFinal makes a failure final: the caller has a part of the answer. A server that is to
// blame stays so. It returns the failure, which may be nil.
func (fl *failure) asFinal() *failure {
	if fl != nil {
		fl.faulty, fl.final = fl.blamesServer(), true
	}
	return fl
}

// run makes attempts until the answer is complete or no retry is allowed. It
// calls unlink when the answer is complete: after that, the end of the caller's
// request no longer closes the connection to the server.
func (ex *execution) run(ctx context.Context, unlink func() bool) *refuser.Refusal {
	excludedFor := ex.ds.suspects.ExcludedFor(ex.fingerprint, time.Now())
	if excludedFor > 0 {
		return refuser.New(refuser.BackendFailed, "the same request lost %d servers", retrier.MaxCrashes).WithRetryAfter(excludedFor)
	}
	wait, trial := ex.ds.quarantine.Admit(ctx, ex.contents)
	if wait > 0 {
		return excludedRefusal().WithRetryAfter(wait)
	}
	ex.trial = trial
	for retry := 1; ; retry++ {
		fl := ex.runAttempt(ctx)
		if fl == nil {
			unlink()
			ex.ds.suspects.Remove(ex.fingerprint)
			ex.ds.quarantine.Succeeded(ex.contents)
			ex.ds.budget.Succeeded(ex.settings.Retries().Budget())
			return nil
		}
		ex.recordFailure(fl)
		if rf := ex.retryOrRefuse(ctx, fl, retry); rf != nil {
			return ex.setOutcome(rf)
		}
		ex.ds.registry.Inc("retry", string(fl.reason))
	}
}

// recordFailure updates mayHaveRun and crashes after a failed attempt.
func (ex *execution) recordFailure(fl *failure) {
	if !fl.refused && !fl.unsent && fl.admissionRefusal == nil {
		ex.mayHaveRun = true
	}
	if fl.crashed {
		ex.crashes = max(ex.crashes+1, ex.ds.suspects.CountCrash(ex.fingerprint, time.Now()))
	}
}

// retryOrRefuse returns the final refusal. If a retry is allowed, it waits for
// the backoff and returns nil.
func (ex *execution) retryOrRefuse(ctx context.Context, fl *failure, retry int) *refuser.Refusal {
	rt := ex.settings.Retries()
	if ctx.Err() != nil {
		return ex.endRefusal()
	}
	if fl.admissionRefusal != nil {
		return fl.admissionRefusal
	}
	last := refuser.New(fl.reason, "%s", fl.detail).WithRetryAfter(defaultRetryAfter)
	if fl.final {
		return refuser.New(fl.reason, "%s", fl.detail)
	}
	if ex.progress.begun() && !ex.progress.resumable() {
		return last
	}
	if ex.crashes >= retrier.MaxCrashes || max(ex.attempts, retry) >= rt.AttemptLimit() || ex.request.Once || ex.trial {
		return last
	}
	delay := ex.ds.backoff(rt, retry)
	if time.Now().Add(delay).After(ex.request.Deadline) {
		return last
	}
	// A request whose adapter was not ready went to no server and needs no retry.
	notReady := fl.unsent && fl.reason == refuser.NoWorker
	if !notReady && !ex.ds.budget.Take(rt.Budget()) {
		return refuser.New(refuser.RetryBudget, "not sent again: %s", fl.detail).WithRetryAfter(defaultRetryAfter)
	}
	tm := time.NewTimer(delay)
	defer tm.Stop()
	select {
	case <-tm.C:
		return nil
	case <-ctx.Done():
		return ex.endRefusal()
	}
}

// endRefusal returns the refusal for a request whose context ended.
func (ex *execution) endRefusal() *refuser.Refusal {
	if ex.callerCtx.Err() != nil || time.Now().Before(ex.request.Deadline) {
		return refuser.New(refuser.Cancelled, "caller is gone")
	}
	return refuser.New(refuser.DeadlinePassed, "no whole answer before the deadline")
}

// setOutcome returns rf with outcome unknown if a server may have run the
// request. If the stream had begun, the reason becomes stream-broken unless the
// deadline passed or the caller left.
func (ex *execution) setOutcome(rf *refuser.Refusal) *refuser.Refusal {
	if ex.progress.chunks > 0 && rf.Reason() != refuser.DeadlinePassed && rf.Reason() != refuser.Cancelled {
		rf = refuser.New(refuser.StreamBroken, "%s: %s", rf.Reason(), rf.Message()).WithRetryAfter(rf.RetryAfter())
	}
	if ex.mayHaveRun {
		rf = rf.WithOutcome(refuser.Unknown)
	}
	assertOutcome(ex.request.ID, rf, ex.mayHaveRun)
	return rf
}

func assertOutcome(id string, rf *refuser.Refusal, mayHaveRun bool) {
	checker.Assert(checker.NotRunCorrect, !mayHaveRun || rf.Outcome() != refuser.NotRun,
		"request %s may have run and was refused as not-run", id)
}

// admit requests a grant on a server that can run the request or resume its
// stream. It uses a server that failed the request only if there is no other.
func (ex *execution) admit(ctx context.Context) (*admitter.Grant, *failure) {
	for {
		gr, rf := ex.admitOnce(ctx)
		if rf != nil {
			return nil, &failure{reason: rf.Reason(), admissionRefusal: rf}
		}
		if !ex.progress.begun() || ex.canResume(gr.Server()) {
			return gr, nil
		}
		gr.Done(admitter.Result{})
		if slices.Contains(ex.nonResumable, gr.Server()) {
			detail := "server " + gr.Server() + " does not resume streams"
			return nil, &failure{reason: refuser.StreamBroken, detail: detail, refused: true, final: true}
		}
		ex.nonResumable = append(ex.nonResumable, gr.Server())
		ex.avoidServer(gr.Server())
	}
}

func (ex *execution) admitOnce(ctx context.Context) (*admitter.Grant, *refuser.Refusal) {
	gr, rf := ex.ds.admission.Admit(ctx, ex.settings, ex.ticket())
	if rf == nil || rf.Reason() != refuser.NoWorker || len(ex.avoid) == len(ex.nonResumable) {
		return gr, rf
	}
	tk := ex.ticket()
	tk.Avoid = ex.nonResumable
	return ex.ds.admission.Admit(ctx, ex.settings, tk)
}

// canResume reports whether the server can resume the stream.
func (ex *execution) canResume(server string) bool {
	bs, ok := ex.settings.BackendServer(server)
	if !ok {
		return false
	}
	ek, ok := ex.settings.EngineKind(bs.Kind())
	return ok && ek.Resumes() && ex.progress.resumable()
}

func (ex *execution) avoidServer(server string) { ex.avoid = withServer(ex.avoid, server) }

// withServer returns servers with server added unless it is there. It does not
// modify servers, since submitted tickets refer to it.
func withServer(servers []string, server string) []string {
	if slices.Contains(servers, server) {
		return servers
	}
	return append(slices.Clone(servers), server)
}

// drainBody reads the end of a complete answer, so that its connection can be
// reused. After drainTimeout it closes the connection.
func (ex *execution) drainBody(cancel context.CancelFunc) {
	if ex.unreadBody == nil {
		return
	}
	tm := time.AfterFunc(drainTimeout, cancel)
	defer tm.Stop()
	var rest [1]byte
	_, _ = ex.unreadBody.Read(rest[:])
	_ = ex.unreadBody.Close()
}
