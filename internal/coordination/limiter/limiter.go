// Package limiter divides limits that all entry nodes share, without a store
// write per use.
//
// A limit is divided into a few equal parts, one for each of a few slots. A
// slot belongs to at most one node, by a record in the platform's store that a
// node writes once in its life. A node uses the parts of its slots and lends
// what it does not need to nodes that request it. Since a unit belongs to one
// node at a time, the sum over all nodes stays within the limit even if nodes
// disagree about the membership, and a store outage changes nothing.
//
//   - A loan of a rate ends after LoanTime. The borrower counts from its
//     request, the lender from its answer, which is later.
//   - A loan of a concurrency limit lasts until it is returned or the VM of the
//     borrower is gone. The borrower starts no operation on it later than
//     LoanTime after it last requested an extension that was granted, and an
//     operation takes at most the limit's bound.
//   - A small part of each quota is not divided among slots: every node may use
//     an equal share of it, so that a node without a slot can admit callers.
//   - A node that takes over the slot of a VM that is gone waits until every
//     loan and operation of the previous holder has ended. A slot that was
//     never held is used at once.
//   - A running node takes over a slot without a holder in addition to its own,
//     so that all of the limit stays usable while nodes are missing.
//
// # Usage
//
//	lm := limiter.New(self, peers)
//	lm.Configure(settings, now)
//	lm.AddSlot(3, 4, fresh, now)
//	if lm.TakeUnits("caller/desk", cost, now) { ... }
//	if lm.Take("weight-store-at-once", now) {
//		defer lm.Release("weight-store-at-once")
//	}
//	lm.Borrow(ctx, lenders, time.Now) // in the background, every BorrowInterval
//
// Every now must carry a monotonic clock reading, since only elapsed time
// counts.
package limiter

import (
	"strings"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// LoanTime is how long a loan of a rate lasts.
	LoanTime = 3 * time.Second
	// BorrowInterval is the time between two rounds of loan requests.
	BorrowInterval = 500 * time.Millisecond
	// unslottedFraction is the fraction of a quota that is not divided among
	// slots.
	unslottedFraction = 0.1
	// unslottedNodesPerSlot is the number of nodes per slot that divide the
	// unslotted part.
	unslottedNodesPerSlot = 2
	// maxSlotsPerLimit is the largest number of slots that one limit is divided
	// among.
	maxSlotsPerLimit = 8
)

// Names of the limits that do not belong to a caller.
const (
	WeightStoreRate        = "weight-store-rate"
	WeightStoreConcurrency = "weight-store-at-once"
	AdapterConcurrency     = "adapters-at-once"
)

// CallerLimit returns the name of a caller's quota.
func CallerLimit(caller string) string { return "caller/" + caller }

// callerKind is the kind under which the quotas of all callers are counted.
const callerKind = "caller-quota"

// kindOf returns the kind under which a limit is counted.
func kindOf(name string) string {
	if strings.HasPrefix(name, CallerLimit("")) {
		return callerKind
	}
	return name
}

// Longest durations of one operation under a concurrency limit.
const (
	weightLoadBound  = 2 * time.Minute
	adapterLoadBound = 10 * time.Second
)

// Limit describes one shared limit: a rate or a concurrency limit.
type Limit struct {
	name string
	// capacity is in uses per second for a rate, else in operations.
	capacity float64
	// burst is the number of uses that a rate allows on top.
	burst float64
	// bound is the longest duration of an operation; 0 for a rate.
	bound time.Duration
}

// Rate returns a limit of perSecond uses a second, plus a burst of uses.
func Rate(name string, perSecond, burst float64) Limit {
	return Limit{name: name, capacity: perSecond, burst: burst}
}

// Concurrency returns a limit of count concurrent operations. Each of them must
// end within the bound.
func Concurrency(name string, count int, bound time.Duration) Limit {
	return Limit{name: name, capacity: float64(count), bound: bound}
}

// Name returns the name of the limit.
func (lt Limit) Name() string { return lt.name }

// slotted returns the part of the capacity that is divided among slots.
func (lt Limit) slotted() float64 {
	if lt.burst <= 0 {
		return lt.capacity
	}
	return lt.capacity * (1 - unslottedFraction)
}

// unslotted returns the part of a quota that each node may use even without a
// slot, so that a node that has just started can admit callers. The sum stays
// within the limit while there are at most unslottedNodesPerSlot nodes per
// slot.
func (lt Limit) unslotted(slots int) float64 {
	return (lt.capacity - lt.slotted()) / float64(unslottedNodesPerSlot*max(slots, 1))
}

// concurrent reports whether the limit bounds concurrent operations.
func (lt Limit) concurrent() bool { return lt.bound > 0 }

// drainTime returns how long others may still use a part of the limit after its
// holder has ended.
func (lt Limit) drainTime() time.Duration { return LoanTime + lt.bound }

// Limits returns all shared limits of the settings.
func Limits(st *configurer.Settings) []Limit {
	ls := st.Limits()
	all := []Limit{
		Rate(WeightStoreRate, ls.WeightLoadsPerSecond(), 0),
		Concurrency(WeightStoreConcurrency, ls.WeightLoadsAtOnce(), weightLoadBound),
		Concurrency(AdapterConcurrency, ls.AdaptersInTransit(), adapterLoadBound),
	}
	for _, cr := range st.Callers() {
		if cr.Quota() <= 0 {
			continue
		}
		all = append(all, Rate(CallerLimit(cr.Name()), cr.Quota(), float64(cr.Burst())))
	}
	return all
}
