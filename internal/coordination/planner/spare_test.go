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

// fullFleet returns settings with six servers that have room for two of seven
// models each, and a plan that fills them: m0 on all servers, of m1 to m6 one
// replica each.
func fullFleet(t *testing.T) (*configurer.Settings, *planner.Plan) {
	var text strings.Builder
	text.WriteString("[planning]\ninterval = 500ms\nsmoothing = 1500ms\nmemory = 6s\nspare-when-idle = no\nmoves-per-hour = 100000\nmove-weight = 10\n[engine-kind.k]\n")
	byServer := map[string][]string{}
	for ix := range 6 {
		fmt.Fprintf(&text, "[backend-server.w%d]\nkind = k\naddress = 10.0.0.%d:80\nzone = z%d\nmemory = 80GiB\nslots = 64\n", ix, ix+1, ix%3)
		byServer[fmt.Sprintf("w%d", ix)] = []string{"m0", fmt.Sprintf("m%d", ix+1)}
	}
	for ix := range 7 {
		fmt.Fprintf(&text, "[model.m%d]\nmemory = 34GiB\n", ix)
	}
	st, faults := configurer.Parse([]configurer.File{{Name: "1.ini", Text: text.String()}})
	require.Empty(t, faults)
	return st, planner.NewPlan(byServer)
}

// plays makes passes half a second apart with the demand of each, and calls check
// with each plan.
func plays(t *testing.T, passes int, demand func(pass int) planner.Demand, check func(pl *planner.Planner, former, plan *planner.Plan)) {
	st, plan := fullFleet(t)
	pl := planner.New(st)
	for pass := range passes {
		now := time.Unix(1000, 0).Add(time.Duration(pass) * 500 * time.Millisecond)
		next := pl.Next(planner.Input{Settings: st, Usable: planner.AllUsable, Demand: demand(pass), Current: plan, Now: now})
		check(pl, plan, next)
		plan = next
	}
}

// Guards against callers of the model in demand being refused while models that
// got a single long prompt hold spare replicas in its place.
func TestSpareReplicasTakeNoPlaceOfReplicasUnderDemand(t *testing.T) {
	plays(t, 48, func(pass int) planner.Demand {
		demand := planner.Demand{"m0": 500}
		if pass%4 == 0 {
			demand[fmt.Sprintf("m%d", 1+pass/4%6)] = 74
		}
		return demand
	}, func(_ *planner.Planner, _, plan *planner.Plan) {
		require.Len(t, plan.Servers("m0"), 6, "the model in demand fills all six replicas")
		for ix := range 7 {
			require.NotEmpty(t, plan.Servers(fmt.Sprintf("m%d", ix)))
		}
	})
}

// The spare replica is placed where demand leaves room for it.
func TestSpareReplicasTakePlacesThatDemandLeaves(t *testing.T) {
	var last *planner.Plan
	plays(t, 8, func(int) planner.Demand { return planner.Demand{"m0": 90, "m1": 20} },
		func(_ *planner.Planner, _, plan *planner.Plan) { last = plan })
	require.GreaterOrEqual(t, len(last.Servers("m1")), 2)
	require.GreaterOrEqual(t, len(last.Servers("m0")), 3)
}

// Guards against a single long prompt that is taken for lasting demand because
// the planner had not seen its model before.
func TestSinglePromptForUnknownModelMovesNothing(t *testing.T) {
	plays(t, 12, func(pass int) planner.Demand {
		demand := planner.Demand{"m0": 90}
		if pass >= 2 && pass < 8 {
			demand[fmt.Sprintf("m%d", pass-1)] = 74
		}
		return demand
	}, func(pl *planner.Planner, former, plan *planner.Plan) {
		require.Zero(t, plan.Moves(former), "%v", pl.Changes())
	})
}

// loader carries out plans as engines do: it begins at most one load a pass,
// and a load takes some passes.
type loader struct {
	passes  int            // of a load
	ready   map[string]int // pass from which on MODEL@SERVER serves
	current int
}

// follow begins the load of the first planned replica that is missing.
func (ld *loader) follow(pl *planner.Plan) {
	ld.current++
	begun := false
	planned := map[string]bool{}
	names := pl.ServerNames()
	for ix := range names {
		// Servers take the token of a load in no particular order.
		server := names[(ix+7*ld.current)%len(names)]
		for _, model := range pl.Models(server) {
			key := model + "@" + server
			planned[key] = true
			if _, ok := ld.ready[key]; !ok && !begun {
				ld.ready[key], begun = ld.current+ld.passes, true
			}
		}
	}
	for key := range ld.ready {
		if !planned[key] {
			delete(ld.ready, key)
		}
	}
}

func (ld *loader) serving(model, server string) bool {
	ready, ok := ld.ready[model+"@"+server]
	return ok && ready <= ld.current
}

// Guards against loads of spare replicas that keep the model in demand waiting
// for its own.
func TestLoadsForDemandComeBeforeSpareReplicas(t *testing.T) {
	st := shiftSettings(t)
	byServer := map[string][]string{}
	ld := &loader{passes: 10, ready: map[string]int{}}
	for ix := range 18 {
		server := fmt.Sprintf("w%02d", ix)
		byServer[server] = []string{fmt.Sprintf("m%02d", 1+ix)}
		if ix < 2 {
			byServer[server] = append(byServer[server], fmt.Sprintf("m%02d", 19+ix))
		}
		for _, model := range byServer[server] {
			ld.ready[model+"@"+server] = 0
		}
	}
	pl, plan := planner.New(st), planner.NewPlan(byServer)
	now := time.Unix(1000, 0)
	passes := 0
	for serving := 1; serving < 6; {
		passes++
		require.Less(t, passes, 60)
		now = now.Add(500 * time.Millisecond)
		demand := planner.Demand{"m01": 400}
		for ix := range 12 {
			demand[fmt.Sprintf("m%02d", 2+ix)] = 10
		}
		plan = pl.Next(planner.Input{Settings: st, Usable: planner.AllUsable, Demand: demand, Current: plan, Serving: ld.serving, Now: now})
		ld.follow(plan)
		serving = 0
		for _, server := range plan.Servers("m01") {
			if ld.serving("m01", server) {
				serving++
			}
		}
	}
	require.LessOrEqual(t, passes, 5+ld.passes+2, "five loads one after the other, the last one's time, and two passes to notice")
}
