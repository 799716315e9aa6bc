package admitter

import (
	"math"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
)

const (
	// maxCredit bounds, in tokens, the unused minimum share that a class can
	// accumulate on a server.
	maxCredit = 8192.0
	// useWindow is the time constant over which the use of slots is averaged.
	useWindow = 20 * time.Second
	// reserveDeviations is how many standard deviations of the slots used by
	// more urgent classes are reserved on top of their mean.
	reserveDeviations = 2.5
	// fullReserveTargets is how many first-token targets of the most urgent
	// class a request holds its slot from which on the full reserve applies.
	fullReserveTargets = 4.0
	// minUse is the mean number of used slots from which slots are reserved for
	// more urgent classes.
	minUse = 0.01
)

// serverState is the state of one server that outlives routing tables. Its
// slices are indexed like Scheduler.classes.
type serverState struct {
	// credits holds the unused minimum share of each class, in tokens.
	credits []float64
	// running holds this node's requests of each class on the server.
	running []int
	// meanRunning holds the moving average of running.
	meanRunning []float64
	// averagedAt is the time of the last update of meanRunning.
	averagedAt time.Time
}

// updateMeans updates meanRunning with the time since the last update.
func (ss *serverState) updateMeans(now time.Time) {
	elapsed := now.Sub(ss.averagedAt).Seconds()
	ss.averagedAt = now
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed/useWindow.Seconds())
	for ix := range ss.meanRunning {
		ss.meanRunning[ix] += (float64(ss.running[ix]) - ss.meanRunning[ix]) * weight
	}
}

func (ss *serverState) add(now time.Time, class, delta int) {
	ss.updateMeans(now)
	if class < len(ss.running) {
		ss.running[class] += delta
	}
}

// classFits reports whether one more request of the class leaves enough of the
// target's slots to the more urgent classes. Requests can't be recalled from an
// engine, so that slots are reserved in advance: the mean use of the more
// urgent classes by all nodes, plus some standard deviations. The class always
// keeps its minimum share and at least one slot.
func (sc *Scheduler) classFits(now time.Time, tg *router.Target, class int) bool {
	if class == 0 {
		return true
	}
	ss := sc.server(tg.Name)
	ss.updateMeans(now)
	// urgent is this node's use by more urgent classes, low that by the others.
	urgent, low := 0.0, 0
	for ix := range ss.running {
		if ix < class {
			urgent += max(ss.meanRunning[ix], float64(ss.running[ix]))
		} else {
			low += ss.running[ix]
		}
	}
	if urgent < minUse {
		return true
	}
	others := float64(tg.Load.Others())
	urgentOthers := min(urgent*float64(sc.users(tg)-1), others)
	all := urgent + urgentOthers
	slots := float64(sc.batchLimit(now, tg))
	left := slots - all - sc.deviations(class)*math.Sqrt(all)
	left = max(left, 1, sc.classes[class].minShare*slots)
	nodeShare := sc.nodeShare(now, tg, max(0, int(left)))
	return low < max(nodeShare, int(left-(others-urgentOthers)))
}

// deviations returns how many standard deviations are reserved against the
// class: reserveDeviations if its requests hold their slots for much longer
// than the most urgent class can wait, fewer if its slots become free sooner.
func (sc *Scheduler) deviations(class int) float64 {
	cs := sc.classes[class]
	if !cs.holdTime.known {
		return reserveDeviations
	}
	fullReserveTime := fullReserveTargets * sc.classes[0].firstToken.Seconds()
	return reserveDeviations * min(1, cs.holdTime.value.Seconds()/fullReserveTime)
}

// credit credits each class that waits for the target with its minimum share of
// the grant's cost, and charges the cost to the class of the entry.
func (sc *Scheduler) credit(tg *router.Target, en *Entry) {
	ss := sc.server(tg.Name)
	for ix, cs := range sc.classes {
		if !sc.hasWaiting(tg, ix) {
			ss.credits[ix] = 0
			continue
		}
		ss.credits[ix] = min(maxCredit, ss.credits[ix]+cs.minShare*en.cost)
	}
	ss.credits[en.class] = max(0, ss.credits[en.class]-en.cost)
}

// hasWaiting reports whether a request of the class waits for a model that is
// ready on the target.
func (sc *Scheduler) hasWaiting(tg *router.Target, class int) bool {
	if sc.waitingRequests == 0 {
		return false
	}
	for _, model := range tg.Models {
		if mq, ok := sc.queues[model]; ok && mq.byClass[class].count > 0 {
			return true
		}
	}
	return false
}

func (sc *Scheduler) server(name string) *serverState {
	ss, ok := sc.servers[name]
	if !ok || len(ss.credits) != len(sc.classes) {
		count := len(sc.classes)
		ss = &serverState{credits: make([]float64, count), running: make([]int, count), meanRunning: make([]float64, count)}
		sc.servers[name] = ss
	}
	return ss
}
