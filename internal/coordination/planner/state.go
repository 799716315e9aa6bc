package planner

import (
	"maps"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// State is the state of a planner. It contains no absolute times, so that a
// planner on another node can continue from it.
type State struct {
	// MoveAges are the ages of the moves of the last hour.
	MoveAges []time.Duration
	// Demand is the smoothed demand, and Mean its long-term mean.
	Demand, Mean Demand
}

// State returns a copy of the planner's state, because records are encoded for
// peers while the planner continues.
func (pl *Planner) State(now time.Time) State {
	pl.budget.remaining(now)
	st := State{Demand: maps.Clone(pl.demand.value), Mean: maps.Clone(pl.demand.mean)}
	for _, at := range pl.budget.moveTimes {
		st.MoveAges = append(st.MoveAges, now.Sub(at))
	}
	return st
}

// Resume returns a planner that continues from a state. The time between State
// and Resume is not added to the ages of moves, so that the budget allows too
// few moves rather than too many.
func Resume(settings *configurer.Settings, st State, now time.Time) *Planner {
	pl := New(settings)
	pl.demand.updatedAt = now
	for model, value := range st.Demand {
		pl.demand.value[model] = value
		pl.demand.mean[model] = st.Mean[model]
	}
	for _, age := range st.MoveAges {
		pl.budget.moveTimes = append(pl.budget.moveTimes, now.Add(-age))
	}
	return pl
}

// ApplySettings applies the weights and the budget of newer settings.
func (pl *Planner) ApplySettings(settings *configurer.Settings) {
	pn := settings.Planning()
	pl.budget.perHour = pn.MovesPerHour()
	pl.requiredPasses = requiredPassesFor(pn)
}
