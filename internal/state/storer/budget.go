package storer

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// CallBudget limits the rate of one node's store calls, with one token bucket
// for reads and one for writes. Purposes of lower priority leave a share of
// each bucket to the others.
type CallBudget struct {
	mu     sync.Mutex
	reads  *rate.Limiter
	writes *rate.Limiter
}

// burstSeconds is the size of a bucket in seconds of its rate.
const burstSeconds = 2

// reservedShares are the shares of a full bucket that a purpose must leave to
// others. A purpose without an entry may use the whole bucket.
var reservedShares = map[Purpose]float64{
	PurposePlan:          0.5,
	PurposeLimit:         0.4,
	PurposeMembership:    0.3,
	PurposeConfiguration: 0.3,
	PurposeJob:           0.2,
	PurposeOrder:         0.1,
}

// NewCallBudget returns a budget of the given calls per second.
func NewCallBudget(reads, writes float64) *CallBudget {
	return &CallBudget{reads: newBucket(reads), writes: newBucket(writes)}
}

func newBucket(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// Set changes the rates in calls per second. The node calls it when the
// settings or the number of nodes change.
func (cb *CallBudget) Set(reads, writes float64) {
	cb.mu.Lock()
	defer cb.mu.Unlock()
	setBucket(cb.reads, reads)
	setBucket(cb.writes, writes)
}

func setBucket(lm *rate.Limiter, perSecond float64) {
	if lm.Limit() == rate.Limit(perSecond) {
		return
	}
	lm.SetLimit(rate.Limit(perSecond))
	lm.SetBurst(max(1, int(perSecond*burstSeconds)))
}

// allow takes one token, or returns false if the purpose may not call now. A
// nil budget allows every call.
func (cb *CallBudget) allow(pp Purpose, write bool, now time.Time) bool {
	if cb == nil {
		return true
	}
	cb.mu.Lock()
	defer cb.mu.Unlock()
	lm := cb.reads
	if write {
		lm = cb.writes
	}
	if lm.Burst() > 1 && lm.TokensAt(now)-1 < reservedShares[pp]*float64(lm.Burst()) {
		return false
	}
	return lm.AllowN(now, 1)
}
