package planner

import "github.com/lagoonpass/lagoonpass/internal/state/configurer"

// Initial returns the first plan. It places the minimum replicas of every
// model, in two zones where memory allows, then fills the rest of the memory
// according to the models' expected shares of demand, because unused memory
// serves no requests.
func Initial(st *configurer.Settings, usable Usable) *Plan {
	wk := newWorkspace(Input{Settings: st, Usable: usable}, expectedDemand(st))
	wk.repair()
	wk.fill()
	return wk.plan()
}

// expectedDemand divides all slots among the models in proportion to their
// shares.
func expectedDemand(st *configurer.Settings) Demand {
	slots, shares := 0.0, 0.0
	for _, bs := range st.BackendServers() {
		slots += float64(bs.Slots())
	}
	for _, md := range st.Models() {
		shares += md.Share()
	}
	demand := Demand{}
	for _, md := range st.Models() {
		demand[md.Name()] = slots * md.Share() / max(shares, 1e-9)
	}
	return demand
}

// fill adds replicas until no more fit, each for the model with the most demand
// per replica.
func (wk *workspace) fill() {
	full := make([]bool, len(wk.models))
	for {
		mi := wk.mostDemandedModel(full)
		if mi < 0 {
			return
		}
		si := wk.leastLoadedServer(mi)
		if si < 0 {
			full[mi] = true
			continue
		}
		wk.place(mi, si)
		wk.servers[si].load += wk.demandPerReplica(mi)
	}
}

// mostDemandedModel returns the model with the most demand per replica among
// those that may have another one, without the models in full. It returns -1 if
// there is none.
func (wk *workspace) mostDemandedModel(full []bool) int {
	best := -1
	for mi := range wk.models {
		md := &wk.models[mi]
		if full[mi] || len(md.replicas) >= md.maxReplicas || md.demand <= 0 {
			continue
		}
		if best < 0 || wk.demandPerReplica(mi) > wk.demandPerReplica(best) {
			best = mi
		}
	}
	return best
}

func (wk *workspace) demandPerReplica(mi int) float64 {
	return wk.models[mi].demand / float64(max(len(wk.models[mi].replicas), 1))
}

// leastLoadedServer returns the least loaded server that the model fits on, or
// -1.
func (wk *workspace) leastLoadedServer(mi int) int {
	best := -1
	for si := range wk.servers {
		if wk.fits(mi, si) && (best < 0 || wk.pressure(si) < wk.pressure(best)) {
			best = si
		}
	}
	return best
}
