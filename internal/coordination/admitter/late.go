package admitter

import (
	"time"

	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// maxWaitTargets is how many first-token targets a request may wait in the node, unless a
// part of the time to its deadline is longer.
const maxWaitTargets = 2

// refuseLate returns a refusal if a request with a prompt is late and waiting on is of no
// use, or nil.
//
// It answers a demand that exceeds the replicas of a model for some seconds. Requests
// that can be in time get the slots that become free. Of the late ones, as many wait on
// as the servers finish within the wait: they are served when demand falls or another
// replica is ready (see yieldsLate), and an answer that comes late is of use where a
// refusal is not. The others are refused when they become late, while their callers still
// have time to return.
func (sc *Scheduler) refuseLate(now time.Time, en *Entry) *refuser.Refusal {
	if en.ownPrefillTime == 0 || en.ticket.Resumed {
		return nil
	}
	if rf := sc.refuseUnfinishable(now, en); rf != nil {
		return rf
	}
	waited := now.Sub(en.arrivedAt)
	detail := "waited for %v and is late: %v"
	switch {
	case sc.displaced(now, en) && !sc.keepLate(en):
		detail = "late after %v, and others can still be in time: %v"
	case waited < sc.longestWait(en) && sc.startsInTime(now, en):
		return nil
	}
	return refuser.New(refuser.DeadlineUnreachable, detail, waited.Round(time.Millisecond), sc.estimateBest(now, en)).
		WithRetryAfter(sc.returnAfter(now, en, en.flow.classQueue.since))
}

// displaced reports whether the waiting entry is late, its servers are pressed, and
// entries of its class and model wait that can still be in time.
func (sc *Scheduler) displaced(now time.Time, en *Entry) bool {
	cq := en.flow.classQueue
	return !now.Before(en.onTimeUntil) && cq.count > cq.late && sc.pressed(now, en)
}

// yieldsLate reports whether the entry goes only to servers that are not close to their
// limit. Late entries that take each slot as it becomes free make the next arrivals late,
// which could be in time otherwise.
func (*Scheduler) yieldsLate(en *Entry) bool {
	return en.late && en.ownPrefillTime > 0 && !en.ticket.Resumed
}

// keepLate reports whether a displaced entry waits on.
func (sc *Scheduler) keepLate(en *Entry) bool {
	cq := en.flow.classQueue
	if !en.kept && cq.kept < sc.lateLimit(en) {
		en.kept = true
		cq.kept++
	}
	return en.kept
}

// lateLimit returns how many displaced entries of the entry's model and class wait on: this
// node's share of the requests that the servers finish within the wait, at least 1.
func (sc *Scheduler) lateLimit(en *Entry) int {
	slots := 0
	for _, tg := range sc.candidates(en.ticket) {
		if !tg.Leaving {
			slots += tg.Slots
		}
	}
	share := float64(slots) / float64(sc.table.Nodes())
	if duration := sc.statsFor(en.ticket.Model.Name()).duration; duration.known {
		wait := min(sc.longestWait(en), en.ticket.LatestStart().Sub(en.arrivedAt))
		share *= wait.Seconds() / max(duration.value.Seconds(), time.Millisecond.Seconds())
	}
	return max(int(share), 1)
}

// longestWait returns how long the entry may wait. A caller that is refused then still has
// most of its time left to return.
func (*Scheduler) longestWait(en *Entry) time.Duration {
	tk := en.ticket
	return max(maxWaitTargets*tk.Class.FirstToken(), tk.Deadline.Sub(en.arrivedAt)/honouredDivisor)
}

// startsInTime reports whether an answer would begin before the caller leaves if the entry
// were granted now, with as much time again as a margin.
func (sc *Scheduler) startsInTime(now time.Time, en *Entry) bool {
	tk := en.ticket
	first := sc.engines.FirstToken(tk.Model.Name(), sc.ownTokens(tk), 0)
	return now.Add(2 * first).Before(tk.LatestStart())
}
