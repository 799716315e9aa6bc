package adapterkeeper

import "time"

// Adapters that are always in use would keep their places for ever, and those
// that are asked for seldom would always find a server full. While others wait,
// the adapter that has been loaded for longest gets no new requests on the
// server, and its place goes on once its running requests have ended.
const (
	// minTurn is how long an adapter keeps its place in any case.
	minTurn = 2 * time.Second
	// waitingTime is how long an adapter that found no place counts as waiting.
	// It covers the time after which its callers try again.
	waitingTime = 2 * time.Second
)

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
	en := tb.entries[name]
	if !tb.rules.TakeTurns || now.Sub(en.loadedAt) < minTurn || !tb.othersWait(now, name) {
		return false
	}
	for _, other := range tb.entries {
		if other.state == loaded && other.loadedAt.Before(en.loadedAt) {
			return false
		}
	}
	return true
}

func (tb *table) othersWait(now time.Time, name string) bool {
	for other, at := range tb.waiting {
		if other != name && now.Sub(at) <= waitingTime {
			return true
		}
	}
	return false
}
