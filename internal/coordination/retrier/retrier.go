// Package retrier decides whether a failed request may be sent again, and when.
//
// Three limits hold for one node: retries never exceed a share of the
// successful requests, they never exceed that share of the other attempts in
// any window of consecutive attempts, and a request whose attempts crashed
// servers is not sent again, not even when its caller repeats it.
//
// # Usage
//
//	bd := retrier.NewBudget()
//	bd.Sent()             // before the first attempt of a request
//	bd.Succeeded(share)   // after a complete response
//	if bd.Take(share) {   // before a retry
//		wait(retrier.Backoff(settings.Retries(), retry, random))
//	}
//
// A bound on the retries of all nodes together takes a SharedBudget instead:
//
//	sb := retrier.NewSharedBudget(bound, now, retrier.WithPredecessor())
//	sb.Arrived("pool", now)          // a request
//	if sb.Reserve("pool", now) {     // before a retry, which may wait
//		sb.Sent("pool", now)     // or Release, if it is not sent
//	}
//
// The package reads no clock: the current time is a parameter.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// windowAttempts is the number of attempts in the window in which the share of
	// retries is limited.
	windowAttempts = 200
	// maxCredit is the largest number of unused retries that accumulate.
	maxCredit = 20.0
)

// Budget is the retry budget of one node. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// credit is the number of retries that the successful requests allow.
	credit float64
	// window is a ring of the last attempts; true marks a retry.
	window [windowAttempts]bool
	// next is the index of the oldest attempt in window.
	next int
	// retries is the number of retries in window.
	retries int
}

// NewBudget returns a budget without recorded requests. It allows no retry.
func NewBudget() *Budget { return &Budget{} }

// Sent counts the first attempt of a request.
func (bd *Budget) Sent() {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.record(false)
}

// Succeeded counts a complete response, which adds share retries to the credit.
func (bd *Budget) Succeeded(share float64) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.credit = min(bd.credit+share, maxCredit)
}

// Take reports whether a retry may be sent now, and counts it if so.
func (bd *Budget) Take(share float64) bool {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	// Retries are share of the other attempts, so share/(1+share) of all attempts.
	allowed := int(windowAttempts * share / (1 + share))
	inWindow := bd.retries
	if bd.window[bd.next] {
		inWindow--
	}
	if bd.credit < 1 || inWindow >= allowed {
		return false
	}
	bd.credit--
	bd.record(true)
	return true
}

// record replaces the oldest attempt in the window.
func (bd *Budget) record(retry bool) {
	if bd.window[bd.next] {
		bd.retries--
	}
	if retry {
		bd.retries++
	}
	bd.window[bd.next] = retry
	bd.next = (bd.next + 1) % windowAttempts
}

// Backoff returns the delay before the given retry, counted from 1. The delay
// doubles with each retry up to a limit; the jitter takes off up to half of it.
func Backoff(rt *configurer.Retries, retry int, random *rand.Rand) time.Duration {
	delay := rt.Backoff()
	for range retry - 1 {
		delay = min(2*delay, rt.MaxBackoff())
	}
	delay = min(delay, rt.MaxBackoff())
	half := delay / 2
	return half + time.Duration(random.Int64N(int64(half)+1))
}
