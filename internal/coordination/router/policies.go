package router

import (
	"math/rand/v2"
	"time"
)

// RoundRobin is a Policy that chooses the candidates of a model in turn.
type RoundRobin struct {
	next map[string]int
}

// NewRoundRobin returns a policy that starts with the first candidate.
func NewRoundRobin() *RoundRobin { return &RoundRobin{next: map[string]int{}} }

// Choose implements Policy.
func (rr *RoundRobin) Choose(rq *Request, candidates []*Target, _ time.Time) *Target {
	for range candidates {
		tg := candidates[rr.next[rq.Model]%len(candidates)]
		rr.next[rq.Model]++
		if rq.allowed(tg) && rq.weight(tg) > 0 {
			return tg
		}
	}
	return nil
}

// LeastReported is a Policy that chooses the candidate with the lowest load per
// slot in its last report, uncorrected.
type LeastReported struct{}

// Choose implements Policy.
func (LeastReported) Choose(rq *Request, candidates []*Target, _ time.Time) *Target {
	var best *Target
	for _, tg := range candidates {
		if !rq.allowed(tg) || rq.weight(tg) <= 0 {
			continue
		}
		if best == nil || tg.Load.Reported()*best.Slots < best.Load.Reported()*tg.Slots {
			best = tg
		}
	}
	return best
}

// PowerOfTwo is a Policy that draws two candidates and balances their corrected
// loads.
type PowerOfTwo struct {
	random *rand.Rand
	// nodes returns the number of nodes that use the same servers.
	nodes func() int
}

// NewPowerOfTwo returns a policy that draws from random. nodes returns the
// number of nodes that choose among the same servers.
func NewPowerOfTwo(random *rand.Rand, nodes func() int) *PowerOfTwo {
	return &PowerOfTwo{random: random, nodes: nodes}
}

// Choose implements Policy.
func (pt *PowerOfTwo) Choose(rq *Request, candidates []*Target, now time.Time) *Target {
	if len(candidates) == 0 {
		return nil
	}
	one := draw(rq, candidates, pt.random, nil)
	if one == nil || len(candidates) == 1 {
		return one
	}
	two := draw(rq, candidates, pt.random, one)
	if two == nil {
		return one
	}
	return balance(one, two, 0, 0, pt.nodes(), now, pt.random)
}

// balance chooses between two targets so that the choices of all nodes together
// equalise their pressures. If no other node sent anything since the last
// report, it chooses the target with lower pressure. Otherwise nodes that
// choose by the same report would overload one target, so it chooses at random
// with the probability that equalises the pressures once all expected requests
// arrive.
func balance(one, two *Target, extraOne, extraTwo float64, nodes int, now time.Time, random *rand.Rand) *Target {
	slotsOne, slotsTwo := float64(max(one.Slots, 1)), float64(max(two.Slots, 1))
	loadOne := float64(one.Load.Total()) + extraOne*slotsOne
	loadTwo := float64(two.Load.Total()) + extraTwo*slotsTwo
	expectedUnseen := one.Load.expectedUnseen(nodes, now) + two.Load.expectedUnseen(nodes, now)
	gap := slotsOne*loadTwo - slotsTwo*loadOne
	if expectedUnseen > 0 {
		probability := (gap + slotsOne*expectedUnseen) / (expectedUnseen * (slotsOne + slotsTwo))
		if random.Float64() < probability {
			return one
		}
		return two
	}
	if gap > 0 || gap == 0 && random.IntN(2) == 0 {
		return one
	}
	return two
}
