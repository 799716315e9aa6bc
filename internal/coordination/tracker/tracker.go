// Package tracker knows which backend servers exist, from what they registered
// about themselves.
//
// A registration ends when its server is gone, but also while the platform's
// store is away, so that a missing one says nothing until the server had time
// to come back. What a server said of its leaving holds for its whole
// incarnation, whatever older news arrives later.
//
// # Usage
//
//	tk := tracker.New()
//	tk.Replace(now, servers)     // all that are registered
//	tk.Heard(now, server)        // one registered or changed
//	tk.Removed(now, id)          // one is gone
//	for _, sv := range tk.Servers(now) { ... }
//
// The package holds no clock and no lock: one goroutine owns a Tracker.
package tracker

import (
	"slices"
	"strings"
	"time"
)

const (
	// ReturnGrace is how long servers may take to register again after the
	// store came back; one that is missing longer is gone.
	ReturnGrace = 2 * time.Second
	// leavingMemory is how long it is remembered that an incarnation left.
	leavingMemory = time.Minute
)

// Held is a model that a server holds.
type Held struct {
	// Name is the model's name.
	Name string
	// Version is the version of its weights.
	Version string
	// Adapters are the names of its adapters that the server holds.
	Adapters []string
}

// Server is what a backend server says of itself.
type Server struct {
	// ID is unique among servers; a server that restarts may keep it.
	ID string
	// Incarnation grows with each start of the server.
	Incarnation int64
	// Sequence grows with each registration of one incarnation.
	Sequence int64
	// Pool is the pool that the server belongs to.
	Pool string
	// Address is the host and port.
	Address string
	// Zone is the availability zone.
	Zone string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Leaving says that it takes no new work.
	Leaving bool
	// Remaining is the time until a leaving server is gone, if it said so.
	Remaining time.Duration
	// Models are the models that it holds.
	Models []Held
}

// entry is a registered server.
type entry struct {
	server Server
	// missingSince is when the registration was first missing, or zero.
	missingSince time.Time
}

// Tracker keeps the registered servers.
type Tracker struct {
	entries map[string]*entry
	// left holds when an incarnation was first known to leave.
	left map[incarnation]time.Time
	// lost says that the store does not answer, and back when it last began
	// to answer again.
	lost bool
	back time.Time
}

// incarnation is one start of a server.
type incarnation struct {
	id   string
	born int64
}

// New returns a tracker that knows no server.
func New() *Tracker {
	return &Tracker{entries: map[string]*entry{}, left: map[incarnation]time.Time{}}
}

// Replace takes in all registrations that there are.
func (tk *Tracker) Replace(now time.Time, servers []Server) {
	present := map[string]bool{}
	for _, sv := range servers {
		present[sv.ID] = true
		tk.Heard(now, sv)
	}
	for id := range tk.entries {
		if !present[id] {
			tk.Removed(now, id)
		}
	}
}

// Heard takes in one registration, unless it is older than what is known.
func (tk *Tracker) Heard(now time.Time, sv Server) {
	known, ok := tk.entries[sv.ID]
	if ok && older(sv, known.server) {
		return
	}
	key := incarnation{sv.ID, sv.Incarnation}
	if _, left := tk.left[key]; left {
		sv.Leaving = true
	} else if sv.Leaving {
		tk.left[key] = now
	}
	tk.entries[sv.ID] = &entry{server: sv}
	tk.forgetLeft(now)
}

// older reports whether a registration was made before the known one.
func older(sv, known Server) bool {
	if sv.Incarnation != known.Incarnation {
		return sv.Incarnation < known.Incarnation
	}
	return sv.Sequence < known.Sequence
}

// forgetLeft bounds the memory of incarnations that left.
func (tk *Tracker) forgetLeft(now time.Time) {
	for key, at := range tk.left {
		if now.Sub(at) > leavingMemory && tk.entries[key.id] == nil {
			delete(tk.left, key)
		}
	}
}

// Removed notes that a registration ended. It counts at once while the store
// is stable, and after the grace if it may have ended while the store was away.
func (tk *Tracker) Removed(now time.Time, id string) {
	en, ok := tk.entries[id]
	if !ok {
		return
	}
	if !tk.settling(now) || en.server.Leaving {
		delete(tk.entries, id)
		return
	}
	if en.missingSince.IsZero() {
		en.missingSince = now
	}
}

// settling reports whether registrations may be missing although their servers
// live.
func (tk *Tracker) settling(now time.Time) bool {
	return tk.lost || !tk.back.IsZero() && now.Sub(tk.back) < ReturnGrace
}

// StoreLost notes that the store does not answer.
func (tk *Tracker) StoreLost() { tk.lost = true }

// StoreBack notes that the store answers again.
func (tk *Tracker) StoreBack(now time.Time) {
	if tk.lost {
		tk.lost, tk.back = false, now
	}
}

// Servers returns the servers that exist, in the order of their ids.
func (tk *Tracker) Servers(now time.Time) []Server {
	settling := tk.settling(now)
	servers := make([]Server, 0, len(tk.entries))
	for id, en := range tk.entries {
		if !en.missingSince.IsZero() && !settling {
			delete(tk.entries, id)
			continue
		}
		servers = append(servers, en.server)
	}
	slices.SortFunc(servers, func(one, two Server) int { return strings.Compare(one.ID, two.ID) })
	return servers
}
