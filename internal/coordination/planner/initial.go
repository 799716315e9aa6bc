package planner

import "github.com/lagoonpass/lagoonpass/internal/state/configurer"

// Initial returns the plan for the start: the least replicas of every model in
// two zones where memory allows, then the rest of the memory filled by the
// models' expected shares of demand, since memory that holds nothing serves
// nothing.
func Initial(st *configurer.Settings, usable Usable) *Plan {
	wk := newWork(Input{Settings: st, Usable: usable}, expectedDemand(st))
	wk.repair()
	wk.fill()
	return wk.plan()
}

// expectedDemand divides all slots among the models by their shares.
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

// fill adds replicas, each for the model with most demand a replica, until
// nothing fits any more.
func (wk *work) fill() {
	full := make([]bool, len(wk.models))
	for {
		mi := wk.neediest(full)
		if mi < 0 {
			return
		}
		si := wk.roomiest(mi)
		if si < 0 {
			full[mi] = true
			continue
		}
		wk.put(mi, si)
		wk.servers[si].load += wk.perReplica(mi)
	}
}

func (wk *work) neediest(full []bool) int {
	best := -1
	for mi := range wk.models {
		md := &wk.models[mi]
		if full[mi] || len(md.replicas) >= md.most || md.demand <= 0 {
			continue
		}
		if best < 0 || wk.perReplica(mi) > wk.perReplica(best) {
			best = mi
		}
	}
	return best
}

func (wk *work) perReplica(mi int) float64 {
	return wk.models[mi].demand / float64(max(len(wk.models[mi].replicas), 1))
}

// roomiest returns the least loaded server that the model fits on.
func (wk *work) roomiest(mi int) int {
	best := -1
	for si := range wk.servers {
		if wk.fits(mi, si) && (best < 0 || wk.pressure(si) < wk.pressure(best)) {
			best = si
		}
	}
	return best
}
