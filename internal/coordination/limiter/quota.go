package limiter

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// GrantTime is how long the units of a grant are valid, counted by the node
	// from when it sent its report.
	GrantTime = 1500 * time.Millisecond
	// ReportInterval is the time between two regular reports of a node. A grant
	// outlasts it, so that a late report does not make a node lose its units.
	ReportInterval = time.Second
	// EarlyReportInterval is the shortest time between two reports of a node.
	EarlyReportInterval = 100 * time.Millisecond
	// MaxQuotaWait is how long a request waits for units at most.
	MaxQuotaWait = 150 * time.Millisecond
	// ShareTime is how long a node may use its shares after the last answer to one
	// of its reports. It exceeds the time in which a new leader is elected.
	ShareTime = 10 * time.Second
	// TakeoverTime is how long a new ledger grants nothing, so that the nodes that
	// know of it and those that do not yet together spend no more than the quota. It
	// ends early when all registered nodes have reported to this one.
	TakeoverTime = 2 * time.Second
	// unheardFraction is the fraction of a quota that the nodes divide equally
	// that have not heard of a ledger.
	unheardFraction = 0.1
	// startFraction is the fraction of a quota that the nodes divide equally whatever
	// their shares are.
	startFraction = 0.02
	// orphanFraction is the fraction of its shares that a node keeps after
	// ShareTime if the former leader still answers and knows of no other one. The
	// store is then down, or a part of the nodes is cut off from the rest. In the
	// latter case the others get the whole quota, so that the fraction bounds the
	// excess.
	orphanFraction = 0.5
	// The use of a quota in a window of 8 s may exceed the rate by the burst, a tenth
	// of both, and the slack. While a ledger grants units, that covers its bucket,
	// what nodes hold beyond it, one request larger than what is left, and what the
	// nodes may spend at once when the ledger ends.
	outstandingTime  = 700 * time.Millisecond
	outstandingSlack = 0.4
	depthOfBurst     = 0.1
	depthOfSlack     = 0.1
	// Without a ledger, it covers what the nodes save up of their shares.
	savedOfBurst = 0.5
	savedTime    = 300 * time.Millisecond
	savedSlack   = 0.4
)

// quota is a caller's quota.
type quota struct {
	name string
	// rate is in units per second, burst in units.
	rate, burst float64
	// depth is what all nodes together may spend at once when a ledger ends, and
	// saved what they may save up of their shares without one.
	depth, saved float64
	// ahead is the number of units that nodes may hold beyond the burst.
	ahead float64
	// quantum is the least that one node may save up that has a share. A quota that
	// counts requests can be divided no further.
	quantum float64
}

// limited reports whether the caller has a quota.
func (qt quota) limited() bool { return qt.rate > 0 }

// quotasOf returns the quotas of all callers and the number that identifies the
// list of their names. slack is the tolerated excess in tokens.
func quotasOf(st *configurer.Settings, slack float64) (all []quota, names uint32) {
	dg := fnv.New32a()
	for _, cr := range st.Callers() {
		_, _ = dg.Write(append([]byte(cr.Name()), 0))
		qt := quota{name: cr.Name(), rate: cr.Quota(), burst: float64(cr.Burst()), depth: depthOfBurst * float64(cr.Burst()), saved: savedOfBurst*float64(cr.Burst()) + cr.Quota()*savedTime.Seconds(), ahead: cr.Quota() * outstandingTime.Seconds()}
		if cr.QuotaUnit() == configurer.QuotaTokens {
			qt.depth += depthOfSlack * slack
			qt.saved += savedSlack * slack
			qt.ahead += outstandingSlack * slack
		} else {
			qt.quantum = 1
		}
		all = append(all, qt)
	}
	return all, dg.Sum32()
}

// shareSteps is the number of codes in which a share is halved.
const shareSteps = 8

// shareCode returns the code of the greatest encodable share that is not above the
// given one. 0 means no share.
func shareCode(share float64) uint8 {
	if share <= 0 {
		return 0
	}
	code := 1 + math.Ceil(-shareSteps*math.Log2(math.Min(share, 1))-rounding)
	if code > math.MaxInt8 {
		return 0
	}
	return uint8(code)
}

// shareOf returns the share that a code stands for.
func shareOf(code uint8) float64 {
	if code == 0 {
		return 0
	}
	return math.Exp2(-float64(code-1) / shareSteps)
}

// demandCode returns the code of a demand in units per second, rounded up, and
// demandOf the demand that a code stands for.
func demandCode(demand float64) uint8 {
	if demand < 1 {
		return 0
	}
	return uint8(math.Min(1+math.Ceil(shareSteps*math.Log2(demand)-rounding), math.MaxUint8))
}

func demandOf(code uint8) float64 {
	if code == 0 {
		return 0
	}
	return math.Exp2(float64(code-1) / shareSteps)
}
