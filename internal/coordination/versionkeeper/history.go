package versionkeeper

import (
	"slices"
	"time"
)

const (
	// streamMemory is how long a stream and the versions of a pool are remembered. It
	// exceeds the time in which callers take up a stream.
	streamMemory = 2 * time.Minute
	// settleTime is how long a version that is new in a pool begins no streams that
	// callers may take up. All nodes in touch learn of it within that time, also if
	// the connection over which one of them hears of changes has gone silent.
	settleTime = 5 * time.Second
	// maxSettleTime is settleTime for a pool without a mark in the store.
	maxSettleTime = 30 * time.Second
)

// Process is a running process of a backend server.
type Process struct {
	// Server is the server's id, Pool its pool.
	Server, Pool string
	// Software is the version of its software.
	Software string
	// Incarnation increases with each start of the server.
	Incarnation int64
}

// History records which versions of their software the servers of each pool had
// lately. It must be used by one goroutine at a time.
type History struct {
	pools map[string]*pool
	// marked has the pools that may have had several versions lately, also before
	// the node started.
	marked map[string]bool
	// recorded has the store's record of the version of each pool that has had a
	// single one.
	recorded map[string]versionRecord
	// since is when the servers were first listed, or listed again after an
	// interruption; zero means never.
	since time.Time
}

// versionRecord is a pool's version in the store and the revision of its key.
type versionRecord struct {
	software string
	revision int64
}

// pool is the versions of one pool.
type pool struct{ seen map[string]*sighting }

// sighting says when a version was in use.
type sighting struct {
	first, last time.Time
	// settled says that the version was there when the node started.
	settled bool
	// listed says that a server has the version now.
	listed bool
}

// NewHistory returns a history without versions.
func NewHistory() *History {
	return &History{pools: map[string]*pool{}, marked: map[string]bool{}, recorded: map[string]versionRecord{}}
}

// Update records the servers that are listed at the time.
func (hs *History) Update(now time.Time, processes []Process) {
	for _, po := range hs.pools {
		for _, sg := range po.seen {
			if sg.listed {
				sg.last, sg.listed = now, false
			}
		}
	}
	for _, pr := range processes {
		sg := hs.note(now, pr.Pool, pr.Software)
		sg.listed = true
		sg.settled = sg.settled || hs.since.IsZero()
	}
	if hs.since.IsZero() {
		hs.since = now
	}
	hs.prune(now)
}

// Interrupt records that the node may have missed servers that came and went.
func (hs *History) Interrupt(now time.Time) {
	if !hs.since.IsZero() {
		hs.since = now
	}
}

// Note records that another node has seen the version.
func (hs *History) Note(now time.Time, name, software string) { hs.note(now, name, software) }

func (hs *History) note(now time.Time, name, software string) *sighting {
	po, ok := hs.pools[name]
	if !ok {
		po = &pool{seen: map[string]*sighting{}}
		hs.pools[name] = po
	}
	sg, ok := po.seen[software]
	if !ok {
		sg = &sighting{first: now}
		po.seen[software] = sg
	}
	sg.last = now
	return sg
}

// prune forgets versions that have not been in use for streamMemory.
func (hs *History) prune(now time.Time) {
	for name, po := range hs.pools {
		for software, sg := range po.seen {
			if !sg.listed && now.Sub(sg.last) >= streamMemory {
				delete(po.seen, software)
			}
		}
		if len(po.seen) == 0 {
			delete(hs.pools, name)
		}
	}
}

// Seen returns the versions that streams of the pool may have begun at within
// streamMemory, sorted: those that were in use, and the recorded one.
func (hs *History) Seen(now time.Time, name string) []string {
	versions := hs.observed(now, name)
	if rc, ok := hs.recorded[name]; ok && !slices.Contains(versions, rc.software) {
		versions = append(versions, rc.software)
		slices.Sort(versions)
	}
	return versions
}

// observed returns the versions that the pool has had within streamMemory as far as
// nodes have seen since this one started, sorted.
func (hs *History) observed(now time.Time, name string) []string {
	var versions []string
	if po, ok := hs.pools[name]; ok {
		for software, sg := range po.seen {
			if sg.listed || now.Sub(sg.last) < streamMemory {
				versions = append(versions, software)
			}
		}
	}
	slices.Sort(versions)
	return versions
}

// Sole returns the only version that the pool has had within streamMemory, or false
// if there were several or none.
func (hs *History) Sole(now time.Time, name string) (string, bool) {
	versions := hs.Seen(now, name)
	if hs.since.IsZero() || hs.marked[name] || len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// Vouched reports whether the version that Sole returns is known to have been the only
// one for streamMemory, also before the node started: by the store's record, or since the
// node has followed the servers for that long.
func (hs *History) Vouched(now time.Time, name string) bool {
	_, ok := hs.recorded[name]
	return ok || hs.covers(now)
}

// Settled reports whether all nodes can be assumed to know of the version. A version
// that is alone in its pool is always settled.
func (hs *History) Settled(now time.Time, name, software string) bool {
	po, ok := hs.pools[name]
	if !ok || len(hs.Seen(now, name)) == 1 {
		return true
	}
	sg, ok := po.seen[software]
	if !ok || sg.settled {
		return ok
	}
	age := now.Sub(sg.first)
	return age >= maxSettleTime || age >= settleTime && hs.marked[name]
}

// covers reports whether the servers have been listed for streamMemory, so that the
// history lacks no version that a stream may have begun at.
func (hs *History) covers(now time.Time) bool {
	return !hs.since.IsZero() && now.Sub(hs.since) >= streamMemory
}

// mixed returns the pools that have had several versions within streamMemory.
func (hs *History) mixed(now time.Time) map[string]bool {
	pools := map[string]bool{}
	for name := range hs.pools {
		if len(hs.Seen(now, name)) > 1 {
			pools[name] = true
		}
	}
	return pools
}
