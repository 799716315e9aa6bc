package serviceinvoker

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// initialRetryBudget is the number of retries allowed before any success.
	initialRetryBudget = 10
	// maxRetryBudget bounds the retry budget, to which successes add.
	maxRetryBudget = 100
)

// sendWithRetries sends a call that may be repeated until it is answered or the
// attempt limit, the deadline or the retry budget is reached. Each attempt goes
// to the next instance.
func (iv *Invoker) sendWithRetries(ctx context.Context, rt *configurer.Retries, cl Call) (*Answer, *refuser.Refusal) {
	addresses := iv.rotatedAddresses(cl.Service)
	if len(addresses) == 0 {
		return nil, refuser.New(refuser.BackendUnreachable, "service %q has no instance", cl.Service.Name())
	}
	sent := false
	backoff := rt.Backoff()
	for attempt := 0; ; attempt++ {
		an, err := iv.send(ctx, iv.pooled, addresses[attempt%len(addresses)], cl)
		if err == nil {
			iv.addRetries(rt.Budget())
			return an, nil
		}
		sent = sent || !forwarder.NotSent(err)
		last := attempt+1 >= rt.AttemptLimit() || ctx.Err() != nil
		if last || !iv.takeRetry() || !iv.sleepJitter(ctx, backoff) {
			return nil, finalRefusal(ctx, err, sent)
		}
		iv.registry.Inc("retry", string(reasonOf(err)))
		backoff = min(2*backoff, rt.MaxBackoff())
	}
}

// finalRefusal returns the refusal after the last attempt. Its outcome is
// unknown if any attempt was sent.
func finalRefusal(ctx context.Context, err error, sent bool) *refuser.Refusal {
	if sent {
		return unknownOutcome(ctx, err).WithRetryAfter(defaultRetryAfter)
	}
	return refuser.New(refuser.BackendUnreachable, "%v", err).WithRetryAfter(defaultRetryAfter)
}

// reasonOf returns the reason under which the retry after err is counted.
func reasonOf(err error) refuser.Reason {
	if forwarder.NotSent(err) {
		return refuser.BackendUnreachable
	}
	return refuser.BackendFailed
}

// addRetries adds a fraction of a retry to the budget after a success.
func (iv *Invoker) addRetries(fraction float64) {
	iv.mu.Lock()
	defer iv.mu.Unlock()
	iv.retryBudget = min(iv.retryBudget+fraction, maxRetryBudget)
}

// takeRetry takes one retry from the budget and reports whether there was one.
func (iv *Invoker) takeRetry() bool {
	iv.mu.Lock()
	defer iv.mu.Unlock()
	if iv.retryBudget < 1 {
		iv.registry.Inc("refusal", string(refuser.RetryBudget))
		return false
	}
	iv.retryBudget--
	return true
}

// sleepJitter sleeps for a random time up to backoff, and reports whether the
// context is still valid.
func (iv *Invoker) sleepJitter(ctx context.Context, backoff time.Duration) bool {
	iv.mu.Lock()
	dn := time.Duration(iv.random.Int64N(int64(backoff) + 1))
	iv.mu.Unlock()
	return waiter.Sleep(ctx, dn)
}
