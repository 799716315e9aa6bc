package admitter

import (
	"time"

	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// minGrantRate is the lowest rate, in grants per second, that an estimate
	// uses.
	minGrantRate = 1.0 / 60
	// maxRetryAfter is the longest wait that a refusal asks of a caller.
	maxRetryAfter = time.Minute
	// minRetryAfter is the shortest wait that a refusal asks of a caller.
	minRetryAfter = time.Second
)

// refuseUnreachable returns a refusal if the request can't meet its deadline,
// or nil.
func (sc *Scheduler) refuseUnreachable(now time.Time, en *Entry) *refuser.Refusal {
	wait, known := sc.estimateWait(now, en)
	throttled := sc.throttledWait(now, en)
	if !known && throttled == 0 {
		return nil
	}
	wait = max(wait, min(throttled, maxRetryAfter))
	minAfter := minRetryAfter
	remaining := sc.statsFor(en.ticket.Model.Name()).duration.value
	if en.ownPrefillTime > 0 {
		// A stream that has begun is delivered until its deadline, so that only
		// the time to its first token counts.
		minAfter, remaining = refusalExclusionTime, sc.engines.FirstToken(en.ticket.Model.Name(), sc.ownTokens(en.ticket), 0)
	}
	end := now.Add(wait + remaining)
	lateBy := end.Sub(en.ticket.Deadline)
	if lateBy <= 0 {
		return nil
	}
	after := min(max(lateBy, minAfter), maxRetryAfter)
	if throttled > 0 {
		after = sc.throttledRetryAfter(throttled)
	}
	return refuser.New(refuser.DeadlineUnreachable,
		"about %v of waiting are ahead and the deadline is in %v", wait.Round(time.Millisecond), en.ticket.Deadline.Sub(now).Round(time.Millisecond)).
		WithRetryAfter(after)
}

// estimateWait returns how long the request would wait. For a request with a
// prompt this is estimatePrefillWait, and turnWait at brittle servers; otherwise it is the number of entries
// ahead of it, divided by the measured rate of grants. A request that would
// become late is served with the late ones, which get one of lateGrantInterval
// grants. It returns false if the rate is unknown or nothing waits.
func (sc *Scheduler) estimateWait(now time.Time, en *Entry) (time.Duration, bool) {
	if en.ownPrefillTime > 0 {
		return sc.estimatePrefillWait(now, en), true
	}
	if wait, known := sc.turnWait(now, en); known {
		return wait, true
	}
	mq, ok := sc.queues[en.ticket.Model.Name()]
	if !ok {
		return 0, false
	}
	cq := mq.byClass[en.class]
	rate, known := cq.meter.rate(now)
	if !known || cq.count == 0 {
		return 0, false
	}
	rate = max(rate, minGrantRate)
	ahead := cq.aheadOf(en.ticket.Caller.Name())
	wait := seconds(float64(ahead+1) / rate)
	if cq.late > 0 {
		wait = wait * lateGrantInterval / (lateGrantInterval - 1)
	}
	target := sc.slack(en.ticket)
	if wait <= target {
		return wait, true
	}
	lateWait := seconds(float64(cq.late+1) * lateGrantInterval / rate)
	return max(wait, target+lateWait), true
}

// aheadOf returns how many on-time entries precede a new one of the caller: all
// of them, or fewer if other callers have more waiting entries.
func (cq *classQueue) aheadOf(caller string) int {
	own := 0
	if fl := cq.flow(caller); fl != nil {
		own = fl.onTime.Len()
	}
	return min(cq.count-cq.late, (own+1)*max(len(cq.flows), 1))
}

func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}

// makeRoom makes room for the entry in a full queue by refusing less urgent
// entries. It returns a refusal of the entry itself if that isn't possible.
func (sc *Scheduler) makeRoom(now time.Time, en *Entry) *refuser.Refusal {
	lm := sc.settings.Limits()
	size := int64(en.ticket.Bytes)
	for sc.waitingRequests+1 > lm.QueueRequests() || sc.waitingBytes+size > lm.QueueBytes() {
		victim := sc.victim(en.class)
		if victim == nil || size > lm.QueueBytes() {
			return sc.queueFullRefusal(now, en)
		}
		sc.refuseWaiting(now, victim, sc.queueFullRefusal(now, victim))
	}
	return nil
}

// victim returns the newest entry of the least urgent class that has waiting
// entries and is less urgent than class, or nil.
func (sc *Scheduler) victim(class int) *Entry {
	for ix := len(sc.classes) - 1; ix > class; ix-- {
		if el := sc.classes[ix].arrivals.Back(); el != nil {
			return el.Value.(*Entry)
		}
	}
	return nil
}

func (sc *Scheduler) queueFullRefusal(now time.Time, en *Entry) *refuser.Refusal {
	lm := sc.settings.Limits()
	after := minRetryAfter
	if wait, known := sc.estimateWait(now, en); known {
		after = min(max(wait, minRetryAfter), maxRetryAfter)
	}
	if sc.waitingRequests+1 > lm.QueueRequests() {
		return refuser.New(refuser.QueueFull, "%d requests wait at this node", sc.waitingRequests).WithRetryAfter(after)
	}
	return refuser.New(refuser.QueueBytes, "%d bytes of requests wait at this node", sc.waitingBytes).WithRetryAfter(after)
}
