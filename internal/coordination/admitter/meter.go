package admitter

import (
	"math"
	"time"
)

const (
	// meterWindow is the time over which rates are averaged.
	meterWindow = 10 * time.Second
	// meterTrust is the busy time after which a measured rate is used.
	meterTrust = 500 * time.Millisecond
)

// meter measures how often something happens while there is work for it.
type meter struct {
	count float64
	busy  float64
	at    time.Time
	runs  bool
}

func (mt *meter) start(now time.Time) {
	mt.advance(now)
	mt.runs = true
}

func (mt *meter) stop(now time.Time) {
	mt.advance(now)
	mt.runs = false
}

func (mt *meter) add(now time.Time) {
	mt.advance(now)
	mt.count++
}

// advance lets what was measured fade with the time that was busy.
func (mt *meter) advance(now time.Time) {
	passed := now.Sub(mt.at).Seconds()
	mt.at = now
	if !mt.runs || passed <= 0 {
		return
	}
	fade := math.Exp(-passed / meterWindow.Seconds())
	mt.count *= fade
	mt.busy = mt.busy*fade + passed
}

// rate returns the events a second, and false while too little is known.
func (mt *meter) rate(now time.Time) (float64, bool) {
	mt.advance(now)
	if mt.busy < meterTrust.Seconds() {
		return 0, false
	}
	return mt.count / mt.busy, true
}

// average is an exponential moving average of durations.
type average struct {
	value time.Duration
	known bool
}

// averageWeight is the weight of a new value.
const averageWeight = 0.1

func (av *average) add(value time.Duration) {
	if !av.known {
		av.value, av.known = value, true
		return
	}
	av.value += time.Duration(averageWeight * float64(value-av.value))
}
