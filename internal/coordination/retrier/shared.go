package retrier

import (
	"fmt"
	"sync"
	"time"
)

const (
	// spanCount is the number of spans that are counted. A span is the window
	// divided by spanCount-1, so that the counts always cover a whole window.
	spanCount = 50
	// safetyFactor is the fraction of the bound that all nodes together use. A
	// node that has not noticed that another one started or stopped allows a few
	// retries too many.
	safetyFactor = 0.8
	// successorFactor is the fraction of the ratio for the requests of a process whose
	// predecessor may have used the other part within the same window.
	successorFactor = 1 - safetyFactor
)

// Bound is the limit on the retries of all nodes together.
type Bound struct {
	// Window is the length of the sliding window for which the bound holds.
	Window time.Duration
	// Ratio is the number of retries per request in the window.
	Ratio float64
	// Slack is the number of retries per window in addition to that.
	Slack int
}

// SharedBudget is one node's part of a retry budget that all nodes share. Nodes
// exchange no messages about its use: the ratio applies to the node's own
// requests, and the slack is divided by the number of nodes. A retry counts from
// its reservation until it is sent, and for a window after that. It is safe for
// concurrent use.
type SharedBudget struct {
	mu    sync.Mutex
	bound Bound
	// nodes is the number of nodes that share the budget; 0 means unknown.
	nodes int
	// mayFollow says that an earlier process of the node may have used the budget of the
	// first window.
	mayFollow bool
	byKey     map[string]*series
	// started is the time at which span 0 begins.
	started time.Time
}

// series counts the requests and retries of each span in the window. The counts
// of a span are at its number modulo spanCount.
type series struct {
	requests [spanCount]int
	retries  [spanCount]int
	// reserved counts the retries that are not sent yet.
	reserved int
	// lastSpan is the number of the newest span, counted from the start.
	lastSpan int64
}

// BudgetOption configures a SharedBudget.
type BudgetOption func(*SharedBudget)

// WithPredecessor is for a process that may follow an earlier one of its node, of which
// it knows nothing. It has no part of the slack for the length of the window, nor before
// SetNodes was called, and a small part of the ratio for that long. However often a node
// restarts, its processes together keep within its part of the bound.
func WithPredecessor() BudgetOption {
	return func(sh *SharedBudget) { sh.mayFollow, sh.nodes = true, 0 }
}

// NewSharedBudget returns a budget without recorded requests.
func NewSharedBudget(bound Bound, now time.Time, opts ...BudgetOption) *SharedBudget {
	sh := &SharedBudget{bound: bound, nodes: 1, byKey: map[string]*series{}, started: now}
	for _, opt := range opts {
		opt(sh)
	}
	return sh
}

// SetPredecessor sets whether an earlier process of the node may have used the budget of
// the first window.
func (sh *SharedBudget) SetPredecessor(possible bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.mayFollow = possible
}

// SetNodes sets the number of nodes that share the budget.
func (sh *SharedBudget) SetNodes(nodes int) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.nodes = max(nodes, 1)
}

// SetBound sets the ratio and the slack of the bound. The window doesn't
// change.
func (sh *SharedBudget) SetBound(bound Bound) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.bound.Ratio, sh.bound.Slack = bound.Ratio, bound.Slack
}

// Arrived counts a request for the key, which names the protected resource.
func (sh *SharedBudget) Arrived(key string, now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sr := sh.series(key, now)
	sr.requests[sr.lastSpan%spanCount]++
}

// Take reports whether a retry for the key may be sent now, and counts it if
// so.
func (sh *SharedBudget) Take(key string, now time.Time) bool {
	if !sh.Reserve(key, now) {
		return false
	}
	sh.Sent(key, now)
	return true
}

// Reserve reports whether a retry for the key may be sent later. If so, it counts until
// Release, or for a window from Sent.
func (sh *SharedBudget) Reserve(key string, now time.Time) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sr := sh.series(key, now)
	if requests, retries := sr.sums(); float64(retries+1) > sh.allowed(requests, now) {
		return false
	}
	sr.reserved++
	return true
}

// Sent records that a reserved retry is sent now.
func (sh *SharedBudget) Sent(key string, now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sr := sh.series(key, now)
	sr.reserved--
	sr.retries[sr.lastSpan%spanCount]++
}

// Release records that a reserved retry is not sent.
func (sh *SharedBudget) Release(key string, now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.series(key, now).reserved--
}

// Usage is what a key has used of its budget in the window.
type Usage struct {
	// Requests and Retries are the node's requests and retries.
	Requests, Retries int
	// Allowed is how many retries the node may send for that many requests.
	Allowed float64
	// Nodes is the number of nodes that share the budget.
	Nodes int
	// Age is how long the budget has been counting.
	Age time.Duration
}

// String returns the usage for a log line.
func (us Usage) String() string {
	return fmt.Sprintf("%d of %.1f retries for %d requests, nodes %d, counting for %v", us.Retries, us.Allowed, us.Requests, us.Nodes, us.Age.Round(time.Millisecond))
}

// Usage returns what the key has used.
func (sh *SharedBudget) Usage(key string, now time.Time) Usage {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	requests, retries := sh.series(key, now).sums()
	return Usage{Requests: requests, Retries: retries, Allowed: sh.allowed(requests, now), Nodes: sh.nodes, Age: now.Sub(sh.started)}
}

// Remaining returns the number of retries that the key may have now.
func (sh *SharedBudget) Remaining(key string, now time.Time) int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	requests, retries := sh.series(key, now).sums()
	return max(int(sh.allowed(requests, now))-retries, 0)
}

// allowed returns the number of retries in the window that ends now, with the number of
// requests in it.
func (sh *SharedBudget) allowed(requests int, now time.Time) float64 {
	byRatio := sh.bound.Ratio * float64(requests)
	switch {
	case sh.mayFollow && now.Sub(sh.started) < sh.bound.Window:
		return successorFactor * byRatio
	case sh.nodes == 0:
		return safetyFactor * byRatio
	}
	return safetyFactor * (byRatio + float64(sh.bound.Slack)/float64(sh.nodes))
}

// series returns the key's counts, with the spans that have expired set to 0.
func (sh *SharedBudget) series(key string, now time.Time) *series {
	span := int64(now.Sub(sh.started) / max(sh.bound.Window/(spanCount-1), time.Millisecond))
	sr, ok := sh.byKey[key]
	if !ok {
		sr = &series{lastSpan: span}
		sh.byKey[key] = sr
	}
	for steps := 0; sr.lastSpan < span && steps < spanCount; steps++ {
		sr.lastSpan++
		sr.requests[sr.lastSpan%spanCount], sr.retries[sr.lastSpan%spanCount] = 0, 0
	}
	sr.lastSpan = max(sr.lastSpan, span)
	return sr
}

// sums returns the requests and retries in the window, with the reserved retries.
func (sr *series) sums() (requests, retries int) {
	retries = sr.reserved
	for ix := range spanCount {
		requests += sr.requests[ix]
		retries += sr.retries[ix]
	}
	return requests, retries
}
