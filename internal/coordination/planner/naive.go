package planner

import (
	"math"
	"sort"
)

// Fixed is the naive planner that never moves a model.
type Fixed struct{}

// Next implements Policy.
func (Fixed) Next(in Input) *Plan { return in.Current }

// Proportional is the naive planner that gives each model replicas in
// proportion to the demand just seen, at every pass.
type Proportional struct{}

// Next implements Policy.
func (Proportional) Next(in Input) *Plan {
	wk := newWork(in, in.Demand)
	wanted := wk.proportionalReplicas()
	wk.removeSurplus(wanted)
	wk.repair()
	for _, mi := range wk.byDemand() {
		for len(wk.models[mi].replicas) < wanted[mi] {
			si := wk.roomiest(mi)
			if si < 0 {
				break
			}
			wk.put(mi, si)
			wk.servers[si].load += wk.perReplica(mi)
		}
	}
	return wk.plan()
}

// proportionalReplicas divides the memory that the least replicas leave.
func (wk *work) proportionalReplicas() []int {
	total, room := 0.0, int64(0)
	for si := range wk.servers {
		room += wk.servers[si].capacity
	}
	for mi := range wk.models {
		total += wk.models[mi].demand
		room -= int64(wk.models[mi].least) * wk.models[mi].memory
	}
	wanted := make([]int, len(wk.models))
	for mi := range wk.models {
		md := &wk.models[mi]
		part := float64(room) * md.demand / math.Max(total, 1e-9)
		wanted[mi] = min(md.least+int(math.Max(part, 0)/float64(md.memory)), md.most)
	}
	return wanted
}

func (wk *work) removeSurplus(wanted []int) {
	for mi := range wk.models {
		for len(wk.models[mi].replicas) > wanted[mi] {
			last := wk.models[mi].replicas[len(wk.models[mi].replicas)-1]
			wk.take(mi, last.server)
		}
	}
}

func (wk *work) byDemand() []int {
	order := make([]int, len(wk.models))
	for ix := range order {
		order[ix] = ix
	}
	sort.SliceStable(order, func(ix, jx int) bool {
		return wk.models[order[ix]].demand > wk.models[order[jx]].demand
	})
	return order
}
