package storer

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Allowance bounds the calls of one node. Each kind of call has a bucket of
// tokens; purposes of lower priority leave a part of it to the others.
type Allowance struct {
	mu     sync.Mutex
	reads  *rate.Limiter
	writes *rate.Limiter
}

// burstSeconds is how many seconds' calls may come at once.
const burstSeconds = 2

// reserves are the parts of a bucket that a purpose may not touch. What is
// missing here may use all of it.
var reserves = map[Purpose]float64{
	PurposePlan:          0.5,
	PurposeLimit:         0.4,
	PurposeMembership:    0.3,
	PurposeConfiguration: 0.3,
	PurposeJob:           0.2,
	PurposeOrder:         0.1,
}

// NewAllowance returns an allowance of calls a second.
func NewAllowance(reads, writes float64) *Allowance {
	return &Allowance{reads: newBucket(reads), writes: newBucket(writes)}
}

func newBucket(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// Set changes the rates, as when the settings or the number of nodes change.
func (al *Allowance) Set(reads, writes float64) {
	al.mu.Lock()
	defer al.mu.Unlock()
	setBucket(al.reads, reads)
	setBucket(al.writes, writes)
}

func setBucket(lm *rate.Limiter, perSecond float64) {
	if lm.Limit() == rate.Limit(perSecond) {
		return
	}
	lm.SetLimit(rate.Limit(perSecond))
	lm.SetBurst(max(1, int(perSecond*burstSeconds)))
}

// allow spends one call, or reports that the purpose has to go without.
func (al *Allowance) allow(pp Purpose, write bool, now time.Time) bool {
	if al == nil {
		return true
	}
	al.mu.Lock()
	defer al.mu.Unlock()
	lm := al.reads
	if write {
		lm = al.writes
	}
	if lm.Burst() > 1 && lm.TokensAt(now)-1 < reserves[pp]*float64(lm.Burst()) {
		return false
	}
	return lm.AllowN(now, 1)
}
