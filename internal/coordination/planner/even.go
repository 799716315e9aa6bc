package planner

// exchangeRatio is the least ratio between the demand per replica of two models
// at which a replica of one is exchanged for a replica of the other. The weight
// of moves increases it by up to 1.
const exchangeRatio = 3.0

// exchangeAll makes up to limit exchanges, for the models with the most demand per
// replica first, and returns their number. Demand that moves to a few models within
// seconds thus gets its replicas in one pass.
func (wk *workspace) exchangeAll(limit int) int {
	made := 0
	failed := make([]bool, len(wk.models))
	for made < limit {
		mi := wk.mostDemandedModel(failed)
		if mi < 0 || wk.demandPerReplica(mi) < wk.weights.exchangeThreshold*wk.meanSlots() {
			break
		}
		if !wk.exchange(mi) {
			failed[mi] = true
			if limit == 1 {
				break
			}
			continue
		}
		made++
		if made < limit {
			wk.balance()
		}
	}
	return made
}

// exchange replaces the replicas with the least demand on one server by a replica of
// the model, so that replicas are in proportion to demand before the next rise. It
// reports whether it did.
func (wk *workspace) exchange(mi int) bool {
	ratio := exchangeRatio + min(wk.weights.move/max(wk.weights.attainment, 0.01), 1)
	best := move{model: mi, server: -1}
	least := wk.demandPerReplica(mi) / ratio
	for si := range wk.servers {
		if !wk.allows(mi, si) || wk.holds(mi, si) || wk.servers[si].atRisk {
			continue
		}
		victims, unserved, ok := wk.victims(mi, si, wk.removable)
		if !ok || unserved > 0 {
			continue
		}
		worst := wk.maxDemandAfterRemoval(victims)
		if wk.isResident(mi, si) {
			worst /= 2
		}
		if worst < least || best.server >= 0 && worst == least && wk.pressure(si) < wk.pressure(best.server) {
			best, least = move{model: mi, server: si, victims: victims}, worst
		}
	}
	if best.server < 0 {
		return false
	}
	wk.addReplica(mi, best.server, ReasonEven, best.victims)
	return true
}

// maxDemandAfterRemoval returns the maximum of demandAfterRemoval over the
// victims.
func (wk *workspace) maxDemandAfterRemoval(victims []int) float64 {
	worst := 0.0
	for _, victim := range victims {
		worst = max(worst, wk.demandAfterRemoval(victim))
	}
	return worst
}
