package tracker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/tracker"
)

// machine is a simulated backend server.
type machine struct {
	sv    tracker.Server
	alive bool
	// diedAt is when the server ended, if it is not alive.
	diedAt        time.Time
	lastHeartbeat time.Time
	// reconnectsAt is when the server reaches the store again after an outage.
	reconnectsAt time.Time
	// leaving is set once the server has announced that it leaves.
	leaving bool
}

// registry simulates the registrations in the store, their delivery to a node,
// and outages of the store.
type registry struct {
	t           *testing.T
	random      *rand.Rand
	tk          *tracker.Tracker
	now         time.Time
	storeDown   bool
	storeBackAt time.Time
	machines    []*machine
	// stored holds the current registrations by server ID.
	stored          map[string]tracker.Server
	lastIncarnation int64
}

const (
	heartbeat = 400 * time.Millisecond
	expiry    = 3 * heartbeat
)

func (rg *registry) start(id string) *machine {
	rg.lastIncarnation++
	return &machine{sv: tracker.Server{ID: id, Incarnation: rg.lastIncarnation, Address: "a-" + id}, alive: true}
}

// step advances the simulation by 100 ms.
func (rg *registry) step() {
	rg.now = rg.now.Add(100 * time.Millisecond)
	for ix, mc := range rg.machines {
		switch {
		case mc.alive && rg.random.IntN(150) == 0:
			mc.alive, mc.diedAt = false, rg.now
		case !mc.alive && rg.now.Sub(mc.diedAt) > 4*time.Second:
			rg.machines[ix] = rg.start(mc.sv.ID)
		case mc.alive && !mc.leaving && rg.random.IntN(300) == 0:
			mc.leaving, mc.sv.Leaving = true, true
		}
	}
	if rg.random.IntN(80) == 0 {
		rg.toggleStore()
	}
	if !rg.storeDown {
		rg.deliver()
	}
	rg.expiry()
}

func (rg *registry) toggleStore() {
	rg.storeDown = !rg.storeDown
	if rg.storeDown {
		rg.tk.MarkStoreDown()
		return
	}
	rg.storeBackAt = rg.now
	rg.tk.MarkStoreUp(rg.now)
	for _, mc := range rg.machines {
		mc.reconnectsAt = rg.now.Add(time.Duration(rg.random.IntN(18)) * 100 * time.Millisecond)
	}
	// Registrations that expired during the outage are missing from this list.
	var all []tracker.Server
	for _, sv := range rg.stored {
		all = append(all, sv)
	}
	rg.tk.Replace(rg.now, all)
}

// deliver sends the heartbeats that are due to the store and to the tracker. In
// one of four cases an older or repeated registration without the leaving mark
// follows.
func (rg *registry) deliver() {
	for _, mc := range rg.machines {
		if !mc.alive || rg.now.Sub(mc.lastHeartbeat) < heartbeat || rg.now.Before(mc.reconnectsAt) {
			continue
		}
		older := mc.sv
		mc.lastHeartbeat = rg.now
		mc.sv.Sequence++
		rg.stored[mc.sv.ID] = mc.sv
		rg.tk.Update(rg.now, mc.sv)
		if rg.random.IntN(4) == 0 {
			older.Leaving = false
			older.Sequence += int64(rg.random.IntN(2))
			rg.tk.Update(rg.now, older)
		}
	}
}

// expiry ends the registrations without a recent heartbeat. The tracker is told
// only if the store is up.
func (rg *registry) expiry() {
	for _, mc := range rg.machines {
		if _, ok := rg.stored[mc.sv.ID]; !ok || rg.now.Sub(mc.lastHeartbeat) < expiry {
			continue
		}
		delete(rg.stored, mc.sv.ID)
		if !rg.storeDown {
			rg.tk.Remove(rg.now, mc.sv.ID)
		}
	}
}

// check compares the tracker's servers with the simulated ones.
func (rg *registry) check() {
	known := map[string]tracker.Server{}
	for _, sv := range rg.tk.Servers(rg.now) {
		known[sv.ID] = sv
	}
	stable := !rg.storeDown && (rg.storeBackAt.IsZero() || rg.now.Sub(rg.storeBackAt) > tracker.ReregisterGracePeriod)
	for _, mc := range rg.machines {
		sv, ok := known[mc.sv.ID]
		description := fmt.Sprintf("%s %d at %v", mc.sv.ID, mc.sv.Incarnation, rg.now.Sub(time.Unix(1000, 0)))
		// A leaving server gets no requests, so the tracker may drop it early.
		if mc.alive && mc.sv.Sequence > 0 && !mc.leaving {
			require.True(rg.t, ok, "%s lives and registered", description)
		}
		if ok && sv.Incarnation == mc.sv.Incarnation && mc.leaving && mc.sv.Sequence > 0 && !mc.lastHeartbeat.Before(rg.now) {
			require.True(rg.t, sv.Leaving, "%s said that it leaves", description)
		}
		if !mc.alive && stable && rg.now.Sub(mc.diedAt) > expiry+tracker.ReregisterGracePeriod {
			require.False(rg.t, ok, "%s is gone", description)
		}
	}
}

// TestServersStayCorrectUnderRandomOutages simulates random server deaths,
// restarts, departures, outages in which registrations expire unnoticed, and
// outdated registrations. A live registered server stays listed, also over an
// outage; a dead one is removed after its registration expired and the grace
// period ended; a leaving one never counts as staying again.
func TestServersStayCorrectUnderRandomOutages(t *testing.T) {
	for seed := range uint64(50) {
		rg := &registry{t: t, random: rand.New(rand.NewPCG(seed, 5)), tk: tracker.New(), now: time.Unix(1000, 0), stored: map[string]tracker.Server{}}
		for ix := range 6 {
			rg.machines = append(rg.machines, rg.start(fmt.Sprintf("w%d", ix)))
		}
		leaving := map[string]bool{}
		for range 2000 {
			rg.step()
			rg.check()
			for _, sv := range rg.tk.Servers(rg.now) {
				key := fmt.Sprint(sv.ID, sv.Incarnation)
				require.False(t, leaving[key] && !sv.Leaving, "%s does not stay again", key)
				leaving[key] = leaving[key] || sv.Leaving
			}
		}
	}
}
