package admitter

import (
	"math"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
)

const (
	// maxCredit bounds, in tokens, what a class can save up of its least share
	// beyond one request.
	maxCredit = 8192.0
	// useWindow is the time over which the use of slots is averaged.
	useWindow = 20 * time.Second
	// reserveDeviations is how many standard deviations of the more urgent
	// use are kept free on top of its mean.
	reserveDeviations = 2.5
	// patienceFactor is how many first-token targets of the most urgent class
	// a request may hold its slot before the whole reserve counts.
	patienceFactor = 4.0
	// leastUse is the mean use from which a class is counted as present.
	leastUse = 0.01
)

// serverState is what the scheduler keeps of one server between tables.
type serverState struct {
	// credits holds the unused least share of each class, in tokens.
	credits []float64
	// own holds the requests of each class on the server.
	own []int
	// use holds the mean of own.
	use []float64
	at  time.Time
}

// average lets the time since the last change count.
func (ss *serverState) average(now time.Time) {
	passed := now.Sub(ss.at).Seconds()
	ss.at = now
	if passed <= 0 {
		return
	}
	part := 1 - math.Exp(-passed/useWindow.Seconds())
	for ix := range ss.use {
		ss.use[ix] += (float64(ss.own[ix]) - ss.use[ix]) * part
	}
}

func (ss *serverState) add(now time.Time, class, delta int) {
	ss.average(now)
	if class < len(ss.own) {
		ss.own[class] += delta
	}
}

// classFits reports whether one more request of the class leaves enough of the
// target's slots to the more urgent classes. Requests can't be taken back from
// an engine, so that slots must be kept free beforehand: the mean use of the
// more urgent classes by all nodes, and some deviations of it. The class keeps
// its least share, and one slot at least.
func (sc *Scheduler) classFits(now time.Time, tg *router.Target, class int) bool {
	if class == 0 {
		return true
	}
	ss := sc.server(tg.Name)
	ss.average(now)
	urgent, low := 0.0, 0
	for ix := range ss.own {
		if ix < class {
			urgent += max(ss.use[ix], float64(ss.own[ix]))
		} else {
			low += ss.own[ix]
		}
	}
	if urgent < leastUse {
		return true
	}
	others := float64(tg.Load.Others())
	urgentOthers := min(urgent*float64(sc.users(tg)-1), others)
	all := urgent + urgentOthers
	left := float64(tg.Slots) - all - sc.deviations(class)*math.Sqrt(all)
	left = max(left, 1, sc.classes[class].minShare*float64(tg.Slots))
	part := sc.part(now, tg, max(0, int(left)))
	return low < max(part, int(left-(others-urgentOthers)))
}

// deviations returns how many deviations of the more urgent use are kept free
// of the class: all of them if its requests hold their slots for much longer
// than the most urgent class can wait, fewer if slots come free soon anyway.
func (sc *Scheduler) deviations(class int) float64 {
	cs := sc.classes[class]
	if !cs.hold.known {
		return reserveDeviations
	}
	patience := patienceFactor * sc.classes[0].firstToken.Seconds()
	return reserveDeviations * min(1, cs.hold.value.Seconds()/patience)
}

// credit gives the classes that wait for the target their least share of a
// grant, and charges the class that got it.
func (sc *Scheduler) credit(tg *router.Target, en *Entry) {
	ss := sc.server(tg.Name)
	for ix, cs := range sc.classes {
		if !sc.waits(tg, ix) {
			ss.credits[ix] = 0
			continue
		}
		ss.credits[ix] = min(maxCredit, ss.credits[ix]+cs.minShare*en.cost)
	}
	ss.credits[en.class] = max(0, ss.credits[en.class]-en.cost)
}

// waits reports whether a request of the class waits for a model on the target.
func (sc *Scheduler) waits(tg *router.Target, class int) bool {
	if sc.requests == 0 {
		return false
	}
	for _, model := range tg.Models {
		if mq, ok := sc.queues[model]; ok && mq.lines[class].count > 0 {
			return true
		}
	}
	return false
}

func (sc *Scheduler) server(name string) *serverState {
	ss, ok := sc.servers[name]
	if !ok || len(ss.credits) != len(sc.classes) {
		count := len(sc.classes)
		ss = &serverState{credits: make([]float64, count), own: make([]int, count), use: make([]float64, count)}
		sc.servers[name] = ss
	}
	return ss
}
