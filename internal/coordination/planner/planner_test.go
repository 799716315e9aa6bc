package planner_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const passInterval = 10 * time.Second

// newSettings returns settings with servers in three zones, and with models
// whose memory in GiB is the result of the function.
func newSettings(tb testing.TB, servers, models int, memory func(model int) int) *configurer.Settings {
	tb.Helper()
	var text strings.Builder
	text.WriteString("[engine-kind.fenced]\nchecks-fencing = yes\n[planning]\nmove-weight = 1\nattainment-weight = 4\nmoves-per-hour = 1000\n")
	for ix := range servers {
		fmt.Fprintf(&text, "[backend-server.w%04d]\nkind = fenced\naddress = 127.0.0.1:%d\nzone = zone-%d\nmemory = 64GiB\nslots = 16\n", ix, ix+1, ix%3)
	}
	for ix := range models {
		fmt.Fprintf(&text, "[model.m%04d]\nmemory = %dGiB\n", ix, memory(ix))
	}
	st, faults := configurer.Parse([]configurer.File{{Name: "fleet.ini", Text: text.String()}})
	require.Empty(tb, faults)
	return st
}

// requireSound checks that the plan fits in memory and uses only usable
// servers.
func requireSound(tb rapid.TB, st *configurer.Settings, pl *planner.Plan, usable planner.Usable) {
	for _, bs := range st.BackendServers() {
		used := int64(0)
		for _, name := range pl.Models(bs.Name()) {
			md, ok := st.Model(name)
			require.True(tb, ok)
			used += md.Memory()
		}
		require.LessOrEqual(tb, used, bs.WeightMemory(), "memory of %s", bs.Name())
		require.True(tb, used == 0 || usable(bs.Name()), "%s is not usable", bs.Name())
	}
}

// requireReplicas checks that each model has at least two replicas in at least
// two zones.
func requireReplicas(tb rapid.TB, st *configurer.Settings, pl *planner.Plan) {
	for _, md := range st.Models() {
		servers := pl.Servers(md.Name())
		require.GreaterOrEqual(tb, len(servers), 2, "replicas of %s", md.Name())
		zones := map[string]bool{}
		for _, name := range servers {
			bs, _ := st.BackendServer(name)
			zones[bs.Zone()] = true
		}
		require.GreaterOrEqual(tb, len(zones), 2, "zones of %s", md.Name())
	}
}

func TestPlansStaySoundUnderRandomDemandAndLosses(t *testing.T) {
	st := newSettings(t, 9, 14, func(model int) int { return 6 + model%7 })
	rapid.Check(t, func(rt *rapid.T) {
		pl := planner.New(st)
		plan := planner.Initial(st, planner.AllUsable)
		requireReplicas(rt, st, plan)
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 12).Draw(rt, "passes") {
			now = now.Add(passInterval)
			lost := rapid.IntRange(-1, 8).Draw(rt, "lost")
			usable := func(name string) bool { return name != fmt.Sprintf("w%04d", lost) }
			demand := planner.Demand{}
			for _, md := range st.Models() {
				demand[md.Name()] = rapid.Float64Range(0, 40).Draw(rt, "demand")
			}
			in := planner.Input{Settings: st, Usable: usable, Demand: demand, Current: plan, Now: now}
			plan = pl.Next(in)
			requireSound(rt, st, plan, usable)
			requireReplicas(rt, st, plan)
		}
	})
}

func TestNextMakesNoMovesForNoise(t *testing.T) {
	st := newSettings(t, 9, 14, func(int) int { return 12 })
	random := rand.New(rand.NewPCG(1, 1))
	pl := planner.New(st)
	plan := planner.Initial(st, planner.AllUsable)
	now := time.Unix(0, 0)
	for range 360 {
		now = now.Add(passInterval)
		demand := planner.Demand{}
		for _, md := range st.Models() {
			demand[md.Name()] = 6 * (0.7 + 0.6*random.Float64())
		}
		next := pl.Next(planner.Input{Settings: st, Usable: planner.AllUsable, Demand: demand, Current: plan, Now: now})
		require.Zero(t, next.Moves(plan))
		plan = next
	}
}

// TestRepeatedDemandPeaksCauseNoOscillation raises the demand for one model
// more than tenfold several times, with pauses shorter than a load. The added
// replicas must stay, and no model may be loaded again on a server that held it
// before.
func TestRepeatedDemandPeaksCauseNoOscillation(t *testing.T) {
	st := newSettings(t, 9, 14, func(int) int { return 12 })
	pl := planner.New(st)
	plan := planner.Initial(st, planner.AllUsable)
	now := time.Unix(0, 0)
	held := map[string]bool{}
	recordHeld := func() {
		for _, server := range plan.ServerNames() {
			for _, model := range plan.Models(server) {
				held[model+" on "+server] = true
			}
		}
	}
	phase := func(passes int, hot float64) {
		for range passes {
			recordHeld()
			now = now.Add(passInterval)
			demand := planner.Demand{}
			for _, md := range st.Models() {
				demand[md.Name()] = 5
			}
			demand["m0003"] = hot
			next := pl.Next(planner.Input{Settings: st, Usable: planner.AllUsable, Demand: demand, Current: plan, Now: now})
			requireNoReload(t, held, plan, next)
			plan = next
		}
	}
	phase(6, 5)
	before := len(plan.Servers("m0003"))
	phase(30, 70)
	risen := len(plan.Servers("m0003"))
	require.Greater(t, risen, before, "the rise is followed")
	for range 5 {
		phase(3, 5)
		phase(6, 70)
		require.GreaterOrEqual(t, len(plan.Servers("m0003")), risen, "the fall gives nothing up")
	}
}

// requireNoReload fails if a model is loaded again on a server that held it
// before.
func requireNoReload(t *testing.T, held map[string]bool, plan, next *planner.Plan) {
	t.Helper()
	for _, server := range next.ServerNames() {
		had := map[string]bool{}
		for _, model := range plan.Models(server) {
			had[model] = true
		}
		for _, model := range next.Models(server) {
			require.False(t, !had[model] && held[model+" on "+server], "%s is loaded on %s again", model, server)
		}
	}
}

func TestReplicasOfLostServerAreReplacedAtOnce(t *testing.T) {
	st := newSettings(t, 9, 14, func(int) int { return 12 })
	pl := planner.New(st)
	plan := planner.Initial(st, planner.AllUsable)
	gone := plan.Servers("m0000")[0]
	usable := func(name string) bool { return name != gone }
	plan = pl.Next(planner.Input{Settings: st, Usable: usable, Demand: planner.Demand{}, Current: plan, Now: time.Unix(10, 0)})
	requireSound(t, st, plan, usable)
	requireReplicas(t, st, plan)
}

func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ servers, models int }{{9, 14}, {18, 20}, {130, 65}, {1300, 650}} {
		b.Run(fmt.Sprintf("%d-servers-%d-models", size.servers, size.models), func(b *testing.B) {
			st := newSettings(b, size.servers, size.models, func(model int) int { return 6 + model%7 })
			random := rand.New(rand.NewPCG(1, 1))
			plan := planner.Initial(st, planner.AllUsable)
			pl := planner.New(st)
			now := time.Unix(0, 0)
			for b.Loop() {
				b.StopTimer()
				demand := planner.Demand{}
				for _, md := range st.Models() {
					demand[md.Name()] = 0.7 * 16 * float64(size.servers) / float64(size.models) * (0.5 + random.Float64())
				}
				hot := fmt.Sprintf("m%04d", random.IntN(size.models))
				demand[hot] *= 10
				now = now.Add(passInterval)
				b.StartTimer()
				plan = pl.Next(planner.Input{Settings: st, Usable: planner.AllUsable, Demand: demand, Current: plan, Now: now})
			}
		})
	}
}
