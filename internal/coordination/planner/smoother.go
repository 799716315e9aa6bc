package planner

import (
	"maps"
	"math"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// maxRequiredPasses limits the number of passes that must need a move before
	// one is made.
	maxRequiredPasses = 6
)

// smoother computes two exponential moving averages of demand.
type smoother struct {
	// valueConstant and meanConstant are the time constants of value and mean.
	valueConstant time.Duration
	meanConstant  time.Duration
	updatedAt     time.Time
	value         Demand
	mean          Demand
}

func newSmoother(pn *configurer.Planning) smoother {
	return smoother{valueConstant: pn.Smoothing(), meanConstant: pn.MeanSmoothing(), value: Demand{}, mean: Demand{}}
}

// observe adds the demand since the last call. A model that is not in seen has
// no demand. The first demand of all counts in full; a model that is seen for
// the first time later had none before.
func (sm *smoother) observe(seen Demand, now time.Time) {
	if sm.updatedAt.IsZero() {
		maps.Copy(sm.value, seen)
		maps.Copy(sm.mean, seen)
	}
	elapsed := now.Sub(sm.updatedAt)
	sm.updatedAt = now
	for model := range sm.value {
		if _, ok := seen[model]; !ok {
			sm.update(model, 0, elapsed)
		}
	}
	for model, value := range seen {
		sm.update(model, value, elapsed)
	}
}

func (sm *smoother) update(model string, value float64, elapsed time.Duration) {
	sm.value[model] = blend(sm.value[model], value, elapsed, sm.valueConstant)
	sm.mean[model] = blend(sm.mean[model], value, elapsed, sm.meanConstant)
}

// maxForecastFactor bounds a forecast as a multiple of the demand that is seen.
const maxForecastFactor = 3

// forecast returns the demand of a model after the given time, if it goes on rising as
// it has lately. A load that begins when demand is seen would come too late otherwise.
// Falling demand is not forecast: its replicas are kept until others need the memory.
func (sm *smoother) forecast(model string, ahead time.Duration) float64 {
	value, mean := sm.value[model], sm.mean[model]
	span := sm.meanConstant - sm.valueConstant
	if value <= mean || span <= 0 {
		return value
	}
	return min(value+(value-mean)*ahead.Seconds()/span.Seconds(), value*maxForecastFactor)
}

// forecasts returns the demand of all models after the time that their load takes.
func (sm *smoother) forecasts(st *configurer.Settings) Demand {
	all := make(Demand, len(sm.value))
	for model, value := range sm.value {
		all[model] = value
		if md, ok := st.Model(model); ok && md.LoadTime() > 0 {
			all[model] = sm.forecast(model, md.LoadTime())
		}
	}
	return all
}

// blend returns the exponential moving average after the elapsed time.
func blend(old, value float64, elapsed, constant time.Duration) float64 {
	keep := math.Exp(-elapsed.Seconds() / constant.Seconds())
	return old*keep + value*(1-keep)
}

// moveBudget limits the number of moves per hour.
type moveBudget struct {
	perHour   int
	moveTimes []time.Time
}

// remaining returns the number of moves that are allowed now.
func (mb *moveBudget) remaining(now time.Time) int {
	kept := mb.moveTimes[:0]
	for _, at := range mb.moveTimes {
		if now.Sub(at) < time.Hour {
			kept = append(kept, at)
		}
	}
	mb.moveTimes = kept
	return max(mb.perHour-len(kept), 0)
}

func (mb *moveBudget) record(moves int, now time.Time) {
	for range moves {
		mb.moveTimes = append(mb.moveTimes, now)
	}
}
