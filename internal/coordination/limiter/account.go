package limiter

import (
	"math"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
)

const (
	// demandTimeConstant is the time constant of the moving average of the demand.
	demandTimeConstant = time.Second
	// headroomFactor times its demand is the part of a rate that a node keeps or
	// requests.
	headroomFactor = 1.25
	// renewAhead is how long before its end a loan is replaced.
	renewAhead = 3 * BorrowInterval
	// accrualTime is the time for which the tokens of a node's share accumulate
	// if they are not used, in addition to its part of the burst.
	accrualTime = 100 * time.Millisecond
	// minRateFraction is the fraction of its own part of a rate that a lender
	// always keeps, and the fraction of the whole rate that a node with demand
	// wants at least.
	minRateFraction = 0.02
)

// loan is a part of a limit that was lent or borrowed.
type loan struct {
	peer string
	// number is unique among the loans of the borrower.
	number uint64
	amount float64
	// until is the end of a loan of a rate. For a borrowed loan of a concurrency
	// limit, no operation may start on it from then on.
	until time.Time
}

// account is one node's part of one limit. Amounts are in uses per second for a
// rate and in operations for a concurrency limit.
type account struct {
	limit Limit
	// own is the part that belongs to the node's slots.
	own float64
	// unslotted is the part that every node may use; it is never lent.
	unslotted float64
	// pendingOwn is a larger own part that takes effect at pendingAt.
	pendingOwn float64
	pendingAt  time.Time
	// lent holds the loans to peers, borrowed those from peers.
	lent     []loan
	borrowed []loan
	// inUse is the number of running operations under a concurrency limit.
	inUse int
	// tokens is the number of uses that a rate allows at the time refilledAt.
	tokens     float64
	refilledAt time.Time
	// demand is the moving average of the wanted amount.
	demand float64
	// wanted counts the requested uses since meteredAt.
	wanted    float64
	meteredAt time.Time
}

// setOwn changes the node's own part. A smaller part takes effect at once, a
// larger one only when every use of it by others must have ended.
func (ac *account) setOwn(part float64, now time.Time) {
	ac.advance(now)
	if part <= ac.own {
		ac.own = part
		ac.pendingOwn = part
		return
	}
	if part != ac.pendingOwn {
		ac.pendingOwn = part
		ac.pendingAt = now.Add(ac.limit.drainTime())
	}
}

// addUnused adds a part that nobody used before. It takes effect at once, with
// its part of the burst.
func (ac *account) addUnused(part float64, now time.Time) {
	ac.advance(now)
	ac.own += part
	ac.pendingOwn = max(ac.pendingOwn+part, ac.own)
	if !ac.limit.concurrent() && ac.limit.capacity > 0 {
		ac.tokens += part / ac.limit.capacity * ac.limit.burst
	}
}

// advance brings the account up to the time now.
func (ac *account) advance(now time.Time) {
	if ac.pendingOwn > ac.own && !now.Before(ac.pendingAt) {
		ac.own = ac.pendingOwn
	}
	if !ac.limit.concurrent() {
		ac.refill(now)
		ac.lent = unexpired(ac.lent, now)
		ac.borrowed = unexpired(ac.borrowed, now)
	}
	ac.meter(now)
}

// refill adds the tokens for the time since the last call, at the rate that
// applied then. The rate changes at the end of each loan.
func (ac *account) refill(now time.Time) {
	if ac.refilledAt.IsZero() {
		ac.refilledAt = now
	}
	for ac.refilledAt.Before(now) {
		step := now
		for _, ln := range append(append([]loan(nil), ac.lent...), ac.borrowed...) {
			if ln.until.After(ac.refilledAt) && ln.until.Before(step) {
				step = ln.until
			}
		}
		rate := ac.unslotted + ac.own - sum(unexpired(ac.lent, ac.refilledAt)) + sum(unexpired(ac.borrowed, ac.refilledAt))
		ac.tokens += math.Max(rate, 0) * step.Sub(ac.refilledAt).Seconds()
		ac.refilledAt = step
	}
	ac.tokens = math.Min(ac.tokens, ac.depth(now))
}

// depth returns the largest number of tokens kept: the node's part of the
// burst, the tokens of accrualTime at its share, and one so that a small share
// can accumulate to a whole token.
func (ac *account) depth(now time.Time) float64 {
	part := 0.0
	if ac.limit.capacity > 0 {
		part = ac.own / ac.limit.capacity
	}
	saved := math.Max(ac.share(now), 0) * accrualTime.Seconds()
	return 1 + part*ac.limit.burst + saved
}

// share returns the amount of the limit that the node may use now.
func (ac *account) share(now time.Time) float64 {
	borrowed := sum(ac.borrowed)
	if ac.limit.concurrent() {
		borrowed = sum(unexpired(ac.borrowed, now))
	}
	return ac.unslotted + ac.own - sum(ac.lent) + borrowed
}

// take uses units and reports whether the node had them. A use of a rate that is larger
// than the node can save up waits until nothing more can be saved, and is repaid out of
// the share.
func (ac *account) take(units float64, now time.Time) bool {
	ac.advance(now)
	ac.wanted += units
	if ac.limit.concurrent() {
		if float64(ac.inUse+1) > ac.share(now)+rounding {
			return false
		}
		ac.inUse++
		ac.assertWithin(now)
		return true
	}
	if !ac.covers(units, now) {
		return false
	}
	ac.tokens -= units
	return true
}

// covers reports whether the tokens of a rate suffice for a use of units.
func (ac *account) covers(units float64, now time.Time) bool {
	return ac.tokens >= math.Min(units, ac.depth(now))-rounding
}

// giveBack returns units of a rate that were taken for a use that did not happen.
func (ac *account) giveBack(units float64, now time.Time) {
	ac.advance(now)
	ac.tokens = math.Min(ac.tokens+units, ac.depth(now))
}

// assertWithin asserts that the node's use and loans are within what it owns
// and has borrowed. Since each unit belongs to one slot, the sum over all nodes
// then stays within the limit.
func (ac *account) assertWithin(now time.Time) {
	held := ac.own - sum(ac.lent) + sum(unexpired(ac.borrowed, now))
	checker.Assert(checker.WithinSharedLimit, float64(ac.inUse) <= held+rounding,
		"limit %s: %d in use of %g held", ac.limit.name, ac.inUse, held)
}

// rounding absorbs floating-point errors in sums of parts.
const rounding = 1e-9

// release ends one operation under a concurrency limit.
func (ac *account) release() {
	if ac.inUse > 0 {
		ac.inUse--
	}
}

// wait returns the time until the tokens suffice for units at the current share.
func (ac *account) wait(units float64, now time.Time) time.Duration {
	ac.advance(now)
	rate := math.Max(ac.share(now), ac.limit.capacity*minRateFraction)
	missing := math.Max(math.Min(units, ac.depth(now))-ac.tokens, 0)
	return time.Duration(missing / math.Max(rate, rounding) * float64(time.Second))
}

// meter updates the demand: requested uses per second, or concurrent
// operations.
func (ac *account) meter(now time.Time) {
	elapsed := now.Sub(ac.meteredAt)
	if ac.meteredAt.IsZero() {
		ac.meteredAt = now
		return
	}
	if elapsed < BorrowInterval {
		return
	}
	seen := ac.wanted / elapsed.Seconds()
	if ac.limit.concurrent() {
		seen = float64(ac.inUse)
		if ac.wanted > 0 {
			seen = math.Max(seen+1, ac.wanted)
		}
	}
	keep := math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
	ac.demand = math.Min(math.Max(ac.demand*keep+seen*(1-keep), seen), ac.limit.capacity)
	ac.wanted = 0
	ac.meteredAt = now
}

// lend lends a peer at most the wanted amount of what the node owns and does
// not need, and returns the amount lent. A loan never changes its amount.
func (ac *account) lend(peer string, number uint64, wanted float64, now time.Time) float64 {
	ac.advance(now)
	amount := math.Min(wanted, ac.lendable())
	if ac.limit.concurrent() {
		amount = math.Floor(amount + rounding)
	}
	if amount <= rounding {
		return 0
	}
	ac.lent = append(ac.lent, loan{peer: peer, number: number, amount: amount, until: now.Add(LoanTime)})
	return amount
}

// lendable returns the amount that belongs to the node and is neither lent nor
// needed. Borrowed units are never lent to a third node.
func (ac *account) lendable() float64 {
	idle := ac.own - sum(ac.lent)
	if ac.limit.concurrent() {
		return math.Max(idle-ac.neededAtOnce(), 0)
	}
	needed := math.Max(ac.demand*headroomFactor, ac.own*minRateFraction)
	return math.Max(idle-needed, 0)
}

// neededAtOnce returns the number of operations that the node runs or is likely
// to run under a concurrency limit.
func (ac *account) neededAtOnce() float64 {
	return math.Max(float64(ac.inUse), math.Ceil(ac.demand-rounding))
}

// shortfall returns by how much the demand exceeds the share that the node will
// still have renewAhead from now, so that a loan is replaced before it ends.
func (ac *account) shortfall(now time.Time) float64 {
	ac.advance(now)
	share := ac.unslotted + ac.own - sum(ac.lent) + sum(unexpired(ac.borrowed, now.Add(renewAhead)))
	wanted := ac.demand * headroomFactor
	if ac.demand > 0 {
		wanted = max(wanted, ac.limit.capacity*minRateFraction)
	}
	if ac.limit.concurrent() {
		share = ac.own - sum(ac.lent) + sum(ac.borrowed)
		wanted = ac.neededAtOnce()
	}
	room := math.Max(ac.limit.capacity-share, 0)
	return math.Min(math.Max(wanted-share, 0), room)
}

// recall returns the amount of a concurrency limit that the node needs back
// from its borrowers. Loans of a rate end by themselves.
func (ac *account) recall() float64 {
	if !ac.limit.concurrent() {
		return 0
	}
	return math.Max(ac.neededAtOnce()-(ac.own-sum(ac.lent)), 0)
}

// borrow adds a borrowed loan. Its time counts from the request, so that a loan
// of a rate ends at the borrower before it ends at the lender.
func (ac *account) borrow(peer string, number uint64, amount float64, requestedAt time.Time) {
	ac.advance(requestedAt)
	ac.borrowed = append(ac.borrowed, loan{peer: peer, number: number, amount: amount, until: requestedAt.Add(LoanTime)})
}

// extend extends the time in which operations may start on a borrowed loan.
func (ac *account) extend(peer string, number uint64, requestedAt time.Time) {
	for ix := range ac.borrowed {
		if ac.borrowed[ix].peer == peer && ac.borrowed[ix].number == number {
			ac.borrowed[ix].until = requestedAt.Add(LoanTime)
		}
	}
}

// returnLoans removes the idle loans from a peer that the node does not need or
// that the peer recalls, and returns their numbers. The node must not use them
// any more.
func (ac *account) returnLoans(peer string, recalled float64, now time.Time) []uint64 {
	ac.advance(now)
	var numbers []uint64
	share := ac.own - sum(ac.lent) + sum(ac.borrowed)
	kept := make([]loan, 0, len(ac.borrowed))
	for _, ln := range ac.borrowed {
		rest := share - ln.amount
		idle := float64(ac.inUse) <= rest
		surplus := ac.neededAtOnce() <= rest
		if ln.peer != peer || !idle || !surplus && recalled <= 0 {
			kept = append(kept, ln)
			continue
		}
		share = rest
		recalled -= ln.amount
		numbers = append(numbers, ln.number)
	}
	if len(numbers) > 0 {
		ac.borrowed = kept
	}
	return numbers
}

// dropLent removes a loan that its borrower returned.
func (ac *account) dropLent(peer string, number uint64) {
	for ix, ln := range ac.lent {
		if ln.peer == peer && ln.number == number {
			ac.lent = append(ac.lent[:ix], ac.lent[ix+1:]...)
			return
		}
	}
}

// hasLent reports whether the loan to the peer exists.
func (ac *account) hasLent(peer string, number uint64) bool {
	for _, ln := range ac.lent {
		if ln.peer == peer && ln.number == number {
			return true
		}
	}
	return false
}

// dropLoansTo removes the loans to a peer whose VM is gone for good.
func (ac *account) dropLoansTo(peer string) {
	kept := ac.lent[:0]
	for _, ln := range ac.lent {
		if ln.peer != peer {
			kept = append(kept, ln)
		}
	}
	ac.lent = kept
}

// sum returns the total amount of the loans.
func sum(loans []loan) float64 {
	total := 0.0
	for _, ln := range loans {
		total += ln.amount
	}
	return total
}

// unexpired returns the loans that have not ended.
func unexpired(loans []loan, now time.Time) []loan {
	var kept []loan
	for _, ln := range loans {
		if now.Before(ln.until) {
			kept = append(kept, ln)
		}
	}
	return kept
}
