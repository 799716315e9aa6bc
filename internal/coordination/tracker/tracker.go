// Package tracker keeps the list of backend servers from their registrations in
// the platform's store.
//
// A registration ends when its server is gone, but also when it expires during
// an outage of the store. After an outage a server whose registration is
// missing therefore stays listed for a grace period in which it can register
// again. Once a server has announced that it is leaving, it counts as leaving
// for its whole incarnation, even if an older registration arrives later.
//
// # Usage
//
//	tk := tracker.New()
//	tk.Replace(now, servers)     // every current registration
//	tk.Update(now, server)       // one new or changed registration
//	tk.Remove(now, id)           // one ended registration
//	for _, sv := range tk.Servers(now) { ... }
//
// A Tracker has no clock and no lock; it must be used by one goroutine only.
package tracker

import (
	"slices"
	"strings"
	"time"
)

const (
	// ReregisterGracePeriod is the time that servers have to register again
	// after an outage of the store, before a missing one is removed.
	ReregisterGracePeriod = 2 * time.Second
	// leavingRetention is how long the tracker keeps the leaving mark of an
	// incarnation whose server is no longer registered.
	leavingRetention = time.Minute
)

// Model is a model in the memory of a server.
type Model struct {
	// Name is the model's name.
	Name string
	// Version is the version of its weights.
	Version string
	// Adapters are the names of the model's adapters on the server.
	Adapters []string
}

// Server is the registration of a backend server.
type Server struct {
	// ID is unique among servers. A restarted server may keep its ID.
	ID string
	// Incarnation increases with each start of the server.
	Incarnation int64
	// Sequence increases with each registration within an incarnation.
	Sequence int64
	// Pool is the pool that the server belongs to.
	Pool string
	// Address is the server's host:port.
	Address string
	// Zone is the availability zone.
	Zone string
	// Software is the version of the server's software; empty if unknown.
	Software string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Leaving is set if the server accepts no new requests.
	Leaving bool
	// Unlisted says that the registration is missing, and those of most servers of the
	// pool are not. The server may have left, or may register again.
	Unlisted bool
	// Remaining is the time until a leaving server stops, or 0 if unknown.
	Remaining time.Duration
	// Models are the models in the server's memory.
	Models []Model
	// Resident are the models whose weights the server keeps in its host's memory or
	// on its disk, from where a load is quicker than from the weight store.
	Resident []string
}

// entry is a registered server.
type entry struct {
	server Server
	// since is when the server's incarnation was first known.
	since time.Time
	// missingSince is when the registration was first found missing, or zero
	// if it is present.
	missingSince time.Time
}

// Tracker keeps the registered servers.
type Tracker struct {
	entries map[string]*entry
	// leaving holds the incarnations that announced that they leave.
	leaving map[incarnation]departure
	// storeDown is set while the store does not answer.
	storeDown bool
	// storeBackAt is when the last outage of the store ended, or zero.
	storeBackAt time.Time
	// removed holds the last sequences of incarnations whose registrations ended.
	removed map[incarnation]removal
	// restored is set from the return of the store from an older copy until the
	// list of that copy is applied.
	restored bool
}

// removal is the end of an incarnation's registration.
type removal struct {
	sequence int64
	at       time.Time
}

// departure is what a server said when it announced that it leaves.
type departure struct {
	// announcedAt is when it first said so.
	announcedAt time.Time
	// stopsAt is when it stops whatever it runs, or zero if it did not say.
	stopsAt time.Time
}

// incarnation identifies one start of a server.
type incarnation struct {
	// id is the ID of the server.
	id string
	// number is Server.Incarnation.
	number int64
}

// New returns a tracker without servers.
func New() *Tracker {
	return &Tracker{entries: map[string]*entry{}, leaving: map[incarnation]departure{}, removed: map[incarnation]removal{}}
}

// Replace applies the complete list of registrations. Known servers that are
// not in the list are treated as in Remove.
func (tk *Tracker) Replace(now time.Time, servers []Server) {
	present := map[string]bool{}
	for _, sv := range servers {
		if tk.restored && tk.wasRemoved(sv) {
			continue
		}
		present[sv.ID] = true
		tk.Update(now, sv)
	}
	tk.restored = false
	for id := range tk.entries {
		if !present[id] {
			tk.Remove(now, id)
		}
	}
}

// wasRemoved reports whether the registration is one that ended before the store
// returned from an older copy. A server that is alive registers again with a
// higher sequence.
func (tk *Tracker) wasRemoved(sv Server) bool {
	rm, ok := tk.removed[incarnation{sv.ID, sv.Incarnation}]
	return ok && sv.Sequence <= rm.sequence
}

// MarkStoreRestored records that the store returned from an older copy. What
// servers wrote since then is missing until they write it again, so that a grace
// period begins.
func (tk *Tracker) MarkStoreRestored(now time.Time) {
	tk.restored = true
	tk.storeDown, tk.storeBackAt = false, now
}

// Update applies one registration. It ignores a registration that is older than
// the known one.
func (tk *Tracker) Update(now time.Time, sv Server) {
	known, ok := tk.entries[sv.ID]
	if ok && older(sv, known.server) {
		return
	}
	key := incarnation{sv.ID, sv.Incarnation}
	if sv.Leaving {
		tk.noteDeparture(now, key, sv.Remaining)
	}
	_, sv.Leaving = tk.leaving[key]
	since := now
	if ok && known.server.Incarnation == sv.Incarnation {
		since = known.since
	}
	tk.entries[sv.ID] = &entry{server: sv, since: since}
	tk.pruneLeaving(now)
}

// MarkLeaving records that a server said that it leaves, in its answer to a
// request that was sent at the given time. It ignores an answer to a request that
// was sent before the server's present incarnation was known, and reports whether
// the mark is new.
func (tk *Tracker) MarkLeaving(now time.Time, id string, sent time.Time) bool {
	en, ok := tk.entries[id]
	if !ok || en.server.Leaving || sent.Before(en.since) {
		return false
	}
	en.server.Leaving = true
	tk.noteDeparture(now, incarnation{id, en.server.Incarnation}, 0)
	return true
}

// noteDeparture records that an incarnation leaves. remaining is the time until it stops, or
// 0 if unknown.
func (tk *Tracker) noteDeparture(now time.Time, key incarnation, remaining time.Duration) {
	dp, known := tk.leaving[key]
	if !known {
		dp.announcedAt = now
	}
	// A registration may arrive late.
	if stopsAt := now.Add(remaining); remaining > 0 && (dp.stopsAt.IsZero() || stopsAt.Before(dp.stopsAt)) {
		dp.stopsAt = stopsAt
	}
	tk.leaving[key] = dp
}

// Departure reports whether an incarnation announced that it leaves, and when it stops
// whatever it runs, or the zero time if it did not say. That is known for a while after its
// registration has ended.
func (tk *Tracker) Departure(id string, number int64) (stopsAt time.Time, announced bool) {
	dp, announced := tk.leaving[incarnation{id, number}]
	return dp.stopsAt, announced
}

// MarkProcessLeaving records that the incarnation of a server said that it leaves,
// which may not have been registered yet. It reports whether the mark is new.
func (tk *Tracker) MarkProcessLeaving(now time.Time, id string, number int64) bool {
	key := incarnation{id, number}
	if _, known := tk.leaving[key]; known {
		return false
	}
	tk.noteDeparture(now, key, 0)
	if en, ok := tk.entries[id]; ok && en.server.Incarnation == number {
		en.server.Leaving = true
	}
	return true
}

// older reports whether sv was registered before known.
func older(sv, known Server) bool {
	if sv.Incarnation != known.Incarnation {
		return sv.Incarnation < known.Incarnation
	}
	return sv.Sequence < known.Sequence
}

// pruneLeaving deletes old leaving marks of servers that are not registered.
func (tk *Tracker) pruneLeaving(now time.Time) {
	for key, dp := range tk.leaving {
		if now.Sub(dp.announcedAt) > leavingRetention && tk.entries[key.id] == nil {
			delete(tk.leaving, key)
		}
	}
}

// Remove records that the registration of a server ended. The server is
// removed at once, or, if the registration may have expired during an outage of
// the store, at the end of the grace period. A leaving server is always removed
// at once.
func (tk *Tracker) Remove(now time.Time, id string) {
	en, ok := tk.entries[id]
	if !ok {
		return
	}
	if !tk.inGracePeriod(now) || en.server.Leaving {
		tk.delete(now, id)
		return
	}
	if en.missingSince.IsZero() {
		en.missingSince = now
	}
}

// delete removes a server and remembers its last registration.
func (tk *Tracker) delete(now time.Time, id string) {
	sv := tk.entries[id].server
	tk.removed[incarnation{sv.ID, sv.Incarnation}] = removal{sv.Sequence, now}
	delete(tk.entries, id)
	for key, rm := range tk.removed {
		if now.Sub(rm.at) > leavingRetention {
			delete(tk.removed, key)
		}
	}
}

// inGracePeriod reports whether a registration may be missing because of an
// outage of the store although its server is alive.
func (tk *Tracker) inGracePeriod(now time.Time) bool {
	return tk.storeDown || !tk.storeBackAt.IsZero() && now.Sub(tk.storeBackAt) < ReregisterGracePeriod
}

// MarkStoreDown records that the store does not answer.
func (tk *Tracker) MarkStoreDown() { tk.storeDown = true }

// MarkStoreUp records that the store answers again. It starts the grace period
// if MarkStoreDown was called before.
func (tk *Tracker) MarkStoreUp(now time.Time) {
	if tk.storeDown {
		tk.storeDown, tk.storeBackAt = false, now
	}
}

// Servers returns the known servers sorted by ID, without those whose
// registration is still missing after the grace period.
func (tk *Tracker) Servers(now time.Time) []Server {
	inGracePeriod := tk.inGracePeriod(now)
	servers := make([]Server, 0, len(tk.entries))
	present, missing := map[string]int{}, map[string]int{}
	for id, en := range tk.entries {
		switch {
		case en.missingSince.IsZero():
			present[en.server.Pool]++
		case !inGracePeriod:
			tk.delete(now, id)
		default:
			missing[en.server.Pool]++
		}
	}
	for _, en := range tk.entries {
		sv := en.server
		sv.Unlisted = !en.missingSince.IsZero() && present[sv.Pool] > missing[sv.Pool]
		servers = append(servers, sv)
	}
	slices.SortFunc(servers, func(one, two Server) int { return strings.Compare(one.ID, two.ID) })
	return servers
}
