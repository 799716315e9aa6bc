package admitter

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
)

// fillTransfer sets what the routing request says about prompts that servers fetch
// from each other. This answers demand that moves to other replicas within seconds: a
// new replica has no prompts cached, and would prefill what its peers have.
func (sc *Scheduler) fillTransfer(tk *Ticket, candidates []*router.Target) {
	sc.request.TransferTime, sc.request.HeldElsewhere, sc.prefixSource = nil, 0, nil
	if sc.settings == nil || len(tk.PrefixTokens) == 0 || len(candidates) < 2 {
		return
	}
	po, ok := sc.settings.Pool(tk.Model.Pool())
	if !ok {
		return
	}
	if _, fetches := po.CacheTransferTime(1); !fetches {
		return
	}
	sc.request.TransferTime = func(tokens int) time.Duration {
		took, _ := po.CacheTransferTime(tokens)
		return took
	}
	for _, tg := range candidates {
		if tg.Leaving || tg.Unlisted || tg.Prefixes == nil || sc.weight(tg) < 1 {
			continue
		}
		if held := tg.Prefixes.Held(tk.Prefixes); held > sc.request.HeldElsewhere {
			sc.request.HeldElsewhere, sc.prefixSource = held, tg
		}
	}
}

// prefixSourceFor returns the address of the server from which the target should fetch
// the start of the prompt, or "" for none. The routing request must be that of the
// entry.
func (sc *Scheduler) prefixSourceFor(tg *router.Target) string {
	if sc.prefixSource == nil || sc.prefixSource == tg || !sc.request.Fetches(tg) {
		return ""
	}
	return sc.prefixSource.Address
}
