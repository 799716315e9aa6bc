package tracker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/tracker"
)

// machine is a backend server of the model.
type machine struct {
	sv    tracker.Server
	alive bool
	// diedAt is when it ended, and goneAt when its registration did.
	diedAt time.Time
	beat   time.Time
	// returns is when it reaches the store again after an outage.
	returns time.Time
	left    bool
}

// registry is the model of the store's registrations and of what is between it
// and a node.
type registry struct {
	t        *testing.T
	random   *rand.Rand
	tk       *tracker.Tracker
	now      time.Time
	down     bool
	backAt   time.Time
	machines []*machine
	// stored holds the registrations that there are.
	stored map[string]tracker.Server
	born   int64
}

const (
	heartbeat = 400 * time.Millisecond
	lapse     = 3 * heartbeat
)

func (rg *registry) start(id string) *machine {
	rg.born++
	return &machine{sv: tracker.Server{ID: id, Incarnation: rg.born, Address: "a-" + id}, alive: true}
}

// step lets 100 ms pass.
func (rg *registry) step() {
	rg.now = rg.now.Add(100 * time.Millisecond)
	for ix, mc := range rg.machines {
		switch {
		case mc.alive && rg.random.IntN(150) == 0:
			mc.alive, mc.diedAt = false, rg.now
		case !mc.alive && rg.now.Sub(mc.diedAt) > 4*time.Second:
			rg.machines[ix] = rg.start(mc.sv.ID)
		case mc.alive && !mc.left && rg.random.IntN(300) == 0:
			mc.left, mc.sv.Leaving = true, true
		}
	}
	if rg.random.IntN(80) == 0 {
		rg.toggle()
	}
	if !rg.down {
		rg.deliver()
	}
	rg.lapse()
}

func (rg *registry) toggle() {
	rg.down = !rg.down
	if rg.down {
		rg.tk.StoreLost()
		return
	}
	rg.backAt = rg.now
	rg.tk.StoreBack(rg.now)
	for _, mc := range rg.machines {
		mc.returns = rg.now.Add(time.Duration(rg.random.IntN(18)) * 100 * time.Millisecond)
	}
	// What lapsed while nobody looked shows as missing.
	var all []tracker.Server
	for _, sv := range rg.stored {
		all = append(all, sv)
	}
	rg.tk.Replace(rg.now, all)
}

// deliver has the machines register, and the tracker hear of it, at times twice
// or of an older registration.
func (rg *registry) deliver() {
	for _, mc := range rg.machines {
		if !mc.alive || rg.now.Sub(mc.beat) < heartbeat || rg.now.Before(mc.returns) {
			continue
		}
		older := mc.sv
		mc.beat = rg.now
		mc.sv.Sequence++
		rg.stored[mc.sv.ID] = mc.sv
		rg.tk.Heard(rg.now, mc.sv)
		if rg.random.IntN(4) == 0 {
			older.Leaving = false
			older.Sequence += int64(rg.random.IntN(2))
			rg.tk.Heard(rg.now, older)
		}
	}
}

// lapse ends the registrations of machines that were silent, also while the
// store is down, when the tracker does not hear of it.
func (rg *registry) lapse() {
	for _, mc := range rg.machines {
		if _, ok := rg.stored[mc.sv.ID]; !ok || rg.now.Sub(mc.beat) < lapse {
			continue
		}
		delete(rg.stored, mc.sv.ID)
		if !rg.down {
			rg.tk.Removed(rg.now, mc.sv.ID)
		}
	}
}

// check compares what the tracker says with the model.
func (rg *registry) check() {
	known := map[string]tracker.Server{}
	for _, sv := range rg.tk.Servers(rg.now) {
		known[sv.ID] = sv
	}
	settled := !rg.down && (rg.backAt.IsZero() || rg.now.Sub(rg.backAt) > tracker.ReturnGrace)
	for _, mc := range rg.machines {
		sv, ok := known[mc.sv.ID]
		what := fmt.Sprintf("%s %d at %v", mc.sv.ID, mc.sv.Incarnation, rg.now.Sub(time.Unix(1000, 0)))
		// One that leaves gets no work, whether it is known or not.
		if mc.alive && mc.sv.Sequence > 0 && !mc.left {
			require.True(rg.t, ok, "%s lives and registered", what)
		}
		if ok && sv.Incarnation == mc.sv.Incarnation && mc.left && mc.sv.Sequence > 0 && !mc.beat.Before(rg.now) {
			require.True(rg.t, sv.Leaving, "%s said that it leaves", what)
		}
		if !mc.alive && settled && rg.now.Sub(mc.diedAt) > lapse+tracker.ReturnGrace {
			require.False(rg.t, ok, "%s is gone", what)
		}
	}
}

// TestServersUnderRandomOutages draws ends, returns, leavings, outages in which
// registrations lapse unseen, and older news. A server that lives and registered
// stays, also over an outage; one that ended is gone once its registration and
// the time to come back are over; one that leaves is never taken for staying.
func TestServersUnderRandomOutages(t *testing.T) {
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
