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

// owned is a keeper and the task that it waits for. A takeover leaves the old
// owner behind, which may wake at any time.
type owned struct {
	*keeper
	task   task
	result result
	ready  bool
}

// world is the state of a random run.
type world struct {
	*rig
	owners  map[string][]*owned
	heldAt  map[string]time.Time
	bound   time.Duration
	fencing bool
	restart bool
	reached map[string]bool
	serial  int
}

var worldServers = []string{"w1", "w2", "w3"}

var modelBytes = map[string]int64{"a": 28, "b": 32, "c": 20, "d": 28}

func newWorld(t interface{ Cleanup(func()) }, fencing, restart bool, seed uint64) *world {
	wd := &world{
		rig:     newRig(t, fencing, worldServers...),
		owners:  map[string][]*owned{},
		heldAt:  map[string]time.Time{},
		bound:   testBound,
		fencing: fencing,
		restart: restart,
		reached: map[string]bool{},
	}
	wd.random = rand.New(rand.NewPCG(seed, seed))
	for _, server := range worldServers {
		wd.takeOver(server)
	}
	return wd
}

func (wd *world) takeOver(server string) {
	gl := Goal{checksFencing: wd.fencing, bound: wd.bound, minReplicas: map[string]int{"a": 1, "b": 1, "c": 1, "d": 1}}
	gl.role, gl.roleBytes = "mixed", 5
	wd.serial++
	kp := wd.owner("n"+strconv.Itoa(wd.serial), server, gl)
	if old := wd.owners[server]; len(old) > 0 {
		kp.goal.wants = old[len(old)-1].goal.wants
	}
	wd.owners[server] = append(wd.owners[server], &owned{keeper: kp})
}

// wish gives the server a random goal; each model is wanted on two servers at
// least.
func (wd *world) wish() {
	versions := map[string]string{}
	for model := range modelBytes {
		versions[model] = strconv.Itoa(1 + wd.random.IntN(2))
	}
	for ix, server := range worldServers {
		var wants []Want
		for jx, model := range []string{"a", "b", "c", "d"} {
			if jx%3 != ix {
				wants = append(wants, NewWant(model, versions[model], modelBytes[model]))
			}
		}
		for _, ow := range wd.owners[server] {
			gl := *ow.goal
			gl.wants = wants
			ow.goal = &gl
		}
	}
}

// move advances one owner by half a step: it starts or performs a task, or
// takes its result.
func (wd *world) move(server string, which int) {
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

// moveAny advances the present owner, or now and then an older one.
func (wd *world) moveAny(server string) {
	latest := len(wd.owners[server]) - 1
	if wd.random.IntN(4) == 0 {
		wd.move(server, wd.random.IntN(latest+1))
		return
	}
	wd.move(server, latest)
}

// pass lets time go by; orders that were held for half of the bound are lost.
func (wd *world) pass(dn time.Duration) {
	wd.now = wd.now.Add(dn)
	for server, eg := range wd.engines {
		if eg.HeldOrders() > 0 && wd.now.Sub(wd.heldAt[server]) > wd.bound/2 {
			eg.DropHeldOrders()
		}
	}
}

// act does the random thing that the number names.
func (wd *world) act(number int) {
	server := worldServers[wd.random.IntN(len(worldServers))]
	eg := wd.engines[server]
	switch number {
	case 0:
		eg.FaultOrders(engine.OrderFault(1 + wd.random.IntN(3)))
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
		wd.wish()
		eg.FaultOrders(engine.OrderFault(wd.random.IntN(4)), engine.OrderHeld)
	case 8:
		wd.pass(time.Duration(wd.random.Int64N(int64(wd.bound / 4))))
	case 9:
		if wd.restart {
			eg.Restart()
		}
	default:
		for range 120 {
			wd.moveAny(worldServers[wd.random.IntN(len(worldServers))])
		}
		wd.pass(300 * time.Millisecond)
	}
}

// check looks at the engines and at the program's own assertions.
func (wd *world) check(t require.TestingT) {
	require.Zero(t, wd.overcommits())
	require.Empty(t, checker.Violations())
	for model := range modelBytes {
		serves := slices.ContainsFunc(worldServers, func(server string) bool { return wd.engines[server].Serves(model) })
		require.True(t, serves || wd.restart || !wd.reached[model], "model %s is not reachable", model)
		en, err := wd.store.Get(context.Background(), modelPrefix+model)
		if err != nil {
			continue
		}
		rp, err := accountant.DecodeReplicas(en.Value)
		require.NoError(t, err)
		wd.reached[model] = wd.reached[model] || len(rp.Servers()) > 0
	}
}

// finish ends all faults and checks that the last owners reach their goals.
func (wd *world) finish(t require.TestingT) {
	wd.store.SetDown(false)
	wd.store.LoseAnswers(0)
	wd.store.LoseWrites(0)
	wd.wish()
	for server, eg := range wd.engines {
		eg.ClearFaults()
		wd.owners[server] = wd.owners[server][len(wd.owners[server])-1:]
	}
	for range 240 {
		for _, server := range worldServers {
			for range 8 {
				wd.move(server, 0)
			}
		}
		wd.pass(time.Second)
	}
	wd.check(t)
	for server, ows := range wd.owners {
		for _, wn := range ows[0].goal.wants {
			require.True(t, wd.engines[server].Ready(wn.Model(), wn.Version()), "%s lacks %v", server, wn)
		}
		require.Len(t, ows[0].ledger.Entries(), len(ows[0].goal.wants))
	}
}

func TestRandomOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fencing := rapid.Bool().Draw(rt, "fencing")
		restart := rapid.Bool().Draw(rt, "restart")
		wd := newWorld(t, fencing, restart, rapid.Uint64().Draw(rt, "seed"))
		wd.wish()
		numbers := rapid.SliceOfN(rapid.IntRange(0, 14), 100, 400).Draw(rt, "acts")
		for _, number := range numbers {
			wd.act(number)
			wd.check(rt)
		}
		wd.finish(rt)
	})
}
