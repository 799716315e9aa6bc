package planner

// evenRatio is how many times more demand a replica of one model has to carry
// than a replica of another before one is exchanged for the other, if moves
// weigh nothing. Their weight adds one at the most.
const evenRatio = 3.0

// even exchanges the replica that will be missed least for one of the model
// whose replicas carry most, so that the next rise of demand meets replicas in
// proportion to demand. It makes at most one move and returns their number.
func (wk *work) even() int {
	mi := wk.neediest(make([]bool, len(wk.models)))
	if mi < 0 || wk.perReplica(mi) < wk.weights.evenFrom*wk.meanSlots() {
		return 0
	}
	ratio := evenRatio + min(wk.weights.move/max(wk.weights.attainment, 0.01), 1)
	best := move{model: mi, server: -1}
	least := wk.perReplica(mi) / ratio
	for si := range wk.servers {
		if !wk.allows(mi, si) || wk.holds(mi, si) {
			continue
		}
		victims, harm, ok := wk.victims(mi, si)
		if !ok || harm > 0 {
			continue
		}
		if worst := wk.worstRegret(victims); worst < least {
			best, least = move{model: mi, server: si, victims: victims}, worst
		}
	}
	if best.server < 0 {
		return 0
	}
	wk.evict(best.victims, best.server)
	wk.put(mi, best.server)
	return 1
}

func (wk *work) worstRegret(victims []int) float64 {
	worst := 0.0
	for _, victim := range victims {
		worst = max(worst, wk.regret(victim))
	}
	return worst
}
