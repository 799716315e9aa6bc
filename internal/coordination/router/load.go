package router

import (
	"math"
	"time"
)

const (
	// maxChanges is the number of dispatches and ends that one load keeps.
	maxChanges = 256
	// slowWindow and fastWindow are the times over which the rate of
	// dispatches is averaged. The higher of the two rates counts: the fast one
	// follows a burst at once, the slow one keeps rare requests longer.
	slowWindow = 10 * time.Second
	fastWindow = time.Second
	// recentUse is how long a server counts as in use after the last request.
	recentUse = 5 * time.Second
	// prefillWindow is the time over which the use of a server for prefill is
	// averaged. It covers the time to the first token of urgent classes.
	prefillWindow = time.Second
	// reportInterval is the expected time between two reports.
	reportInterval = time.Second
)

// change is a dispatch with delta 1 or the end of a request with delta -1.
type change struct {
	at    time.Time
	delta int
}

// Load is this node's view of one server's load. The node counts its own
// requests exactly and takes those of other nodes from the last report or
// digest. It subtracts from a report its own requests at the time of the
// report, so that they don't count twice.
type Load struct {
	// own is the number of in-flight requests of this node.
	own int
	// backlog is the prefill time of the prompts that this node sent and that
	// wait for their first token, and othersBacklog that of the other nodes.
	backlog       time.Duration
	othersBacklog time.Duration
	// prefill is the fraction of its time that the server spends on the prompts
	// that this node sends, as of prefillUpdated, and othersPrefill that on the
	// prompts of the other nodes.
	prefill        float64
	prefillUpdated time.Time
	othersPrefill  float64
	// failures is the failure rate.
	failures failures
	// slowness learns how slowly the server answers this node, and othersSlowness
	// is the mean of what other nodes learned; zero if they learned nothing.
	slowness       slowness
	othersSlowness float64
	// changes is a ring of the latest changes of own, and next counts all.
	changes [maxChanges]change
	next    int
	// reported is the number of requests in the server's last report.
	reported int
	// others is the number of requests of other nodes.
	others int
	// users is the number of nodes that use the server, or zero if unknown.
	users int
	// asOf is when the last report or digest was taken.
	asOf time.Time
	// slowRate and fastRate are this node's dispatches per second as of
	// ratesUpdated.
	slowRate     float64
	fastRate     float64
	ratesUpdated time.Time
	// usedAt is when this node last dispatched or finished a request.
	usedAt time.Time
}

// Own returns the number of in-flight requests of this node on the server.
func (ld *Load) Own() int { return ld.own }

// Used reports whether this node has, or recently had, requests on the server.
func (ld *Load) Used(now time.Time) bool {
	return ld.own > 0 || !ld.usedAt.IsZero() && now.Sub(ld.usedAt) < recentUse
}

// Others returns the estimated number of requests of other nodes.
func (ld *Load) Others() int { return ld.others }

// Users returns the number of nodes that use the server, or zero if unknown.
func (ld *Load) Users() int { return ld.users }

// Total returns the corrected number of requests on the server.
func (ld *Load) Total() int { return ld.own + ld.others }

// Age returns the age of the last report or digest, or zero if there is none.
func (ld *Load) Age(now time.Time) time.Duration {
	if ld.asOf.IsZero() {
		return 0
	}
	return max(now.Sub(ld.asOf), 0)
}

// Reported returns the number of requests in the last report, uncorrected.
func (ld *Load) Reported() int { return ld.reported }

// Backlog returns the time until the server has processed all prompts sent so
// far.
func (ld *Load) Backlog() time.Duration { return ld.backlog + ld.othersBacklog }

// OwnBacklog returns the prefill time of the prompts that this node sent and that wait for
// their first token.
func (ld *Load) OwnBacklog() time.Duration { return ld.backlog }

// Use returns this node's use of the server.
func (ld *Load) Use(now time.Time) Use {
	return Use{Requests: ld.own, Backlog: ld.backlog, Prefill: ld.OwnPrefill(now), Slowness: ld.slowness.recent(now)}
}

// SendPrompt counts the prefill time of a prompt that is sent to the server as
// use of the server for prefill.
func (ld *Load) SendPrompt(now time.Time, prefillTime time.Duration) {
	ld.prefill = ld.OwnPrefill(now) + prefillTime.Seconds()/prefillWindow.Seconds()
	ld.prefillUpdated = now
}

// OwnPrefill returns the fraction of its time that the server spends on this
// node's prompts, averaged over prefillWindow.
func (ld *Load) OwnPrefill(now time.Time) float64 {
	if ld.prefill == 0 {
		return 0
	}
	return ld.prefill * math.Exp(-max(now.Sub(ld.prefillUpdated), 0).Seconds()/prefillWindow.Seconds())
}

// Prefill returns the fraction of its time that the server spends on the
// prompts of all nodes.
func (ld *Load) Prefill(now time.Time) float64 { return ld.OwnPrefill(now) + ld.othersPrefill }

// AddBacklog adds the prefill time of a prompt to this node's backlog.
func (ld *Load) AddBacklog(prefillTime time.Duration) { ld.backlog += prefillTime }

// RemoveBacklog subtracts the prefill time of a prompt from this node's
// backlog.
func (ld *Load) RemoveBacklog(prefillTime time.Duration) { ld.backlog = max(ld.backlog-prefillTime, 0) }

// SetOthersUse sets the sum of the other nodes' backlogs and prefill, and the
// mean of their slowness. Their requests come through Digest.
func (ld *Load) SetOthersUse(us Use) {
	ld.othersBacklog, ld.othersPrefill, ld.othersSlowness = us.Backlog, us.Prefill, us.Slowness
}

// Dispatched counts a request as sent to the server.
func (ld *Load) Dispatched(now time.Time) {
	ld.own++
	ld.usedAt = now
	ld.recordChange(now, 1)
	ld.decayRates(now)
	ld.slowRate += 1 / slowWindow.Seconds()
	ld.fastRate += 1 / fastWindow.Seconds()
}

// Finished counts a request as ended.
func (ld *Load) Finished(now time.Time) {
	ld.own--
	ld.usedAt = now
	ld.recordChange(now, -1)
}

// Report applies the number of requests that the server counted at the time
// taken. It ignores one that is not newer than the last report or digest.
func (ld *Load) Report(count int, taken time.Time) {
	if !taken.After(ld.asOf) && !ld.asOf.IsZero() {
		return
	}
	ld.reported = count
	ld.others = max(0, count-ld.OwnAt(taken))
	ld.asOf = taken
}

// Digest applies the number of requests of the other nodes, as they reported it
// to the server's owner, and the number of nodes that use the server including
// this one. If taken is before the last report or digest, it sets only users.
func (ld *Load) Digest(others, users int, taken time.Time) {
	ld.users = users
	if taken.Before(ld.asOf) {
		return
	}
	ld.others = others
	ld.asOf = taken
}

func (ld *Load) recordChange(now time.Time, delta int) {
	ld.changes[ld.next%maxChanges] = change{at: now, delta: delta}
	ld.next++
}

// OwnAt returns the number of in-flight requests that this node had at a past
// time. Only the last maxChanges changes are known.
func (ld *Load) OwnAt(at time.Time) int {
	own := ld.own
	for ix := ld.next - 1; ix >= max(0, ld.next-maxChanges); ix-- {
		ch := ld.changes[ix%maxChanges]
		if !ch.at.After(at) {
			break
		}
		own -= ch.delta
	}
	return own
}

// decayRates decays the rates by the time since their last update.
func (ld *Load) decayRates(now time.Time) {
	elapsed := now.Sub(ld.ratesUpdated).Seconds()
	ld.ratesUpdated = now
	if elapsed <= 0 {
		return
	}
	ld.slowRate *= math.Exp(-elapsed / slowWindow.Seconds())
	ld.fastRate *= math.Exp(-elapsed / fastWindow.Seconds())
}

// expectedUnseen returns the expected number of requests that the other nodes
// send to the server between the last report or digest and the next one. It
// assumes that each of them sends as many as this node.
func (ld *Load) expectedUnseen(nodes int, now time.Time) float64 {
	stale := reportInterval
	if !ld.asOf.IsZero() {
		stale += max(0, now.Sub(ld.asOf))
	}
	ld.decayRates(now)
	rate := max(ld.slowRate, ld.fastRate) + 1/(2*slowWindow.Seconds())
	return rate * float64(nodes-1) * stale.Seconds()
}
