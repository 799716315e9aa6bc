// Package retrier decides whether a failed request may be sent again, and when.
//
// Three bounds hold for one node: the retries never exceed a share of the
// successful traffic, they never exceed that share of any window of
// consecutive sendings, and a request whose sendings killed servers is not
// sent again, also when its caller repeats it.
//
// # Usage
//
//	bd := retrier.NewBudget()
//	bd.Sent()             // before the first sending of a request
//	bd.Succeeded(share)   // after a whole answer
//	if bd.Take(share) {   // before a retry
//		wait(retrier.Backoff(settings.Retries(), retry, random))
//	}
//
// The package holds no clock: the time is a parameter.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// windowSendings is the length of the window in which the share of retries
	// is bounded.
	windowSendings = 200
	// maxCredit bounds the retries that can be saved up.
	maxCredit = 20.0
)

// Budget is the retry budget of one node. It may be used by any goroutine.
type Budget struct {
	mu      sync.Mutex
	credit  float64
	window  [windowSendings]bool
	at      int
	retries int
}

// NewBudget returns a budget that has seen no traffic and allows no retry.
func NewBudget() *Budget { return &Budget{} }

// Sent counts the first sending of a request.
func (bd *Budget) Sent() {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.push(false)
}

// Succeeded adds the share of one whole answer to the credit.
func (bd *Budget) Succeeded(share float64) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.credit = min(bd.credit+share, maxCredit)
}

// Take reports whether a retry may be sent now, and counts it if so.
func (bd *Budget) Take(share float64) bool {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	// Of the sendings in a window, share/(1+share) are that share of the rest.
	allowed := int(windowSendings * share / (1 + share))
	inWindow := bd.retries
	if bd.window[bd.at] {
		inWindow--
	}
	if bd.credit < 1 || inWindow >= allowed {
		return false
	}
	bd.credit--
	bd.push(true)
	return true
}

// push replaces the oldest sending of the window.
func (bd *Budget) push(retry bool) {
	if bd.window[bd.at] {
		bd.retries--
	}
	if retry {
		bd.retries++
	}
	bd.window[bd.at] = retry
	bd.at = (bd.at + 1) % windowSendings
}

// Backoff returns the delay before a retry, counted from one: it doubles with
// each retry up to a limit, and a random half of it is taken off.
func Backoff(rt *configurer.Retries, retry int, random *rand.Rand) time.Duration {
	delay := rt.Backoff()
	for range retry - 1 {
		delay = min(2*delay, rt.MaxBackoff())
	}
	delay = min(delay, rt.MaxBackoff())
	half := delay / 2
	return half + time.Duration(random.Int64N(int64(half)+1))
}
