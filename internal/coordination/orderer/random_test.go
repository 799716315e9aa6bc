package orderer

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
)

// owned is a reconciler and the task that it waits for. After a takeover, the
// previous owner remains and may continue at any time.
type owned struct {
	*reconciler
	task   task // nil if none runs
	result result
	ready  bool // the task was performed and result is set
}

// world is the state of a random run.
type world struct {
	*rig
	owners         map[string][]*owned  // by server, the current owner last
	heldAt         map[string]time.Time // time since which orders are held, by server
	lateOrderBound time.Duration
	fencing        bool            // the engines check fencing numbers
	restart        bool            // the engines may restart
	reachable      map[string]bool // models that had a replica
	takeovers      int
}

var worldServers = []string{"w1", "w2", "w3"}

var modelBytes = map[string]int64{"a": 28, "b": 32, "c": 20, "d": 28}

func newWorld(t interface{ Cleanup(func()) }, fencing, restart bool, seed uint64) *world {
	wd := &world{
		rig:            newRig(t, fencing, worldServers...),
		owners:         map[string][]*owned{},
		heldAt:         map[string]time.Time{},
		lateOrderBound: testBound,
		fencing:        fencing,
		restart:        restart,
		reachable:      map[string]bool{},
	}
	wd.random = rand.New(rand.NewPCG(seed, seed))
	for _, server := range worldServers {
		wd.takeOver(server)
	}
	return wd
}

func (wd *world) takeOver(server string) {
	gl := Goal{checksFencing: wd.fencing, lateOrderBound: wd.lateOrderBound, minReplicas: map[string]int{"a": 1, "b": 1, "c": 1, "d": 1}}
	gl.role, gl.roleBytes = "mixed", 5
	wd.takeovers++
	rc := wd.owner("n"+strconv.Itoa(wd.takeovers), server, gl)
	if old := wd.owners[server]; len(old) > 0 {
		rc.goal.desired = old[len(old)-1].goal.desired
	}
	wd.owners[server] = append(wd.owners[server], &owned{reconciler: rc})
}

// randomGoals gives each server a goal with random versions. Each model is
// desired on at least two servers.
func (wd *world) randomGoals() {
	versions := map[string]string{}
	for model := range modelBytes {
		versions[model] = strconv.Itoa(1 + wd.random.IntN(2))
	}
	for ix, server := range worldServers {
		var desired []DesiredCopy
		for jx, model := range []string{"a", "b", "c", "d"} {
			if jx%3 != ix {
				desired = append(desired, NewDesiredCopy(model, versions[model], modelBytes[model]))
			}
		}
		for _, ow := range wd.owners[server] {
			gl := *ow.goal
			gl.desired = desired
			ow.goal = &gl
		}
	}
}

// advance advances one owner by a part of a step: it starts a task, performs it
// or handles its result.
func (wd *world) advance(server string, which int) {
	ow := wd.owners[server][which%len(wd.owners[server])]
	switch {
	case ow.task == nil:
		ow.task = ow.next(wd.now)
	case !ow.ready:
		held := wd.engines[server].HeldOrders()
		ow.result = wd.perform(ow.task)
		ow.ready = true
		if wd.engines[server].HeldOrders() > held && held == 0 {
			wd.heldAt[server] = wd.now
		}
	default:
		ow.task, ow.ready = nil, false
		ow.done(wd.now, ow.result)
	}
}

// advanceAny advances the current owner or, in a quarter of the calls, a random
// owner.
func (wd *world) advanceAny(server string) {
	latest := len(wd.owners[server]) - 1
	if wd.random.IntN(4) == 0 {
		wd.advance(server, wd.random.IntN(latest+1))
		return
	}
	wd.advance(server, latest)
}

// pass advances the time and drops orders that were held for longer than half
// of the late-order bound.
func (wd *world) pass(dn time.Duration) {
	wd.now = wd.now.Add(dn)
	for server, eg := range wd.engines {
		if eg.HeldOrders() > 0 && wd.now.Sub(wd.heldAt[server]) > wd.lateOrderBound/2 {
			eg.DropHeldOrders()
		}
	}
}

// inject performs the event with the given number: a fault, a takeover, a new
// goal, a restart, or steps of the owners.
func (wd *world) inject(number int) {
	server := worldServers[wd.random.IntN(len(worldServers))]
	eg := wd.engines[server]
	switch number {
	case 0:
		eg.InjectOrderFaults(engine.OrderFault(1 + wd.random.IntN(3)))
	case 1:
		eg.ReleaseOrders()
	case 2:
		wd.store.LoseAnswers(1)
	case 3:
		wd.store.LoseWrites(1)
	case 4:
		wd.store.SetDown(wd.random.IntN(3) == 0)
	case 5:
		wd.takeOver(server)
	case 6:
		wd.owners[server] = wd.owners[server][len(wd.owners[server])-1:]
	case 7, 10:
		wd.randomGoals()
		eg.InjectOrderFaults(engine.OrderFault(wd.random.IntN(4)), engine.OrderHeld)
	case 8:
		wd.pass(time.Duration(wd.random.Int64N(int64(wd.lateOrderBound / 4))))
	case 9:
		if wd.restart {
			eg.Restart()
		}
	default:
		for range 120 {
			wd.advanceAny(worldServers[wd.random.IntN(len(worldServers))])
		}
		wd.pass(300 * time.Millisecond)
	}
}

// checkSafety checks the engines, the replica records and the invariants.
func (wd *world) checkSafety(t require.TestingT) {
	require.Zero(t, wd.overcommits())
	require.Empty(t, checker.Violations())
	for model := range modelBytes {
		serves := slices.ContainsFunc(worldServers, func(server string) bool { return wd.engines[server].Serves(model) })
		require.True(t, serves || wd.restart || !wd.reachable[model], "model %s is not reachable", model)
		en, err := wd.store.Get(context.Background(), modelPrefix+model)
		if err != nil {
			continue
		}
		rp, err := accountant.DecodeReplicas(en.Value)
		require.NoError(t, err)
		wd.reachable[model] = wd.reachable[model] || len(rp.Servers()) > 0
	}
}

// checkConvergence ends all faults and checks that the latest owners reach
// their goals.
func (wd *world) checkConvergence(t require.TestingT) {
	wd.store.SetDown(false)
	wd.store.LoseAnswers(0)
	wd.store.LoseWrites(0)
	wd.randomGoals()
	for server, eg := range wd.engines {
		eg.ClearOrderFaults()
		wd.owners[server] = wd.owners[server][len(wd.owners[server])-1:]
	}
	for range 240 {
		for _, server := range worldServers {
			for range 8 {
				wd.advance(server, 0)
			}
		}
		wd.pass(time.Second)
	}
	wd.checkSafety(t)
	for server, ows := range wd.owners {
		for _, dc := range ows[0].goal.desired {
			require.True(t, wd.engines[server].Ready(dc.Model(), dc.Version()), "%s lacks %v", server, dc)
		}
		require.Len(t, ows[0].ledger.Entries(), len(ows[0].goal.desired))
	}
}

func TestRandomFaultsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fencing := rapid.Bool().Draw(rt, "fencing")
		restart := rapid.Bool().Draw(rt, "restart")
		wd := newWorld(t, fencing, restart, rapid.Uint64().Draw(rt, "seed"))
		wd.randomGoals()
		numbers := rapid.SliceOfN(rapid.IntRange(0, 14), 100, 400).Draw(rt, "acts")
		for _, number := range numbers {
			wd.inject(number)
			wd.checkSafety(rt)
		}
		wd.checkConvergence(rt)
	})
}
