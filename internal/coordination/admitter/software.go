package admitter

import (
	"slices"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// candidates returns the servers that hold the ticket's model and run the software
// that it needs. A stream that callers may take up begins at a version of which other
// nodes may not know only if there is no other server.
func (sc *Scheduler) candidates(tk *Ticket) []*router.Target {
	all := sc.table.Candidates(tk.Model.Name())
	switch {
	case tk.Software != "":
		return filter(all, func(tg *router.Target) bool { return tg.Software == tk.Software && !tg.Leaving })
	case tk.Resumable && slices.ContainsFunc(all, func(tg *router.Target) bool { return tg.Unsettled }):
		if settled := filter(all, func(tg *router.Target) bool { return !tg.Unsettled && !tg.Leaving }); len(settled) > 0 {
			return settled
		}
	}
	return all
}

func filter(all []*router.Target, keep func(*router.Target) bool) []*router.Target {
	var kept []*router.Target
	for _, tg := range all {
		if keep(tg) {
			kept = append(kept, tg)
		}
	}
	return kept
}

// softwareFits reports whether the ticket may go to the server's software.
func (sc *Scheduler) softwareFits(tk *Ticket, tg *router.Target) bool {
	if tk.Software != "" {
		return tk.Software == tg.Software
	}
	return !tk.Resumable || !tg.Unsettled || slices.Contains(sc.candidates(tk), tg)
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
