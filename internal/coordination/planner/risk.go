package planner

import "sort"

// cover adds a replica on another server for models that are asked for and have all
// replicas on servers at risk, those with the most demand first. It adds no more replicas
// than the weight store loads until the next pass: servers at risk may return before the
// rest could be loaded. It evicts nothing that serves demand.
func (wk *workspace) cover() {
	if !wk.anyAtRisk {
		return
	}
	limit := wk.covers
	var exposed []int
	for mi := range wk.models {
		md := &wk.models[mi]
		if len(md.replicas) > 0 && len(md.replicas) < md.maxReplicas && !wk.idle(mi) && wk.safeReplicas(mi) == 0 {
			exposed = append(exposed, mi)
		}
	}
	sort.SliceStable(exposed, func(ix, jx int) bool {
		one, two := &wk.models[exposed[ix]], &wk.models[exposed[jx]]
		return max(one.demand, one.mean) > max(two.demand, two.mean)
	})
	for _, mi := range exposed {
		allowed := func(si int) bool { return !wk.servers[si].atRisk && (limit > 0 || wk.isResident(mi, si)) }
		if !wk.repairOne(mi, ReasonAtRisk, allowed) {
			continue
		}
		if added := wk.models[mi].replicas; !wk.isResident(mi, added[len(added)-1].server) {
			limit--
		}
	}
}

// safeReplicas returns how many replicas of the model are on servers not at risk.
func (wk *workspace) safeReplicas(mi int) int {
	count := 0
	for _, rp := range wk.models[mi].replicas {
		if !wk.servers[rp.server].atRisk {
			count++
		}
	}
	return count
}

// lastSafe reports whether the replica is the only one of the model on a server that
// is not at risk.
func (wk *workspace) lastSafe(mi, si int) bool {
	return wk.anyAtRisk && !wk.servers[si].atRisk && wk.safeReplicas(mi) == 1
}
