package limiter

import (
	"math"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
)

const (
	// demandTime is the time constant with which the demand is followed.
	demandTime = time.Second
	// spareFactor is how much more than its own demand a lender keeps.
	spareFactor = 1.25
	// askAhead is how long before its end a loan is replaced.
	askAhead = 3 * BorrowInterval
	// saveTime bounds the tokens that are saved up beyond the burst.
	saveTime = 100 * time.Millisecond
	// rateFloor is the part of a rate that a lender always keeps, and the least
	// that a borrower asks for.
	rateFloor = 0.02
)

// loan is a part of a limit that was lent or borrowed.
type loan struct {
	peer   string
	number uint64
	amount float64
	until  time.Time
}

// account is one node's part of one limit.
type account struct {
	limit Limit
	// own is the part that belongs to the node's slot.
	own float64
	// aside is what every node may use, and is never lent.
	aside float64
	// rising is a larger own part that is not in force before risesAt.
	rising   float64
	risesAt  time.Time
	lent     []loan
	borrowed []loan
	using    int
	tokens   float64
	filled   time.Time
	demand   float64
	wanted   float64
	metered  time.Time
}

// setOwn changes the node's own part: less at once, more only when every use of
// it by others must have ended.
func (ac *account) setOwn(part float64, now time.Time) {
	ac.settle(now)
	if part <= ac.own {
		ac.own = part
		ac.rising = part
		return
	}
	if part != ac.rising {
		ac.rising = part
		ac.risesAt = now.Add(ac.limit.quietTime())
	}
}

// addUnused adds a part that nobody used before. It is in force at once, with
// its part of the burst.
func (ac *account) addUnused(part float64, now time.Time) {
	ac.settle(now)
	ac.own += part
	ac.rising = max(ac.rising+part, ac.own)
	if !ac.limit.counts() && ac.limit.capacity > 0 {
		ac.tokens += part / ac.limit.capacity * ac.limit.burst
	}
}

// settle brings the account up to date.
func (ac *account) settle(now time.Time) {
	if ac.rising > ac.own && !now.Before(ac.risesAt) {
		ac.own = ac.rising
	}
	if !ac.limit.counts() {
		ac.refill(now)
		ac.lent = current(ac.lent, now)
		ac.borrowed = current(ac.borrowed, now)
	}
	ac.meter(now)
}

// refill adds the tokens of the time since the last call at the rate that held
// during it.
func (ac *account) refill(now time.Time) {
	if ac.filled.IsZero() {
		ac.filled = now
	}
	for ac.filled.Before(now) {
		step := now
		for _, ln := range append(append([]loan(nil), ac.lent...), ac.borrowed...) {
			if ln.until.After(ac.filled) && ln.until.Before(step) {
				step = ln.until
			}
		}
		rate := ac.aside + ac.own - sum(current(ac.lent, ac.filled)) + sum(current(ac.borrowed, ac.filled))
		ac.tokens += math.Max(rate, 0) * step.Sub(ac.filled).Seconds()
		ac.filled = step
	}
	ac.tokens = math.Min(ac.tokens, ac.depth(now))
}

// depth returns the most tokens that are kept: the node's part of the burst,
// what its share gives in saveTime, and one for the use that is saved up for.
func (ac *account) depth(now time.Time) float64 {
	part := 0.0
	if ac.limit.capacity > 0 {
		part = ac.own / ac.limit.capacity
	}
	saved := math.Max(ac.share(now), 0) * saveTime.Seconds()
	return 1 + part*ac.limit.burst + saved
}

// share returns the part of the limit that the node may use now.
func (ac *account) share(now time.Time) float64 {
	borrowed := sum(ac.borrowed)
	if ac.limit.counts() {
		borrowed = sum(current(ac.borrowed, now))
	}
	return ac.aside + ac.own - sum(ac.lent) + borrowed
}

// take uses one unit if the node has one left.
func (ac *account) take(now time.Time) bool {
	ac.settle(now)
	ac.wanted++
	if ac.limit.counts() {
		if float64(ac.using+1) > ac.share(now)+rounding {
			return false
		}
		ac.using++
		ac.assertWithin(now)
		return true
	}
	if ac.tokens < 1 {
		return false
	}
	ac.tokens--
	return true
}

// assertWithin asserts that what the node uses and has lent is what it owns and
// has borrowed. Since each unit belongs to one slot, the sum over all nodes then
// stays within the limit.
func (ac *account) assertWithin(now time.Time) {
	held := ac.own - sum(ac.lent) + sum(current(ac.borrowed, now))
	checker.Assert(checker.LimitWithin, float64(ac.using) <= held+rounding,
		"limit %s: %d in use of %g held", ac.limit.name, ac.using, held)
}

// rounding absorbs errors of sums of parts.
const rounding = 1e-9

// release ends one operation.
func (ac *account) release() {
	if ac.using > 0 {
		ac.using--
	}
}

// wait returns the time until a token is there at the present share.
func (ac *account) wait(now time.Time) time.Duration {
	ac.settle(now)
	rate := math.Max(ac.share(now), ac.limit.capacity*rateFloor)
	missing := math.Max(1-ac.tokens, 0)
	return time.Duration(missing / math.Max(rate, rounding) * float64(time.Second))
}

// meter follows the demand: uses wanted a second, or operations at once.
func (ac *account) meter(now time.Time) {
	elapsed := now.Sub(ac.metered)
	if ac.metered.IsZero() {
		ac.metered = now
		return
	}
	if elapsed < BorrowInterval {
		return
	}
	seen := ac.wanted / elapsed.Seconds()
	if ac.limit.counts() {
		seen = float64(ac.using)
		if ac.wanted > 0 {
			seen = math.Max(seen+1, ac.wanted)
		}
	}
	keep := math.Exp(-elapsed.Seconds() / demandTime.Seconds())
	ac.demand = math.Min(math.Max(ac.demand*keep+seen*(1-keep), seen), ac.limit.capacity)
	ac.wanted = 0
	ac.metered = now
}

// lend gives a peer what the node does not need of its own part, at most the
// amount wanted, and returns how much. A loan never changes.
func (ac *account) lend(peer string, number uint64, wanted float64, now time.Time) float64 {
	ac.settle(now)
	amount := math.Min(wanted, ac.lendable())
	if ac.limit.counts() {
		amount = math.Floor(amount + rounding)
	}
	if amount <= rounding {
		return 0
	}
	ac.lent = append(ac.lent, loan{peer: peer, number: number, amount: amount, until: now.Add(LoanTime)})
	return amount
}

// lendable returns the part that belongs to the node, is not lent and is not
// needed. Borrowed units are never lent on.
func (ac *account) lendable() float64 {
	idle := ac.own - sum(ac.lent)
	if ac.limit.counts() {
		return math.Max(idle-ac.neededAtOnce(), 0)
	}
	needed := math.Max(ac.demand*spareFactor, ac.own*rateFloor)
	return math.Max(idle-needed, 0)
}

func (ac *account) neededAtOnce() float64 {
	return math.Max(float64(ac.using), math.Ceil(ac.demand-rounding))
}

// lack returns how much more the node could use than the share that it will
// still have after the next rounds of asking.
func (ac *account) lack(now time.Time) float64 {
	ac.settle(now)
	share := ac.aside + ac.own - sum(ac.lent) + sum(current(ac.borrowed, now.Add(askAhead)))
	wanted := ac.demand * spareFactor
	if ac.demand > 0 {
		wanted = max(wanted, ac.limit.capacity*rateFloor)
	}
	if ac.limit.counts() {
		share = ac.own - sum(ac.lent) + sum(ac.borrowed)
		wanted = ac.neededAtOnce()
	}
	room := math.Max(ac.limit.capacity-share, 0)
	return math.Min(math.Max(wanted-share, 0), room)
}

// recall returns how much the node needs back of what it lent.
func (ac *account) recall() float64 {
	if !ac.limit.counts() {
		return 0
	}
	return math.Max(ac.neededAtOnce()-(ac.own-sum(ac.lent)), 0)
}

// borrow takes in a loan. The time to count from is when it was asked for.
func (ac *account) borrow(peer string, number uint64, amount float64, asked time.Time) {
	ac.settle(asked)
	ac.borrowed = append(ac.borrowed, loan{peer: peer, number: number, amount: amount, until: asked.Add(LoanTime)})
}

// touch extends the right to start operations on a loan.
func (ac *account) touch(peer string, number uint64, asked time.Time) {
	for ix := range ac.borrowed {
		if ac.borrowed[ix].peer == peer && ac.borrowed[ix].number == number {
			ac.borrowed[ix].until = asked.Add(LoanTime)
		}
	}
}

// giveBack removes the loans from a peer that the node does not need or has to
// return, and returns their numbers. They must not be used afterwards.
func (ac *account) giveBack(peer string, recalled float64, now time.Time) []uint64 {
	ac.settle(now)
	var numbers []uint64
	share := ac.own - sum(ac.lent) + sum(ac.borrowed)
	kept := make([]loan, 0, len(ac.borrowed))
	for _, ln := range ac.borrowed {
		rest := share - ln.amount
		idle := float64(ac.using) <= rest
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

// dropLent ends a loan that its borrower returned.
func (ac *account) dropLent(peer string, number uint64) {
	for ix, ln := range ac.lent {
		if ln.peer == peer && ln.number == number {
			ac.lent = append(ac.lent[:ix], ac.lent[ix+1:]...)
			return
		}
	}
}

// hasLent reports whether a loan is known.
func (ac *account) hasLent(peer string, number uint64) bool {
	for _, ln := range ac.lent {
		if ln.peer == peer && ln.number == number {
			return true
		}
	}
	return false
}

// forgetPeer ends the loans of a peer whose VM is gone for good.
func (ac *account) forgetPeer(peer string) {
	kept := ac.lent[:0]
	for _, ln := range ac.lent {
		if ln.peer != peer {
			kept = append(kept, ln)
		}
	}
	ac.lent = kept
}

func sum(loans []loan) float64 {
	total := 0.0
	for _, ln := range loans {
		total += ln.amount
	}
	return total
}

// current returns the loans that have not ended.
func current(loans []loan, now time.Time) []loan {
	var kept []loan
	for _, ln := range loans {
		if now.Before(ln.until) {
			kept = append(kept, ln)
		}
	}
	return kept
}
