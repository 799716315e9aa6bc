package router

import (
	"math/rand/v2"
	"time"
)

// Costs of a target beside the time that its engine takes to the first token.
const (
	// fullCost is the cost of a server with all of its slots taken: running
	// requests slow each other down long before.
	fullCost = 150 * time.Millisecond
	// zoneCost makes up for the traffic between availability zones.
	zoneCost = 3 * time.Millisecond
	// regionCost is the same between regions.
	regionCost = 200 * time.Millisecond
	// adapterCost is the time to order an adapter and to make room for it.
	adapterCost = 40 * time.Millisecond
	// busyCost is what a load of weights takes from the requests beside it.
	busyCost = 100 * time.Millisecond
	// pausedStreams is the number of running streams whose pauses weigh as much
	// as the wait of the request whose prompt is read.
	pausedStreams = 8
	// tieRange is the range within which nodes choose differently, so that
	// they do not all choose the same server.
	tieRange = 4 * time.Millisecond
)

// Quickest takes the candidate at which the first token is expected soonest,
// by the prompts that are still to be read there and by the part of the own
// prompt that the server does not hold. It answers loads of long prompts, under
// which the reading and not the number of requests is what a server runs out of.
type Quickest struct{ random *rand.Rand }

// NewQuickest returns a policy that draws from random between candidates that
// are about as good.
func NewQuickest(random *rand.Rand) *Quickest { return &Quickest{random: random} }

// Choose implements Policy.
func (qu *Quickest) Choose(rq *Request, candidates []*Target, _ time.Time) *Target {
	if len(candidates) == 0 {
		return nil
	}
	var best *Target
	var least time.Duration
	start := qu.random.IntN(len(candidates))
	for ix := range min(len(candidates), scanLimit) {
		tg := candidates[(start+ix)%len(candidates)]
		if !rq.allowed(tg) {
			continue
		}
		weight := rq.weight(tg)
		if weight <= 0 || weight < 1 && qu.random.Float64() >= weight {
			continue
		}
		cost := rq.expected(tg) + time.Duration(qu.random.Int64N(int64(tieRange)))
		if best == nil || cost < least {
			best, least = tg, cost
		}
	}
	return best
}

// expected returns the time to the first token on the target, and what else
// speaks against it as time.
func (rq *Request) expected(tg *Target) time.Duration {
	reading := rq.reading(tg)
	cost := tg.Load.Backlog() + reading + time.Duration(tg.Pressure()*float64(fullCost))
	// While a prompt is read, the streams that run beside it get their tokens
	// late.
	cost += reading * time.Duration(tg.Load.Total()) / pausedStreams
	switch {
	case rq.Region != "" && tg.Region != "" && rq.Region != tg.Region:
		cost += regionCost
	case rq.Zone != tg.Zone:
		cost += zoneCost
	}
	if tg.Loading {
		cost += busyCost
	}
	if rq.Adapter != "" && !tg.Adapters[rq.Adapter] {
		cost += adapterCost
	}
	return cost
}

// reading returns the time in which the target reads what it does not hold of
// the prompt.
func (rq *Request) reading(tg *Target) time.Duration {
	if rq.Reading == nil {
		return 0
	}
	return rq.Reading(rq.Unread(tg))
}

// Unread returns the tokens of the prompt that the target does not hold.
func (rq *Request) Unread(tg *Target) int {
	if tg.Prefixes == nil || len(rq.PrefixTokens) < len(rq.Prefixes) {
		return rq.PromptTokens
	}
	held := max(tg.Prefixes.Held(rq.Prefixes), rq.Common)
	if held == 0 {
		return rq.PromptTokens
	}
	return max(rq.PromptTokens-rq.PrefixTokens[held-1], 0)
}

// Use is what one node has on one server.
type Use struct {
	// Requests counts the node's requests.
	Requests int
	// Backlog is the time in which their prompts will be read.
	Backlog time.Duration
}
