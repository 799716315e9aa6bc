package placer_test

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
)

const hot = "m03"

// settled returns a rig whose servers hold the first plan, under even demand.
func settled(t *testing.T) *rig {
	rg := newRig(t, 4, fleet(t, 9, 14, 12, 9))
	for _, md := range rg.settings.Models() {
		rg.demand[md.Name()] = 5
	}
	rg.run(60)
	rg.requireReached()
	return rg
}

func TestTenfoldDemandGetsAnotherReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := settled(t)
		before := len(rg.newest().Servers(hot))
		_, writes := rg.store.Calls()
		rg.run(60)
		_, after := rg.store.Calls()
		require.Equal(t, writes, after, "a plan that does not change is not written")
		rg.demand[hot] = 70
		rg.run(120)
		require.Greater(t, len(rg.newest().Servers(hot)), before)
		rg.requireReached()
	})
}

// TestHolderDiesDuringAMove kills the holder before its write takes effect,
// after it took effect and before it knows, and before the plan has spread.
func TestHolderDiesDuringAMove(t *testing.T) {
	moves := map[string]int{}
	for _, at := range []string{"never", "before-write", "after-write", "before-spread"} {
		synctest.Test(t, func(t *testing.T) {
			rg := settled(t)
			first := rg.newest()
			rg.demand[hot] = 70
			holder, number := rg.holder(), rg.newestNumber()
			if at != "never" {
				rg.dieAt(at, holder)
				require.Equal(t, number+map[string]int64{"before-spread": 1}[at], holder.Current().Number())
			}
			rg.run(180)
			require.Greater(t, len(rg.newest().Servers(hot)), len(first.Servers(hot)))
			require.GreaterOrEqual(t, len(rg.alive()[0].Current().State().Ages), rg.moves, "moves count on after a takeover")
			moves[at] = rg.moves
			rg.requireReached()
		})
		require.LessOrEqual(t, moves[at], moves["never"], at)
	}
	t.Log(moves)
}

// dieAt lets the holder alone run until it writes the next plan, and kills it.
func (rg *rig) dieAt(at string, holder *node) {
	_, before := rg.store.Calls()
	for range 120 {
		switch at {
		case "before-write":
			rg.store.LoseWrites(1)
		case "after-write":
			holder.link.deaf = true
		}
		rg.tick(holder)
		rg.store.LoseWrites(0)
		if _, after := rg.store.Calls(); after != before {
			rg.kill(holder)
			return
		}
		holder.link.deaf = false
		time.Sleep(time.Second)
	}
	require.Fail(rg.t, "the holder wrote nothing")
}

// always takes itself for the holder.
type always int64

// Hold implements placer.Claims.
func (al always) Hold(context.Context, string) (int64, error) { return int64(al), nil }

// TestTwoHoldersMakeOnePlan causes hazard 2 at the plan: a holder that was
// paused and its successor plan side by side.
func TestTwoHoldersMakeOnePlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 0, fleet(t, 9, 14, 12, 9))
		older, newer := rg.add(always(1)), rg.add(always(2))
		for _, md := range rg.settings.Models() {
			rg.demand[md.Name()] = 5
		}
		for ix := range 30 {
			rg.demand[fmt.Sprintf("m%02d", ix%14)] = 60
			rg.run(10) // fails if two plans of one number come in force
		}
		require.EqualValues(t, 2, newer.Current().Epoch())
		require.Equal(t, newer.Current().Batch(), older.Current().Batch())
		require.Positive(t, older.count.Values()["plan.not-resumed"], "the older one has stood down")
		require.Empty(t, checker.Violations())
	})
}

func TestStoreOutageKeepsThePlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := settled(t)
		rg.store.SetDown(true)
		before := rg.newest()
		rg.demand[hot] = 70
		rg.run(3600)
		require.True(t, before.Equal(rg.newest()), "nothing new is planned")
		joined := rg.add(nil)
		rg.run(10)
		require.NotNil(t, joined.Current(), "a node that starts during an outage asks its peers")
		rg.store.SetDown(false)
		rg.run(120)
		require.Greater(t, len(rg.newest().Servers(hot)), len(before.Servers(hot)))
		rg.requireReached()
	})
}

// TestLostAnswerOfThePlanWrite causes hazard 3 at the plan.
func TestLostAnswerOfThePlanWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := settled(t)
		number := rg.newestNumber()
		rg.store.LoseAnswers(1)
		rg.demand[hot] = 70
		rg.run(120)
		require.Greater(t, rg.newestNumber(), number)
		require.LessOrEqual(t, rg.newestNumber()-number, int64(rg.moves), "no plan is written twice")
		rg.requireReached()
	})
}

func (rg *rig) newestNumber() (number int64) {
	for _, nd := range rg.alive() {
		number = max(number, nd.Current().Number())
	}
	return number
}

// TestServersThatWaitForEachOther gives two full servers a plan in which each
// is to load the model whose only replica the other holds.
func TestServersThatWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 2, fleet(t, 2, 2, 40, 1))
		swap := planner.NewPlan(map[string][]string{"w0": {"m01"}, "w1": {"m00"}})
		rc := planner.NewRecord(1, 1, rand.Text(), swap, planner.State{})
		value, err := rc.Encode()
		require.NoError(t, err)
		_, err = rg.store.Swap(t.Context(), "plan", value, 0)
		require.NoError(t, err)
		rg.serves[place{"m00", "w0"}], rg.serves[place{"m01", "w1"}] = true, true
		rg.run(20)
		require.False(t, rg.serves[place{"m00", "w1"}], "neither can begin")
		rg.run(40)
		rg.requireReached()
		require.Positive(t, rg.holder().count.Values()["plan.deadlock"])
		for range 60 {
			rg.run(1)
			require.Equal(t, 1, rg.serving("m00"))
			require.Equal(t, 1, rg.serving("m01"))
		}
	})
}

func TestLeavingServerIsReplacedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := settled(t)
		gone := rg.newest().Servers(hot)[0]
		rg.unusable[gone] = true
		rg.run(60)
		require.Empty(t, rg.newest().Models(gone))
		require.GreaterOrEqual(t, len(rg.newest().Servers(hot)), 2)
		require.True(t, rg.serves[place{hot, gone}], "the leaving server is left alone")
		rg.requireReached()
	})
}

// TestModelsStayReachableThroughRandomFailures changes demand, loses servers
// and kills holders at random.
func TestModelsStayReachableThroughRandomFailures(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			rg := settled(t)
			random := mathrand.New(mathrand.NewPCG(seed, 7))
			for range 40 {
				rg.disturb(random)
				for range random.IntN(30) {
					rg.run(1)
					for _, md := range rg.settings.Models() {
						require.Positive(t, rg.serving(md.Name()), "%s, seed %d", md.Name(), seed)
					}
				}
			}
			rg.run(120)
			rg.requireReached()
		})
	}
}

func (rg *rig) disturb(random *mathrand.Rand) {
	switch model := fmt.Sprintf("m%02d", random.IntN(14)); random.IntN(5) {
	case 0, 1:
		rg.demand[model] = 80 * random.Float64()
	case 2:
		rg.store.LoseAnswers(1)
	case 3:
		clear(rg.unusable)
		lost := fmt.Sprintf("w%d", random.IntN(9))
		rg.run(90) // models have two replicas again before the next loss
		rg.unusable[lost] = true
		for at := range rg.serves {
			if at.server == lost {
				delete(rg.serves, at)
			}
		}
	case 4:
		if len(rg.alive()) > 1 {
			rg.kill(rg.holder())
			rg.add(nil)
		}
	}
}

// TestSettingsChange adds a model, removes one and makes one larger.
func TestSettingsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := settled(t)
		rg.settings = fleet(t, 9, 15, 12, 9, "[model.m00]\nmemory = 30GiB\n")
		rg.run(2)
		require.GreaterOrEqual(t, len(rg.newest().Servers("m14")), 2, "a new model is placed at once")
		for _, bs := range rg.settings.BackendServers() {
			used := int64(0)
			for _, model := range rg.newest().Models(bs.Name()) {
				md, _ := rg.settings.Model(model)
				used += md.Memory()
			}
			require.LessOrEqual(t, used, bs.WeightMemory())
		}
		rg.settings = fleet(t, 9, 13, 12, 9)
		rg.run(60)
		require.Empty(t, rg.newest().Servers("m13"), "removed models leave")
		rg.requireReached()
	})
}

// TestMostServersLeaving lets all servers but two leave: they say so, and the
// plan moves away from them.
func TestMostServersLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := settled(t)
		rg.silent = func(string) bool { return false }
		for _, bs := range rg.settings.BackendServers()[2:] {
			rg.unusable[bs.Name()] = true
		}
		rg.run(60)
		for _, bs := range rg.settings.BackendServers()[2:] {
			require.Empty(t, rg.newest().Models(bs.Name()), bs.Name())
		}
		require.NotEmpty(t, rg.newest().Models(rg.settings.BackendServers()[0].Name()))
	})
}

func TestHolderThatSeesFewServersPlansNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := settled(t)
		before := rg.newest()
		for ix := range 5 {
			rg.unusable[fmt.Sprintf("w%d", ix)] = true
		}
		rg.run(60)
		require.True(t, before.Equal(rg.newest()))
		require.Positive(t, rg.holder().count.Values()["plan.most-servers-unseen"])
		delete(rg.unusable, "w0")
		rg.run(60)
		require.Empty(t, rg.newest().Models("w1"))
	})
}
