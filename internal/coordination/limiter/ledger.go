package limiter

import (
	"math"
	"sort"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// answerMargin covers the time between a node's report and the ledger's answer.
	answerMargin = 500 * time.Millisecond
	// maxUnconfirmed is how long a node may leave the ledger's answers unconfirmed
	// before it counts as one that does not get them: two report intervals and a
	// margin.
	maxUnconfirmed = 2*ReportInterval + 600*time.Millisecond
	// targetInterval is the time between two divisions of a quota into shares.
	targetInterval = time.Second
	// activeTime is how long after a report a node counts as one with demand.
	activeTime = 6 * time.Second
	// maxSpread bounds the time over which refused requests are told to return.
	maxSpread = 4 * time.Second
	// sharesChecked is how many shares of callers that a report does not name are
	// checked for its answer.
	sharesChecked = 8
	// rareSize times the usual cost of a request is what a node with demand holds at
	// least.
	rareSize = 1.25
	// scarceTime times the quota is what nodes hold in advance while the demand
	// exceeds the quota.
	scarceTime = 700 * time.Millisecond
	// aheadFactor times its demand is what a node holds while the quota covers the
	// demand of all nodes, and aheadFloor the fraction of the burst that then stays
	// in the account.
	aheadFactor = 1.5
	aheadFloor  = 0.3
	// aheadOfBurst is the fraction of the burst that, with what nodes may hold beyond
	// the burst, is divided among them by their demand, so that those that report
	// first do not take all.
	aheadOfBurst = 0.5
	// creditRate is the fraction of a quota that late refunds return at most. They
	// let requests run in one window with units of an earlier one.
	creditRate = 0.1
	// shareTolerance is by how many codes a share may differ from its target before it
	// is changed: by 30%. Demand varies at random, and each change takes bytes.
	shareTolerance = 3
	// shareFillTime is the time in which a node with a share can save up a request.
	shareFillTime = 3 * time.Second
	// sumInterval is the time between two sums over all nodes' holdings of an
	// account, so that the work of a report does not grow with the number of nodes
	// times that of callers.
	sumInterval = 100 * time.Millisecond
)

// Ledger is the leader's state of all quotas in one term. It is a state machine
// without lock and clock.
type Ledger struct {
	term  int64
	slack float64
	began time.Time
	// accounts are in the order of the settings' callers.
	accounts []*ledgerAccount
	byName   map[string]*ledgerAccount
	// names identifies the list of the callers' names.
	names uint32
	// nodes are the nodes by name, processes the same by incarnation.
	nodes     map[string]*ledgerNode
	processes map[uint32]*ledgerNode
	// inherited says that a node has heard of an earlier ledger, so that nodes that
	// have not reported may have shares from it.
	inherited bool
	// registered is the number of registered nodes, or 0 if it is not known.
	registered int
	// grantsFrom is the time from which the ledger grants units.
	grantsFrom time.Time
}

// ledgerAccount is the state of one caller's quota.
type ledgerAccount struct {
	quota
	// units is the number of units that can be granted at refilledAt. It is
	// negative after a request that was larger than what was left.
	units      float64
	refilledAt time.Time
	// credit is the number of units that late refunds may return.
	credit float64
	// reserved is the fraction of the quota that nodes without a ledger spend, as
	// of refilledAt.
	reserved float64
	// outstanding is the number of units granted in advance and valid. It and
	// reserved are summed up at summedAt.
	outstanding float64
	summedAt    time.Time
	// inherited is the sum of the shares that nodes have stated from an earlier
	// ledger.
	inherited float64
	holdings  map[string]*holding
	// size is a moving average of the cost of requests that waited for units.
	size        float64
	retargetAt  time.Time
	totalDemand float64
}

// ledgerNode is what the ledger knows of a node as a whole.
type ledgerNode struct {
	name        string
	incarnation uint32
	// term and names are those of the node's last regular report.
	term  int64
	names uint32
	// lastAnswer answered the last report.
	lastAnswer *messenger.QuotaGrant
	lastNumber uint64
	answeredAt time.Time
	// confirmedAt is the time of the last answer with grants that the node has
	// confirmed, or of the first report.
	confirmedAt time.Time
	// left says that the node has returned its units and shares.
	left bool
	// pending are the holdings that the last answer changed.
	pending []*holding
}

// grantedLot is a number of units that a node may spend from a state of its
// cumulative spending.
type grantedLot struct {
	total           float64
	spent, refunded int64
}

// holding is one node's part of one account.
type holding struct {
	// held is the number of units debited from the account and not spent as far as
	// the ledger knows. prefetched is the part of it that was granted in advance.
	held, prefetched float64
	// spent and refunded are the cumulative spending and refunds that the node last
	// stated.
	spent, refunded int64
	// known says that the node has stated its spending.
	known bool
	// sure is the lot that the node has confirmed, next the one that it may have
	// received since.
	sure, next grantedLot
	// sureShare and nextShare are the shares accordingly.
	sureShare, nextShare float64
	// demand is in units per second, as of heardAt.
	demand  float64
	heardAt time.Time
	// target is the share that the node is to have.
	target float64
}

// share returns the greatest share that the node may use.
func (hd *holding) share() float64 { return math.Max(hd.sureShare, hd.nextShare) }

// LedgerOption configures a Ledger.
type LedgerOption func(*Ledger)

// WithSlack sets the number of tokens by which the use of a quota may exceed it. The
// greater it is, the larger are the requests that nodes admit without a ledger.
func WithSlack(tokens float64) LedgerOption { return func(lg *Ledger) { lg.slack = tokens } }

// NewLedger returns the ledger of a term that begins now, with empty accounts.
func NewLedger(term int64, now time.Time, opts ...LedgerOption) *Ledger {
	lg := &Ledger{term: term, began: now, grantsFrom: now.Add(TakeoverTime), byName: map[string]*ledgerAccount{}, nodes: map[string]*ledgerNode{}, processes: map[uint32]*ledgerNode{}}
	for _, opt := range opts {
		opt(lg)
	}
	return lg
}

// SetNodes sets the number of registered nodes. Once as many have reported, none has
// shares of an earlier ledger that this one does not know.
func (lg *Ledger) SetNodes(count int) { lg.registered = count }

// Term returns the term of the ledger.
func (lg *Ledger) Term() int64 { return lg.term }

// Configure applies the quotas of the settings. Units beyond a new burst are void, and
// what nodes hold of a lowered quota is scaled down. A caller that was not known begins
// with an empty account, so that the removal and return of a caller gives it no second
// burst.
func (lg *Ledger) Configure(st *configurer.Settings, now time.Time) {
	var quotas []quota
	quotas, lg.names = quotasOf(st, lg.slack)
	byName := make(map[string]*ledgerAccount, len(quotas))
	lg.accounts = lg.accounts[:0]
	for _, qt := range quotas {
		ac, ok := lg.byName[qt.name]
		if !ok {
			ac = &ledgerAccount{refilledAt: now, holdings: map[string]*holding{}}
		}
		lg.refill(ac, now)
		if ac.limited() && qt.rate < ac.rate {
			ac.scale(qt.rate / ac.rate)
		}
		ac.quota = qt
		ac.units = math.Min(ac.units, qt.burst)
		byName[qt.name] = ac
		lg.accounts = append(lg.accounts, ac)
	}
	lg.byName = byName
}

// scale makes a part of the units that nodes hold void.
func (ac *ledgerAccount) scale(factor float64) {
	for _, hd := range ac.holdings {
		hd.held *= factor
		ac.setPrefetched(hd, hd.prefetched*factor)
	}
}

// Answer processes a node's report and returns the answer. A repeated report gets the
// same answer.
func (lg *Ledger) Answer(rp *messenger.QuotaReport, now time.Time) *messenger.QuotaGrant {
	nd := lg.node(rp, now)
	if nd == nil {
		return &messenger.QuotaGrant{Kept: true, Fallback: true, Report: uint8(rp.Number)}
	}
	if rp.Number <= nd.lastNumber {
		return nd.lastAnswer
	}
	lg.confirm(nd, rp)
	if now.Before(lg.grantsFrom) && lg.allReported() {
		// No node reports to a former ledger any more, so that it grants nothing.
		lg.grantsFrom = now
	}
	gt := &messenger.QuotaGrant{Kept: true, Report: uint8(rp.Number)}
	if nd.term != lg.term {
		gt.Term = lg.term
	}
	gt.Fallback = now.Before(lg.grantsFrom) || nd.names != lg.names
	if nd.names == lg.names {
		lg.answerUses(nd, rp, gt, now)
	}
	nd.lastAnswer, nd.lastNumber, nd.answeredAt = gt, rp.Number, now
	if rp.Leaving {
		for _, ac := range lg.byName {
			if hd, ok := ac.holdings[nd.name]; ok {
				ac.units = math.Min(ac.units+hd.held, ac.burst)
				ac.setPrefetched(hd, 0)
			}
		}
		lg.forget(nd.name)
		lg.nodes[nd.name], lg.processes[nd.incarnation] = nd, nd
		nd.left, nd.pending, gt.Parts, gt.Fallback = true, nil, nil, true
	}
	return gt
}

// node returns the state of the report's sender, or nil if the report does not name a
// sender that is not known.
func (lg *Ledger) node(rp *messenger.QuotaReport, now time.Time) *ledgerNode {
	nd := lg.processes[rp.Incarnation]
	if !rp.Regular {
		return nd
	}
	if nd == nil || nd.name != rp.Node {
		lg.forget(rp.Node)
		nd = &ledgerNode{name: rp.Node, incarnation: rp.Incarnation, confirmedAt: now}
		lg.nodes[rp.Node], lg.processes[rp.Incarnation] = nd, nd
		lg.inherited = lg.inherited || rp.Term != 0 && rp.Term != lg.term
	}
	nd.term, nd.names = rp.Term, rp.Callers
	return nd
}

// confirm settles whether the node received the last answer.
func (lg *Ledger) confirm(nd *ledgerNode, rp *messenger.QuotaReport) {
	seen := rp.Seen == nd.lastNumber && rp.Seen != 0
	if seen && !nd.lastAnswer.Fallback {
		nd.confirmedAt = nd.answeredAt
	}
	for _, hd := range nd.pending {
		if seen {
			hd.sure, hd.sureShare = hd.next, hd.nextShare
		}
		hd.next, hd.nextShare = hd.sure, hd.sureShare
	}
	nd.pending = nd.pending[:0]
}

func (lg *Ledger) answerUses(nd *ledgerNode, rp *messenger.QuotaReport, gt *messenger.QuotaGrant, now time.Time) {
	named := map[uint32]bool{}
	for _, qu := range rp.Uses {
		if int(qu.Caller) >= len(lg.accounts) || named[qu.Caller] {
			continue
		}
		named[qu.Caller] = true
		ac := lg.accounts[qu.Caller]
		hd := ac.holding(nd.name)
		lg.refill(ac, now)
		lg.settle(ac, hd, &qu, nd.term != lg.term, now)
		hd.demand, hd.heardAt = demandOf(qu.Demand), now
		qp := messenger.QuotaPart{Caller: qu.Caller}
		if !gt.Fallback {
			lg.grant(ac, hd, &qu, &qp, now)
		}
		lg.giveShare(ac, hd, &qp, now)
		nd.pending = append(nd.pending, hd)
		gt.Parts = append(gt.Parts, qp)
	}
	for step := range min(sharesChecked, len(lg.accounts)) {
		ix := (int(rp.Number)*sharesChecked + step) % len(lg.accounts)
		ac := lg.accounts[ix]
		if named[uint32(ix)] || !ac.limited() {
			continue
		}
		hd := ac.holding(nd.name)
		qp := messenger.QuotaPart{Caller: uint32(ix)}
		if lg.giveShare(ac, hd, &qp, now); qp.Shared {
			nd.pending = append(nd.pending, hd)
			gt.Parts = append(gt.Parts, qp)
		}
	}
}

func (ac *ledgerAccount) holding(node string) *holding {
	hd, ok := ac.holdings[node]
	if !ok {
		hd = &holding{}
		ac.holdings[node] = hd
	}
	return hd
}

// settle applies what the node has spent, and returns the units that it does not
// hold to the account.
func (lg *Ledger) settle(ac *ledgerAccount, hd *holding, qu *messenger.QuotaUse, newcomer bool, now time.Time) {
	if newcomer && qu.Share > 0 && hd.sureShare == 0 {
		hd.sureShare = shareOf(qu.Share)
		hd.nextShare = hd.sureShare
		ac.inherited += hd.sureShare
	}
	spent, refunded := hd.sure.spent+int64(qu.Spent), hd.sure.refunded+int64(qu.Refunded)
	if !hd.known {
		hd.known, hd.spent, hd.refunded = true, spent, refunded
	}
	if credit := math.Min(float64(refunded-hd.refunded), ac.credit); credit > 0 && ac.units < ac.burst {
		ac.credit -= credit
		ac.units = math.Min(ac.units+credit, ac.burst)
	}
	// What the node spends of the units of an earlier ledger is beyond what it
	// holds here. The takeover time covers it.
	hd.held = math.Max(hd.held-float64(spent-hd.spent), 0)
	hd.spent, hd.refunded = spent, refunded
	rest := math.Min(math.Max(hd.sure.total-float64(qu.Spent), 0), hd.held)
	if rest < hd.held {
		if ac.units < ac.burst && !now.Before(lg.grantsFrom) {
			ac.units = math.Min(ac.units+hd.held-rest, ac.burst)
		}
		hd.held = rest
	}
	ac.setPrefetched(hd, math.Min(hd.prefetched, hd.held))
}

// setPrefetched changes the number of units that the node holds in advance.
func (ac *ledgerAccount) setPrefetched(hd *holding, units float64) {
	ac.outstanding += units - hd.prefetched
	hd.prefetched = units
}

// grant decides how many units the node may hold. Requests that wait get what the
// account has, and the first of them gets all that it needs while the account is not
// empty, so that a request larger than the burst is admitted. Units in advance come
// from what is left.
func (lg *Ledger) grant(ac *ledgerAccount, hd *holding, qu *messenger.QuotaUse, qp *messenger.QuotaPart, now time.Time) {
	qp.Granted = true
	if !ac.limited() {
		return
	}
	if qu.Waiting > 0 {
		ac.size += (float64(qu.Head) - ac.size) / 8
	}
	rest, waiting := hd.held, float64(qu.Waiting)
	total := math.Min(rest, waiting)
	if missing := waiting - total; missing > 0 && ac.units > 0 {
		total += math.Min(missing, math.Max(math.Floor(ac.units), float64(qu.Head)-total))
	}
	left := ac.units - math.Max(total-rest, 0)
	ahead := 0.0
	if qu.Prefetch {
		ahead = lg.ahead(ac, hd, left, math.Max(rest-total, 0), now)
	}
	if total < waiting || left-ahead <= 0 && qu.Prefetch {
		qp.Wait = ac.timeTo(-left)
		qp.Spread = lg.spread(ac, now)
	}
	total = math.Min(total+ahead, math.MaxUint32)
	debit := math.Max(total-rest, 0)
	ac.units -= debit
	hd.held = rest + debit
	ac.setPrefetched(hd, math.Max(hd.held-waiting, 0))
	hd.next = grantedLot{total: total, spent: hd.spent, refunded: hd.refunded}
	qp.Units = uint32(total)
}

// ahead returns the number of units that a node gets for the next second, of the units
// left in the account and the rest that it holds. While the quota covers the demand,
// the node gets more than it used lately, since requests arrive at random, but the
// account keeps some units for requests at other nodes. Where requests are rare, a
// node gets units for one request or none.
func (lg *Ledger) ahead(ac *ledgerAccount, hd *holding, left, rest float64, now time.Time) float64 {
	wanted, spare := hd.demand*ReportInterval.Seconds(), left
	if sum := lg.totalDemand(ac, now); sum > ac.rate {
		wanted *= ac.rate / sum
		// Units beyond what the account regains in a second would keep it from being
		// refilled until they are spent.
		spare = math.Min(spare, scarceTime.Seconds()*ac.rate+ac.ahead-ac.rate*outstandingTime.Seconds()-ac.outstanding)
	} else {
		fair := (ac.ahead + aheadOfBurst*ac.burst) * hd.demand / math.Max(sum, 1)
		wanted = math.Min(wanted*aheadFactor+ac.size, fair)
		spare -= aheadFloor * ac.burst
	}
	wanted = math.Max(wanted, rareSize*ac.size)
	if rest+math.Max(spare, 0) < ac.size {
		return math.Floor(rest)
	}
	return math.Floor(math.Min(wanted, math.Max(spare, 0)+rest))
}

// timeTo returns the time in which the account is refilled by units, at least a
// millisecond.
func (ac *ledgerAccount) timeTo(units float64) time.Duration {
	rate := ac.rate * math.Max(1-ac.reserved, 0.05)
	return time.Duration(math.Max(units/rate, 0.001) * float64(time.Second))
}

// spread returns the time in which the quota covers the demand of one second that
// exceeds it.
func (lg *Ledger) spread(ac *ledgerAccount, now time.Time) time.Duration {
	excess := math.Max(lg.totalDemand(ac, now)/ac.rate-1, 0)
	return min(time.Duration(excess*float64(time.Second)), maxSpread)
}

// totalDemand returns the demand of all nodes in units per second.
func (lg *Ledger) totalDemand(ac *ledgerAccount, now time.Time) float64 {
	lg.retarget(ac, now)
	return ac.totalDemand
}

// refill adds the units for the time since the last call, except for what nodes
// without a ledger may spend.
func (lg *Ledger) refill(ac *ledgerAccount, now time.Time) {
	if now.Before(lg.grantsFrom) {
		return
	}
	if ac.refilledAt.Before(lg.grantsFrom) {
		ac.refilledAt = lg.grantsFrom
	}
	if !now.After(ac.refilledAt) {
		return
	}
	before := ac.reserved
	if !now.Before(ac.summedAt.Add(sumInterval)) {
		lg.sum(ac, now)
	}
	rate := ac.rate * math.Max(1-math.Max(ac.reserved, before), 0)
	ac.credit = math.Min(ac.credit+creditRate*ac.rate*now.Sub(ac.refilledAt).Seconds(), creditRate*ac.burst)
	room := math.Min(ac.burst, ac.burst+ac.ahead-ac.outstanding) - ac.units
	ac.units += math.Max(math.Min(rate*now.Sub(ac.refilledAt).Seconds(), room), 0)
	ac.refilledAt = now
}

// sum updates the units that nodes hold in advance, and the fraction of the quota that
// nodes may spend without the ledger: those that do not report, those that do not get
// the answers, and those that are not known.
func (lg *Ledger) sum(ac *ledgerAccount, now time.Time) {
	ac.summedAt, ac.outstanding, ac.reserved = now, 0, lg.unknownShare(ac, now)
	for name, hd := range ac.holdings {
		nd := lg.nodes[name]
		if nd != nil && now.Before(nd.answeredAt.Add(GrantTime)) {
			ac.outstanding += hd.prefetched
		}
		if nd != nil && nd.withoutLedger(now) {
			ac.reserved += hd.share()
		}
	}
	ac.reserved = math.Min(ac.reserved, 1)
}

// withoutLedger reports whether the node may use its shares now.
func (nd *ledgerNode) withoutLedger(now time.Time) bool {
	if nd.lastAnswer != nil && nd.lastAnswer.Fallback {
		return true
	}
	return now.After(nd.answeredAt.Add(GrantTime)) || now.After(nd.confirmedAt.Add(maxUnconfirmed))
}

// allReported reports whether all registered nodes have reported to this ledger.
func (lg *Ledger) allReported() bool { return lg.registered > 0 && len(lg.nodes) >= lg.registered }

// unknownShare returns the shares of an earlier ledger that no node has stated yet.
func (lg *Ledger) unknownShare(ac *ledgerAccount, now time.Time) float64 {
	if !lg.inherited || now.After(lg.began.Add(ShareTime+answerMargin)) {
		return 0
	}
	if lg.allReported() {
		return 0
	}
	return math.Max(1-ac.inherited, 0)
}

// giveShare sets the share that the node may use without a ledger: its target, as far
// as the shares of other nodes leave room.
func (lg *Ledger) giveShare(ac *ledgerAccount, hd *holding, qp *messenger.QuotaPart, now time.Time) {
	lg.retarget(ac, now)
	if lg.inherited && now.Before(lg.began.Add(TakeoverTime)) {
		// The demand and the cost of requests are not known yet.
		hd.nextShare = hd.sureShare
		return
	}
	had := shareCode(hd.sureShare)
	qp.Share = shareCode(hd.target)
	if qp.Share == had || qp.Share != 0 && had != 0 && max(qp.Share, had)-min(qp.Share, had) <= shareTolerance {
		qp.Share, hd.nextShare = 0, hd.sureShare
		return
	}
	qp.Shared = true
	room := 1 - lg.unknownShare(ac, now)
	for _, other := range ac.holdings {
		if other != hd {
			room -= other.share()
		}
	}
	if hd.target > room {
		qp.Share = shareCode(room)
	}
	hd.nextShare = shareOf(qp.Share)
}

// retarget divides the quota among the nodes in proportion to their demand, and what
// is unused equally. If the requests that wait for units are larger than what a node
// saves up of an equal share in a few seconds, fewer nodes get one.
func (lg *Ledger) retarget(ac *ledgerAccount, now time.Time) {
	if now.Before(ac.retargetAt) {
		return
	}
	ac.retargetAt = now.Add(targetInterval)
	ac.totalDemand = 0
	var names []string
	for name, nd := range lg.nodes {
		if now.After(nd.answeredAt.Add(ShareTime+answerMargin)) && !nd.answeredAt.IsZero() {
			lg.forget(name)
			continue
		}
		if nd.left {
			continue
		}
		hd := ac.holding(name)
		hd.target = 0
		if now.After(hd.heardAt.Add(activeTime)) {
			hd.demand = 0
		}
		ac.totalDemand += hd.demand
		names = append(names, name)
	}
	sort.Slice(names, func(ix, jx int) bool {
		one, two := ac.holdings[names[ix]], ac.holdings[names[jx]]
		if one.demand != two.demand {
			return one.demand > two.demand
		}
		if one.sureShare != two.sureShare {
			return one.sureShare > two.sureShare
		}
		return names[ix] < names[jx]
	})
	count := len(names)
	if ac.size > 0 {
		count = min(count, max(int(math.Min(ac.saved, ac.rate*shareFillTime.Seconds())/ac.size), 1))
	}
	demand := 0.0
	for _, name := range names[:count] {
		demand += ac.holdings[name].demand
	}
	used := math.Min(demand, ac.rate)
	sharers := count
	if count == len(names) {
		// A share can't be taken back: nodes that have not reported yet need room.
		sharers = max(count, lg.registered)
	}
	for _, name := range names[:count] {
		hd := ac.holdings[name]
		hd.target = (1 - used/math.Max(ac.rate, 1)) / float64(sharers)
		if demand > 0 {
			hd.target += used / math.Max(ac.rate, 1) * hd.demand / demand
		}
	}
}

// forget drops a node that has ended, or whose shares have ended. Its units are lost
// with it.
func (lg *Ledger) forget(node string) {
	if nd, ok := lg.nodes[node]; ok {
		delete(lg.processes, nd.incarnation)
		delete(lg.nodes, node)
	}
	for _, ac := range lg.byName {
		delete(ac.holdings, node)
	}
}
