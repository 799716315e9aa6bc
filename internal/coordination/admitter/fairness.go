package admitter

import (
	"math"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// callerWindow is the time over which the use by a caller is averaged. A
	// caller that asks for many times its usual demand does so for seconds.
	callerWindow = 5 * time.Second
	// overShareFactor is how many times its fair share a caller over its share has.
	overShareFactor = 1.5
	// overSharePart is the part of a server that callers over their share may fill while
	// others wait.
	overSharePart = 0.6
	// contentionTime is how long callers over their share yield after a request of
	// another one had to wait.
	contentionTime = time.Second
	// idleUse is the use, in tokens, below which a caller is not active.
	idleUse = 1.0
)

// callerUses holds what each caller got on this node lately, in tokens. Callers
// spread their requests evenly over the nodes, so that this stands for what
// they got on all nodes, without messages.
type callerUses struct {
	uses map[string]*callerUse
	// fair is the use for each unit of quota if all active callers had the same,
	// and meanQuota the quota that callers without one count with.
	fair, meanQuota float64
	// contendedUntil is the time until which callers over their share yield.
	contendedUntil time.Time
}

type callerUse struct {
	value float64
	at    time.Time
	// quota is the caller's quota, or 0 if it has none. Its fair share is in
	// proportion to it, or that of the mean quota.
	quota float64
}

func newCallerUses() *callerUses { return &callerUses{uses: map[string]*callerUse{}} }

func (us *callerUse) decayed(now time.Time) float64 {
	return us.value * math.Exp(-max(now.Sub(us.at), 0).Seconds()/callerWindow.Seconds())
}

// add adds the cost of a granted request.
func (cu *callerUses) add(now time.Time, caller *configurer.Caller, cost float64) {
	us, ok := cu.uses[caller.Name()]
	if !ok {
		us = &callerUse{}
		cu.uses[caller.Name()] = us
	}
	us.value, us.at = us.decayed(now)+cost, now
	us.quota = caller.Quota()
}

// update determines the fair share anew and forgets callers that are not active.
func (cu *callerUses) update(now time.Time) {
	sum, quotas, limited := 0.0, 0.0, 0
	for name, us := range cu.uses {
		value := us.decayed(now)
		if value < idleUse {
			delete(cu.uses, name)
			continue
		}
		sum += value
		quotas += us.quota
		if us.quota > 0 {
			limited++
		}
	}
	cu.meanQuota = 1
	if limited > 0 {
		cu.meanQuota = quotas / float64(limited)
	}
	weights := quotas + float64(len(cu.uses)-limited)*cu.meanQuota
	cu.fair = sum / max(weights, math.SmallestNonzeroFloat64)
}

// overShare reports whether the caller got much more than its fair share.
func (cu *callerUses) overShare(now time.Time, caller string) bool {
	us, ok := cu.uses[caller]
	if !ok || cu.fair == 0 {
		return false
	}
	weight := us.quota
	if weight <= 0 {
		weight = cu.meanQuota
	}
	return us.decayed(now)/weight > overShareFactor*cu.fair
}

// yieldsToCallers reports whether the entry has to leave the rest of the target
// to other callers, since its own got much more than they and they have to wait.
func (sc *Scheduler) yieldsToCallers(now time.Time, en *Entry, tg *router.Target) bool {
	if !now.Before(sc.callers.contendedUntil) {
		return false
	}
	limit := sc.batchLimit(now, tg)
	part := int(overSharePart * float64(limit))
	// With more nodes than slots, each sees free slots that the others take.
	taken := tg.Load.Total() >= part || sc.users(tg) > limit && tg.Load.Own() >= sc.share(now, tg, part, freeInterval)
	return taken && sc.callers.overShare(now, en.ticket.Caller.Name())
}

// noteContention notes that the entry has to wait.
func (sc *Scheduler) noteContention(now time.Time, en *Entry) {
	if !sc.callers.overShare(now, en.ticket.Caller.Name()) {
		sc.callers.contendedUntil = now.Add(contentionTime)
	}
}
