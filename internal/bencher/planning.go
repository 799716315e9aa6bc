package bencher

import (
	"sync"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// PlanningResult is the result of a planning policy on a trace.
type PlanningResult struct {
	// Policy is the policy's name.
	Policy string
	// Attainment is the fraction of the demand that could be served, from 0 to 1.
	Attainment float64
	// PerAccelerator is the mean demand served, in concurrent requests, divided
	// by the number of accelerators.
	PerAccelerator float64
	// Moves counts loads of models after the start.
	Moves int
}

// ComparePlanning runs each policy on the same trace and returns the results,
// sorted by policy. A load starts within the rate of the weight store and serves
// from the next tick on; an unload takes effect at once. A policy sees the
// demand of a tick after the tick.
func ComparePlanning(st *configurer.Settings, trace Trace, policies map[string]planner.Policy) []PlanningResult {
	var results []PlanningResult
	for _, name := range sortedNames(policies) {
		results = append(results, runPlanning(st, trace, name, policies[name]))
	}
	return results
}

// SweepPlanning compares the planner with the naive ones on the traces of count
// seeds, beginning with first. It returns the means by policy; Moves is the sum.
func SweepPlanning(st *configurer.Settings, length time.Duration, utilisation float64, first uint64, count int) map[string]PlanningResult {
	var mu sync.Mutex
	var wg sync.WaitGroup
	sums := map[string]PlanningResult{}
	for ix := range count {
		wg.Go(func() {
			trace := NewTrace(st, length, utilisation, first+uint64(ix))
			results := ComparePlanning(st, trace, map[string]planner.Policy{
				"fixed":        planner.Fixed{},
				"planner":      planner.New(st),
				"proportional": planner.Proportional{},
			})
			mu.Lock()
			defer mu.Unlock()
			addPlanning(sums, results, float64(count))
		})
	}
	wg.Wait()
	return sums
}

func addPlanning(sums map[string]PlanningResult, results []PlanningResult, count float64) {
	for _, rs := range results {
		sum := sums[rs.Policy]
		sum.Policy = rs.Policy
		sum.Attainment += rs.Attainment / count
		sum.PerAccelerator += rs.PerAccelerator / count
		sum.Moves += rs.Moves
		sums[rs.Policy] = sum
	}
}

func runPlanning(st *configurer.Settings, trace Trace, name string, pc planner.Policy) PlanningResult {
	// The start is arbitrary: policies see only elapsed time.
	now := time.Unix(0, 0)
	current := planner.Initial(st, planner.AllUsable)
	ld := newLoader(st.Limits().WeightLoadsPerSecond(), current)
	rs := PlanningResult{Policy: name}
	served, offered := 0.0, 0.0
	for _, demand := range trace {
		now = now.Add(traceTick)
		sum := sumOf(demand)
		served += planner.Attained(st, ld.advance(current), demand) * sum
		offered += sum
		next := pc.Next(planner.Input{
			Settings: st,
			Usable:   planner.AllUsable,
			Demand:   demand,
			Current:  current,
			Now:      now,
		})
		rs.Moves += next.Moves(current)
		current = next
	}
	rs.Attainment = served / offered
	rs.PerAccelerator = served / float64(len(trace)) / acceleratorsOf(st)
	return rs
}

// loader simulates loads of models at the rate of the weight store.
type loader struct {
	perTick   float64                    // loads that may start in a tick
	loadsLeft float64                    // loads that may still start in this tick
	present   map[string]map[string]bool // models by backend server, with those that load
}

func newLoader(perSecond float64, start *planner.Plan) *loader {
	ld := &loader{perTick: perSecond * traceTick.Seconds(), present: map[string]map[string]bool{}}
	for _, server := range start.ServerNames() {
		ld.present[server] = setOf(start.Models(server))
	}
	return ld
}

// advance unloads the models that left the plan, starts as many loads as one
// tick allows, and returns the models that serve during the tick.
func (ld *loader) advance(target *planner.Plan) *planner.Plan {
	ld.loadsLeft = ld.perTick
	serving := map[string][]string{}
	for _, server := range target.ServerNames() {
		before := ld.present[server]
		after := map[string]bool{}
		for _, model := range target.Models(server) {
			if !before[model] && ld.loadsLeft < 1 {
				continue
			}
			after[model] = true
			if !before[model] {
				ld.loadsLeft--
				continue
			}
			serving[server] = append(serving[server], model)
		}
		ld.present[server] = after
	}
	return planner.NewPlan(serving)
}

func setOf(names []string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

func sumOf(demand planner.Demand) float64 {
	sum := 0.0
	for _, value := range demand {
		sum += value
	}
	return sum
}

func acceleratorsOf(st *configurer.Settings) float64 {
	count := 0
	for _, bs := range st.BackendServers() {
		count += bs.Accelerators()
	}
	return float64(count)
}
