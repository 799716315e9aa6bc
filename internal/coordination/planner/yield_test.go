package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// tightSettings returns settings with three servers that have room for two of
// nine models each.
func tightSettings(t *testing.T, yield string) *configurer.Settings {
	var text strings.Builder
	text.WriteString("[planning]\ninterval = 500ms\nsmoothing = 1500ms\nmemory = 6s\nspare-when-idle = no\nspare-replicas = 0\nmoves-per-hour = 100000\nmove-weight = 10\nidle-models-yield = " + yield + "\n[engine-kind.k]\n")
	for ix := range 3 {
		fmt.Fprintf(&text, "[backend-server.w%d]\nkind = k\naddress = 10.0.0.%d:80\nzone = z%d\nmemory = 80GiB\nslots = 48\n", ix, ix+1, ix)
	}
	for ix := range 9 {
		fmt.Fprintf(&text, "[model.m%d]\nmemory = 34GiB\n", ix)
	}
	st, faults := configurer.Parse([]configurer.File{{Name: "1.ini", Text: text.String()}})
	require.Empty(t, faults)
	return st
}

// play asks for six of nine models, others in each phase, and returns the share
// of requests whose model had a replica, and the loads. A load takes 2 s.
func play(t *testing.T, yield string) (served float64, loads int) {
	st := tightSettings(t, yield)
	pl := planner.New(st)
	plan := planner.NewPlan(map[string][]string{"w0": {"m0", "m1"}, "w1": {"m2", "m3"}, "w2": {"m4", "m5"}})
	now := time.Unix(1000, 0)
	since := map[string]time.Time{}
	for _, model := range []string{"m0", "m1", "m2", "m3", "m4", "m5"} {
		since[model] = now.Add(-time.Minute)
	}
	asked, got := 0.0, 0.0
	for step := range 240 {
		now = now.Add(500 * time.Millisecond)
		demand := planner.Demand{}
		for ix := range 6 {
			model := fmt.Sprintf("m%d", (ix+3*(step/80))%9)
			demand[model] = 2
			asked += 2
			if at, ok := since[model]; ok && now.Sub(at) >= 2*time.Second {
				got += 2
			}
		}
		next := pl.Next(planner.Input{Settings: st, Usable: planner.AllUsable, Demand: demand, Current: plan, Now: now})
		loads += next.Moves(plan)
		for ix := range 9 {
			model := fmt.Sprintf("m%d", ix)
			switch _, ok := since[model]; {
			case len(next.Servers(model)) == 0:
				delete(since, model)
			case !ok:
				since[model] = now
			}
		}
		plan = next
	}
	return got / asked, loads
}

// Nine models share the memory for six, and three others are asked for in each
// of three phases. Without yielding, the first six keep their places for ever.
func TestIdleModelsMakeRoomForThoseAskedFor(t *testing.T) {
	before, _ := play(t, "no")
	require.Less(t, before, 0.75, "the load is one that a fixed plan cannot serve")
	served, loads := play(t, "yes")
	require.Greater(t, served, 0.85)
	require.LessOrEqual(t, loads, 3*3, "each phase needs three loads")
}

// All nine models are asked for alike. Whoever takes a place makes another wait,
// so that the plan stays.
func TestModelsDoNotTakeTurnsWithoutNeed(t *testing.T) {
	st := tightSettings(t, "yes")
	pl := planner.New(st)
	plan := planner.NewPlan(map[string][]string{"w0": {"m0", "m1"}, "w1": {"m2", "m3"}, "w2": {"m4", "m5"}})
	now, moves := time.Unix(1000, 0), 0
	for range 60 {
		now = now.Add(500 * time.Millisecond)
		demand := planner.Demand{}
		for ix := range 9 {
			demand[fmt.Sprintf("m%d", ix)] = 2
		}
		next := pl.Next(planner.Input{Settings: st, Usable: planner.AllUsable, Demand: demand, Current: plan, Now: now})
		moves += next.Moves(plan)
		plan = next
	}
	require.Zero(t, moves)
}

// A model without a replica takes the place of a spare replica rather than the
// last one of an idle model, which may be asked for again.
func TestSpareReplicaGoesBeforeLastReplicaOfIdleModel(t *testing.T) {
	st := tightSettings(t, "yes")
	pl := planner.New(st)
	plan := planner.NewPlan(map[string][]string{"w0": {"m0", "m1"}, "w1": {"m0", "m2"}, "w2": {"m0", "m3"}})
	next := pl.Next(planner.Input{
		Settings: st, Usable: planner.AllUsable, Current: plan, Now: time.Unix(1000, 0),
		Demand: planner.Demand{"m0": 6, "m4": 3},
	})
	require.Len(t, next.Servers("m4"), 1)
	require.NotEmpty(t, next.Servers("m0"))
	for _, idle := range []string{"m1", "m2", "m3"} {
		require.Len(t, next.Servers(idle), 1, idle)
	}
}
