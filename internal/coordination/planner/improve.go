package planner

const (
	// worthPerServer is the part of one server's slots that a move has to gain
	// when a move weighs as much as attainment.
	worthPerServer = 0.004
	// urgentPerServer is the part of one server's slots that has to be unserved
	// for one model before a move is made without waiting.
	urgentPerServer = 0.15
	// modelsTried bounds the overloaded models for which a pass looks for room.
	modelsTried = 8
)

// move is a change that gives a model a replica on a server.
type move struct {
	model   int
	server  int
	victims []int
	gain    float64
}

// threshold returns the least gain, in slots, that is worth a move.
func (wk *work) threshold() float64 {
	worth := worthPerServer * wk.meanSlots()
	return worth * wk.weights.move / max(wk.weights.attainment, 0.01)
}

func (wk *work) meanSlots() float64 {
	slots := 0.0
	for si := range wk.servers {
		slots += wk.servers[si].slots
	}
	return slots / float64(max(len(wk.servers), 1))
}

// wantsMove reports whether some model's unserved demand is worth a move.
func (wk *work) wantsMove() bool {
	least := wk.threshold()
	for mi := range wk.models {
		if ex := wk.excess(mi); ex > 0 && ex >= least {
			return true
		}
	}
	return false
}

// urgent reports whether one model alone has so much unserved demand that it
// cannot be noise.
func (wk *work) urgent() bool {
	for mi := range wk.models {
		if wk.excess(mi) >= urgentPerServer*wk.meanSlots() {
			return true
		}
	}
	return false
}

// improve makes at most allowance moves, the most gainful first, each only if
// the balanced plan gains from it as expected, and returns their number.
func (wk *work) improve(allowance int) int {
	made := 0
	refused := map[int]bool{}
	for made < allowance {
		mv, ok := wk.bestMove(refused)
		if !ok {
			break
		}
		if wk.try(mv) {
			made++
		} else {
			refused[mv.model] = true
		}
	}
	return made
}

// bestMove looks for room for the models with most unserved demand.
func (wk *work) bestMove(refused map[int]bool) (move, bool) {
	best := move{}
	found := false
	for _, mi := range wk.mostOverloaded(refused) {
		if mv, ok := wk.bestServer(mi); ok && (!found || mv.gain > best.gain) {
			best, found = mv, true
		}
	}
	return best, found
}

// mostOverloaded returns the models with the greatest unserved demand.
func (wk *work) mostOverloaded(refused map[int]bool) []int {
	least := wk.threshold()
	top := make([]int, 0, modelsTried)
	excess := make([]float64, 0, modelsTried)
	for mi := range wk.models {
		md := &wk.models[mi]
		ex := wk.excess(mi)
		if refused[mi] || ex <= 0 || ex < least || len(md.replicas) >= md.most {
			continue
		}
		at := len(top)
		for at > 0 && excess[at-1] < ex {
			at--
		}
		if at >= modelsTried {
			continue
		}
		top = append(top, 0)
		excess = append(excess, 0)
		copy(top[at+1:], top[at:])
		copy(excess[at+1:], excess[at:])
		top[at], excess[at] = mi, ex
		if len(top) > modelsTried {
			top, excess = top[:modelsTried], excess[:modelsTried]
		}
	}
	return top
}

// bestServer returns the place where another replica of the model gains most.
func (wk *work) bestServer(mi int) (move, bool) {
	excess := wk.excess(mi)
	best := move{model: mi, server: -1}
	for si := range wk.servers {
		if !wk.allows(mi, si) || wk.holds(mi, si) {
			continue
		}
		gain := min(excess, wk.spare(si))
		if gain <= best.gain {
			continue
		}
		victims, harm, ok := wk.victims(mi, si)
		if !ok || gain-harm <= best.gain {
			continue
		}
		best = move{model: mi, server: si, victims: victims, gain: gain - harm}
	}
	return best, best.server >= 0 && best.gain >= wk.threshold()
}

// try makes a move and takes it back unless the balanced plan gains by it.
func (wk *work) try(mv move) bool {
	before := wk.attained()
	wk.evict(mv.victims, mv.server)
	wk.put(mv.model, mv.server)
	wk.balance()
	if gain := wk.attained() - before; gain > 0 && gain >= wk.threshold()/2 {
		return true
	}
	wk.take(mv.model, mv.server)
	for _, victim := range mv.victims {
		wk.put(victim, mv.server)
	}
	wk.balance()
	return false
}
