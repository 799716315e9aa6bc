package admitter

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
)

// refusalExclusionTime is how long a server that refused a request gets no
// other one for the same model. Even a full server ends a few requests in that
// time.
const refusalExclusionTime = 300 * time.Millisecond

// replica is a model on a server.
type replica struct{ server, model string }

// Exclude stops sending requests for the model to the server for the duration
// dn. It never shortens an earlier exclusion.
func (ad *Admitter) Exclude(server, model string, dn time.Duration) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.scheduler.Exclude(ad.now(), server, model, dn)
}

// Exclude implements Admitter.Exclude.
func (sc *Scheduler) Exclude(now time.Time, server, model string, dn time.Duration) {
	for rp, until := range sc.excluded {
		if !now.Before(until) {
			delete(sc.excluded, rp)
		}
	}
	rp := replica{server, model}
	if until := now.Add(dn); until.After(sc.excluded[rp]) {
		sc.excluded[rp] = until
	}
}

// isExcluded reports whether the target is excluded from requests for the
// entry's model now.
func (sc *Scheduler) isExcluded(now time.Time, en *Entry, tg *router.Target) bool {
	if len(sc.excluded) == 0 {
		return false
	}
	return now.Before(sc.excluded[replica{tg.Name, en.ticket.Model.Name()}])
}
