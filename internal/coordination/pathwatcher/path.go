package pathwatcher

import (
	"slices"
	"time"
)

const (
	// pingCount is the number of servers of a pool that are called at once, and
	// undecidedCount that while a node misses servers and has to know whether others are
	// reached. One alone could be the one that is still reached.
	pingCount      = 2
	undecidedCount = 4
	// maxSilenceDoublings bounds how often the time between two calls doubles while requests
	// wait and the servers answer the calls: they are slow.
	maxSilenceDoublings = 3
	// silenceTime is how long no server of a pool sends anything, while requests wait,
	// before servers are called. idleTime is that time without requests, for each pool
	// that is idle.
	silenceTime = 300 * time.Millisecond
	idleTime    = time.Second
	// detachedInterval is the time between two calls of a detached node, and
	// undecidedInterval that of a node that misses servers.
	detachedInterval  = 250 * time.Millisecond
	undecidedInterval = 50 * time.Millisecond
)

// path is what a node knows of its path to the servers of one pool. It must be used by one
// goroutine at a time.
type path struct {
	servers  []Server
	evidence *Evidence
	// since is when the pool was first listed.
	since time.Time
	// calledAt is when servers were last called, and doublings how often the time to the
	// next call has doubled.
	calledAt  time.Time
	doublings int
	// heardAt is when a server last sent something, at the last observation, and
	// waitingSince since when requests have been in progress; zero if none are.
	heardAt, waitingSince time.Time
}

func newPath(now time.Time) *path {
	return &path{evidence: NewEvidence(), since: now, heardAt: now}
}

// detached reports whether the node has lost the path.
func (pt *path) detached() bool { return pt.evidence.detached }

// list takes up the servers of the pool.
func (pt *path) list(servers []Server) {
	pt.servers = servers
	names := make(map[string]bool, len(servers))
	for _, sv := range servers {
		names[sv.Name] = true
	}
	pt.evidence.Keep(names)
}

// lastHeard returns when a server of the pool last sent something, or when the pool was
// first listed.
func (pt *path) lastHeard(ac Activity) time.Time {
	last := pt.since
	for _, sv := range pt.servers {
		if heard := ac.LastHeard(sv.Address); heard.After(last) {
			last = heard
		}
	}
	return last
}

// observe takes up what the node's requests do at the servers.
func (pt *path) observe(now time.Time, ac Activity) {
	pt.heardAt = pt.lastHeard(ac)
	if !pt.silent(now) {
		pt.doublings = 0
	}
	waiting := slices.ContainsFunc(pt.servers, func(sv Server) bool { return ac.InUse(sv.Address) > 0 })
	switch {
	case !waiting:
		pt.waitingSince = time.Time{}
	case pt.waitingSince.IsZero():
		pt.waitingSince = now
	}
}

// silent reports whether requests have been in progress for a while without a byte of any
// server.
func (pt *path) silent(now time.Time) bool {
	return !pt.waitingSince.IsZero() && now.Sub(pt.waitingSince) >= silenceTime && now.Sub(pt.heardAt) >= silenceTime
}

// suspicious reports whether a request ended without a byte at a server of which nothing
// was learned since.
func (pt *path) suspicious() bool {
	return slices.ContainsFunc(pt.servers, func(sv Server) bool { return pt.evidence.Suspects(sv.Name) })
}

// idle reports whether no request is in progress and none was lately.
func (pt *path) idle(now time.Time) bool {
	return pt.waitingSince.IsZero() && now.Sub(pt.heardAt) >= idleTime
}

func (pt *path) undecided(now time.Time) bool { return pt.evidence.Undecided(now, len(pt.servers)) }

func (pt *path) doubtful(now time.Time) bool { return pt.detached() || pt.undecided(now) }

// interval returns the time between two calls now, or false if none are needed. doubtful
// says that the node may have lost its path to some pool, and idle is the number of pools
// without requests, which share the calls of an idle node.
func (pt *path) interval(now time.Time, doubtful bool, idle int) (time.Duration, bool) {
	switch {
	case pt.detached():
		return detachedInterval, true
	case pt.undecided(now):
		return undecidedInterval, true
	case pt.suspicious(), pt.idle(now) && doubtful:
		return silenceTime, true
	case pt.silent(now):
		return silenceTime << pt.doublings, true
	case pt.idle(now):
		return time.Duration(idle) * idleTime, true
	}
	return 0, false
}

// choose returns the servers to call: those that are suspected first, then those of which
// nothing is known.
func (pt *path) choose(now time.Time) []Server {
	servers := slices.Clone(pt.servers)
	shuffle(servers)
	slices.SortStableFunc(servers, func(one, two Server) int {
		suspected := pt.evidence.Suspects(one.Name)
		switch {
		case suspected == pt.evidence.Suspects(two.Name):
			return pt.evidence.latest(one.Name).Compare(pt.evidence.latest(two.Name))
		case suspected:
			return -1
		}
		return 1
	})
	count := pingCount
	switch {
	case pt.detached():
	case pt.undecided(now):
		count = undecidedCount
	case pt.silent(now):
		pt.doublings = min(pt.doublings+1, maxSilenceDoublings)
	}
	return servers[:min(count, len(servers))]
}

// decide updates whether the node is detached and reports whether that changed.
func (pt *path) decide(now time.Time) (changed bool) {
	was := pt.detached()
	return pt.evidence.Decide(now, len(pt.servers)) != was
}
