// Package quotakeeper charges requests to the quotas of their callers, which hold for
// all nodes together. It connects a node's limiter.Allowance with the limiter.Ledger
// that the leader keeps.
//
// A request is charged at the node that took it from its client. It waits at most
// limiter.MaxQuotaWait for units. Callers without a quota cost nothing, and without
// any caller that has a quota no reports are sent.
//
// # Usage
//
//	kp := quotakeeper.New(identity, leadership, pool, quotakeeper.WithSlack(110_000))
//	go kp.Run(ctx)
//	kp.Configure(settings)
//	refund, refusal := kp.Charge(ctx, requestID, caller, units)
//	if refusal == nil && !hasRun { refund() }
//
// In the handler of calls of other nodes:
//
//	answer, err := kp.Answer(report)
package quotakeeper

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/limiter"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// callTimeout bounds one report. Requests that wait have given up by then.
	callTimeout = 300 * time.Millisecond
	// checkInterval is the time between two checks whether a report is due while a
	// request waits, and idleInterval that without a quota.
	checkInterval = 10 * time.Millisecond
	idleInterval  = 250 * time.Millisecond
	// maxCallersCounted is the number of callers with metrics of their own.
	maxCallersCounted = 64
	// silentLedgerTime is how long a ledger may answer no report before it goes on only
	// under a lease: a process that was suspended may not know of another leader yet.
	silentLedgerTime = 3 * time.Second
	// otherCallers stands for the rest in the names of metrics.
	otherCallers = "other"
)

// Leadership tells who keeps the ledger.
type Leadership interface {
	// Leads returns the term of this node's leadership, and whether it may act as
	// the leader now. The term is 0 if it does not lead.
	Leads() (term int64, ok bool)
	// Leader returns the id and the address of the leader according to the last
	// known state, and whether there is one.
	Leader() (id, address string, ok bool)
	// Nodes returns the number of nodes.
	Nodes() int
}

// Peers calls other nodes.
type Peers interface {
	// Call sends a message to the peer at the address and returns its answer.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Keeper charges requests, and keeps the ledger while its node leads. It is safe for
// concurrent use.
type Keeper struct {
	node       string
	machine    string
	leadership Leadership
	peers      Peers
	slack      float64
	registry   *counter.Registry
	now        func() time.Time
	wake       chan struct{}

	mu       sync.Mutex
	settings *configurer.Settings
	limited  bool
	// allowance is this node's part, ledger that of all nodes, or nil.
	allowance *limiter.Allowance
	ledger    *limiter.Ledger
	// answeredAt is when the ledger answered last.
	answeredAt time.Time
	// keeper and keeperAddress are those of the node that answered the last report.
	keeper, keeperAddress string
	waiting               map[string][]*waiter
	left                  bool

	countedMu sync.Mutex
	// counted holds the names under which callers are counted.
	counted map[string]string
}

// waiter is a request that waits for units.
type waiter struct {
	units int
	// done receives the verdict.
	done chan limiter.Verdict
}

// Option configures a Keeper.
type Option func(*Keeper)

// WithSlack sets the number of tokens by which the use of a quota may exceed it in the
// operator's window.
func WithSlack(tokens float64) Option { return func(kp *Keeper) { kp.slack = tokens } }

// WithRegistry makes the keeper count units and refusals by caller.
func WithRegistry(rg *counter.Registry) Option { return func(kp *Keeper) { kp.registry = rg } }

// WithMachine sets the name of the machine, by which the ledger knows that a process has
// ended when the next one on its machine reports; the default is the node's id.
func WithMachine(name string) Option { return func(kp *Keeper) { kp.machine = name } }

// WithClock sets the clock.
func WithClock(now func() time.Time) Option { return func(kp *Keeper) { kp.now = now } }

// New returns a keeper of a node, without quotas.
func New(node string, ls Leadership, pe Peers, opts ...Option) *Keeper {
	kp := &Keeper{
		node: node, machine: node, leadership: ls, peers: pe, now: time.Now, wake: make(chan struct{}, 1),
		waiting: map[string][]*waiter{}, counted: map[string]string{},
	}
	for _, opt := range opts {
		opt(kp)
	}
	kp.allowance = limiter.NewAllowance(kp.machine, rand.Uint32(), kp.slack)
	return kp
}

// Configure applies the quotas of the settings.
func (kp *Keeper) Configure(st *configurer.Settings) {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	if st == kp.settings {
		return
	}
	kp.settings = st
	kp.allowance.Configure(st, kp.now())
	kp.limited = kp.allowance.Limited()
	if kp.ledger != nil {
		kp.ledger.Configure(st, kp.now())
	}
	kp.settleLocked()
}

// Charge charges a request, and returns a function that returns the units, which may be
// called once if the request was not run. It returns a refusal if the caller is over
// its quota.
func (kp *Keeper) Charge(ctx context.Context, request string, cr *configurer.Caller, units int) (refund func(), rf *refuser.Refusal) {
	if cr == nil || cr.Quota() <= 0 || units <= 0 {
		return func() {}, nil
	}
	vd := kp.take(ctx, cr.Name(), units)
	if vd.Outcome == limiter.Charged {
		kp.count(cr.Name(), "spent", units)
		return func() { kp.refund(cr.Name(), vd.Charge) }, nil
	}
	kp.count(cr.Name(), "refused", units)
	if ctx.Err() != nil {
		return nil, refuser.New(refuser.Cancelled, "the request ended while it waited for its caller's quota")
	}
	after := vd.RetryAfter(rand.Float64())
	kp.logRefusal(request, cr.Name(), units, after)
	return nil, refuser.New(refuser.Quota, "caller %q is over its quota", cr.Name()).WithRetryAfter(after)
}

// take takes units, and waits for them if the ledger may have some.
func (kp *Keeper) take(ctx context.Context, caller string, units int) limiter.Verdict {
	kp.mu.Lock()
	vd := kp.allowance.Request(caller, units, kp.now())
	if vd.Outcome != limiter.Ask {
		kp.mu.Unlock()
		return vd
	}
	wt := &waiter{units: units, done: make(chan limiter.Verdict, 1)}
	kp.waiting[caller] = append(kp.waiting[caller], wt)
	kp.allowance.Await(caller, units)
	kp.mu.Unlock()
	select {
	case kp.wake <- struct{}{}:
	default:
	}
	tm := time.NewTimer(limiter.MaxQuotaWait)
	defer tm.Stop()
	select {
	case vd = <-wt.done:
		return vd
	case <-tm.C:
	case <-ctx.Done():
	}
	kp.mu.Lock()
	defer kp.mu.Unlock()
	select {
	case vd = <-wt.done:
		return vd
	default:
	}
	for ix, other := range kp.waiting[caller] {
		if other == wt {
			kp.waiting[caller] = append(kp.waiting[caller][:ix:ix], kp.waiting[caller][ix+1:]...)
		}
	}
	kp.allowance.Leave(caller, units)
	return kp.allowance.TakeUnanswered(caller, units, kp.now())
}

func (kp *Keeper) refund(caller string, ch limiter.Charge) {
	kp.mu.Lock()
	kp.allowance.Refund(ch, kp.now())
	kp.settleLocked()
	kp.mu.Unlock()
	kp.count(caller, "refunded", int(ch.Units()))
}

// settleLocked decides the requests that wait, in the order of their arrival.
func (kp *Keeper) settleLocked() {
	now := kp.now()
	for caller, all := range kp.waiting {
		for len(all) > 0 {
			vd := kp.allowance.Take(caller, all[0].units, now)
			if vd.Outcome == limiter.Ask {
				break
			}
			kp.allowance.Leave(caller, all[0].units)
			all[0].done <- vd
			all = all[1:]
		}
		kp.waiting[caller] = all
		if len(all) == 0 {
			delete(kp.waiting, caller)
		}
	}
}

// Run sends reports until the context ends.
func (kp *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := kp.step(ctx)
		tm := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-tm.C:
		case <-kp.wake:
		}
		tm.Stop()
	}
	return nil
}

// step sends a report if one is due, and returns the time until the next check.
func (kp *Keeper) step(ctx context.Context) time.Duration {
	kp.mu.Lock()
	if !kp.limited || kp.left {
		kp.mu.Unlock()
		return idleInterval
	}
	now := kp.now()
	kp.allowance.SetNodes(kp.leadership.Nodes())
	if id, _, ok := kp.leadership.Leader(); ok {
		kp.allowance.SetKeeper(id)
	}
	due, regular := kp.allowance.Due(now)
	if !due {
		kp.settleLocked()
		pause := min(kp.allowance.NextRegular(now), idleInterval)
		if len(kp.waiting) > 0 {
			pause = min(pause, checkInterval)
		}
		kp.mu.Unlock()
		return max(pause, time.Millisecond)
	}
	rp := kp.allowance.Report(now, regular)
	kp.mu.Unlock()
	kp.send(ctx, rp)
	return time.Millisecond
}

// send sends a report and applies the answer.
func (kp *Keeper) send(ctx context.Context, rp *messenger.QuotaReport) {
	gt, keeper, address, err := kp.ask(ctx, rp)
	kp.mu.Lock()
	defer kp.mu.Unlock()
	if err != nil {
		kp.registry.Inc("quota", "unanswered")
		kp.allowance.Fail(rp)
	} else {
		kp.keeper, kp.keeperAddress = keeper, address
		kp.allowance.Apply(rp, gt, kp.now())
	}
	kp.settleLocked()
}

// ask sends a report to the leader, or to the last keeper of the ledger while no leader
// is known.
func (kp *Keeper) ask(ctx context.Context, rp *messenger.QuotaReport) (gt *messenger.QuotaGrant, keeper, address string, err error) {
	id, address, ok := kp.leadership.Leader()
	if !ok {
		kp.mu.Lock()
		id, address = kp.keeper, kp.keeperAddress
		kp.mu.Unlock()
	}
	if id == "" {
		return nil, "", "", errors.New("no node is known to keep the ledger")
	}
	if id == kp.node {
		gt, err = kp.Answer(rp)
		return gt, id, address, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := kp.peers.Call(ctx, address, rp)
	kp.registry.Add(int64(messenger.FrameBytes(rp)), "quota", "report-bytes")
	if err != nil {
		return nil, "", "", errors.Wrap(err, "report to the keeper of the ledger")
	}
	gt, ok = answer.(*messenger.QuotaGrant)
	if !ok {
		return nil, "", "", errors.Errorf("answer of kind %d to a report of quotas", answer.Kind())
	}
	kp.registry.Add(int64(messenger.FrameBytes(gt)), "quota", "report-bytes")
	return gt, id, address, nil
}

// Answer answers a node's report. A ledger goes on when the node's lease ends until the
// node hears of another leader: while the store is away there is none, and shares alone
// would refuse most requests of callers whose requests are large. Without a ledger the
// answer grants nothing. Answer returns an error if another node leads.
func (kp *Keeper) Answer(rp *messenger.QuotaReport) (*messenger.QuotaGrant, error) {
	term, leads := kp.leadership.Leads()
	id, _, known := kp.leadership.Leader()
	kp.mu.Lock()
	defer kp.mu.Unlock()
	if !leads && known && id != kp.node {
		kp.ledger = nil
		return nil, errors.New("another node leads")
	}
	now := kp.now()
	if !leads && kp.ledger != nil && now.Sub(kp.answeredAt) > silentLedgerTime {
		kp.ledger = nil
	}
	if kp.settings == nil || kp.left || !leads && kp.ledger == nil {
		return &messenger.QuotaGrant{Report: uint8(rp.Number)}, nil
	}
	if leads && (kp.ledger == nil || kp.ledger.Term() != term) {
		kp.ledger = limiter.NewLedger(term, now, limiter.WithSlack(kp.slack))
		kp.ledger.Configure(kp.settings, now)
		log.WithField("term", term).Info("node keeps the ledger of quotas")
	}
	kp.answeredAt = now
	kp.ledger.SetNodes(kp.leadership.Nodes())
	gt := kp.ledger.Answer(rp, now)
	for _, qp := range gt.Parts {
		if qp.Granted {
			kp.count(kp.settings.Callers()[qp.Caller].Name(), "lent", int(qp.Units))
		}
	}
	return gt, nil
}

// Leave returns the node's units and shares to the ledger. Requests that are taken
// afterwards are refused unless their caller has no quota.
func (kp *Keeper) Leave(ctx context.Context) {
	kp.mu.Lock()
	if !kp.limited || kp.left {
		kp.mu.Unlock()
		return
	}
	rp := kp.allowance.Release(kp.now())
	kp.left = true
	kp.mu.Unlock()
	if _, _, _, err := kp.ask(ctx, rp); err != nil {
		log.WithError(err).Warn("quotas were not returned to the ledger; they end with their time")
	}
}

// Age returns the time since the last answer of a ledger, or false if there was none.
func (kp *Keeper) Age() (time.Duration, bool) {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	return kp.allowance.Age(kp.now())
}

// count adds units to a metric of the caller.
func (kp *Keeper) count(caller, what string, units int) {
	if kp.registry == nil || units == 0 {
		return
	}
	kp.registry.Add(int64(units), "quota", kp.countedAs(caller), what)
}

// countedAs returns the name under which a caller is counted.
func (kp *Keeper) countedAs(caller string) string {
	kp.countedMu.Lock()
	defer kp.countedMu.Unlock()
	name, ok := kp.counted[caller]
	switch {
	case ok:
	case len(kp.counted) < maxCallersCounted:
		name = caller
		kp.counted[caller] = name
	default:
		name = otherCallers
	}
	return name
}

func (kp *Keeper) logRefusal(request, caller string, units int, after time.Duration) {
	kp.mu.Lock()
	now := kp.now()
	age, known := kp.allowance.Age(now)
	fields := log.Fields{
		"request": request, "caller": caller, "units": units, "left": kp.allowance.Left(caller, now),
		"ledger": kp.keeper, "retry-after-ms": after.Milliseconds(),
	}
	kp.mu.Unlock()
	if known {
		fields["ledger-age-ms"] = age.Milliseconds()
	}
	log.WithFields(fields).Info("request is over its caller's quota")
}
