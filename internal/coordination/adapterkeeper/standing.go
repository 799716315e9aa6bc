package adapterkeeper

import (
	"slices"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// fullTime, stuckBehindTime and turnTime are how long a server is put behind others
	// for new adapters: when its room is taken by leases, when it does not answer
	// orders, and for the one adapter that has to make room for others.
	fullTime        = 300 * time.Millisecond
	stuckBehindTime = 500 * time.Millisecond
	turnTime        = 500 * time.Millisecond
	// loadedTime is how long a server is preferred on which the owner found the adapter.
	loadedTime = time.Second
	// maxOthers bounds the other servers that a message names.
	maxOthers = 16
	// maxStandings bounds Keeper.standings.
	maxStandings = 4096
)

// standing is what the owner said of an adapter on a server, or, with an empty name of
// the adapter, of all adapters that are not loaded there.
type standing struct {
	loaded bool
	until  time.Time
}

// otherReplicas returns the other servers that a request for the adapter may go to.
func (kp *Keeper) otherReplicas(tg target) []string {
	if kp.replicas == nil {
		return nil
	}
	st := kp.settings()
	if st == nil {
		return nil
	}
	ad, ok := st.Adapter(tg.adapter)
	if !ok {
		return nil
	}
	var others []string
	for _, name := range kp.replicas(ad.Model()) {
		if name != tg.server && len(others) < maxOthers {
			others = append(others, name)
		}
	}
	return others
}

// standingsOn returns the standing of an adapter on servers of this node.
func (kp *Keeper) standingsOn(servers []string, adapter string) []messenger.AdapterStanding {
	now := kp.now()
	all := make([]messenger.AdapterStanding, 0, len(servers))
	for _, name := range servers[:min(len(servers), maxOthers)] {
		sd := messenger.StandingUnknown
		if _, bytes, ok := kp.rules(name, adapter); ok {
			sd = kp.server(name).standing(now, adapter, bytes)
		}
		all = append(all, sd)
	}
	return all
}

// standing returns the standing of an adapter, without an order or inspection.
func (sv *server) standing(now time.Time, adapter string, bytes int64) messenger.AdapterStanding {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	tb := &sv.table
	en, ok := tb.entries[adapter]
	switch {
	case ok && en.state == loaded && tb.inspected && !tb.yields(now, adapter):
		return messenger.StandingLoaded
	case sv.stuckLocked(now) || len(sv.queue) >= maxLoadsAhead || len(tb.unanswered) >= tb.maxUnanswered():
		return messenger.StandingStuck
	case !tb.inspected:
		return messenger.StandingUnknown
	}
	missing := tb.reserved(now) - tb.bytesOf(adapter) + bytes - tb.rules.Reserve
	if _, evictable := tb.leastRecentlyUsed(now); missing > evictable {
		return messenger.StandingFull
	}
	return messenger.StandingRoom
}

// noteStandings records the standings of an adapter on servers.
func (kp *Keeper) noteStandings(adapter string, servers []string, all []messenger.AdapterStanding) {
	now := kp.now()
	kp.mu.Lock()
	defer kp.mu.Unlock()
	for ix, sd := range all[:min(len(all), len(servers))] {
		switch server := servers[ix]; sd {
		case messenger.StandingLoaded:
			kp.noteLocked(now, target{server, adapter}, standing{true, now.Add(loadedTime)})
		case messenger.StandingFull:
			kp.noteLocked(now, target{server: server}, standing{until: now.Add(fullTime)})
		case messenger.StandingStuck:
			kp.noteLocked(now, target{server: server}, standing{until: now.Add(stuckBehindTime)})
		}
	}
}

// noteRefusal records why an adapter is not ready on a server.
func (kp *Keeper) noteRefusal(tg target, reason string) {
	if kp.replicas == nil {
		return
	}
	now := kp.now()
	kp.mu.Lock()
	defer kp.mu.Unlock()
	delete(kp.standings, tg)
	switch reason {
	case reasonNoRoom:
		if kp.reportsAdapter(tg.server, tg.adapter) {
			kp.noteLocked(now, tg, standing{until: now.Add(turnTime)})
			return
		}
		kp.noteLocked(now, target{server: tg.server}, standing{until: now.Add(fullTime)})
	case reasonUnanswered, reasonOrdersAhead, reasonFailed:
		kp.noteLocked(now, target{server: tg.server}, standing{until: now.Add(stuckBehindTime)})
	case reasonTimeout:
		kp.noteLocked(now, tg, standing{until: now.Add(stuckBehindTime)})
	}
}

func (kp *Keeper) noteLocked(now time.Time, tg target, sd standing) {
	if len(kp.standings) >= maxStandings {
		for other, former := range kp.standings {
			if !now.Before(former.until) {
				delete(kp.standings, other)
			}
		}
	}
	if len(kp.standings) < maxStandings {
		kp.standings[tg] = sd
	}
}

// Holds reports whether the adapter is known to be loaded on the server: this node has a
// lease of it, or the owner said so lately.
func (kp *Keeper) Holds(server, adapter string) bool {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	return kp.holdsLocked(kp.now(), target{server, adapter})
}

func (kp *Keeper) holdsLocked(now time.Time, tg target) bool {
	if ls, ok := kp.leases[tg]; ok && now.Before(ls.until) {
		return true
	}
	sd, ok := kp.standings[tg]
	return ok && sd.loaded && now.Before(sd.until)
}

// Behind reports whether requests for the adapter go to the server only if there is no
// other: lately its owner could not make the adapter ready there.
func (kp *Keeper) Behind(server, adapter string) bool {
	return kp.behindFor(target{server, adapter}) > 0
}

// behindFor returns how long the server is put behind others for the adapter.
func (kp *Keeper) behindFor(tg target) time.Duration {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	if len(kp.standings) == 0 {
		return 0
	}
	now := kp.now()
	if kp.holdsLocked(now, tg) {
		return 0
	}
	until := kp.standings[tg].until
	if sd := kp.standings[target{server: tg.server}]; sd.until.After(until) && !kp.reportsAdapter(tg.server, tg.adapter) {
		until = sd.until
	}
	return max(until.Sub(now), 0)
}

// Pause returns how long a request for the adapter should wait until it goes to a server
// that is not put behind, or 0 if there is one.
func (kp *Keeper) Pause(ad *configurer.Adapter) time.Duration {
	if kp.replicas == nil {
		return 0
	}
	var waits []time.Duration
	for _, server := range kp.replicas(ad.Model()) {
		waits = append(waits, kp.behindFor(target{server, ad.Name()}))
	}
	if len(waits) == 0 {
		return 0
	}
	return slices.Min(waits)
}
