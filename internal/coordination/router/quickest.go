package router

import (
	"math/rand/v2"
	"time"
)

// Costs of a target in addition to its prefill times.
const (
	// fullLoadCost is the cost of a server with all slots in use. A partial
	// load costs its fraction of it, since requests slow each other down long
	// before all slots are in use.
	fullLoadCost = 150 * time.Millisecond
	// zoneCost is the cost of traffic to another availability zone.
	zoneCost = 3 * time.Millisecond
	// regionCost is the cost of traffic to another region.
	regionCost = 200 * time.Millisecond
	// adapterCost is the time to order the load of an adapter and to evict
	// others for it.
	adapterCost = 40 * time.Millisecond
	// weightLoadCost is the slowdown of requests while weights are loaded.
	weightLoadCost = 100 * time.Millisecond
	// pausedStreams is the number of running streams whose pauses weigh as much
	// as the wait of the request that is in prefill.
	pausedStreams = 8
	// tieJitter is the maximum random cost, so that nodes do not all choose the
	// same one of several similar servers.
	tieJitter = 4 * time.Millisecond
)

// Quickest is a Policy that chooses the candidate with the earliest expected
// first token, given the server's backlog of prompts and the part of this
// prompt that it does not cache. It suits long prompts, where a server is
// limited by prefill and not by the number of requests.
type Quickest struct{ random *rand.Rand }

// NewQuickest returns a policy that uses random to choose between candidates of
// similar cost.
func NewQuickest(random *rand.Rand) *Quickest { return &Quickest{random: random} }

// Choose implements Policy.
func (qu *Quickest) Choose(rq *Request, candidates []*Target, now time.Time) *Target {
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
		cost := rq.expectedFirstToken(tg) + time.Duration(tg.Load.failures.decayed(now)*float64(failureCost)) + time.Duration(qu.random.Int64N(int64(tieJitter)))
		if best == nil || cost < least {
			best, least = tg, cost
		}
	}
	return best
}

// expectedFirstToken returns the expected time to the first token on the target
// plus the other costs of the target.
func (rq *Request) expectedFirstToken(tg *Target) time.Duration {
	prefillTime := time.Duration(float64(rq.prefillTime(tg)) * tg.Load.Slowdown())
	cost := tg.Load.Backlog() + prefillTime + rq.transferTime(tg) + time.Duration(tg.Pressure()*float64(fullLoadCost))
	// Prefill delays the tokens of the streams that run beside it.
	cost += prefillTime * time.Duration(tg.Load.Total()) / pausedStreams
	switch {
	case rq.Region != "" && tg.Region != "" && rq.Region != tg.Region:
		cost += regionCost
	case rq.Zone != tg.Zone:
		cost += zoneCost
	}
	if tg.Loading {
		cost += weightLoadCost
	}
	if rq.Adapter != "" && !rq.hasAdapter(tg) {
		cost += adapterCost
	}
	return cost
}

// prefillTime returns the prefill time of the part of the prompt that the
// target does not cache.
func (rq *Request) prefillTime(tg *Target) time.Duration {
	if rq.PrefillTime == nil {
		return 0
	}
	return rq.PrefillTime(rq.UncachedTokens(tg))
}

// UncachedTokens returns the number of prompt tokens that the target neither caches
// nor fetches from another target.
func (rq *Request) UncachedTokens(tg *Target) int {
	if tg.Prefixes == nil || len(rq.PrefixTokens) < len(rq.Prefixes) {
		return rq.PromptTokens
	}
	held := max(tg.Prefixes.Held(rq.Prefixes), rq.CommonBlocks)
	if rq.Fetches(tg) {
		held = max(held, rq.HeldElsewhere)
	}
	return max(rq.PromptTokens-rq.tokensOf(held), 0)
}

// minFetchGain is how much sooner than prefill a fetch must provide cached tokens. A
// fetch takes some milliseconds to begin and moves a gigabyte for some thousand tokens.
const minFetchGain = 20 * time.Millisecond

// Fetches reports whether the target should fetch the start of the prompt from the
// candidate that caches most of it.
func (rq *Request) Fetches(tg *Target) bool {
	tokens := rq.fetchedTokens(tg)
	if tokens == 0 || rq.TransferTime == nil || rq.PrefillTime == nil {
		return false
	}
	return rq.PrefillTime(tokens)-rq.TransferTime(tokens) >= minFetchGain
}

// fetchedTokens returns the number of tokens that some candidate caches beyond what
// the target does.
func (rq *Request) fetchedTokens(tg *Target) int {
	if tg.Prefixes == nil || rq.HeldElsewhere == 0 || len(rq.PrefixTokens) < len(rq.Prefixes) {
		return 0
	}
	return max(rq.tokensOf(rq.HeldElsewhere)-rq.tokensOf(tg.Prefixes.Held(rq.Prefixes)), 0)
}

// transferTime returns the time of the target's fetch of cached tokens.
func (rq *Request) transferTime(tg *Target) time.Duration {
	if !rq.Fetches(tg) {
		return 0
	}
	return rq.TransferTime(rq.fetchedTokens(tg))
}

// tokensOf returns the number of tokens in a number of leading blocks.
func (rq *Request) tokensOf(blocks int) int {
	if blocks == 0 {
		return 0
	}
	return rq.PrefixTokens[blocks-1]
}

// Use is one node's use of one server.
type Use struct {
	// Requests is the number of the node's in-flight requests.
	Requests int
	// Backlog is the prefill time of those that wait for their first token.
	Backlog time.Duration
	// Prefill is the fraction of its time that the server spends on the node's
	// prompts.
	Prefill float64
	// Slowness is the time to the first token there relative to the expected
	// one; zero if the node had no answer lately.
	Slowness float64
}

// Add returns the sum of the use and another one, without their slowness.
func (us Use) Add(other Use) Use {
	us.Requests += other.Requests
	us.Backlog += other.Backlog
	us.Prefill += other.Prefill
	return us
}
