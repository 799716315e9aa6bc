package planner

import "sort"

// repair adds the missing replicas of all models, starting with the largest
// model. Models that are asked for and have no replica come first if idle models
// yield to them, then the others without one, and then those whose replicas are at risk.
// The flows must be balanced.
func (wk *workspace) repair() {
	order := make([]int, len(wk.models))
	for ix := range order {
		order[ix] = ix
	}
	sort.SliceStable(order, func(ix, jx int) bool {
		if one, two := wk.claim(order[ix]), wk.claim(order[jx]); one != two {
			return one > two
		}
		if one, two := len(wk.models[order[ix]].replicas) == 0, len(wk.models[order[jx]].replicas) == 0; one != two {
			return one
		}
		return wk.models[order[ix]].memory > wk.models[order[jx]].memory
	})
	waits := wk.sparesYield && wk.demandWaits()
	covered := false
	for _, mi := range order {
		if !covered && len(wk.models[mi].replicas) > 0 {
			covered = true
			wk.cover()
		}
		for len(wk.models[mi].replicas) < wk.models[mi].minReplicas {
			reason := ReasonSpare
			if len(wk.models[mi].replicas) < wk.models[mi].serving {
				reason = ReasonMissing
			}
			if waits && reason == ReasonSpare || !wk.repairOne(mi, reason, wk.anyServer) {
				break
			}
			waits = waits || wk.sparesYield && reason == ReasonSpare
		}
		if !waits && wk.repairZones(mi) {
			waits = wk.sparesYield
		}
	}
}

// demandWaits reports whether demand waits for a load: a model has more than its
// replicas serve, or planned replicas under demand do not serve yet. Loads are
// few a second, and those for demand come before spare replicas, of which one is
// added at a time.
func (wk *workspace) demandWaits() bool {
	if wk.needsMove() {
		return true
	}
	if wk.serving == nil {
		return false
	}
	least := minSpareShare * wk.meanSlots()
	for mi := range wk.models {
		md := &wk.models[mi]
		if md.demand < least {
			continue
		}
		for _, rp := range md.replicas {
			if !wk.serving(md.name, wk.servers[rp.server].name) {
				return true
			}
		}
	}
	return false
}

// claim returns the demand of a model without a replica for which idle models
// yield, or 0.
func (wk *workspace) claim(mi int) float64 {
	md := &wk.models[mi]
	if !wk.idleModelsYield || len(md.replicas) > 0 {
		return 0
	}
	return md.demand
}

// yields reports whether the replicas of a model make room for another one that
// has none, also the last replica. The load of more models than fit is thus
// shared over time.
func (wk *workspace) yields(mi, other int) bool {
	md := &wk.models[mi]
	return yieldRatio*max(md.demand, md.mean) < wk.claim(other)
}

func (wk *workspace) anyServer(int) bool { return true }

// repairZones adds a replica in another zone if all replicas are in one zone
// and the model needs at least two replicas. It reports whether it did.
func (wk *workspace) repairZones(mi int) bool {
	zones := wk.zonesOf(mi)
	if len(zones) != 1 || wk.models[mi].minReplicas < 2 {
		return false
	}
	return wk.repairOne(mi, ReasonZone, func(si int) bool { return zones[wk.servers[si].zone] == 0 })
}

// repairOne places one replica on an allowed server and reports whether it did.
// It evicts spare replicas of other models if there is no free memory.
func (wk *workspace) repairOne(mi int, reason Reason, allowed func(si int) bool) bool {
	zones := wk.zonesOf(mi)
	best, bestRank := -1, 0.0
	for si := range wk.servers {
		if !allowed(si) || !wk.fits(mi, si) {
			continue
		}
		if rank := wk.rankForRepair(mi, si, zones); best < 0 || rank > bestRank {
			best, bestRank = si, rank
		}
	}
	if best >= 0 {
		wk.addReplica(mi, best, reason, nil)
		return true
	}
	if wk.repairByEviction(mi, reason, zones, allowed, wk.removable) {
		return true
	}
	// Last replicas go only if spare ones do not make room.
	return wk.claim(mi) > 0 && wk.repairByEviction(mi, reason, zones, allowed, func(other, si int) bool {
		return wk.removable(other, si) || wk.yields(other, mi)
	})
}

// rankForRepair ranks a server for a new replica: a quick load comes first, since the
// model is missing, then a zone without a replica, then the share of free memory.
func (wk *workspace) rankForRepair(mi, si int, zones map[string]int) float64 {
	sv := &wk.servers[si]
	rank := float64(sv.free) / float64(max(sv.capacity, 1))
	if wk.isResident(mi, si) {
		rank += 4
	}
	if zones[sv.zone] == 0 {
		rank += 2
	}
	if wk.servers[si].atRisk {
		rank -= 8
	}
	return rank
}

// residentShare is the unserved demand, as a share of a server's slots, that a quick
// load outweighs when a server is chosen. It lasts until the slow load would have ended.
const residentShare = 0.25

// repairByEviction places a replica where the evictions of evictable replicas
// leave the least demand unserved. A zone without a replica counts as much as the
// server's slots.
func (wk *workspace) repairByEviction(mi int, reason Reason, zones map[string]int, allowed func(si int) bool, evictable func(mi, si int) bool) bool {
	best, bestRank, bestLeft := -1, 0.0, 0
	var bestVictims []int
	for si := range wk.servers {
		if !allowed(si) || !wk.allows(mi, si) || wk.holds(mi, si) {
			continue
		}
		victims, unserved, ok := wk.victims(mi, si, evictable)
		if !ok || unserved > 0 && wk.sparesYield && (reason != ReasonMissing || wk.idle(mi)) {
			continue
		}
		rank := -unserved
		if zones[wk.servers[si].zone] == 0 {
			rank += wk.servers[si].slots
		}
		if wk.isResident(mi, si) {
			rank += residentShare * wk.servers[si].slots
		}
		if wk.servers[si].atRisk {
			rank -= 2 * wk.servers[si].slots
		}
		left := wk.fewestReplicas(victims)
		if best < 0 || rank > bestRank || rank == bestRank && left > bestLeft {
			best, bestRank, bestLeft, bestVictims = si, rank, left, victims
		}
	}
	if best < 0 {
		return false
	}
	wk.moveFlows(bestVictims, best)
	wk.addReplica(mi, best, reason, bestVictims)
	return true
}

// fewestReplicas returns the least number of replicas of any of the models.
func (wk *workspace) fewestReplicas(models []int) int {
	fewest := len(wk.servers)
	for _, mi := range models {
		fewest = min(fewest, len(wk.models[mi].replicas))
	}
	return fewest
}

// idle reports whether nobody has asked for the model lately. After the loss of many
// servers such a model waits for its replica until it is asked for or there is room.
func (wk *workspace) idle(mi int) bool {
	return wk.models[mi].demand <= 0 && wk.models[mi].mean < minSpareShare*wk.meanSlots()
}

// moveFlows moves the flows of replicas that are about to be evicted from a server
// to the other replicas of their models, in equal parts.
func (wk *workspace) moveFlows(victims []int, si int) {
	for _, victim := range victims {
		md := &wk.models[victim]
		part := wk.flow(victim, si) / float64(max(len(md.replicas)-1, 1))
		for ix := range md.replicas {
			rp := &md.replicas[ix]
			if rp.server == si {
				wk.servers[si].load -= rp.flow
				continue
			}
			rp.flow += part
			wk.servers[rp.server].load += part
		}
	}
}

func (wk *workspace) evict(victims []int, si int) {
	for _, victim := range victims {
		wk.remove(victim, si)
	}
}

// victims returns the models whose replicas on a server can be evicted to make
// room for a model, by ascending demandAfterRemoval, and the demand that the
// evictions leave unserved. It reports whether they free enough memory.
func (wk *workspace) victims(mi, si int, evictable func(mi, si int) bool) (victims []int, unserved float64, ok bool) {
	sv := &wk.servers[si]
	missing := wk.models[mi].memory - sv.free
	if missing <= 0 {
		return nil, 0, true
	}
	options := make([]int, 0, len(sv.models))
	for _, other := range sv.models {
		if evictable(other, si) {
			options = append(options, other)
		}
	}
	sort.Slice(options, func(ix, jx int) bool {
		one, two := wk.demandAfterRemoval(options[ix]), wk.demandAfterRemoval(options[jx])
		if one != two {
			return one < two
		}
		// Before any demand is known, many replicas tell of a model that is asked for
		// much, which the loss of one of them harms least.
		return len(wk.models[options[ix]].replicas) > len(wk.models[options[jx]].replicas)
	})
	for _, other := range options {
		if missing <= 0 {
			break
		}
		victims = append(victims, other)
		unserved += wk.unserved(other, si)
		missing -= wk.models[other].memory
	}
	return victims, unserved, missing <= 0
}

// removable reports whether the model keeps enough replicas without the one on
// the server, and does not fall from two zones to one.
func (wk *workspace) removable(mi, si int) bool {
	md := &wk.models[mi]
	if len(md.replicas) <= md.minReplicas || wk.lastServing(mi, si) || wk.lastSafe(mi, si) {
		return false
	}
	if md.minReplicas < 2 {
		return true
	}
	zones := wk.zonesOf(mi)
	return len(zones) == 1 || len(zones) > 2 || zones[wk.servers[si].zone] > 1
}

// lastServing reports whether the replica serves and too few other replicas of
// the model do.
func (wk *workspace) lastServing(mi, si int) bool {
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

// demandAfterRemoval returns the demand per replica of the model if it had one
// replica less, by the greater of current and long-term demand.
func (wk *workspace) demandAfterRemoval(mi int) float64 {
	md := &wk.models[mi]
	return max(md.demand, md.mean) / float64(max(len(md.replicas)-1, 1))
}

// flow returns the demand that the model's replica on the server carries.
func (wk *workspace) flow(mi, si int) float64 {
	for _, rp := range wk.models[mi].replicas {
		if rp.server == si {
			return rp.flow
		}
	}
	return 0
}

// unserved returns the part of a replica's flow for which the servers of the
// model's other replicas have no spare slots.
func (wk *workspace) unserved(mi, si int) float64 {
	spare := 0.0
	for _, rp := range wk.models[mi].replicas {
		if rp.server != si {
			spare += wk.spare(rp.server)
		}
	}
	return max(wk.flow(mi, si)-spare, 0)
}
