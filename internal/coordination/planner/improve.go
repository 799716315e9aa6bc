package planner

const (
	// minGainShare is the share of one server's slots that a move has to gain if
	// moves weigh as much as attainment.
	minGainShare = 0.004
	// urgentShare is the unserved demand of one model, as a share of one server's
	// slots, from which on a move is made in the first pass.
	urgentShare = 0.15
	// maxCandidates limits the overloaded models that are considered for a move.
	maxCandidates = 8
)

// move adds a replica of a model to a server.
type move struct {
	model  int // index of the model
	server int // index of the server
	// victims are the models whose replicas on the server are evicted.
	victims []int
	// gain is the additional served demand, in slots.
	gain float64
}

// minGain returns the least gain, in slots, that justifies a move.
func (wk *workspace) minGain() float64 {
	worth := minGainShare * wk.meanSlots()
	return worth * wk.weights.move / max(wk.weights.attainment, 0.01)
}

// meanSlots returns the mean number of slots per server.
func (wk *workspace) meanSlots() float64 {
	slots := 0.0
	for si := range wk.servers {
		slots += wk.servers[si].slots
	}
	return slots / float64(max(len(wk.servers), 1))
}

// needsMove reports whether the unserved demand of any model justifies a move.
func (wk *workspace) needsMove() bool {
	least := wk.minGain()
	for mi := range wk.models {
		if ex := wk.excess(mi); ex > 0 && ex >= least {
			return true
		}
	}
	return false
}

// urgent reports whether any model has too much unserved demand for it to be
// noise.
func (wk *workspace) urgent() bool {
	for mi := range wk.models {
		if wk.excess(mi) >= urgentShare*wk.meanSlots() {
			return true
		}
	}
	return false
}

// improve makes up to limit moves, in the order of their gain, and returns
// their number. It keeps a move only if the balanced plan gains enough from it.
func (wk *workspace) improve(limit int) int {
	made := 0
	failed := map[int]bool{}
	for made < limit {
		mv, ok := wk.bestMove(failed)
		if !ok {
			break
		}
		if wk.tryMove(mv) {
			made++
		} else {
			failed[mv.model] = true
		}
	}
	return made
}

// bestMove returns the move with the greatest gain for the models with the
// greatest unserved demand. It skips the models in failed.
func (wk *workspace) bestMove(failed map[int]bool) (move, bool) {
	best := move{}
	found := false
	for _, mi := range wk.mostOverloaded(failed) {
		if mv, ok := wk.bestServer(mi); ok && (!found || mv.gain > best.gain) {
			best, found = mv, true
		}
	}
	return best, found
}

// mostOverloaded returns up to maxCandidates models, in descending order of
// their unserved demand.
func (wk *workspace) mostOverloaded(failed map[int]bool) []int {
	least := wk.minGain()
	top := make([]int, 0, maxCandidates)
	excess := make([]float64, 0, maxCandidates)
	for mi := range wk.models {
		md := &wk.models[mi]
		ex := wk.excess(mi)
		if failed[mi] || ex <= 0 || ex < least || len(md.replicas) >= md.maxReplicas {
			continue
		}
		at := len(top)
		for at > 0 && excess[at-1] < ex {
			at--
		}
		if at >= maxCandidates {
			continue
		}
		top = append(top, 0)
		excess = append(excess, 0)
		copy(top[at+1:], top[at:])
		copy(excess[at+1:], excess[at:])
		top[at], excess[at] = mi, ex
		if len(top) > maxCandidates {
			top, excess = top[:maxCandidates], excess[:maxCandidates]
		}
	}
	return top
}

// bestServer returns the move that gains most from another replica of the
// model, and whether the gain is at least minGain.
func (wk *workspace) bestServer(mi int) (move, bool) {
	excess := wk.excess(mi)
	best, bestRank := move{model: mi, server: -1}, 0.0
	for si := range wk.servers {
		if !wk.allows(mi, si) || wk.holds(mi, si) || wk.servers[si].atRisk {
			continue
		}
		gain, bonus := min(excess, wk.spare(si)), 0.0
		if wk.isResident(mi, si) {
			bonus = residentShare * wk.servers[si].slots
		}
		if gain <= 0 || gain+bonus <= bestRank {
			continue
		}
		victims, unserved, ok := wk.victims(mi, si, wk.removable)
		if !ok || gain-unserved <= 0 || gain-unserved+bonus <= bestRank {
			continue
		}
		best, bestRank = move{model: mi, server: si, victims: victims, gain: gain - unserved}, gain-unserved+bonus
	}
	return best, best.server >= 0 && best.gain >= wk.minGain()
}

// tryMove makes a move and reverts it unless the balanced plan gains at least
// half of minGain. It reports whether the move was kept.
func (wk *workspace) tryMove(mv move) bool {
	before := wk.servedTotal()
	wk.addReplica(mv.model, mv.server, ReasonDemand, mv.victims)
	wk.balance()
	if gain := wk.servedTotal() - before; gain > 0 && gain >= wk.minGain()/2 {
		return true
	}
	wk.changes = wk.changes[:len(wk.changes)-1]
	wk.remove(mv.model, mv.server)
	for _, victim := range mv.victims {
		wk.place(victim, mv.server)
	}
	wk.balance()
	return false
}
