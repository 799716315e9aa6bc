package dispatcher

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/retrier"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// drainTimeout is how long the end of a whole answer may take to arrive before
// its connection is closed instead of used again.
const drainTimeout = 100 * time.Millisecond

// execution is one request on its way.
type execution struct {
	ds          *Dispatcher
	settings    *configurer.Settings
	request     *Request
	relay       *relay
	progress    *progress
	fingerprint uint64
	caller      context.Context

	avoid    []string
	unfit    []string
	attempts int
	deaths   int
	mayRun   bool
	leftover io.ReadCloser
}

// failure is a sending that gave no whole answer.
type failure struct {
	reason refuser.Reason
	detail string
	// final says that another sending would not help.
	final bool
	// refused says that the server vouches that it did not run the request.
	refused bool
	// unsent says that no byte reached the server.
	unsent bool
	// died says that the server's connection died.
	died bool
	// given is the refusal of the admission.
	given *refuser.Refusal
}

// run sends the request until its answer is whole or nothing more may be
// done. It calls unlink once the answer is whole: from then on the end of the
// caller's request no longer closes the connection.
func (ex *execution) run(ctx context.Context, unlink func() bool) *refuser.Refusal {
	barred := ex.ds.suspects.Barred(ex.fingerprint, time.Now())
	if barred > 0 {
		return refuser.New(refuser.BackendFailed, "the same request lost %d servers", retrier.MaxDeaths).WithRetryAfter(barred)
	}
	for retry := 1; ; retry++ {
		fl := ex.attempt(ctx)
		if fl == nil {
			unlink()
			ex.ds.suspects.Cleared(ex.fingerprint)
			ex.ds.budget.Succeeded(ex.settings.Retries().Budget())
			return nil
		}
		ex.note(fl)
		if rf := ex.giveUp(ctx, fl, retry); rf != nil {
			return ex.honest(rf)
		}
		ex.ds.registry.Inc("retry", string(fl.reason))
	}
}

// note keeps what a failed sending changes.
func (ex *execution) note(fl *failure) {
	if !fl.refused && !fl.unsent && fl.given == nil {
		ex.mayRun = true
	}
	if fl.died {
		ex.deaths = max(ex.deaths+1, ex.ds.suspects.Died(ex.fingerprint, time.Now()))
	}
}

// giveUp returns the final refusal, or nil after the delay before a retry.
func (ex *execution) giveUp(ctx context.Context, fl *failure, retry int) *refuser.Refusal {
	rt := ex.settings.Retries()
	if ctx.Err() != nil {
		return ex.ended()
	}
	if fl.given != nil {
		return fl.given
	}
	last := refuser.New(fl.reason, "%s", fl.detail).WithRetryAfter(retryLater)
	if fl.final {
		return refuser.New(fl.reason, "%s", fl.detail)
	}
	if ex.progress.begun() && !ex.progress.resumable() {
		return last
	}
	if ex.deaths >= retrier.MaxDeaths || max(ex.attempts, retry) >= rt.Attempts() || ex.request.Once {
		return last
	}
	delay := ex.ds.backoff(rt, retry)
	if time.Now().Add(delay).After(ex.request.Deadline) {
		return last
	}
	if !ex.ds.budget.Take(rt.Budget()) {
		return refuser.New(refuser.RetryBudget, "not sent again: %s", fl.detail).WithRetryAfter(retryLater)
	}
	tm := time.NewTimer(delay)
	defer tm.Stop()
	select {
	case <-tm.C:
		return nil
	case <-ctx.Done():
		return ex.ended()
	}
}

// ended is the refusal of a request whose context ended.
func (ex *execution) ended() *refuser.Refusal {
	if ex.caller.Err() != nil || time.Now().Before(ex.request.Deadline) {
		return refuser.New(refuser.Cancelled, "caller is gone")
	}
	return refuser.New(refuser.DeadlinePassed, "no whole answer before the deadline")
}

// honest gives the refusal the outcome that the sendings allow.
func (ex *execution) honest(rf *refuser.Refusal) *refuser.Refusal {
	if ex.progress.chunks > 0 && rf.Reason() != refuser.DeadlinePassed && rf.Reason() != refuser.Cancelled {
		rf = refuser.New(refuser.StreamBroken, "%s: %s", rf.Reason(), rf.Message()).WithRetryAfter(rf.RetryAfter())
	}
	if ex.mayRun {
		rf = rf.WithOutcome(refuser.Unknown)
	}
	assertHonest(ex.request.ID, rf, ex.mayRun)
	return rf
}

func assertHonest(id string, rf *refuser.Refusal, mayRun bool) {
	checker.Assert(checker.NotRunHonest, !mayRun || rf.Outcome() != refuser.NotRun,
		"request %s may have run and was refused as not-run", id)
}

// admit asks for a grant on a server that can run the request, or continue its
// stream. Servers that failed it already are the last choice.
func (ex *execution) admit(ctx context.Context) (*admitter.Grant, *failure) {
	for {
		gr, rf := ex.admitOnce(ctx)
		if rf != nil {
			return nil, &failure{reason: rf.Reason(), given: rf}
		}
		if !ex.progress.begun() || ex.canResume(gr.Server()) {
			return gr, nil
		}
		gr.Done(admitter.Result{})
		if slices.Contains(ex.unfit, gr.Server()) {
			detail := "server " + gr.Server() + " does not resume streams"
			return nil, &failure{reason: refuser.StreamBroken, detail: detail, refused: true, final: true}
		}
		ex.unfit = append(ex.unfit, gr.Server())
		ex.avoidServer(gr.Server())
	}
}

func (ex *execution) admitOnce(ctx context.Context) (*admitter.Grant, *refuser.Refusal) {
	gr, rf := ex.ds.admission.Admit(ctx, ex.settings, ex.ticket())
	if rf == nil || rf.Reason() != refuser.NoWorker || len(ex.avoid) == len(ex.unfit) {
		return gr, rf
	}
	tk := ex.ticket()
	tk.Avoid = ex.unfit
	return ex.ds.admission.Admit(ctx, ex.settings, tk)
}

// canResume reports whether the server continues a stream that has begun.
func (ex *execution) canResume(server string) bool {
	bs, ok := ex.settings.BackendServer(server)
	if !ok {
		return false
	}
	ek, ok := ex.settings.EngineKind(bs.Kind())
	return ok && ek.Resumes() && ex.progress.resumable()
}

func (ex *execution) avoidServer(server string) { ex.avoid = withServer(ex.avoid, server) }

// withServer returns the servers with one more. The list itself stays, since
// tickets that were submitted hold it.
func withServer(servers []string, server string) []string {
	if slices.Contains(servers, server) {
		return servers
	}
	return append(slices.Clone(servers), server)
}

// drain reads the end of a whole answer, so that its connection can serve
// another request, and closes it if it does not end at once.
func (ex *execution) drain(cancel context.CancelFunc) {
	if ex.leftover == nil {
		return
	}
	tm := time.AfterFunc(drainTimeout, cancel)
	defer tm.Stop()
	var rest [1]byte
	_, _ = ex.leftover.Read(rest[:])
	_ = ex.leftover.Close()
}
