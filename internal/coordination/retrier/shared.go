package retrier

import (
	"sync"
	"time"
)

const (
	// spans is the number of parts that a window is counted in.
	spans = 20
	// sharePart is the part of the bound that all nodes together use: nodes
	// that do not see each other's start and end count a few too many.
	sharePart = 0.8
)

// Bound is what all nodes together may repeat.
type Bound struct {
	// Window is the sliding time for which the bound holds.
	Window time.Duration
	// Ratio is the repeated sendings as a part of the requests in the window.
	Ratio float64
	// Slack is the repeated sendings beyond that part.
	Slack int
}

// Shared is one node's part of a retry budget that all nodes share without
// telling each other of its use: the ratio holds for the node's own requests,
// and the slack is divided by the number of nodes. It may be used by any
// goroutine.
type Shared struct {
	mu      sync.Mutex
	bound   Bound
	nodes   int
	keyed   map[string]*series
	started time.Time
}

// series counts requests and repeated sendings by span.
type series struct {
	requests [spans]int
	repeats  [spans]int
	at       int64
}

// NewShared returns a budget that has seen no traffic.
func NewShared(bound Bound, now time.Time) *Shared {
	return &Shared{bound: bound, nodes: 1, keyed: map[string]*series{}, started: now}
}

// SetNodes sets the number of nodes that share the budget.
func (sh *Shared) SetNodes(nodes int) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.nodes = max(nodes, 1)
}

// SetBound sets what all nodes together may repeat. The window stays.
func (sh *Shared) SetBound(bound Bound) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.bound.Ratio, sh.bound.Slack = bound.Ratio, bound.Slack
}

// Arrived counts a request for the key, which names what is protected.
func (sh *Shared) Arrived(key string, now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sr := sh.series(key, now)
	sr.requests[sr.at%spans]++
}

// Take reports whether a request may be sent once more, and counts it if so.
func (sh *Shared) Take(key string, now time.Time) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sr := sh.series(key, now)
	if requests, repeats := sr.sums(); float64(repeats+1) > sh.allowed(requests) {
		return false
	}
	sr.repeats[sr.at%spans]++
	return true
}

// Left returns how many repeated sendings the key may have now.
func (sh *Shared) Left(key string, now time.Time) int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	requests, repeats := sh.series(key, now).sums()
	return max(int(sh.allowed(requests))-repeats, 0)
}

// allowed returns the repeated sendings that go with a number of requests.
func (sh *Shared) allowed(requests int) float64 {
	return sharePart * (sh.bound.Ratio*float64(requests) + float64(sh.bound.Slack)/float64(sh.nodes))
}

// series returns the key's counts, brought up to the time now.
func (sh *Shared) series(key string, now time.Time) *series {
	span := int64(now.Sub(sh.started) / max(sh.bound.Window/(spans-1), time.Millisecond))
	sr, ok := sh.keyed[key]
	if !ok {
		sr = &series{at: span}
		sh.keyed[key] = sr
	}
	for steps := 0; sr.at < span && steps < spans; steps++ {
		sr.at++
		sr.requests[sr.at%spans], sr.repeats[sr.at%spans] = 0, 0
	}
	sr.at = max(sr.at, span)
	return sr
}

func (sr *series) sums() (requests, repeats int) {
	for ix := range spans {
		requests += sr.requests[ix]
		repeats += sr.repeats[ix]
	}
	return requests, repeats
}
