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
	// burstFactor multiplies the demand for a model during a burst.
	burstFactor = 10.0
	// burstsPerHour is the mean rate of bursts of one model.
	burstsPerHour = 0.4
	// minBurst and maxBurst bound the length of a burst.
	minBurst = 5 * time.Minute
	maxBurst = 40 * time.Minute
	// riseTicks is the number of ticks in which demand covers about 99% of the
	// way to a new level.
	riseTicks = 18.0
	// noiseDeviation is the standard deviation of a point, relative to its value.
	noiseDeviation = 0.25
)

// Trace is the demand for every model, in concurrent requests, at each tick.
type Trace []planner.Demand

// NewTrace returns a trace of a deployment, the same for the same seed. It has
// the configured shares of demand, noise, and random bursts of ten times the
// demand for a model. utilisation is the mean demand as a fraction of all slots.
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
	level, target, ticksLeft := 1.0, 1.0, 0
	perTick := burstsPerHour * traceTick.Hours()
	for ix := range values {
		if ticksLeft > 0 {
			ticksLeft--
			if ticksLeft == 0 {
				target = 1
			}
		} else if random.Float64() < perTick {
			target = burstFactor
			ticksLeft = burstTicks(random)
		}
		level += (target - level) * min(4/riseTicks, 1)
		values[ix] = share * level * math.Exp(noiseDeviation*random.NormFloat64())
	}
	return values
}

func burstTicks(random *rand.Rand) int {
	span := minBurst + time.Duration(random.Float64()*float64(maxBurst-minBurst))
	return int(span / traceTick)
}

func slotsOf(st *configurer.Settings) float64 {
	slots := 0.0
	for _, bs := range st.BackendServers() {
		slots += float64(bs.Slots())
	}
	return slots
}
