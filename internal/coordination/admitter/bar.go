package admitter

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
)

// refusedTime is how long a server that refused a request gets no other one for
// the same model: a few requests end in that time, even on a full server.
const refusedTime = 300 * time.Millisecond

// replica is a model on a server.
type replica struct{ server, model string }

// Bar keeps work for a model away from a server for a time.
func (ad *Admitter) Bar(server, model string, dn time.Duration) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.scheduler.Bar(ad.now(), server, model, dn)
}

// Bar is the decision of Admitter.Bar.
func (sc *Scheduler) Bar(now time.Time, server, model string, dn time.Duration) {
	for rp, until := range sc.barred {
		if !now.Before(until) {
			delete(sc.barred, rp)
		}
	}
	rp := replica{server, model}
	if until := now.Add(dn); until.After(sc.barred[rp]) {
		sc.barred[rp] = until
	}
}

// isBarred reports whether the target gets no work for the entry's model now.
func (sc *Scheduler) isBarred(now time.Time, en *Entry, tg *router.Target) bool {
	if len(sc.barred) == 0 {
		return false
	}
	return now.Before(sc.barred[replica{tg.Name, en.ticket.Model.Name()}])
}
