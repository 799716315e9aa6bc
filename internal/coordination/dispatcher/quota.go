package dispatcher

import (
	"context"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// Quota charges requests to the quotas of their callers.
type Quota interface {
	// Charge charges a request once, and may wait for units. It returns a refusal, or
	// a function that returns the units if the request was not run.
	Charge(ctx context.Context, request string, cr *configurer.Caller, units int) (refund func(), rf *refuser.Refusal)
}

// noQuota is the default Quota, which charges nothing.
type noQuota struct{}

func (noQuota) Charge(context.Context, string, *configurer.Caller, int) (func(), *refuser.Refusal) {
	return func() {}, nil
}

// WithQuota sets what charges requests. Each is charged before its first attempt,
// however often it is sent; the admission does not charge it then.
func WithQuota(qt Quota) Option {
	return func(ds *Dispatcher) { ds.quota, ds.charges = qt, true }
}

// runCharged charges the request and runs it. A request that another node delegated was
// charged there.
func (pe *proxyExecution) runCharged(ctx context.Context) *refuser.Refusal {
	if pe.Delegated || pe.ticket.Caller == nil {
		return pe.run(ctx)
	}
	cr := pe.ticket.Caller
	refund, rf := pe.ds.quota.Charge(ctx, pe.ticket.ID, cr, cr.Cost(pe.ticket.NamedPromptTokens, pe.ticket.NamedAnswerTokens))
	if rf != nil {
		return rf
	}
	rf = pe.run(ctx)
	if pe.notRun || rf != nil && !pe.mayHaveRun && !pe.writer.begun() && rf.Outcome() == refuser.NotRun {
		refund()
	}
	return rf
}

// runCharged charges the request and runs it. A request that goes on with a stream was
// charged when the stream began.
func (ex *execution) runCharged(ctx context.Context, unlink func() bool) *refuser.Refusal {
	rq := ex.request
	if rq.Caller == nil || rq.ResumeFrom > 0 {
		return ex.run(ctx, unlink)
	}
	tk := ex.ticket()
	refund, rf := ex.ds.quota.Charge(ctx, rq.ID, rq.Caller, rq.Caller.Cost(tk.PromptTokens, rq.MaxTokens))
	if rf != nil {
		return rf
	}
	rf = ex.run(ctx, unlink)
	if rf != nil && !ex.mayHaveRun && rf.Outcome() == refuser.NotRun {
		refund()
	}
	return rf
}
