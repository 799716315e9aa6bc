// Package waiter waits for a time or for the end of a context.
//
// # Usage
//
//	if !waiter.Sleep(ctx, backoff) {
//		return ctx.Err()
//	}
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
