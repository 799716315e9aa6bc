// Package postponer holds the requests that arrive at a node before it can serve any.
//
// After the loss of all nodes the callers turn to the first ones that accept connections.
// Each of these first reads the configuration, which takes a second or so while the store
// is slow. Requests wait for it, since a caller that is refused may return only once, and
// finds the node as it was. They wait for a bounded time and in bounded number; the rest
// is refused and told to return after as long again as the node has been starting, since
// the end is not known.
//
// # Usage
//
//	po := postponer.New()
//	go func() { readConfiguration(); po.Release() }()
//	if !po.Await(ctx, deadline) {
//		refuse(po.RetryAfter())
//	}
package postponer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultLimit is the number of requests that may wait at once. They are in no queue
	// that bounds them.
	defaultLimit = 1024
	// maxWait is how long a request waits at most. Callers that hear nothing for longer
	// turn to another node.
	maxWait = 1500 * time.Millisecond
	// waitDivisor gives the part of the time to its deadline that a request waits at most,
	// so that its caller can return after a refusal.
	waitDivisor = 3
	// minRetryAfter and maxRetryAfter bound the time after which callers return.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// returnJitter is the part of that time over which callers return, so that those that
	// are refused together do not return together.
	returnJitter = 0.4
)

// Postponer holds requests until it is released. It is safe for concurrent use.
type Postponer struct {
	began    time.Time
	limit    int64
	waiting  atomic.Int64
	released chan struct{}
	once     sync.Once
}

// Option configures a Postponer.
type Option func(*Postponer)

// WithLimit sets the number of requests that may wait at once.
func WithLimit(limit int) Option { return func(po *Postponer) { po.limit = int64(limit) } }

// New returns a Postponer of a node that starts now.
func New(opts ...Option) *Postponer {
	po := &Postponer{began: time.Now(), limit: defaultLimit, released: make(chan struct{})}
	for _, opt := range opts {
		opt(po)
	}
	return po
}

// Release ends all waits, and later calls of Await return at once.
func (po *Postponer) Release() { po.once.Do(func() { close(po.released) }) }

// Await waits until the postponer is released, and reports whether it was. It returns false
// once a request with the deadline has waited for too long, too many wait, or the context
// ends.
func (po *Postponer) Await(ctx context.Context, deadline time.Time) bool {
	select {
	case <-po.released:
		return true
	default:
	}
	defer po.waiting.Add(-1)
	if po.waiting.Add(1) > po.limit {
		return false
	}
	tm := time.NewTimer(min(maxWait, time.Until(deadline)/waitDivisor))
	defer tm.Stop()
	select {
	case <-po.released:
		return true
	case <-tm.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// RetryAfter returns the time after which the caller of a refused request should return.
func (po *Postponer) RetryAfter() time.Duration {
	after := min(max(time.Since(po.began), minRetryAfter), maxRetryAfter)
	return after - time.Duration(returnJitter*rand.Float64()*float64(after))
}
