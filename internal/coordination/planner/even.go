package planner

// exchangeRatio is the least ratio between the demand per replica of two models
// at which a replica of one is exchanged for a replica of the other. The weight
// of moves increases it by up to 1.
const exchangeRatio = 3.0

// exchange replaces the replicas with the least demand by a replica of the
// model with the most demand per replica, so that replicas are in proportion to
// demand before the next rise. It makes at most one move and returns the number
// of moves.
func (wk *workspace) exchange() int {
	mi := wk.mostDemandedModel(make([]bool, len(wk.models)))
	if mi < 0 || wk.demandPerReplica(mi) < wk.weights.exchangeThreshold*wk.meanSlots() {
		return 0
	}
	ratio := exchangeRatio + min(wk.weights.move/max(wk.weights.attainment, 0.01), 1)
	best := move{model: mi, server: -1}
	least := wk.demandPerReplica(mi) / ratio
	for si := range wk.servers {
		if !wk.allows(mi, si) || wk.holds(mi, si) {
			continue
		}
		victims, unserved, ok := wk.victims(mi, si, wk.removable)
		if !ok || unserved > 0 {
			continue
		}
		if worst := wk.maxDemandAfterRemoval(victims); worst < least {
			best, least = move{model: mi, server: si, victims: victims}, worst
		}
	}
	if best.server < 0 {
		return 0
	}
	wk.addReplica(mi, best.server, ReasonEven, best.victims)
	return 1
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
