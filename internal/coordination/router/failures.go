package router

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of a new result in the failure rate.
	failureWeight = 0.3
	// failureMemory is the time over which a failure rate decays, so that a server
	// that failed is tried again.
	failureMemory = 5 * time.Second
	// failureCost is the cost of a server that fails all requests. It is less than
	// that of a full server, so that the others are not overloaded for it.
	failureCost = 100 * time.Millisecond
)

// failures is the failure rate of one server as this node sees it. An ejector
// decides by many results, which a node with few requests gets too late.
type failures struct {
	rate float64
	at   time.Time
}

func (fa *failures) decayed(now time.Time) float64 {
	if fa.rate == 0 {
		return 0
	}
	return fa.rate * math.Exp(-max(now.Sub(fa.at), 0).Seconds()/failureMemory.Seconds())
}

// RecordResult records whether the server failed a request.
func (ld *Load) RecordResult(now time.Time, failed bool) {
	rate := ld.failures.decayed(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	ld.failures = failures{rate: rate, at: now}
}
