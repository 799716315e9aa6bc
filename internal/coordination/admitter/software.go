package admitter

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// candidates returns the servers that hold the ticket's model and run the software
// that it needs.
func (sc *Scheduler) candidates(tk *Ticket) []*router.Target {
	all := sc.table.Candidates(tk.Model.Name())
	if tk.Software == "" {
		return all
	}
	var matching []*router.Target
	for _, tg := range all {
		if softwareFits(tk, tg) && !tg.Leaving {
			matching = append(matching, tg)
		}
	}
	return matching
}

// softwareFits reports whether the server runs the software that the ticket needs.
func softwareFits(tk *Ticket, tg *router.Target) bool {
	return tk.Software == "" || tk.Software == tg.Software
}

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
