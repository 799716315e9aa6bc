package admitter

import (
	"time"

	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// honouredDivisor gives the fraction of the time left that callers wait at
	// most before they return.
	honouredDivisor = 3
	// shortestReturn is the least bound on the wait of a caller.
	shortestReturn = 10 * time.Millisecond
	// decodeShare is the part of an answer's longest decode time that it is
	// expected to take, since most answers are shorter than their maximum.
	decodeShare = 0.75
	// returnJitter is the fraction of a wait over which refused callers return.
	returnJitter = 0.4
)

// refuseUnfinishable refuses an entry whose answer would not be whole by its
// deadline, by the token times of its model lately, even if it were sent at
// once, while all its servers are pressed. On a server it would take capacity until its deadline for nothing.
func (sc *Scheduler) refuseUnfinishable(now time.Time, en *Entry) *refuser.Refusal {
	tk := en.ticket
	tokenTime := sc.statsFor(tk.Model.Name()).tokenTime
	if en.ownPrefillTime == 0 || tk.Resumed || !tokenTime.known {
		return nil
	}
	need := sc.engines.FirstToken(tk.Model.Name(), sc.ownTokens(tk), 0) + time.Duration(decodeShare*float64(tk.MaxTokens)*float64(tokenTime.value))
	left := tk.Deadline.Sub(now)
	if need <= left || !sc.pressed(now, en) {
		return nil
	}
	return refuser.New(refuser.DeadlineUnreachable, "it takes about %v and the deadline is in %v: %v", need.Round(time.Millisecond), left.Round(time.Millisecond), sc.estimateBest(now, en)).
		WithRetryAfter(sc.returnAfter(now, en, now))
}

// returnAfter returns when the caller of a refused entry should return. An
// overload is expected to last as long again as it has lasted, since its end is
// not known. Callers don't wait longer than a part of the time that they have
// left, and those that are refused together return one after the other.
func (sc *Scheduler) returnAfter(now time.Time, en *Entry, since time.Time) time.Duration {
	longest := max(en.ticket.Deadline.Sub(now)/honouredDivisor, shortestReturn)
	after := min(max(now.Sub(since), refusalExclusionTime), longest)
	return after - time.Duration(returnJitter*sc.random.Float64()*float64(after))
}
