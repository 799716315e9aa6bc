package admitter

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
)

const (
	// memoryWeight is the weight of a new request in the mean memory.
	memoryWeight = 0.05
	// lowPrefill is the fraction of a server's time in prefill up to which it may
	// use all slots. From highPrefill on, prefillSlots of them stay free.
	lowPrefill   = 0.3
	highPrefill  = 0.7
	prefillSlots = 0.5
	// pressedShare is the part of its batch limit from which a server is pressed.
	pressedShare = 0.75
)

// batchLimit returns how many requests of all nodes the target should have at
// once: its slots, or fewer if that many would not fit into its cache memory or
// if it spends much of its time in prefill.
//
// An engine that runs out of memory preempts requests, whose prompts it then
// prefills anew, and drops the cached prefixes of others. In prefill, streams
// get a token only after each part of a prompt, so that with all slots in use
// none ends before its deadline.
func (sc *Scheduler) batchLimit(now time.Time, tg *router.Target) int {
	if tg.CacheTokens == 0 {
		return tg.Slots
	}
	excess := (tg.Load.Prefill(now) - lowPrefill) / (highPrefill - lowPrefill)
	limit := float64(tg.Slots) * (1 - prefillSlots*min(max(excess, 0), 1))
	if mean := sc.meanMemory[tg.Pool]; mean > 0 {
		limit = min(limit, float64(tg.CacheTokens)/mean)
	}
	return max(int(limit), 1)
}

// recordMemory updates the mean cache memory, in tokens, of the requests of the
// target's pool with a granted entry: the part of the prompt that the target
// doesn't cache, and the answer.
func (sc *Scheduler) recordMemory(en *Entry, tg *router.Target) {
	memory := float64(en.uncachedTokens + en.ticket.MaxTokens)
	mean, ok := sc.meanMemory[tg.Pool]
	if !ok {
		mean = memory
	}
	sc.meanMemory[tg.Pool] = mean + memoryWeight*(memory-mean)
}

// pressed reports whether all servers of the entry's model are close to their
// batch limit.
func (sc *Scheduler) pressed(now time.Time, en *Entry) bool {
	for _, tg := range sc.candidates(en.ticket) {
		if !tg.Leaving && !sc.nearLimit(now, tg) {
			return false
		}
	}
	return true
}

// nearLimit reports whether the target is close to its batch limit.
func (sc *Scheduler) nearLimit(now time.Time, tg *router.Target) bool {
	return float64(tg.Load.Total()) >= pressedShare*float64(sc.batchLimit(now, tg))
}
