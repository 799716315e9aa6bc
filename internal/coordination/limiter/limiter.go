// Package limiter divides limits that all entry nodes share, without a store
// write per use.
//
// A limit is cut into a few equal parts. Each part belongs to a slot, each slot
// to at most one node, by a record in the platform's store that is written once
// in a node's life. A node uses the parts of its slot, and lends what it does
// not need to nodes that ask. Since a unit belongs to one node at a time, the
// sum over all nodes stays within the limit whatever any node believes about
// the others, and a store outage changes nothing.
//
//   - A loan of a rate ends after LoanTime. The borrower counts from when it
//     asked, the lender from when it answered, which is later.
//   - A loan of units at once lasts until it is returned or its borrower's VM
//     is gone. The borrower starts nothing on it later than LoanTime after the
//     lender's last word, and an operation takes at most the limit's bound.
//   - A small part of each quota is not divided among slots: every node may use
//     its even part of it, so that a node without a slot lets callers in.
//   - A node that takes over the slot of a VM that is gone waits until every
//     loan and operation of its predecessor has ended. A slot that was never
//     held is used at once.
//   - A slot that nobody holds is added to those of a node that runs, so that
//     no part of a limit is out of use for good while nodes are missing.
//
// # Usage
//
//	lm := limiter.New(self, peers)
//	lm.Configure(settings, now)
//	lm.AddSlot(3, 4, fresh, now)
//	if lm.Take("caller/desk", now) { ... }
//	if lm.Take("weight-store-at-once", now) {
//		defer lm.Release("weight-store-at-once")
//	}
//	lm.Borrow(ctx, lenders, time.Now) // in the background, every BorrowInterval
//
// Only elapsed time counts: every now must carry a monotonic reading.
package limiter

import (
	"strings"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Times of the protocol.
const (
	// LoanTime is how long a loan of a rate lasts.
	LoanTime = 3 * time.Second
	// BorrowInterval is the time between two rounds of asking for loans.
	BorrowInterval = 500 * time.Millisecond
	// asidePart is the part of a quota that is not divided among slots.
	asidePart = 0.1
	// asideNodes is the number of nodes for each slot among which it is divided.
	asideNodes = 2
	// shareholders bounds the slots that one limit is divided among.
	shareholders = 8
)

// Names of the limits that are not a caller's.
const (
	WeightStoreRate   = "weight-store-rate"
	WeightStoreAtOnce = "weight-store-at-once"
	AdaptersAtOnce    = "adapters-at-once"
)

// CallerLimit returns the name of a caller's quota.
func CallerLimit(caller string) string { return "caller/" + caller }

// callerKind is what the counters call the quotas of all callers.
const callerKind = "caller-quota"

// kindOf returns what the counters call a limit.
func kindOf(name string) string {
	if strings.HasPrefix(name, CallerLimit("")) {
		return callerKind
	}
	return name
}

// operationBounds holds how long one operation under a limit of units at once
// may take.
const (
	weightLoadBound  = 2 * time.Minute
	adapterLoadBound = 10 * time.Second
)

// Limit describes one shared limit.
type Limit struct {
	name     string
	capacity float64
	burst    float64
	bound    time.Duration
}

// Rate returns a limit of so many uses a second, and a burst on top.
func Rate(name string, perSecond, burst float64) Limit {
	return Limit{name: name, capacity: perSecond, burst: burst}
}

// AtOnce returns a limit of so many operations at the same time, each of which
// ends within the bound.
func AtOnce(name string, count int, bound time.Duration) Limit {
	return Limit{name: name, capacity: float64(count), bound: bound}
}

// Name returns the limit's name.
func (lt Limit) Name() string { return lt.name }

// slotted returns what the slots divide among them.
func (lt Limit) slotted() float64 {
	if lt.burst <= 0 {
		return lt.capacity
	}
	return lt.capacity * (1 - asidePart)
}

// aside returns what each node may use of a quota whether it has a slot or not,
// so that a node that has just started lets callers in. The sum stays within
// the limit while there are at most asideNodes nodes for each slot.
func (lt Limit) aside(slots int) float64 {
	return (lt.capacity - lt.slotted()) / float64(asideNodes*max(slots, 1))
}

// counts reports whether the limit is one of operations at the same time.
func (lt Limit) counts() bool { return lt.bound > 0 }

// quietTime is how long after its holder's end a part of the limit may still
// be in use by others.
func (lt Limit) quietTime() time.Duration { return LoanTime + lt.bound }

// Limits returns all shared limits of a configuration.
func Limits(st *configurer.Settings) []Limit {
	ls := st.Limits()
	all := []Limit{
		Rate(WeightStoreRate, ls.WeightLoadsPerSecond(), 0),
		AtOnce(WeightStoreAtOnce, ls.WeightLoadsAtOnce(), weightLoadBound),
		AtOnce(AdaptersAtOnce, ls.AdaptersInTransit(), adapterLoadBound),
	}
	for _, cr := range st.Callers() {
		all = append(all, Rate(CallerLimit(cr.Name()), cr.Quota(), float64(cr.Burst())))
	}
	return all
}
