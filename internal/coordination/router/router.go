// Package router chooses the backend server for a request.
//
// A Table is an immutable list of the backend servers by model. Each Target has
// a Load, which corrects the stale report of the server by the requests that
// this node and others dispatched since. A Policy chooses among a bounded
// number of candidates, so that a decision costs about the same with ten
// backend servers as with a thousand.
//
// The package does no locking. The admitter owns the loads, calls the policies
// with its lock held, and passes in time and randomness.
//
// # Usage
//
//	tb := router.NewTable(targets, nodes)
//	rq := &router.Request{Model: "route-summary", Zone: "zone-a"}
//	tg := policy.Choose(rq, tb.Candidates(rq.Model), now)
//	if tg != nil {
//		tg.Load.Dispatched(now)
//	}
package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Bounds of the work of one decision.
const (
	// sampleDraws is the number of random draws before the scan.
	sampleDraws = 8
	// scanLimit is the maximum number of candidates that a scan examines.
	scanLimit = 64
)

// Target is the policies' view of one backend server.
type Target struct {
	// Name is the server's name.
	Name string
	// Address is the host and port of the engine.
	Address string
	// Pool is the pool that the server belongs to.
	Pool string
	// Zone is the availability zone.
	Zone string
	// Region is the region, or empty if unknown.
	Region string
	// Slots is the number of requests that the server runs at full speed.
	Slots int
	// Boot identifies the run of the server's process; empty if unknown.
	Boot string
	// CacheTokens is the size of the cache memory that running requests share,
	// in tokens; zero if it is unknown.
	CacheTokens int
	// Software is the version of the server's software; empty if unknown.
	Software string
	// Unsettled says that other nodes may not know of this version yet.
	Unsettled bool
	// Unlisted says that the server's registration is missing, so that it may have left.
	Unlisted bool
	// Role is the phase that the server runs: prefill, decode or both.
	Role configurer.Role
	// Leaving says that the server accepts no new work.
	Leaving bool
	// Loading says that the server is loading a model or adapter.
	Loading bool
	// Models are the models that are ready.
	Models []string
	// Adapters are the adapters that are ready.
	Adapters map[string]bool
	// Load is this node's view of the server's load.
	Load *Load
	// Prefixes is this node's view of the server's prefix cache, or nil.
	Prefixes *PrefixMemory
}

// Pressure returns the corrected load divided by the slots.
func (tg *Target) Pressure() float64 {
	return float64(tg.Load.Total()) / float64(max(tg.Slots, 1))
}

// Request holds the properties of a request that policies use.
type Request struct {
	// Model is the model's name.
	Model string
	// Adapter is the adapter's name, or empty.
	Adapter string
	// HasAdapter reports whether a target is known to have the adapter, although its
	// report may not list it yet; nil means no.
	HasAdapter func(*Target) bool
	// Zone is the node's own availability zone.
	Zone string
	// Region is the node's own region, or empty.
	Region string
	// Prefixes are the hashes of the prompt's leading blocks, the shortest
	// prefix first.
	Prefixes []uint64
	// PromptTokens is the length of the prompt, and PrefixTokens that up to
	// the end of each of the leading blocks.
	PromptTokens int
	PrefixTokens []int
	// CommonBlocks is the number of leading blocks that every server probably
	// caches.
	CommonBlocks int
	// TransferTime returns the time in which a target fetches cached prompt tokens
	// from another one; nil means that targets don't.
	TransferTime func(tokens int) time.Duration
	// HeldElsewhere is the number of leading blocks that some candidate caches.
	HeldElsewhere int
	// PrefillTime returns the prefill time of uncached prompt tokens; nil means
	// no time.
	PrefillTime func(tokens int) time.Duration
	// Avoid names servers on which the request has already failed.
	Avoid []string
	// Eligible reports whether a target can take a request now; nil means
	// that every target can.
	Eligible func(*Target) bool
	// Weight returns the fraction, from 0 to 1, of its usual share of requests
	// that a target gets; nil means 1.
	Weight func(*Target) float64
}

// allowed reports whether the request may go to the target now.
func (rq *Request) allowed(tg *Target) bool {
	if tg.Leaving || slices.Contains(rq.Avoid, tg.Name) {
		return false
	}
	return rq.Eligible == nil || rq.Eligible(tg)
}

// hasAdapter reports whether the target has the adapter that the request needs.
func (rq *Request) hasAdapter(tg *Target) bool {
	return tg.Adapters[rq.Adapter] || rq.HasAdapter != nil && rq.HasAdapter(tg)
}

func (rq *Request) weight(tg *Target) float64 {
	if rq.Weight == nil {
		return 1
	}
	return rq.Weight(tg)
}

// Policy chooses a target for each request.
type Policy interface {
	// Choose returns the target for the request, or nil if none can take it.
	Choose(rq *Request, candidates []*Target, now time.Time) *Target
}

// Table lists the targets by model. It is immutable.
type Table struct {
	targets []*Target
	byName  map[string]*Target
	byModel map[string][]*Target
	// nodes is the number of nodes that send work to the targets.
	nodes int
}

// NewTable returns a table of the targets. nodes is the number of nodes that
// send work to them; a number below 1 counts as 1.
func NewTable(targets []*Target, nodes int) *Table {
	tb := &Table{
		targets: targets,
		byName:  make(map[string]*Target, len(targets)),
		byModel: map[string][]*Target{},
		nodes:   max(nodes, 1),
	}
	for _, tg := range targets {
		tb.byName[tg.Name] = tg
		for _, model := range tg.Models {
			tb.byModel[model] = append(tb.byModel[model], tg)
		}
	}
	return tb
}

// Targets returns all targets. The caller must not modify the slice.
func (tb *Table) Targets() []*Target { return tb.targets }

// Target returns the target of that name.
func (tb *Table) Target(name string) (*Target, bool) {
	tg, ok := tb.byName[name]
	return tg, ok
}

// Candidates returns the targets on which a model is ready. The caller must not
// modify the slice.
func (tb *Table) Candidates(model string) []*Target { return tb.byModel[model] }

// Nodes returns the number of nodes that send work to the targets.
func (tb *Table) Nodes() int { return tb.nodes }

// draw returns a random candidate that may take the request, except exclude, or
// nil. It accepts a target with a weight below 1 with that probability. If
// sampleDraws draws find none, it scans up to scanLimit candidates for one with
// a positive weight. It returns a loading target only if there is no other, so
// that a request doesn't wait for a load that other requests caused.
func draw(rq *Request, candidates []*Target, random *rand.Rand, exclude *Target) *Target {
	for range sampleDraws {
		tg := candidates[random.IntN(len(candidates))]
		if tg != exclude && !tg.Loading && rq.allowed(tg) && random.Float64() < rq.weight(tg) {
			return tg
		}
	}
	start := random.IntN(len(candidates))
	var loading *Target
	for ix := range min(len(candidates), scanLimit) {
		tg := candidates[(start+ix)%len(candidates)]
		if tg == exclude || !rq.allowed(tg) || rq.weight(tg) <= 0 {
			continue
		}
		if !tg.Loading {
			return tg
		}
		loading = tg
	}
	return loading
}
