package orderer

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

const (
	// loadBurst is how many loads may begin at once after a time without any:
	// the weight store allows as many beyond its rate in any window.
	loadBurst = 3.0
	// leastWait keeps rounding from making the wait for a token a busy one.
	leastWait = 5 * time.Millisecond
)

// RateTokens limits what the only node that sends orders does: loads at once
// and by rate, and adapters at once.
type RateTokens struct {
	*LocalTokens
	mu     sync.Mutex
	rate   float64
	tokens float64
	filled time.Time
}

// NewRateTokens returns tokens for a number of loads a second. It begins with
// none: an earlier node may just have used up all.
func NewRateTokens(loadsPerSecond float64, loadsAtOnce, adaptersAtOnce int, now time.Time) *RateTokens {
	return &RateTokens{
		LocalTokens: NewLocalTokens(loadsAtOnce, adaptersAtOnce),
		rate:        loadsPerSecond,
		filled:      now,
	}
}

// Take implements Tokens.
func (rt *RateTokens) Take(ctx context.Context, limit string) (func(), error) {
	release, err := rt.LocalTokens.Take(ctx, limit)
	if err != nil || limit != LimitWeightStore {
		return release, err
	}
	for {
		wait := rt.draw(time.Now())
		if wait == 0 {
			return release, nil
		}
		if !waiter.Sleep(ctx, wait) {
			release()
			return nil, errors.Wrap(ctx.Err(), "wait for the rate of the weight store")
		}
	}
}

// draw takes a token, or returns the time until there is one.
func (rt *RateTokens) draw(now time.Time) time.Duration {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.tokens = min(loadBurst, rt.tokens+now.Sub(rt.filled).Seconds()*rt.rate)
	rt.filled = now
	if rt.tokens >= 1 {
		rt.tokens--
		return 0
	}
	missing := (1 - rt.tokens) / rt.rate
	return max(time.Duration(missing*float64(time.Second)), leastWait)
}
