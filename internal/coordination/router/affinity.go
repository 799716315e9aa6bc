package router

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Costs in units of pressure, where 1 is a server with all slots in use.
const (
	otherZoneCost   = 0.05
	otherRegionCost = 2.0
	adapterMissCost = 0.10
	prefixMissCost  = 0.25
	loadingCost     = 0.50
)

// affinityDraws is the number of random candidates that are compared.
const affinityDraws = 2

// maxRecentPrefixes is the number of prefixes whose last server is kept.
const maxRecentPrefixes = 8192

// prefixLocation is the server that a prefix was last sent to, with its index
// among the candidates of its model. If the candidates have changed and the
// index is wrong, the lookup is a miss.
type prefixLocation struct {
	name  string
	index int
}

// Affinity is a Policy that compares a few candidates by pressure, cached
// prefixes of the prompt, ready adapters, model loads in progress and distance.
type Affinity struct {
	random *rand.Rand
	// nodes returns the number of nodes that use the same servers.
	nodes func() int
	// recent maps the hash of a prefix to where this node last sent it.
	recent *lru[uint64, prefixLocation]
}

// NewAffinity returns a policy that draws from random. nodes returns the number
// of nodes that choose among the same servers.
func NewAffinity(random *rand.Rand, nodes func() int) *Affinity {
	return &Affinity{random: random, nodes: nodes, recent: newLRU[uint64, prefixLocation](maxRecentPrefixes)}
}

// Choose implements Policy.
func (af *Affinity) Choose(rq *Request, candidates []*Target, now time.Time) *Target {
	if len(candidates) == 0 {
		return nil
	}
	best, second := af.bestTwo(rq, candidates)
	if best == nil {
		return nil
	}
	chosen := best
	if second != nil {
		chosen = balance(best, second, cost(rq, best), cost(rq, second), af.nodes(), now, af.random)
	}
	af.recordPrefixes(rq, candidates, chosen)
	return chosen
}

// bestTwo returns the two candidates with the lowest score among the drawn ones
// and the holder of the longest known prefix.
func (af *Affinity) bestTwo(rq *Request, candidates []*Target) (best, second *Target) {
	var bestScore, secondScore float64
	consider := func(tg *Target) {
		if tg == nil || tg == best || tg == second {
			return
		}
		score := tg.Pressure() + cost(rq, tg)
		switch {
		case best == nil || score < bestScore:
			best, second, bestScore, secondScore = tg, best, score, bestScore
		case second == nil || score < secondScore:
			second, secondScore = tg, score
		}
	}
	consider(af.prefixHolder(rq, candidates))
	draws := min(affinityDraws, len(candidates))
	for range draws {
		consider(draw(rq, candidates, af.random, best))
	}
	if second != nil && second.Loading && !best.Loading {
		second = nil
	}
	return best, second
}

// prefixHolder returns the candidate to which this node last sent the longest
// known prefix of the prompt, or nil.
func (af *Affinity) prefixHolder(rq *Request, candidates []*Target) *Target {
	for ix := len(rq.Prefixes) - 1; ix >= 0; ix-- {
		lc, ok := af.recent.get(rq.Prefixes[ix])
		if !ok || lc.index >= len(candidates) {
			continue
		}
		if tg := candidates[lc.index]; tg.Name == lc.name && !tg.Loading && rq.allowed(tg) && rq.weight(tg) >= 1 {
			return tg
		}
	}
	return nil
}

func (af *Affinity) recordPrefixes(rq *Request, candidates []*Target, tg *Target) {
	if len(rq.Prefixes) == 0 {
		return
	}
	lc := prefixLocation{name: tg.Name, index: slices.Index(candidates, tg)}
	for _, hash := range rq.Prefixes {
		af.recent.put(hash, lc)
	}
	if tg.Prefixes != nil {
		tg.Prefixes.Sent(rq.Prefixes)
	}
}

// cost returns the costs of the target other than its pressure.
func cost(rq *Request, tg *Target) float64 {
	sum := distanceCost(rq, tg)
	if tg.Loading {
		sum += loadingCost
	}
	if rq.Adapter != "" && !tg.Adapters[rq.Adapter] {
		sum += adapterMissCost
	}
	if len(rq.Prefixes) > 0 {
		held := 0
		if tg.Prefixes != nil {
			held = tg.Prefixes.Held(rq.Prefixes)
		}
		sum += prefixMissCost * float64(len(rq.Prefixes)-held) / float64(len(rq.Prefixes))
	}
	return sum
}

func distanceCost(rq *Request, tg *Target) float64 {
	switch {
	case rq.Region != "" && tg.Region != "" && rq.Region != tg.Region:
		return otherRegionCost
	case rq.Zone != tg.Zone:
		return otherZoneCost
	}
	return 0
}
