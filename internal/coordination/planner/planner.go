// Package planner decides which model runs on which backend server.
//
// A plan is changed by few moves. A model gets another replica only if its
// demand exceeds what its replicas can serve, by enough to be worth a move and
// for long enough not to be noise; a replica is given up only when its memory
// is needed. When nothing is overloaded, replicas are exchanged only where one
// carries several times the demand of another. The weights of moves and
// attainment set the thresholds.
//
// # Usage
//
//	pl := planner.New(settings)
//	plan := planner.Initial(settings, planner.All)
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
// Fixed and Proportional are the naive planners that Planner is measured
// against.
package planner

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Usable reports whether a backend server may hold models.
type Usable func(server string) bool

// All says that every backend server may hold models.
func All(string) bool { return true }

// Demand is the number of requests of each model that would run at once if
// there were room for all, by model name.
type Demand map[string]float64

// Input is what a planning pass knows.
type Input struct {
	// Settings are the settings in force.
	Settings *configurer.Settings
	// Usable says which backend servers may hold models.
	Usable Usable
	// Demand is the demand seen since the last pass.
	Demand Demand
	// Current is the plan in force.
	Current *Plan
	// Serving says which replicas serve by their reports; a model's last that
	// do are not given up. If it is nil, all do.
	Serving func(model, server string) bool
	// Now is the time of the pass; only elapsed time counts.
	Now time.Time
}

// Policy makes the next plan from the current one.
type Policy interface {
	// Next returns the plan to put in force. It may return Input.Current.
	Next(in Input) *Plan
}

// Planner is the policy of the system. It belongs to one goroutine.
type Planner struct {
	demand   smoother
	budget   moveBudget
	patience int
	streak   int
}

// New returns a planner with the weights of the settings.
func New(st *configurer.Settings) *Planner {
	pn := st.Planning()
	return &Planner{
		demand:   newSmoother(pn),
		budget:   moveBudget{perHour: pn.MovesPerHour()},
		patience: patienceOf(pn),
	}
}

// patienceOf returns the number of passes in a row that have to ask for a move
// before one is made: the more a move weighs, the more.
func patienceOf(pn *configurer.Planning) int {
	if pn.AttainmentWeight() <= 0 {
		return maxPatience
	}
	return min(max(int(pn.MoveWeight()/pn.AttainmentWeight()/2), 1), maxPatience)
}

// Next implements Policy. Missing replicas are put back at once and outside
// the budget; moves for demand are made one after the other while each is
// worth its cost.
func (pl *Planner) Next(in Input) *Plan {
	pl.demand.observe(in.Demand, in.Now)
	wk := newWork(in, pl.demand.value)
	wk.setMeans(pl.demand.mean)
	wk.repair()
	wk.balance()
	moves := wk.improve(pl.allowance(in, wk))
	if moves == 0 && pl.budget.left(in.Now) > 0 {
		moves = wk.even()
	}
	pl.budget.spend(moves, in.Now)
	return wk.plan()
}

// allowance returns the number of moves that this pass may make.
func (pl *Planner) allowance(in Input, wk *work) int {
	if !wk.wantsMove() {
		pl.streak = 0
		return 0
	}
	pl.streak++
	if pl.streak < pl.patience && !wk.urgent() {
		return 0
	}
	return pl.budget.left(in.Now)
}
