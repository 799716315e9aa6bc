package planner

import "sort"

// repair puts back the replicas that a model lacks, the largest model first.
func (wk *work) repair() {
	order := make([]int, len(wk.models))
	for ix := range order {
		order[ix] = ix
	}
	sort.SliceStable(order, func(ix, jx int) bool {
		return wk.models[order[ix]].memory > wk.models[order[jx]].memory
	})
	for _, mi := range order {
		for len(wk.models[mi].replicas) < wk.models[mi].least {
			if !wk.repairOne(mi, wk.anyServer) {
				break
			}
		}
		wk.repairZones(mi)
	}
}

func (wk *work) anyServer(int) bool { return true }

// repairZones adds a replica in another zone if all are in one.
func (wk *work) repairZones(mi int) {
	zones := wk.zonesOf(mi)
	if len(zones) != 1 || wk.models[mi].least < 2 {
		return
	}
	wk.repairOne(mi, func(si int) bool { return zones[wk.servers[si].zone] == 0 })
}

// repairOne places one replica on an allowed server, giving up spare replicas
// of other models if there is no room, and reports whether it could.
func (wk *work) repairOne(mi int, allowed func(si int) bool) bool {
	zones := wk.zonesOf(mi)
	best, bestRank := -1, 0.0
	for si := range wk.servers {
		if !allowed(si) || !wk.fits(mi, si) {
			continue
		}
		if rank := wk.repairRank(si, zones); best < 0 || rank > bestRank {
			best, bestRank = si, rank
		}
	}
	if best >= 0 {
		wk.put(mi, best)
		return true
	}
	return wk.repairByEviction(mi, zones, allowed)
}

// repairRank prefers a zone without a replica, then free memory.
func (wk *work) repairRank(si int, zones map[string]int) float64 {
	sv := &wk.servers[si]
	rank := float64(sv.free) / float64(max(sv.capacity, 1))
	if zones[sv.zone] == 0 {
		rank += 2
	}
	return rank
}

func (wk *work) repairByEviction(mi int, zones map[string]int, allowed func(si int) bool) bool {
	best, bestRank := -1, 0.0
	var bestVictims []int
	for si := range wk.servers {
		if !allowed(si) || !wk.allows(mi, si) || wk.holds(mi, si) {
			continue
		}
		victims, harm, ok := wk.victims(mi, si)
		if !ok {
			continue
		}
		rank := -harm
		if zones[wk.servers[si].zone] == 0 {
			rank += wk.servers[si].slots
		}
		if best < 0 || rank > bestRank {
			best, bestRank, bestVictims = si, rank, victims
		}
	}
	if best < 0 {
		return false
	}
	wk.evict(bestVictims, best)
	wk.put(mi, best)
	return true
}

func (wk *work) evict(victims []int, si int) {
	for _, victim := range victims {
		wk.take(victim, si)
	}
}

// victims returns the replicas on a server that may be given up to make room
// for a model, those that will be missed least first, and the demand that they would
// leave unserved.
func (wk *work) victims(mi, si int) (victims []int, harm float64, ok bool) {
	sv := &wk.servers[si]
	missing := wk.models[mi].memory - sv.free
	if missing <= 0 {
		return nil, 0, true
	}
	options := make([]int, 0, len(sv.models))
	for _, other := range sv.models {
		if wk.dispensable(other, si) {
			options = append(options, other)
		}
	}
	sort.Slice(options, func(ix, jx int) bool {
		return wk.regret(options[ix]) < wk.regret(options[jx])
	})
	for _, other := range options {
		if missing <= 0 {
			break
		}
		victims = append(victims, other)
		harm += wk.harm(other, si)
		missing -= wk.models[other].memory
	}
	return victims, harm, missing <= 0
}

// dispensable reports whether a model keeps enough replicas and two zones
// without the one on the server.
func (wk *work) dispensable(mi, si int) bool {
	md := &wk.models[mi]
	if len(md.replicas) <= md.least || wk.lastServing(mi, si) {
		return false
	}
	if md.least < 2 {
		return true
	}
	zones := wk.zonesOf(mi)
	return len(zones) == 1 || len(zones) > 2 || zones[wk.servers[si].zone] > 1
}

// lastServing reports whether a replica serves and too few others do.
func (wk *work) lastServing(mi, si int) bool {
	md := &wk.models[mi]
	if wk.serving == nil || !wk.serving(md.name, wk.servers[si].name) {
		return false
	}
	others := 0
	for _, rp := range md.replicas {
		if rp.server != si && wk.serving(md.name, wk.servers[rp.server].name) {
			others++
		}
	}
	return others < md.serving
}

// regret returns the demand, now or in the long term, that each replica of a
// model would have to serve if there were one less.
func (wk *work) regret(mi int) float64 {
	md := &wk.models[mi]
	return max(md.demand, md.mean) / float64(max(len(md.replicas)-1, 1))
}

func (wk *work) flow(mi, si int) float64 {
	for _, rp := range wk.models[mi].replicas {
		if rp.server == si {
			return rp.flow
		}
	}
	return 0
}

// harm returns the flow of a replica that the model's other replicas have no
// spare slots for.
func (wk *work) harm(mi, si int) float64 {
	spare := 0.0
	for _, rp := range wk.models[mi].replicas {
		if rp.server != si {
			spare += wk.spare(rp.server)
		}
	}
	return max(wk.flow(mi, si)-spare, 0)
}
