// Package planner decides which model runs on which backend server.
//
// The planner changes a plan by as few moves as possible. A model gets another
// replica only if its demand exceeds the capacity of its replicas by enough to
// justify a move and for long enough not to be noise. A replica is evicted only
// if its memory is needed. If no model is overloaded, replicas are exchanged
// only where one carries several times the demand of another. The weights of
// moves and attainment determine the thresholds.
//
// # Usage
//
//	pl := planner.New(settings)
//	plan := planner.Initial(settings, planner.AllUsable)
//	...
//	plan = pl.Next(planner.Input{
//		Settings: settings,
//		Usable:   usable,
//		Demand:   demand,
//		Current:  plan,
//		Now:      now,
//	})
//	for _, model := range plan.Models("w1") { ... }
//
// Fixed and Proportional are baseline policies for comparison with Planner.
package planner

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Usable reports whether a backend server may hold models.
type Usable func(server string) bool

// AllUsable is a Usable under which every backend server may hold models.
func AllUsable(string) bool { return true }

// Demand is the number of requests of each model that would run concurrently
// with unlimited capacity, by model name.
type Demand map[string]float64

// Input is the input of a planning pass.
type Input struct {
	// Settings are the settings in force.
	Settings *configurer.Settings
	// Usable reports whether a backend server may hold models.
	Usable Usable
	// Demand is the demand observed since the last pass.
	Demand Demand
	// Current is the plan in force.
	Current *Plan
	// Serving reports whether a replica serves, according to reports. The last
	// serving replicas of a model are not evicted. If Serving is nil, all
	// replicas count as serving.
	Serving func(model, server string) bool
	// Resident reports whether a server keeps a model's weights outside its
	// accelerators, so that a load there is quick and needs nothing from the weight
	// store. If Resident is nil, no server does.
	Resident func(model, server string) bool
	// AtRisk reports whether a server that is usable may not serve for a while. Its
	// replicas stay planned. If AtRisk is nil, no server is at risk.
	AtRisk func(server string) bool
	// Now is the time of the pass. Only the time between passes matters.
	Now time.Time
}

// Policy computes the next plan from the current one.
type Policy interface {
	// Next returns the plan that should come into force. It may return
	// Input.Current.
	Next(in Input) *Plan
}

// Planner is the Policy used in production. It must be used by one goroutine
// only.
type Planner struct {
	demand smoother
	budget moveBudget
	// requiredPasses is the number of passes in a row that must need a move
	// before one is made, and consecutivePasses counts them.
	requiredPasses    int
	consecutivePasses int
	// changes are those of the last pass.
	changes []Change
}

// New returns a planner with the weights of the settings.
func New(st *configurer.Settings) *Planner {
	pn := st.Planning()
	return &Planner{
		demand:         newSmoother(pn),
		budget:         moveBudget{perHour: pn.MovesPerHour()},
		requiredPasses: requiredPassesFor(pn),
	}
}

// requiredPassesFor returns the number of passes in a row that must need a move
// before one is made. It increases with the weight of moves.
func requiredPassesFor(pn *configurer.Planning) int {
	if pn.AttainmentWeight() <= 0 {
		return maxRequiredPasses
	}
	return min(max(int(pn.MoveWeight()/pn.AttainmentWeight()/2), 1), maxRequiredPasses)
}

// Next implements Policy. It replaces missing replicas at once, without
// charging the budget. It then makes moves for demand, as long as each gains
// enough.
func (pl *Planner) Next(in Input) *Plan {
	pl.demand.observe(in.Demand, in.Now)
	wk := newWorkspace(in, pl.demand.forecasts(in.Settings))
	wk.setMeans(pl.demand.mean)
	wk.balance()
	wk.repair()
	wk.balance()
	moves := wk.improve(pl.allowedMoves(in, wk))
	if moves == 0 {
		moves = wk.exchangeAll(min(exchangeLimit(in.Settings), pl.budget.remaining(in.Now)))
	}
	pl.budget.record(moves, in.Now)
	pl.changes = wk.changes
	return wk.plan()
}

// exchangeLimit returns the number of replicas that one pass may add only to even out
// demand. More than the weight store loads until the next pass would delay the loads
// for demand that follows.
func exchangeLimit(st *configurer.Settings) int {
	if limit := st.Planning().ExchangesPerPass(); limit > 0 {
		return limit
	}
	return loadsPerPass(st)
}

// loadsPerPass returns the number of models that the weight store loads between two
// passes, at least 1.
func loadsPerPass(st *configurer.Settings) int {
	return max(int(st.Limits().WeightLoadsPerSecond()*st.Planning().Interval().Seconds()), 1)
}

// allowedMoves returns the number of moves for demand that this pass may make.
func (pl *Planner) allowedMoves(in Input, wk *workspace) int {
	if !wk.needsMove() {
		pl.consecutivePasses = 0
		return 0
	}
	pl.consecutivePasses++
	if pl.consecutivePasses < pl.requiredPasses && !wk.urgent() {
		return 0
	}
	return pl.budget.remaining(in.Now)
}
