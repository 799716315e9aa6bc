package invoker

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// initialCredit is the number of retries allowed before any success.
	initialCredit = 10
	// maxCredit bounds the retries saved up.
	maxCredit = 100
)

// repeat sends a call that may be repeated until it is answered.
func (iv *Invoker) repeat(ctx context.Context, rt *configurer.Retries, cl Call) (*Answer, *refuser.Refusal) {
	addresses := iv.order(cl.Service)
	if len(addresses) == 0 {
		return nil, refuser.New(refuser.BackendUnreachable, "service %q has no instance", cl.Service.Name())
	}
	sent := false
	backoff := rt.Backoff()
	for attempt := 0; ; attempt++ {
		an, err := iv.send(ctx, iv.pooled, addresses[attempt%len(addresses)], cl)
		if err == nil {
			iv.earn(rt.Budget())
			return an, nil
		}
		sent = sent || !forwarder.NotSent(err)
		last := attempt+1 >= rt.AttemptLimit() || ctx.Err() != nil
		if last || !iv.spend() || !iv.pause(ctx, backoff) {
			return nil, outcome(ctx, err, sent)
		}
		iv.registry.Inc("retry", string(reasonOf(err)))
		backoff = min(2*backoff, rt.MaxBackoff())
	}
}

// outcome is the refusal after the last attempt; it vouches for all of them.
func outcome(ctx context.Context, err error, sent bool) *refuser.Refusal {
	if sent {
		return failed(ctx, err).WithRetryAfter(retryLater)
	}
	return refuser.New(refuser.BackendUnreachable, "%v", err).WithRetryAfter(retryLater)
}

func reasonOf(err error) refuser.Reason {
	if forwarder.NotSent(err) {
		return refuser.BackendUnreachable
	}
	return refuser.BackendFailed
}

// earn adds the retries that one success allows.
func (iv *Invoker) earn(part float64) {
	iv.mu.Lock()
	defer iv.mu.Unlock()
	iv.credit = min(iv.credit+part, maxCredit)
}

// spend takes one retry from the budget.
func (iv *Invoker) spend() bool {
	iv.mu.Lock()
	defer iv.mu.Unlock()
	if iv.credit < 1 {
		iv.registry.Inc("refusal", string(refuser.RetryBudget))
		return false
	}
	iv.credit--
	return true
}

// pause waits for a random time up to the backoff.
func (iv *Invoker) pause(ctx context.Context, backoff time.Duration) bool {
	iv.mu.Lock()
	dn := time.Duration(iv.random.Int64N(int64(backoff) + 1))
	iv.mu.Unlock()
	return waiter.Sleep(ctx, dn)
}
