package limiter

import (
	"math"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// prefetchRequests is the number of requests per second from which a node asks
	// for units in advance. Below, units held in advance would mostly expire.
	prefetchRequests = 0.2
	// risingWeight and fallingWeight are the weights of the last interval in the
	// average of the demand. A rise has to be known within a second or two.
	risingWeight  = 0.5
	fallingWeight = 0.15
	// lowSize times the usual cost of a request is the number of units below which a
	// node asks for more.
	lowSize = 1.25
	// idleTime is how long after its last use a caller is left out of reports.
	idleTime = 5 * time.Second
	// demandInterval is the time between two statements of the demand for a caller
	// whose units are neither spent nor wanted in advance.
	demandInterval = 3900 * time.Millisecond
	// recoveryTime is the time in which the depth of a share is restored while a
	// ledger grants units.
	recoveryTime = 20 * time.Second
	// maxRetryAfter and minRetryAfter bound the Retry-After of a refusal by quota.
	maxRetryAfter = 5 * time.Second
	minRetryAfter = 20 * time.Millisecond
	// reportBytesPerSecond bounds the reports of a node with their answers while it
	// serves no more than budgetedCallers, and in proportion above: early reports get
	// what the regular ones leave of it. reportBytesBurst is what they may save up.
	reportBytesPerSecond = 284
	reportBytesBurst     = 2000
	budgetedCallers      = 16
)

// Allowance is one node's part of the quotas of all callers. It is a state machine
// without lock and clock. Every time must carry a monotonic clock reading.
type Allowance struct {
	node        string
	incarnation uint32
	slack       float64
	nodes       int
	names       uint32
	// renamed says that the callers have changed since the last report.
	renamed  bool
	portions []*portion
	byName   map[string]*portion
	// number is the number of the last report, asked and full when it and the last
	// one about all callers were made.
	number      uint64
	asked, full time.Time
	// answered says that the last report was answered or failed.
	answered bool
	// failed says that the last report failed, or that no ledger answered it.
	failed bool
	// term and seen are those of the last ledger and its last answer.
	term int64
	seen uint64
	// keeper is the node to which reports go, and moved says that it has answered none
	// yet.
	keeper string
	moved  bool
	// until is the time to which the node follows a ledger, and granted the time of
	// its last answer.
	until, granted time.Time
	// shareUntil and orphanUntil are the times to which the shares, and a fraction of
	// them, are valid.
	shareUntil, orphanUntil time.Time
	// bytes is the number of bytes that early reports may use at bytesAt.
	bytes   float64
	bytesAt time.Time
}

// portion is a node's part of one caller's quota.
type portion struct {
	quota
	// net is what was spent of granted units, less refunds of spending that was not
	// stated yet, and stated the number of it in the last report about the caller.
	net, stated int64
	// late is the sum of the other refunds, and lateStated that of the last report.
	late, lateStated int64
	// total is the number of units that the node may spend from base, while it
	// follows a ledger. void says that it has not followed one in the meantime.
	total, base, lateBase int64
	void                  bool
	// share is the fraction of the quota that the node may use without a ledger.
	share float64
	// reserve is the number of units available without a ledger at reserveAt.
	reserve   float64
	reserveAt time.Time
	// credit is the number of units that refunds may return to the reserve.
	credit float64
	// arrived counts the units requested since the last regular report. demand is a
	// moving average in units per second, size one of the cost of requests.
	arrived, demand, size float64
	usedAt, reportedAt    time.Time
	waiting               []int64
	// deniedUntil is the time before which the ledger has no units, and spread the
	// time over which refused requests are to return, halved by every grant since.
	deniedUntil time.Time
	spread      time.Duration
}

// NewAllowance returns the allowance of a process of a node, without quotas. slack is
// the number of tokens by which the use of a quota may exceed it, as for the ledger.
func NewAllowance(node string, incarnation uint32, slack float64) *Allowance {
	return &Allowance{node: node, incarnation: incarnation, slack: slack, nodes: 1, byName: map[string]*portion{}, answered: true, bytes: reportBytesBurst}
}

// Configure applies the quotas of the settings. Units of a lowered quota are scaled
// down at once.
func (al *Allowance) Configure(st *configurer.Settings, now time.Time) {
	var quotas []quota
	names := al.names
	if quotas, al.names = quotasOf(st, al.slack); names != al.names {
		// The indexes of callers have changed: the next report is a regular one.
		al.full, al.renamed = time.Time{}, true
	}
	byName := make(map[string]*portion, len(quotas))
	al.portions = al.portions[:0]
	for _, qt := range quotas {
		pn, ok := al.byName[qt.name]
		if !ok {
			pn = &portion{reserveAt: now}
		}
		// What was saved up so far was at the rate that applied then.
		al.accrue(pn, now)
		if pn.limited() && qt.limited() && qt.rate < pn.rate {
			pn.total -= int64(float64(max(pn.balance(), 0)) * (1 - qt.rate/pn.rate))
		}
		pn.quota = qt
		byName[qt.name] = pn
		al.portions = append(al.portions, pn)
	}
	al.byName = byName
}

// SetNodes sets the number of nodes that share the quotas.
func (al *Allowance) SetNodes(count int) { al.nodes = max(count, 1) }

// SetKeeper sets the node to which the next report goes. The first report to another
// one is a regular one and states the shares that the node has from the former ledger,
// since the new one reserves the whole quota for shares that it does not know.
func (al *Allowance) SetKeeper(node string) {
	if node == al.keeper {
		return
	}
	if al.keeper != "" {
		al.moved, al.full = true, time.Time{}
	}
	al.keeper = node
}

// Limited reports whether any caller has a quota.
func (al *Allowance) Limited() bool {
	for _, pn := range al.portions {
		if pn.limited() {
			return true
		}
	}
	return false
}

// Outcome is the result of Take.
type Outcome int

// The outcomes of Take.
const (
	// Charged means that the units were taken.
	Charged Outcome = iota + 1
	// Ask means that the ledger may have units.
	Ask
	// Denied means that there are no units before the time in the verdict.
	Denied
)

// Verdict is the answer to a request for units.
type Verdict struct {
	// Outcome says whether the units were taken.
	Outcome Outcome
	// Charge is to be given to Refund if the request is not run.
	Charge Charge
	// Wait is the time until there are units if the outcome is Denied, and Spread the
	// time over which requests are to return that are refused now.
	Wait, Spread time.Duration
}

// Charge is what a request was charged.
type Charge struct {
	caller string
	units  int64
	// granted says that the units were granted by a ledger.
	granted bool
}

// Units returns the number of units.
func (ch Charge) Units() int64 { return ch.units }

// Request counts a request for units as demand and takes them if there are.
func (al *Allowance) Request(caller string, units int, now time.Time) Verdict {
	pn, ok := al.byName[caller]
	if !ok || !pn.limited() {
		return Verdict{Outcome: Charged}
	}
	pn.usedAt = now
	pn.arrived += float64(units)
	pn.size += (float64(units) - pn.size) / 8
	if len(pn.waiting) > 0 {
		return Verdict{Outcome: Ask}
	}
	return al.Take(caller, units, now)
}

// Take takes units for a request that was counted before.
func (al *Allowance) Take(caller string, units int, now time.Time) Verdict {
	pn, ok := al.byName[caller]
	if !ok || !pn.limited() || units <= 0 {
		return Verdict{Outcome: Charged}
	}
	if now.Before(al.until) && pn.balance() >= int64(units) {
		pn.net += int64(units)
		return Verdict{Outcome: Charged, Charge: Charge{caller: caller, units: int64(units), granted: true}}
	}
	// A caller within its quota waits for an account that is empty for a moment.
	if wait := pn.deniedUntil.Sub(now); wait > 0 && now.Before(al.until) && (pn.spread > 0 || wait > MaxQuotaWait) {
		return Verdict{Outcome: Denied, Wait: wait, Spread: pn.spread}
	}
	if now.Before(al.until) || !al.failed {
		return Verdict{Outcome: Ask}
	}
	return al.takeShare(pn, units, now)
}

// TakeUnanswered takes units for a request that has waited for an answer in vain. It
// uses the node's share if no ledger grants units now. If one does, only what the node
// has saved of its share is used, since the ledger may spend the rest of the quota.
func (al *Allowance) TakeUnanswered(caller string, units int, now time.Time) Verdict {
	vd := al.Take(caller, units, now)
	if vd.Outcome != Ask {
		return vd
	}
	pn := al.byName[caller]
	if vd = al.takeShare(pn, units, now); vd.Outcome == Denied && now.Before(al.until) {
		return Verdict{Outcome: Denied, Wait: EarlyReportInterval, Spread: max(ReportInterval, pn.spread)}
	}
	return vd
}

// takeShare takes units of the node's share.
func (al *Allowance) takeShare(pn *portion, units int, now time.Time) Verdict {
	al.accrue(pn, now)
	if pn.reserve >= float64(units) {
		pn.reserve -= float64(units)
		return Verdict{Outcome: Charged, Charge: Charge{caller: pn.name, units: int64(units)}}
	}
	share := al.share(pn, now)
	wait := maxRetryAfter
	if float64(units) <= al.saved(pn, share) {
		wait = time.Duration(math.Min((float64(units)-pn.reserve)/(share*pn.rate), maxRetryAfter.Seconds()) * float64(time.Second))
	}
	return Verdict{Outcome: Denied, Wait: wait, Spread: wait}
}

// RetryAfter returns the Retry-After of a denied request. A random number in [0, 1)
// spreads the requests that are refused in one moment along the refill.
func (vd Verdict) RetryAfter(random float64) time.Duration {
	wait := vd.Wait + time.Duration(random*float64(vd.Spread))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Refund returns the units of a request that was not run. They lower the spending that
// the next report states, but not below what was stated: the rest is returned to the
// ledger, which gives out a limited number of such units, so that requests that were
// refused at once give no burst.
func (al *Allowance) Refund(ch Charge, now time.Time) {
	pn, ok := al.byName[ch.caller]
	if !ok || ch.units == 0 {
		return
	}
	if ch.granted {
		unstated := min(max(pn.net-pn.stated, 0), ch.units)
		pn.net -= unstated
		pn.late += ch.units - unstated
		return
	}
	al.accrue(pn, now)
	credit := math.Min(float64(ch.units), pn.credit)
	pn.credit -= credit
	pn.reserve = math.Min(pn.reserve+credit, al.saved(pn, al.share(pn, now)))
}

// balance returns the number of granted units that are left.
func (pn *portion) balance() int64 {
	if pn.void {
		return 0
	}
	return pn.total - (pn.net - pn.base)
}

// share returns the fraction of the quota that the node may use without a ledger.
func (al *Allowance) share(pn *portion, now time.Time) float64 {
	least := unheardFraction / float64(al.nodes)
	switch {
	case now.Before(al.shareUntil):
		// A ledger may have had no room yet for the share of a node that has started.
		return math.Max(pn.share, startFraction/float64(al.nodes))
	case now.Before(al.orphanUntil):
		return math.Max(pn.share*orphanFraction, least)
	}
	return least
}

// saved returns the number of units that the node may save up of a share.
func (*Allowance) saved(pn *portion, share float64) float64 {
	if share <= 0 {
		return 0
	}
	return math.Max(share*pn.saved, pn.quantum)
}

// accrue adds the units that a share gives while no ledger grants any. With a ledger,
// the node keeps no more than its share of the depth, which is restored slowly.
func (al *Allowance) accrue(pn *portion, now time.Time) {
	share := al.share(pn, now)
	depth := share * pn.depth
	since := max(now.Sub(pn.reserveAt), 0)
	without := since
	if al.until.After(pn.reserveAt) {
		without = max(now.Sub(al.until), 0)
		pn.reserve = math.Min(pn.reserve+depth*(since-without).Seconds()/recoveryTime.Seconds(), depth)
	}
	pn.reserve = math.Min(pn.reserve+share*pn.rate*without.Seconds(), al.saved(pn, share))
	pn.credit = math.Min(pn.credit+creditRate*share*pn.rate*since.Seconds(), creditRate*share*pn.burst)
	pn.reserveAt = now
}

// Await adds a request to those for which the next report asks for units, and Leave
// removes one.
func (al *Allowance) Await(caller string, units int) {
	if pn, ok := al.byName[caller]; ok {
		pn.waiting = append(pn.waiting, int64(units))
	}
}

// Leave removes a request that Await added.
func (al *Allowance) Leave(caller string, units int) {
	pn, ok := al.byName[caller]
	if !ok {
		return
	}
	for ix, waits := range pn.waiting {
		if waits == int64(units) {
			pn.waiting = append(pn.waiting[:ix], pn.waiting[ix+1:]...)
			return
		}
	}
}

// Due reports whether a report is due, and whether it is a regular one.
func (al *Allowance) Due(now time.Time) (due, regular bool) {
	if !now.Before(al.full.Add(ReportInterval)) {
		return true, true
	}
	if !al.answered || now.Before(al.asked.Add(EarlyReportInterval)) || al.spareBytes(now) <= 0 {
		return false, false
	}
	for _, pn := range al.portions {
		if len(pn.waiting) > 0 {
			return true, false
		}
	}
	return false, false
}

// NextRegular returns the time until the next regular report.
func (al *Allowance) NextRegular(now time.Time) time.Duration {
	return max(al.full.Add(ReportInterval).Sub(now), 0)
}

// spareBytes returns the number of bytes that early reports may use.
func (al *Allowance) spareBytes(now time.Time) float64 {
	if now.After(al.bytesAt) {
		used := 0
		for _, pn := range al.portions {
			if pn.limited() && now.Before(pn.usedAt.Add(idleTime)) {
				used++
			}
		}
		rate := reportBytesPerSecond * math.Max(float64(used)/budgetedCallers, 1)
		al.bytes = math.Min(al.bytes+now.Sub(al.bytesAt).Seconds()*rate, reportBytesBurst)
		al.bytesAt = now
	}
	return al.bytes
}

// Report returns a report of what was spent and is needed. A regular one is about all
// callers that were used or for which the node holds units, an early one only about
// those whose requests wait. The grants of earlier reports that are not answered yet
// are void.
func (al *Allowance) Report(now time.Time, regular bool) *messenger.QuotaReport {
	al.number++
	rp := &messenger.QuotaReport{Regular: regular, Incarnation: al.incarnation, Number: al.number, Seen: al.seen}
	if regular {
		rp.Node, rp.Term, rp.Callers = al.node, al.term, al.names
	}
	elapsed := now.Sub(al.full)
	for ix, pn := range al.portions {
		if !pn.limited() {
			continue
		}
		if regular {
			pn.meter(elapsed)
		}
		qu := messenger.QuotaUse{Caller: uint32(ix), Demand: demandCode(pn.demand)}
		if al.moved || !now.Before(al.until) {
			qu.Share = shareCode(pn.share)
		}
		for _, units := range pn.waiting {
			qu.Waiting += uint32(units)
		}
		if len(pn.waiting) > 0 {
			qu.Head = uint32(pn.waiting[0])
		}
		qu.Prefetch = pn.demand >= prefetchRequests*pn.size && pn.size > 0
		if qu.Waiting == 0 && !(regular && (qu.Prefetch && pn.low() || qu.Share > 0 || pn.outdated(now))) {
			continue
		}
		pn.reportedAt = now
		pn.stated, pn.lateStated = pn.net, pn.late
		qu.Spent, qu.Refunded = uint32(pn.stated-pn.base), uint32(pn.late-pn.lateBase)
		rp.Uses = append(rp.Uses, qu)
	}
	al.asked, al.answered, al.renamed = now, false, false
	if regular {
		al.full = now
	}
	return rp
}

// low reports whether the units may not last until the next regular report.
func (pn *portion) low() bool {
	return float64(pn.balance()) < lowSize*pn.size+pn.demand*ReportInterval.Seconds()
}

// outdated reports whether the ledger must be told of the caller although the node
// needs no units now.
func (pn *portion) outdated(now time.Time) bool {
	due := !now.Before(pn.reportedAt.Add(demandInterval))
	return pn.void && pn.total > 0 || due && (now.Before(pn.usedAt.Add(idleTime)) || pn.total > 0) || pn.net != pn.stated || pn.late != pn.lateStated
}

// Release returns a report by which a node that stops returns all units and shares.
// The node must spend nothing afterwards.
func (al *Allowance) Release(now time.Time) *messenger.QuotaReport {
	rp := al.Report(now, true)
	rp.Leaving = true
	for _, pn := range al.portions {
		pn.total, pn.share = 0, 0
	}
	return rp
}

// meter updates the average of the demand.
func (pn *portion) meter(elapsed time.Duration) {
	if elapsed > 2*ReportInterval {
		elapsed = ReportInterval
	}
	lately := pn.arrived / math.Max(elapsed.Seconds(), EarlyReportInterval.Seconds())
	weight := fallingWeight
	if lately > pn.demand {
		weight = risingWeight
	}
	pn.demand += weight * (lately - pn.demand)
	if pn.arrived == 0 && pn.demand < 1 {
		pn.demand = 0
	}
	pn.arrived = 0
}

// Apply applies the answer to the last report; answers to earlier ones are ignored.
func (al *Allowance) Apply(rp *messenger.QuotaReport, gt *messenger.QuotaGrant, now time.Time) {
	if rp.Number != al.number || gt.Report != uint8(rp.Number) || al.answered {
		return
	}
	al.answered = true
	al.bytes = math.Max(al.bytes, -reportBytesBurst) - float64(messenger.FrameBytes(rp)+messenger.FrameBytes(gt))
	if !gt.Kept {
		// The former leader keeps no ledger and knows of no other one.
		al.failed = true
		if now.Before(al.shareUntil.Add(ShareTime)) || now.Before(al.orphanUntil) {
			al.orphanUntil = al.asked.Add(ShareTime)
		}
		return
	}
	if gt.Term != 0 && gt.Term < al.term || gt.Term == 0 && al.term == 0 {
		al.failed = true
		return
	}
	al.failed, al.moved = gt.Fallback, false
	for _, pn := range al.portions {
		al.accrue(pn, now)
		pn.void = pn.void || !now.Before(al.until)
	}
	al.term = max(al.term, gt.Term)
	al.seen, al.shareUntil, al.granted = rp.Number, al.asked.Add(ShareTime), now
	if !gt.Fallback {
		al.until = al.asked.Add(GrantTime)
	}
	for _, qp := range gt.Parts {
		if al.renamed || int(qp.Caller) >= len(al.portions) {
			continue
		}
		pn := al.portions[qp.Caller]
		if qp.Shared {
			pn.share = shareOf(qp.Share)
		}
		if !qp.Granted {
			continue
		}
		pn.base, pn.lateBase, pn.total, pn.void = pn.stated, pn.lateStated, int64(qp.Units), false
		pn.deniedUntil = time.Time{}
		pn.spread /= 2
		if qp.Wait > 0 {
			pn.deniedUntil, pn.spread = now.Add(qp.Wait), qp.Spread
		}
	}
}

// Fail records that the last report was not answered.
func (al *Allowance) Fail(rp *messenger.QuotaReport) {
	if rp.Number == al.number {
		al.answered, al.failed = true, true
	}
}

// Age returns the time since the last answer of a ledger, or false if there was none.
func (al *Allowance) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(al.granted), !al.granted.IsZero()
}

// Left returns the number of units that the node could spend for a caller now.
func (al *Allowance) Left(caller string, now time.Time) int64 {
	pn, ok := al.byName[caller]
	switch {
	case !ok:
		return 0
	case now.Before(al.until):
		return pn.balance()
	}
	al.accrue(pn, now)
	return int64(pn.reserve)
}
