// Package waiter provides sleeps and periodic calls that end with a context.
//
// # Usage
//
//	if !waiter.Sleep(ctx, backoff) {
//		return ctx.Err()
//	}
//	waiter.Every(ctx, time.Second, func() { ... })
package waiter

import (
	"context"
	"time"
)

// Sleep waits for dn and returns true, or returns false if the context ends
// first.
func Sleep(ctx context.Context, dn time.Duration) bool {
	tm := time.NewTimer(dn)
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-tm.C:
		return true
	}
}

// Every calls fn at the end of each interval until the context ends. If a call
// takes longer than the interval, the calls that it delays are dropped.
func Every(ctx context.Context, interval time.Duration, fn func()) {
	tk := time.NewTicker(interval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tk.C:
			fn()
		}
	}
}
