// Package waiter waits for a time or for the end of a context.
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

// Sleep waits for the duration and reports false if the context ended first.
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

// Every calls fn once in each interval until the context ends. A call that
// takes longer leaves out those that it overlaps.
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
