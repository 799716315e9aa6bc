package admitter

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// softwareRefusal refuses a request for whose software there is no server with its
// model. It names no time to return, since no server goes back to a former version.
func softwareRefusal(tk *Ticket) *refuser.Refusal {
	return refuser.New(refuser.VersionGone, "no server of software %q holds model %q", tk.Software, tk.Model.Name())
}

// refuseWithoutSoftware refuses the waiting requests for whose software no server
// is left.
func (sc *Scheduler) refuseWithoutSoftware(now time.Time) {
	for _, cs := range sc.classes {
		for el := cs.arrivals.Front(); el != nil; {
			en := el.Value.(*Entry)
			el = el.Next()
			if en.ticket.Software != "" && len(sc.candidates(en.ticket)) == 0 {
				sc.refuseWaiting(now, en, softwareRefusal(en.ticket))
			}
		}
	}
}

// ejectedAlike reports whether health takes all servers out that run the software
// which the ticket needs. They are used nevertheless: no other can go on with the
// stream.
func (sc *Scheduler) ejectedAlike(tk *Ticket, candidates []*router.Target) bool {
	if tk.Software == "" {
		return false
	}
	for _, tg := range candidates {
		if sc.weight(tg) > 0 {
			return false
		}
	}
	return true
}
