package router

import (
	"math"
	"time"
)

const (
	// journalLength bounds the dispatches and ends that one load remembers.
	journalLength = 256
	// slowWindow and fastWindow are the times over which the rate of
	// dispatches is averaged; the greater of the two rates counts, so that a
	// burst is seen at once and a rare request is not forgotten at once.
	slowWindow = 10 * time.Second
	fastWindow = time.Second
	// usedLately is how long a server counts as in use after the last request.
	usedLately = 5 * time.Second
	// refreshInterval is the time until the next report may be expected.
	refreshInterval = time.Second
)

// change is a dispatch or the end of one.
type change struct {
	at    time.Time
	delta int
}

// Load is what a node knows of one server's load: its own requests exactly,
// those of the others from the last report or digest. Nothing is counted
// twice: from a report, the requests that were this node's own at the time
// when it was taken are subtracted.
type Load struct {
	own int
	// backlog is the time in which the prompts of the own requests are read,
	// and othersBacklog that of the other nodes'.
	backlog       time.Duration
	othersBacklog time.Duration
	journal       [journalLength]change
	next          int
	reported      int
	others        int
	users         int
	asOf          time.Time
	slow          float64
	fast          float64
	ratedAt       time.Time
	usedAt        time.Time
}

// Own returns the requests that this node has on the server.
func (ld *Load) Own() int { return ld.own }

// Used reports whether this node has or lately had requests on the server.
func (ld *Load) Used(now time.Time) bool {
	return ld.own > 0 || !ld.usedAt.IsZero() && now.Sub(ld.usedAt) < usedLately
}

// Others returns the requests that other nodes are thought to have there.
func (ld *Load) Others() int { return ld.others }

// Users returns how many nodes use the server, or zero if that is not known.
func (ld *Load) Users() int { return ld.users }

// Total returns the corrected number of requests on the server.
func (ld *Load) Total() int { return ld.own + ld.others }

// Reported returns the uncorrected number of the last report.
func (ld *Load) Reported() int { return ld.reported }

// Backlog returns the time in which the prompts sent so far will be read.
func (ld *Load) Backlog() time.Duration { return ld.backlog + ld.othersBacklog }

// Use returns what this node has on the server.
func (ld *Load) Use() Use { return Use{Requests: ld.own, Backlog: ld.backlog} }

// Expect counts a prompt of this node as still to be read.
func (ld *Load) Expect(reading time.Duration) { ld.backlog += reading }

// Read counts a prompt of this node as read.
func (ld *Load) Read(reading time.Duration) { ld.backlog = max(ld.backlog-reading, 0) }

// OthersExpect takes in the backlog of the other nodes.
func (ld *Load) OthersExpect(backlog time.Duration) { ld.othersBacklog = backlog }

// Dispatched counts a request as sent to the server.
func (ld *Load) Dispatched(now time.Time) {
	ld.own++
	ld.usedAt = now
	ld.note(now, 1)
	ld.fade(now)
	ld.slow += 1 / slowWindow.Seconds()
	ld.fast += 1 / fastWindow.Seconds()
}

// Finished counts a request as ended.
func (ld *Load) Finished(now time.Time) {
	ld.own--
	ld.usedAt = now
	ld.note(now, -1)
}

// Report takes in the number of requests that the server counted at the time
// taken. A report that is older than what is known is ignored.
func (ld *Load) Report(count int, taken time.Time) {
	if !taken.After(ld.asOf) && !ld.asOf.IsZero() {
		return
	}
	ld.reported = count
	ld.others = max(0, count-ld.OwnAt(taken))
	ld.asOf = taken
}

// Digest takes in the requests of the other nodes as they told the server's
// owner, and the number of nodes that use the server, this one included.
func (ld *Load) Digest(others, users int, taken time.Time) {
	ld.users = users
	if taken.Before(ld.asOf) {
		return
	}
	ld.others = others
	ld.asOf = taken
}

func (ld *Load) note(now time.Time, delta int) {
	ld.journal[ld.next%journalLength] = change{at: now, delta: delta}
	ld.next++
}

// OwnAt returns the requests that this node had on the server at the time.
func (ld *Load) OwnAt(at time.Time) int {
	own := ld.own
	for ix := ld.next - 1; ix >= max(0, ld.next-journalLength); ix-- {
		ch := ld.journal[ix%journalLength]
		if !ch.at.After(at) {
			break
		}
		own -= ch.delta
	}
	return own
}

// fade lets the rates fall with the time since they were brought up to date.
func (ld *Load) fade(now time.Time) {
	passed := now.Sub(ld.ratedAt).Seconds()
	ld.ratedAt = now
	if passed <= 0 {
		return
	}
	ld.slow *= math.Exp(-passed / slowWindow.Seconds())
	ld.fast *= math.Exp(-passed / fastWindow.Seconds())
}

// unseen returns how many requests all nodes are expected to send to the server
// between the time of the last knowledge and the next one, if each of them
// sends as many as this one.
func (ld *Load) unseen(nodes int, now time.Time) float64 {
	stale := refreshInterval
	if !ld.asOf.IsZero() {
		stale += max(0, now.Sub(ld.asOf))
	}
	ld.fade(now)
	rate := max(ld.slow, ld.fast) + 1/(2*slowWindow.Seconds())
	return rate * float64(nodes-1) * stale.Seconds()
}
