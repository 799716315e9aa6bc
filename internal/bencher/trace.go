package bencher

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// traceTick is the time between two points of a trace.
	traceTick = 10 * time.Second
	// burstFactor is how far demand for one model rises.
	burstFactor = 10.0
	// burstsPerHour is how often a model's demand rises.
	burstsPerHour = 0.4
	// leastBurst and mostBurst bound how long a rise lasts.
	leastBurst = 5 * time.Minute
	mostBurst  = 40 * time.Minute
	// riseTicks is how long demand takes to rise or fall.
	riseTicks = 18.0
	// noise is the relative deviation from one point to the next.
	noise = 0.25
)

// Trace is the demand of every model at each tick.
type Trace []planner.Demand

// NewTrace returns the trace of a deployment from a seed: shares of demand as
// configured, noise, and tenfold rises without warning. The mean is the given
// part of all slots.
func NewTrace(st *configurer.Settings, length time.Duration, utilisation float64, seed uint64) Trace {
	random := rand.New(rand.NewPCG(seed, 1))
	ticks := int(length / traceTick)
	trace := make(Trace, ticks)
	for ix := range trace {
		trace[ix] = planner.Demand{}
	}
	total := 0.0
	for _, md := range st.Models() {
		for ix, value := range modelTrace(random, ticks, md.Share()) {
			trace[ix][md.Name()] = value
			total += value
		}
	}
	scale := utilisation * slotsOf(st) * float64(ticks) / math.Max(total, 1e-9)
	for _, demand := range trace {
		for model := range demand {
			demand[model] *= scale
		}
	}
	return trace
}

func modelTrace(random *rand.Rand, ticks int, share float64) []float64 {
	values := make([]float64, ticks)
	level, target, left := 1.0, 1.0, 0
	perTick := burstsPerHour * traceTick.Hours()
	for ix := range values {
		if left > 0 {
			left--
			if left == 0 {
				target = 1
			}
		} else if random.Float64() < perTick {
			target = burstFactor
			left = burstTicks(random)
		}
		level += (target - level) * min(4/riseTicks, 1)
		values[ix] = share * level * math.Exp(noise*random.NormFloat64())
	}
	return values
}

func burstTicks(random *rand.Rand) int {
	span := leastBurst + time.Duration(random.Float64()*float64(mostBurst-leastBurst))
	return int(span / traceTick)
}

func slotsOf(st *configurer.Settings) float64 {
	slots := 0.0
	for _, bs := range st.BackendServers() {
		slots += float64(bs.Slots())
	}
	return slots
}
