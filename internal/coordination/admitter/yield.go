package admitter

import (
	"math"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// deferrableTarget is the first-token target from which a class is
	// deferrable, if there is a class with a deferrableRatio times shorter one.
	deferrableTarget = 2 * time.Second
	deferrableRatio  = 4
	// yieldDivisor gives the fraction of its first-token target for which a
	// deferrable request yields to the use of a server by others.
	yieldDivisor = 2
	// yieldPrefill is the fraction of a server's time in prefill, and
	// yieldBacklog the backlog, up to which a deferrable request goes there while
	// it yields. Its prompt then delays few urgent ones.
	yieldPrefill = 0.5
	yieldBacklog = 50 * time.Millisecond
	// longPrefill is the prefill time of a prompt that makes the pauses of all
	// streams on its server too long. While it yields, such a prompt goes to a
	// server with few requests: none at first, and at the end of that time the
	// slots divided by streamDivisor.
	longPrefill   = 300 * time.Millisecond
	streamDivisor = 4
)

// yields reports whether the entry of a deferrable class has to leave the
// target to others for now. Requests can't be recalled from an engine, and a
// long prompt delays all that are sent after it, so that deferrable requests
// use the first part of their target for waiting in the node.
func (sc *Scheduler) yields(now time.Time, en *Entry, tg *router.Target) bool {
	target := en.ticket.Class.FirstToken()
	if target < deferrableTarget || target < deferrableRatio*sc.shortestTarget || en.ticket.Resumed {
		return false
	}
	waited, longest := now.Sub(en.arrivedAt), target/yieldDivisor
	if waited >= longest {
		return false
	}
	if en.ownPrefillTime > longPrefill && tg.Load.Total()*streamDivisor > int(float64(tg.Slots)*waited.Seconds()/longest.Seconds()) {
		return true
	}
	return tg.Load.Backlog() > yieldBacklog || tg.Load.Prefill(now) > yieldPrefill
}

// updateTargets sets the shortest first-token target of the classes, and the
// shortest allowed pause of the streams of each pool.
func (sc *Scheduler) updateTargets(st *configurer.Settings) {
	sc.shortestTarget = math.MaxInt64 / deferrableRatio
	for _, cl := range st.Classes() {
		sc.shortestTarget = min(sc.shortestTarget, cl.FirstToken())
	}
	sc.pauses = map[string]time.Duration{}
	for _, rt := range st.Routes() {
		if !rt.Streams() {
			continue
		}
		for _, wp := range rt.WeightedPools() {
			if pause, ok := sc.pauses[wp.Pool()]; !ok || rt.PauseTarget() < pause {
				sc.pauses[wp.Pool()] = rt.PauseTarget()
			}
		}
	}
}
