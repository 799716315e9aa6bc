package planner

import (
	"maps"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// State is what a planner has to know of its past. It holds no time of day,
// so that a planner on another node can go on from it.
type State struct {
	// Ages say how long ago the moves of the last hour were made.
	Ages []time.Duration
	// Demand and Mean are the smoothed demand and its long-term mean.
	Demand, Mean Demand
}

// State returns what a planner that goes on from here has to know. It is a
// copy: records are encoded for peers while the planner goes on.
func (pl *Planner) State(now time.Time) State {
	pl.budget.left(now)
	st := State{Demand: maps.Clone(pl.demand.value), Mean: maps.Clone(pl.demand.mean)}
	for _, at := range pl.budget.made {
		st.Ages = append(st.Ages, now.Sub(at))
	}
	return st
}

// Resume returns a planner that goes on from a state. Ages count on from now,
// however old the state is, so that the budget errs towards fewer moves.
func Resume(settings *configurer.Settings, st State, now time.Time) *Planner {
	pl := New(settings)
	pl.demand.last = now
	for model, value := range st.Demand {
		pl.demand.value[model] = value
		pl.demand.mean[model] = st.Mean[model]
	}
	for _, age := range st.Ages {
		pl.budget.made = append(pl.budget.made, now.Add(-age))
	}
	return pl
}

// Revise takes over the weights and the budget of newer settings.
func (pl *Planner) Revise(settings *configurer.Settings) {
	pn := settings.Planning()
	pl.budget.perHour = pn.MovesPerHour()
	pl.patience = patienceOf(pn)
}
