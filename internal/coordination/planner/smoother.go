package planner

import (
	"math"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// maxPatience bounds the passes that have to agree before a move.
	maxPatience = 6
)

// smoother follows demand through its noise, and its long-term mean.
type smoother struct {
	// follows and remembers are the time constants of value and mean.
	follows   time.Duration
	remembers time.Duration
	last      time.Time
	value     Demand
	mean      Demand
}

func newSmoother(pn *configurer.Planning) smoother {
	return smoother{follows: pn.Smoothing(), remembers: pn.Memory(), value: Demand{}, mean: Demand{}}
}

// observe takes in the demand seen since the last call.
func (sm *smoother) observe(seen Demand, now time.Time) {
	elapsed := now.Sub(sm.last)
	sm.last = now
	for model := range sm.value {
		if _, ok := seen[model]; !ok {
			sm.follow(model, 0, elapsed)
		}
	}
	for model, value := range seen {
		sm.follow(model, value, elapsed)
	}
}

func (sm *smoother) follow(model string, value float64, elapsed time.Duration) {
	if _, known := sm.value[model]; !known {
		sm.value[model] = value
		sm.mean[model] = value
		return
	}
	sm.value[model] = blend(sm.value[model], value, elapsed, sm.follows)
	sm.mean[model] = blend(sm.mean[model], value, elapsed, sm.remembers)
}

// blend moves old towards value with a time constant.
func blend(old, value float64, elapsed, constant time.Duration) float64 {
	keep := math.Exp(-elapsed.Seconds() / constant.Seconds())
	return old*keep + value*(1-keep)
}

// moveBudget counts the moves of the last hour.
type moveBudget struct {
	perHour int
	made    []time.Time
}

func (mb *moveBudget) left(now time.Time) int {
	kept := mb.made[:0]
	for _, at := range mb.made {
		if now.Sub(at) < time.Hour {
			kept = append(kept, at)
		}
	}
	mb.made = kept
	return max(mb.perHour-len(kept), 0)
}

func (mb *moveBudget) spend(moves int, now time.Time) {
	for range moves {
		mb.made = append(mb.made, now)
	}
}
