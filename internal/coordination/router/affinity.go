package router

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Costs in units of pressure: 1 is a server with all of its slots taken.
const (
	otherZoneCost   = 0.05
	otherRegionCost = 2.0
	adapterMissCost = 0.10
	prefixMissCost  = 0.25
	loadingCost     = 0.50
)

// affinityDraws is how many candidates are compared at random.
const affinityDraws = 2

// recentPrefixes bounds the memory of where prefixes went.
const recentPrefixes = 8192

// place is where a prefix went: a server and its index among the candidates of
// its model. After the candidates changed, a wrong index makes it a miss.
type place struct {
	name  string
	index int
}

// Affinity compares a few candidates by pressure, by the prompt's leading
// blocks that they hold, by adapters, by what they are loading and by distance.
type Affinity struct {
	random *rand.Rand
	nodes  func() int
	recent *lru[uint64, place]
}

// NewAffinity returns a policy that draws from random and knows by nodes how
// many nodes choose among the same servers.
func NewAffinity(random *rand.Rand, nodes func() int) *Affinity {
	return &Affinity{random: random, nodes: nodes, recent: newLRU[uint64, place](recentPrefixes)}
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
		chosen = level(best, second, cost(rq, best), cost(rq, second), af.nodes(), now, af.random)
	}
	af.remember(rq, candidates, chosen)
	return chosen
}

// bestTwo returns the two candidates of least score among the drawn ones and
// the one where the longest known prefix went.
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
	consider(af.holder(rq, candidates))
	draws := min(affinityDraws, len(candidates))
	for range draws {
		consider(draw(rq, candidates, af.random, best))
	}
	if second != nil && second.Loading && !best.Loading {
		second = nil
	}
	return best, second
}

// holder returns the candidate to which this node last sent the longest known
// prefix of the prompt.
func (af *Affinity) holder(rq *Request, candidates []*Target) *Target {
	for ix := len(rq.Prefixes) - 1; ix >= 0; ix-- {
		pc, ok := af.recent.get(rq.Prefixes[ix])
		if !ok || pc.index >= len(candidates) {
			continue
		}
		if tg := candidates[pc.index]; tg.Name == pc.name && !tg.Loading && rq.allowed(tg) && rq.weight(tg) >= 1 {
			return tg
		}
	}
	return nil
}

func (af *Affinity) remember(rq *Request, candidates []*Target, tg *Target) {
	if len(rq.Prefixes) == 0 {
		return
	}
	pc := place{name: tg.Name, index: slices.Index(candidates, tg)}
	for _, hash := range rq.Prefixes {
		af.recent.put(hash, pc)
	}
	if tg.Prefixes != nil {
		tg.Prefixes.Sent(rq.Prefixes)
	}
}

// cost returns what speaks against the target besides its pressure.
func cost(rq *Request, tg *Target) float64 {
	sum := distance(rq, tg)
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

func distance(rq *Request, tg *Target) float64 {
	switch {
	case rq.Region != "" && tg.Region != "" && rq.Region != tg.Region:
		return otherRegionCost
	case rq.Zone != tg.Zone:
		return otherZoneCost
	}
	return 0
}
