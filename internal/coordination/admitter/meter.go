package admitter

import (
	"math"
	"time"
)

const (
	// meterWindow is the time constant over which rates are averaged.
	meterWindow = 10 * time.Second
	// meterMinBusy is the busy time from which a measured rate is used.
	meterMinBusy = 500 * time.Millisecond
)

// meter measures the rate of events during busy time.
type meter struct {
	// count is the number of events, with exponential decay.
	count float64
	// busy is the busy time in seconds, with the same decay.
	busy      float64
	updatedAt time.Time
	// running says that the time since updatedAt is busy time.
	running bool
}

func (mt *meter) start(now time.Time) {
	mt.decay(now)
	mt.running = true
}

func (mt *meter) stop(now time.Time) {
	mt.decay(now)
	mt.running = false
}

func (mt *meter) add(now time.Time) {
	mt.decay(now)
	mt.count++
}

// decay decays the measurements by the busy time since the last update.
func (mt *meter) decay(now time.Time) {
	elapsed := now.Sub(mt.updatedAt).Seconds()
	mt.updatedAt = now
	if !mt.running || elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed / meterWindow.Seconds())
	mt.count *= factor
	mt.busy = mt.busy*factor + elapsed
}

// rate returns the events per second of busy time, or false before
// meterMinBusy of it.
func (mt *meter) rate(now time.Time) (float64, bool) {
	mt.decay(now)
	if mt.busy < meterMinBusy.Seconds() {
		return 0, false
	}
	return mt.count / mt.busy, true
}

// movingAverage is an exponential moving average of durations.
type movingAverage struct {
	value time.Duration
	known bool
}

// movingAverageWeight is the weight of a new value.
const movingAverageWeight = 0.1

func (av *movingAverage) add(value time.Duration) {
	if !av.known {
		av.value, av.known = value, true
		return
	}
	av.value += time.Duration(movingAverageWeight * float64(value-av.value))
}
