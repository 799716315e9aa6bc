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

const hotModel = "m03"

// newSettledRig returns a rig whose servers have carried out the first plan,
// under even demand.
func newSettledRig(t *testing.T) *rig {
	rg := newRig(t, 4, newSettings(t, 9, 14, 12, 9))
	for _, md := range rg.settings.Models() {
		rg.demand[md.Name()] = 5
	}
	rg.run(60)
	rg.requireReached()
	return rg
}

func TestModelGetsReplicaWhenDemandRisesTenfold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newSettledRig(t)
		before := len(rg.newest().Servers(hotModel))
		_, writes := rg.store.Calls()
		rg.run(60)
		_, after := rg.store.Calls()
		require.Equal(t, writes, after, "a plan that does not change is not written")
		rg.demand[hotModel] = 70
		rg.run(120)
		require.Greater(t, len(rg.newest().Servers(hotModel)), before)
		rg.requireReached()
	})
}

// TestNewHolderContinuesAfterHolderDies kills the holder before its write takes
// effect, after the write but before its confirmation, and before the plan
// reaches other nodes. The new holder must not make more moves than without a
// failure.
func TestNewHolderContinuesAfterHolderDies(t *testing.T) {
	moves := map[string]int{}
	for _, at := range []string{"never", "before-write", "after-write", "before-spread"} {
		synctest.Test(t, func(t *testing.T) {
			rg := newSettledRig(t)
			first := rg.newest()
			rg.demand[hotModel] = 70
			holder, number := rg.holder(), rg.newestNumber()
			if at != "never" {
				rg.killAt(at, holder)
				require.Equal(t, number+map[string]int64{"before-spread": 1}[at], holder.Current().Number())
			}
			rg.run(180)
			require.Greater(t, len(rg.newest().Servers(hotModel)), len(first.Servers(hotModel)))
			require.GreaterOrEqual(t, len(rg.alive()[0].Current().State().MoveAges), rg.moves, "moves count on after a takeover")
			moves[at] = rg.moves
			rg.requireReached()
		})
		require.LessOrEqual(t, moves[at], moves["never"], at)
	}
	t.Log(moves)
}

// killAt runs only the holder until it writes the next plan, then kills it.
func (rg *rig) killAt(at string, holder *node) {
	_, before := rg.store.Calls()
	for range 120 {
		switch at {
		case "before-write":
			rg.store.LoseWrites(1)
		case "after-write":
			holder.storeLink.losesAnswers = true
		}
		rg.tick(holder)
		rg.store.LoseWrites(0)
		if _, after := rg.store.Calls(); after != before {
			rg.kill(holder)
			return
		}
		holder.storeLink.losesAnswers = false
		time.Sleep(time.Second)
	}
	require.Fail(rg.t, "the holder wrote nothing")
}

// alwaysHolder always grants the claim, with its value as the epoch.
type alwaysHolder int64

// Hold implements placer.Claims.
func (ah alwaysHolder) Hold(context.Context, string) (int64, error) { return int64(ah), nil }

// TestPlansFormOneChainWithTwoHolders guards against hazard 2: a holder that
// was paused continues to plan while its successor plans as well.
func TestPlansFormOneChainWithTwoHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 0, newSettings(t, 9, 14, 12, 9))
		older, newer := rg.add(alwaysHolder(1)), rg.add(alwaysHolder(2))
		for _, md := range rg.settings.Models() {
			rg.demand[md.Name()] = 5
		}
		for ix := range 30 {
			rg.demand[fmt.Sprintf("m%02d", ix%14)] = 60
			rg.run(10) // fails if two plans with the same number come into force
		}
		require.EqualValues(t, 2, newer.Current().Epoch())
		require.Equal(t, newer.Current().Batch(), older.Current().Batch())
		require.Positive(t, older.count.Values()["plan.not-resumed"], "the older one has stood down")
		require.Empty(t, checker.Violations())
	})
}

func TestPlanStaysInForceDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newSettledRig(t)
		rg.store.SetDown(true)
		before := rg.newest()
		rg.demand[hotModel] = 70
		rg.run(3600)
		require.True(t, before.Equal(rg.newest()), "nothing new is planned")
		joined := rg.add(nil)
		rg.run(10)
		require.NotNil(t, joined.Current(), "a node that starts during an outage asks its peers")
		rg.store.SetDown(false)
		rg.run(120)
		require.Greater(t, len(rg.newest().Servers(hotModel)), len(before.Servers(hotModel)))
		rg.requireReached()
	})
}

// TestPlanIsWrittenOnceWhenAnswerIsLost guards against hazard 3: a write takes
// effect but its answer is lost.
func TestPlanIsWrittenOnceWhenAnswerIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newSettledRig(t)
		number := rg.newestNumber()
		rg.store.LoseAnswers(1)
		rg.demand[hotModel] = 70
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

// TestDeadlockOfTwoFullServersIsResolved plans a swap on two full servers: each
// is to load the model whose only replica is on the other.
func TestDeadlockOfTwoFullServersIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 2, newSettings(t, 2, 2, 40, 1))
		swap := planner.NewPlan(map[string][]string{"w0": {"m01"}, "w1": {"m00"}})
		rc := planner.NewRecord(1, 1, rand.Text(), swap, planner.State{})
		value, err := rc.Encode()
		require.NoError(t, err)
		_, err = rg.store.Swap(t.Context(), "plan", value, 0)
		require.NoError(t, err)
		rg.serves[placement{"m00", "w0"}], rg.serves[placement{"m01", "w1"}] = true, true
		rg.run(20)
		require.False(t, rg.serves[placement{"m00", "w1"}], "neither can begin")
		rg.run(40)
		rg.requireReached()
		require.Positive(t, rg.holder().count.Values()["plan.deadlock"])
		for range 60 {
			rg.run(1)
			require.Equal(t, 1, rg.servingReplicas("m00"))
			require.Equal(t, 1, rg.servingReplicas("m01"))
		}
	})
}

func TestPlanReplacesReplicasOfLeavingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newSettledRig(t)
		gone := rg.newest().Servers(hotModel)[0]
		rg.unusable[gone] = true
		rg.run(60)
		require.Empty(t, rg.newest().Models(gone))
		require.GreaterOrEqual(t, len(rg.newest().Servers(hotModel)), 2)
		require.True(t, rg.serves[placement{hotModel, gone}], "the leaving server is left alone")
		rg.requireReached()
	})
}

// TestModelsStayReachableThroughRandomFailures changes demand, stops servers,
// loses answers of the store and kills holders at random.
func TestModelsStayReachableThroughRandomFailures(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			rg := newSettledRig(t)
			random := mathrand.New(mathrand.NewPCG(seed, 7))
			for range 40 {
				rg.injectFault(random)
				for range random.IntN(30) {
					rg.run(1)
					for _, md := range rg.settings.Models() {
						require.Positive(t, rg.servingReplicas(md.Name()), "%s, seed %d", md.Name(), seed)
					}
				}
			}
			rg.run(120)
			rg.requireReached()
		})
	}
}

func (rg *rig) injectFault(random *mathrand.Rand) {
	switch model := fmt.Sprintf("m%02d", random.IntN(14)); random.IntN(5) {
	case 0, 1:
		rg.demand[model] = 80 * random.Float64()
	case 2:
		rg.store.LoseAnswers(1)
	case 3:
		clear(rg.unusable)
		lost := fmt.Sprintf("w%d", random.IntN(9))
		rg.run(90) // each model has two replicas again before the next loss
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

// TestPlanFollowsChangedSettings adds a model, enlarges one and removes two.
func TestPlanFollowsChangedSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newSettledRig(t)
		rg.settings = newSettings(t, 9, 15, 12, 9, "[model.m00]\nmemory = 30GiB\n")
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
		rg.settings = newSettings(t, 9, 13, 12, 9)
		rg.run(60)
		require.Empty(t, rg.newest().Servers("m13"), "removed models leave")
		rg.requireReached()
	})
}

// TestPlanAvoidsServersWhenMostAreLeaving has all servers but two announce that
// they leave.
func TestPlanAvoidsServersWhenMostAreLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newSettledRig(t)
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

func TestPlanStaysWhenMostServersAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newSettledRig(t)
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
