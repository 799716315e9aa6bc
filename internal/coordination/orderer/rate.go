package orderer

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

const (
	// loadBurst is the number of loads that may start at once after an idle
	// time. The weight store allows this many beyond its rate in any window.
	loadBurst = 3.0
	// minWait prevents a busy wait for a token when the delay rounds to zero.
	minWait = 5 * time.Millisecond
)

// RateTokens limits the loads of the only node that sends orders: the rate of
// model loads, and the concurrent loads of models and of adapters.
type RateTokens struct {
	*LocalTokens
	mu         sync.Mutex
	rate       float64 // loads per second
	tokens     float64
	refilledAt time.Time
}

// NewRateTokens returns tokens for a number of loads per second. It starts
// without tokens because the previous leader may just have used all of them.
func NewRateTokens(loadsPerSecond float64, loadsAtOnce, adaptersAtOnce int, now time.Time) *RateTokens {
	return &RateTokens{
		LocalTokens: NewLocalTokens(loadsAtOnce, adaptersAtOnce),
		rate:        loadsPerSecond,
		refilledAt:  now,
	}
}

// Take implements Tokens.
func (rt *RateTokens) Take(ctx context.Context, limit string) (func(), error) {
	release, err := rt.LocalTokens.Take(ctx, limit)
	if err != nil || limit != LimitWeightStore {
		return release, err
	}
	for {
		wait := rt.takeOrDelay(time.Now())
		if wait == 0 {
			return release, nil
		}
		if !waiter.Sleep(ctx, wait) {
			release()
			return nil, errors.Wrap(ctx.Err(), "wait for a token of the weight store's rate limit")
		}
	}
}

// takeOrDelay takes a token and returns 0, or returns the time until the next
// token.
func (rt *RateTokens) takeOrDelay(now time.Time) time.Duration {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.tokens = min(loadBurst, rt.tokens+now.Sub(rt.refilledAt).Seconds()*rt.rate)
	rt.refilledAt = now
	if rt.tokens >= 1 {
		rt.tokens--
		return 0
	}
	missing := (1 - rt.tokens) / rt.rate
	return max(time.Duration(missing*float64(time.Second)), minWait)
}
