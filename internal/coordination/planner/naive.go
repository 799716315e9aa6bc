package planner

import (
	"math"
	"sort"
)

// Fixed is a baseline policy that never moves a model.
type Fixed struct{}

// Next implements Policy.
func (Fixed) Next(in Input) *Plan { return in.Current }

// Proportional is a baseline policy that gives each model replicas in
// proportion to the demand since the last pass, without smoothing.
type Proportional struct{}

// Next implements Policy.
func (Proportional) Next(in Input) *Plan {
	wk := newWorkspace(in, in.Demand)
	wanted := wk.proportionalReplicas()
	wk.removeSurplus(wanted)
	wk.repair()
	for _, mi := range wk.byDemand() {
		for len(wk.models[mi].replicas) < wanted[mi] {
			si := wk.leastLoadedServer(mi)
			if si < 0 {
				break
			}
			wk.place(mi, si)
			wk.servers[si].load += wk.demandPerReplica(mi)
		}
	}
	return wk.plan()
}

// proportionalReplicas returns the number of replicas of each model: the
// minimum, and a part of the remaining memory in proportion to demand.
func (wk *workspace) proportionalReplicas() []int {
	total, available := 0.0, int64(0)
	for si := range wk.servers {
		available += wk.servers[si].capacity
	}
	for mi := range wk.models {
		total += wk.models[mi].demand
		available -= int64(wk.models[mi].minReplicas) * wk.models[mi].memory
	}
	wanted := make([]int, len(wk.models))
	for mi := range wk.models {
		md := &wk.models[mi]
		part := float64(available) * md.demand / math.Max(total, 1e-9)
		wanted[mi] = min(md.minReplicas+int(math.Max(part, 0)/float64(md.memory)), md.maxReplicas)
	}
	return wanted
}

func (wk *workspace) removeSurplus(wanted []int) {
	for mi := range wk.models {
		for len(wk.models[mi].replicas) > wanted[mi] {
			last := wk.models[mi].replicas[len(wk.models[mi].replicas)-1]
			wk.remove(mi, last.server)
		}
	}
}

func (wk *workspace) byDemand() []int {
	order := make([]int, len(wk.models))
	for ix := range order {
		order[ix] = ix
	}
	sort.SliceStable(order, func(ix, jx int) bool {
		return wk.models[order[ix]].demand > wk.models[order[jx]].demand
	})
	return order
}
