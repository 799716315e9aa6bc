// Package router chooses the backend server for a request.
//
// A Table is an immutable list of the backend servers by model; each Target of
// it carries a Load, which corrects the lagging report of the server by what
// this node and the others dispatched since. A Policy draws a bounded number
// of candidates and chooses one of them, so that a decision costs about the
// same with ten backend servers as with a thousand.
//
// Nothing here locks: the admitter that owns the loads calls the policies with
// its own lock held, and passes in time and randomness.
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
	// sampleDraws is how many candidates are drawn before the scan.
	sampleDraws = 8
	// scanLimit bounds the candidates that are looked at when no drawn one
	// can take the request.
	scanLimit = 64
)

// Target is one backend server as the policies see it.
type Target struct {
	// Name is the server's name.
	Name string
	// Address is the host and port of the engine.
	Address string
	// Zone is the availability zone.
	Zone string
	// Region is the region, or empty if it is not known.
	Region string
	// Slots is the number of requests that it runs at full speed.
	Slots int
	// Role is the part of a request that the server runs.
	Role configurer.Role
	// Leaving says that the server takes no new work.
	Leaving bool
	// Loading says that a model or adapter is being loaded on the server.
	Loading bool
	// Models are the models that are ready.
	Models []string
	// Adapters are the adapters that are ready.
	Adapters map[string]bool
	// Load is what is known of the server's load.
	Load *Load
	// Prefixes is what is known of the server's prefix cache, or nil.
	Prefixes *PrefixMemory
}

// Pressure returns the corrected load as a part of the slots.
func (tg *Target) Pressure() float64 {
	return float64(tg.Load.Total()) / float64(max(tg.Slots, 1))
}

// Request is what a policy needs to know of a request.
type Request struct {
	// Model is the model's name.
	Model string
	// Adapter is the adapter's name, or empty.
	Adapter string
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
	// Common is how many of the leading blocks every server is thought to hold.
	Common int
	// Reading returns the time in which an engine reads so many tokens of the
	// prompt; nil means that there is nothing to be read.
	Reading func(tokens int) time.Duration
	// Avoid names servers on which the request has already failed.
	Avoid []string
	// Eligible reports whether a target can take a request now; nil means
	// that each can.
	Eligible func(*Target) bool
	// Weight returns the part of its share that a target should get; nil
	// means all of it.
	Weight func(*Target) float64
}

// allowed reports whether the request may go to the target now.
func (rq *Request) allowed(tg *Target) bool {
	if tg.Leaving || slices.Contains(rq.Avoid, tg.Name) {
		return false
	}
	return rq.Eligible == nil || rq.Eligible(tg)
}

func (rq *Request) weight(tg *Target) float64 {
	if rq.Weight == nil {
		return 1
	}
	return rq.Weight(tg)
}

// Policy chooses among candidates.
type Policy interface {
	// Choose returns the target for the request, or nil if none can take it.
	Choose(rq *Request, candidates []*Target, now time.Time) *Target
}

// Table lists the targets by model. It is never changed after it was made.
type Table struct {
	targets []*Target
	byName  map[string]*Target
	byModel map[string][]*Target
	nodes   int
}

// NewTable returns the table of the targets as seen by one of nodes alike.
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

// Targets returns all targets. The slice is shared and may not be changed.
func (tb *Table) Targets() []*Target { return tb.targets }

// Target returns the target of that name.
func (tb *Table) Target(name string) (*Target, bool) {
	tg, ok := tb.byName[name]
	return tg, ok
}

// Candidates returns the targets on which a model is ready. The slice is
// shared and may not be changed.
func (tb *Table) Candidates(model string) []*Target { return tb.byModel[model] }

// Nodes returns the number of nodes that send work to the targets.
func (tb *Table) Nodes() int { return tb.nodes }

// draw returns a random candidate that may take the request. A target with
// less than its full weight is accepted with that probability. If a bounded
// number of draws finds none, a bounded scan takes the first that has any
// weight at all. A target that loads something is taken only if there is no
// other, so that a request doesn't wait for a load that others caused.
func draw(rq *Request, candidates []*Target, random *rand.Rand, not *Target) *Target {
	for range sampleDraws {
		tg := candidates[random.IntN(len(candidates))]
		if tg != not && !tg.Loading && rq.allowed(tg) && random.Float64() < rq.weight(tg) {
			return tg
		}
	}
	start := random.IntN(len(candidates))
	var loading *Target
	for ix := range min(len(candidates), scanLimit) {
		tg := candidates[(start+ix)%len(candidates)]
		if tg == not || !rq.allowed(tg) || rq.weight(tg) <= 0 {
			continue
		}
		if !tg.Loading {
			return tg
		}
		loading = tg
	}
	return loading
}
