package pathwatcher

import "time"

const (
	// minMissed is the number of servers that a node must have missed to count as
	// detached, unless it has fewer.
	minMissed = 3
	// minSample is the number of servers of which something has to be known once one
	// is missed.
	minSample = 6
	// reachedWeight is how many missed servers one that was reached meanwhile
	// outweighs.
	reachedWeight = 3
	// confirmTime is how long after the first miss a node counts as detached at the
	// earliest, so that the answers of other servers can arrive.
	confirmTime = 200 * time.Millisecond
	// missLifetime is how long a miss counts.
	missLifetime = 5 * time.Second
)

// Evidence is which servers of a pool a node has reached lately over new connections. A
// server that misses calls by itself is missed by all nodes; a node that misses nearly all
// servers has lost its own path. Once it has, only answers of servers end that: misses
// lapse while the path counts as sound, since a server that was missed once need not be
// called again, but to hear nothing over a lost path is no news. Evidence must be used by
// one goroutine at a time.
type Evidence struct {
	servers map[string]*contact
	// detached is the last decision.
	detached bool
	// lostSince is when the first of the misses was that made the node detached.
	lostSince time.Time
}

// contact is the evidence on one server.
type contact struct {
	// reached is when the server last answered over a new connection.
	reached time.Time
	// missed is when it last did not, and missedFirst when it first did not since it
	// was reached.
	missed, missedFirst time.Time
	// silent is when a request last ended there without a byte.
	silent time.Time
}

// NewEvidence returns evidence on no server.
func NewEvidence() *Evidence { return &Evidence{servers: map[string]*contact{}} }

func (ev *Evidence) contact(server string) *contact {
	ct, ok := ev.servers[server]
	if !ok {
		ct = &contact{}
		ev.servers[server] = ct
	}
	return ct
}

// Reached records that the server answered over a new connection.
func (ev *Evidence) Reached(now time.Time, server string) {
	ct := ev.contact(server)
	ct.reached, ct.missedFirst = now, time.Time{}
}

// Missed records that the server could not be reached over a new connection.
func (ev *Evidence) Missed(now time.Time, server string) {
	ct := ev.contact(server)
	ct.missed = now
	if ct.missedFirst.IsZero() {
		ct.missedFirst = now
	}
}

// latest returns when something was last learned of the server.
func (ev *Evidence) latest(server string) time.Time {
	ct, ok := ev.servers[server]
	switch {
	case !ok:
		return time.Time{}
	case ct.missed.After(ct.reached):
		return ct.missed
	}
	return ct.reached
}

// Keep forgets the servers that are not listed.
func (ev *Evidence) Keep(listed map[string]bool) {
	for server := range ev.servers {
		if !listed[server] {
			delete(ev.servers, server)
		}
	}
}

// Silent records that a request ended at the server without a byte of it. That may be the
// server's fault, so that it is only a reason to call the server.
func (ev *Evidence) Silent(now time.Time, server string) { ev.contact(server).silent = now }

// Suspects reports whether a request ended at the server without a byte, and nothing was
// learned of the server since.
func (ev *Evidence) Suspects(server string) bool {
	ct, ok := ev.servers[server]
	return ok && ct.silent.After(ct.reached) && ct.silent.After(ct.missed)
}

// silentSince returns when a request last ended at the server without a byte of it, or the
// zero time.
func (ev *Evidence) silentSince(server string) time.Time {
	if ct, ok := ev.servers[server]; ok {
		return ct.silent
	}
	return time.Time{}
}

// count returns the servers that are missed now, those that were reached since the
// first of these misses, and when that was.
func (ev *Evidence) count(now time.Time) (missed, reached int, since time.Time) {
	if ev.detached {
		since = ev.lostSince
	}
	for _, ct := range ev.servers {
		if ev.isMissed(now, ct) {
			missed++
			if !ev.detached && (since.IsZero() || ct.missedFirst.Before(since)) {
				since = ct.missedFirst
			}
		}
	}
	for _, ct := range ev.servers {
		if !since.IsZero() && !ev.isMissed(now, ct) && !ct.reached.Before(since) {
			reached++
		}
	}
	return missed, reached, since
}

func (ev *Evidence) isMissed(now time.Time, ct *contact) bool {
	return !ct.missedFirst.IsZero() && (ev.detached || now.Sub(ct.missed) < missLifetime)
}

// Misses reports whether the server is missed now.
func (ev *Evidence) Misses(now time.Time, server string) bool {
	ct, ok := ev.servers[server]
	return ok && ev.isMissed(now, ct)
}

// Undecided reports whether servers are missed and too little is known of the others,
// of which there are as many as given with them.
func (ev *Evidence) Undecided(now time.Time, servers int) bool {
	missed, reached, _ := ev.count(now)
	return missed > 0 && (reached*reachedWeight <= missed || missed+reached < min(minSample, servers))
}

// Decide decides whether the node is detached: it has lost its path to nearly all of the
// servers, of which there are as many as given.
func (ev *Evidence) Decide(now time.Time, servers int) (detached bool) {
	missed, reached, since := ev.count(now)
	outweighed := reached*reachedWeight > missed
	switch {
	case servers == 0:
		ev.detached = false
	case ev.detached:
		ev.detached = !outweighed
	case missed >= min(minMissed, servers) && !outweighed && now.Sub(since) >= confirmTime:
		ev.detached, ev.lostSince = true, since
	}
	return ev.detached
}
