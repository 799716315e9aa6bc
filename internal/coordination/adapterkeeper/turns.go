package adapterkeeper

import (
	"math"
	"time"
)

// Adapters that are always in use would keep their places for ever, and those
// that are asked for seldom would always find a server full. While others wait,
// one adapter that has had its turn gets no new requests on the server, and its place
// goes on once its running requests have ended.
const (
	// minTurn is how long an adapter keeps its place in any case.
	minTurn = 2 * time.Second
	// waitingTime is how long an adapter that found no place counts as waiting.
	// It covers the time after which its callers try again.
	waitingTime = 2 * time.Second
	// demandHalfLife is the time in which past demand counts for half.
	demandHalfLife = 2 * time.Second
	// lessDemand is how many times less demand an adapter has if it makes room before one
	// that has been loaded for longer.
	lessDemand = 4
	// idleTime is how long an adapter is unused before its place is released for others
	// ahead of their requests.
	idleTime = 3 * time.Second
)

// use records a use of the adapter.
func (en *entry) use(now time.Time) {
	en.demand, en.demandAt = en.demandNow(now)+1, now
	en.lastUsed = now
}

// demandNow returns the demand for the adapter.
func (en *entry) demandNow(now time.Time) float64 {
	if en.demand == 0 {
		return 0
	}
	return en.demand * math.Exp2(-float64(now.Sub(en.demandAt))/float64(demandHalfLife))
}

// idle returns the step that unloads an unused adapter if there is no place for another
// one, or false. An unload while a request waits for the place would double its wait.
func (tb *table) idle(now time.Time, claim int64) (step, bool) {
	if !tb.rules.TakeTurns || !tb.rules.CountsOrders || claim != tb.claim || !tb.inspected || len(tb.unanswered) > 0 {
		return step{}, false
	}
	largest := int64(0)
	for _, en := range tb.entries {
		largest = max(largest, en.bytes)
	}
	victim, evictable := tb.leastRecentlyUsed(now)
	if evictable == 0 || tb.reserved(now)+largest <= tb.rules.Reserve || now.Sub(tb.entries[victim].lastUsed) < idleTime {
		return step{}, false
	}
	return step{action: unload, name: victim, bytes: tb.entries[victim].bytes}, true
}

// noteWaiting records that an adapter found no place.
func (tb *table) noteWaiting(now time.Time, name string) {
	if !tb.rules.TakeTurns {
		return
	}
	for other, at := range tb.waiting {
		if now.Sub(at) > waitingTime {
			delete(tb.waiting, other)
		}
	}
	if tb.waiting == nil {
		tb.waiting = map[string]time.Time{}
	}
	tb.waiting[name] = now
}

// yields reports whether a loaded adapter has to make room for one that waits.
func (tb *table) yields(now time.Time, name string) bool {
	return tb.rules.TakeTurns && now.Sub(tb.entries[name].loadedAt) >= minTurn && tb.othersWait(now, name) && tb.yielding(now) == name
}

// yielding returns the adapter that makes room for one that waits: the one that has been
// loaded for longest, unless another one that had its turn has far less demand.
func (tb *table) yielding(now time.Time) string {
	var longest, least string
	for name, en := range tb.entries {
		if en.state != loaded || now.Sub(en.loadedAt) < minTurn {
			continue
		}
		if first := tb.entries[longest]; first == nil || en.loadedAt.Before(first.loadedAt) || en.loadedAt.Equal(first.loadedAt) && name < longest {
			longest = name
		}
		if last := tb.entries[least]; last == nil || en.demandNow(now) < last.demandNow(now) {
			least = name
		}
	}
	if least != "" && tb.entries[least].demandNow(now)*lessDemand < tb.entries[longest].demandNow(now) {
		return least
	}
	return longest
}

func (tb *table) othersWait(now time.Time, name string) bool {
	for other, at := range tb.waiting {
		if other != name && now.Sub(at) <= waitingTime {
			return true
		}
	}
	return false
}
