package admitter

import (
	"slices"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
)

// candidates returns the servers that hold the ticket's model and run the software
// that it needs. Servers that may have left are used only if there are no others, and so
// are those of a version of which other nodes may not know, for a stream that callers
// may take up.
func (sc *Scheduler) candidates(tk *Ticket) []*router.Target {
	all := sc.table.Candidates(tk.Model.Name())
	if tk.Software != "" {
		all = filter(all, func(tg *router.Target) bool { return tg.Software == tk.Software && !tg.Leaving })
	}
	all = without(all, func(tg *router.Target) bool { return tg.Unlisted })
	if tk.Software == "" && tk.Resumable {
		all = without(all, func(tg *router.Target) bool { return tg.Unsettled })
	}
	return all
}

// without returns the servers that are not to be avoided and don't leave, or all if there
// are none of these.
func without(all []*router.Target, avoided func(*router.Target) bool) []*router.Target {
	if !slices.ContainsFunc(all, avoided) {
		return all
	}
	if kept := filter(all, func(tg *router.Target) bool { return !avoided(tg) && !tg.Leaving }); len(kept) > 0 {
		return kept
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

// isCandidate reports whether the server, which holds the ticket's model, is one of its
// candidates.
func (sc *Scheduler) isCandidate(tk *Ticket, tg *router.Target) bool {
	if !tg.Unlisted && (tk.Software != "" || !tk.Resumable || !tg.Unsettled) {
		return tk.Software == "" || tk.Software == tg.Software
	}
	return slices.Contains(sc.candidates(tk), tg)
}
