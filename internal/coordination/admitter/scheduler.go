package admitter

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/estimator"
	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// retryLater is what a caller is told to wait when no replica is ready.
const retryLater = time.Second

// marginDivisor is the part of a first-token target that is kept as a margin.
const marginDivisor = 10

// modelService is how long the requests of a model take.
type modelService struct {
	whole      average
	firstToken average
	demand     demandMeter
}

// Scheduler is the decision of admission: a state machine without locks, whose
// callers pass in the time.
type Scheduler struct {
	random   *rand.Rand
	policy   router.Policy
	health   Health
	quota    Quota
	nodes    func() int
	nodeID   string
	zone     string
	region   string
	settings *configurer.Settings
	table    *router.Table
	classes  []*classState
	queues   map[string]*modelQueue
	servers  map[string]*serverState
	services map[string]*modelService
	requests int
	bytes    int64
	inFlight int
	nextSeq  uint64
	engines  *estimator.Estimator
	barred   map[replica]time.Time
	common   *router.CommonPrefixes
	reading  func(tokens int) time.Duration
	onGrant  func(*Entry)
	roles    map[string]bool
	request  router.Request
	asking   *Entry
	askedAt  time.Time
	eligible func(*router.Target) bool
	prefills func(*router.Target) bool
}

// Waiting returns the number of waiting requests.
func (sc *Scheduler) Waiting() int { return sc.requests }

// WaitingBytes returns the bytes of their bodies.
func (sc *Scheduler) WaitingBytes() int64 { return sc.bytes }

// InFlight returns the number of grants not yet given back.
func (sc *Scheduler) InFlight() int { return sc.inFlight }

// Outstanding returns the requests of this node on each server that it uses or
// used lately.
func (sc *Scheduler) Outstanding(now time.Time) map[string]router.Use {
	all := map[string]router.Use{}
	for _, tg := range sc.table.Targets() {
		if tg.Load.Used(now) {
			all[tg.Name] = tg.Load.Use()
		}
	}
	return all
}

// Submit takes in a request: the entry that it returns is granted at once or
// waits. The refusal has outcome not-run.
func (sc *Scheduler) Submit(now time.Time, tk *Ticket) (*Entry, *refuser.Refusal) {
	candidates := sc.table.Candidates(tk.Model.Name())
	if rf := sc.check(now, tk); rf != nil {
		return nil, rf
	}
	en := sc.newEntry(now, tk)
	sc.noteArrival(en)
	if len(candidates) == 0 {
		// What is asked for in vain is demand as well: without it a model that
		// lost all replicas would be given fewer.
		sc.noteRefused(en)
		return nil, refuser.New(refuser.NoWorker, "no replica of model %q is ready", tk.Model.Name()).WithRetryAfter(retryLater)
	}
	if tg := sc.choose(now, en, candidates); tg != nil {
		cs := sc.classes[en.class]
		cs.charge(cs.account(tk.Caller.Name()), en.cost)
		sc.grant(now, en, tg)
		return en, nil
	}
	if rf := sc.refuseWait(now, en); rf != nil {
		sc.noteRefused(en)
		return nil, rf
	}
	if rf := sc.makeRoom(now, en); rf != nil {
		sc.noteRefused(en)
		return nil, rf
	}
	sc.enqueue(now, en)
	return en, nil
}

func (sc *Scheduler) check(now time.Time, tk *Ticket) *refuser.Refusal {
	if sc.settings == nil || revised(sc.settings, tk) != nil {
		return refuser.New(refuser.RevisionBehind, "the request was read under another revision than is in force").WithRetryAfter(retryLater)
	}
	if !now.Before(tk.Deadline) {
		return refuser.New(refuser.DeadlinePassed, "the deadline passed before the request arrived")
	}
	if tk.Resumed {
		return nil
	}
	if ok, after := sc.quota.Take(tk.Caller.Name(), now); !ok {
		return refuser.New(refuser.Quota, "caller %q is over its quota", tk.Caller.Name()).WithRetryAfter(after)
	}
	return nil
}

func (sc *Scheduler) newEntry(now time.Time, tk *Ticket) *Entry {
	sc.nextSeq++
	en := &Entry{
		ticket:      tk,
		seq:         sc.nextSeq,
		stage:       stageWaiting,
		arrived:     now,
		onTimeUntil: now.Add(sc.patience(tk)),
		cost:        costOf(tk),
		class:       sc.classIndex(tk.Class.Name()),
	}
	if tk.Resumed {
		en.onTimeUntil = now.Add(time.Millisecond)
	}
	return en
}

// patience returns how long the request can wait and still be on time: its
// target, less a margin and the time that the engine takes to the first token.
func (sc *Scheduler) patience(tk *Ticket) time.Duration {
	target := tk.Class.FirstToken()
	if len(tk.PrefixTokens) > 0 {
		return sc.patienceToRead(tk)
	}
	wait := target - target/marginDivisor - sc.service(tk.Model.Name()).firstToken.value
	return max(wait, time.Millisecond)
}

// choose returns a target with room, or nil.
func (sc *Scheduler) choose(now time.Time, en *Entry, candidates []*router.Target) *router.Target {
	sc.asking, sc.askedAt = en, now
	sc.fill(en.ticket, candidates)
	sc.request.Eligible = sc.eligible
	tg := sc.policy.Choose(&sc.request, candidates, now)
	sc.asking = nil
	return tg
}

// fill makes the scheduler's one routing request that of the ticket. It is used
// again and again, so that a decision allocates little.
func (sc *Scheduler) fill(tk *Ticket, candidates []*router.Target) {
	sc.request.Model = tk.Model.Name()
	sc.request.Zone = sc.zone
	sc.request.Region = sc.region
	sc.request.Prefixes = tk.Prefixes
	sc.request.PromptTokens, sc.request.PrefixTokens = tk.PromptTokens, tk.PrefixTokens
	sc.request.Reading = sc.reading
	sc.request.Common = sc.common.Held(tk.Prefixes, len(sc.table.Candidates(tk.Model.Name())))
	sc.request.Avoid = sc.avoid(tk, candidates)
	sc.request.Adapter = ""
	if tk.Adapter != nil {
		sc.request.Adapter = tk.Adapter.Name()
	}
}

// avoid returns the servers to be avoided, unless that would leave none.
func (sc *Scheduler) avoid(tk *Ticket, candidates []*router.Target) []string {
	if len(tk.Avoid) == 0 || len(tk.Avoid) < len(candidates) {
		return tk.Avoid
	}
	for _, tg := range candidates {
		if !slices.Contains(tk.Avoid, tg.Name) {
			return tk.Avoid
		}
	}
	return nil
}

func (sc *Scheduler) weight(tg *router.Target) float64 {
	if sc.health == nil {
		return 1
	}
	return sc.health.Weight(tg.Name)
}

func (sc *Scheduler) enqueue(now time.Time, en *Entry) {
	en.ready = make(chan struct{})
	sc.queue(en.ticket.Model.Name()).add(en, sc.classes[en.class], now)
	sc.requests++
	sc.bytes += int64(en.ticket.Bytes)
	lm := sc.settings.Limits()
	within := sc.requests <= lm.QueueRequests() && sc.bytes <= lm.QueueBytes()
	checker.Assert(QueueBounded, within, "%d requests of %d bytes wait", sc.requests, sc.bytes)
}

func (sc *Scheduler) queue(model string) *modelQueue {
	mq, ok := sc.queues[model]
	if !ok {
		mq = &modelQueue{model: model, lines: make([]*line, len(sc.classes))}
		for ix := range mq.lines {
			mq.lines[ix] = &line{}
		}
		sc.queues[model] = mq
	}
	return mq
}

// dequeue takes an entry out of the queue.
func (sc *Scheduler) dequeue(now time.Time, en *Entry) {
	sc.queues[en.ticket.Model.Name()].remove(en, sc.classes[en.class], now)
	sc.requests--
	sc.bytes -= int64(en.ticket.Bytes)
}

// grant counts the entry as sent to the target.
func (sc *Scheduler) grant(now time.Time, en *Entry, tg *router.Target) {
	sc.assertGrant(tg, sc.window(now, tg, en.ticket.Resumed))
	en.stage = stageGranted
	en.target = tg
	tg.Load.Dispatched(now)
	sc.expect(en, tg)
	sc.server(tg.Name).add(now, en.class, 1)
	sc.credit(tg, en)
	sc.inFlight++
	sc.service(en.ticket.Model.Name()).demand.running++
	sc.choosePrefill(now, en)
	if en.ready == nil {
		en.ready = closed
		return
	}
	close(en.ready)
	sc.onGrant(en)
}

// assertGrant asserts the invariants of a grant. The arguments are built only
// when one is broken, as building them allocates.
func (*Scheduler) assertGrant(tg *router.Target, window int) {
	if tg.Load.Own() >= window {
		checker.Assert(WindowKept, false, "%s has %d requests in a window of %d", tg.Name, tg.Load.Own(), window)
	}
	if tg.Leaving {
		checker.Assert(checker.LeavingIdle, false, "%s is leaving and was granted work", tg.Name)
	}
}

// closed is the channel of entries that never waited.
var closed = func() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}()

// Finish gives a grant back and grants what has become possible by it.
func (sc *Scheduler) Finish(now time.Time, en *Entry, rs Result) {
	checker.Assert(GrantBalanced, en.stage == stageGranted, "the grant of %s was given back twice", en.ticket.ID)
	if en.stage != stageGranted {
		return
	}
	sc.finishPrefill(now, en)
	en.stage = stageEnded
	sc.inFlight--
	sc.service(en.ticket.Model.Name()).demand.running--
	en.target.Load.Finished(now)
	sc.readPrompt(en)
	sc.server(en.target.Name).add(now, en.class, -1)
	sc.learn(en, rs)
	if rs.Refused {
		sc.Bar(now, en.target.Name, en.ticket.Model.Name(), refusedTime)
	}
	if tg, ok := sc.table.Target(en.target.Name); ok {
		sc.pump(now, tg)
	}
}

// learn takes in how long a request took.
func (sc *Scheduler) learn(en *Entry, rs Result) {
	if rs.Failed || rs.Duration <= 0 {
		return
	}
	ms := sc.service(en.ticket.Model.Name())
	ms.whole.add(rs.Duration)
	if rs.FirstToken > 0 {
		sc.engines.Learn(en.ticket.Model.Name(), en.unread, en.backlog, rs.FirstToken)
	}
	if rs.FirstToken > 0 {
		ms.firstToken.add(rs.FirstToken)
	}
	if en.class < len(sc.classes) {
		sc.classes[en.class].hold.add(rs.Duration)
	}
}

// Withdraw takes back an entry whose caller left; a grant that came meanwhile
// stays granted and must be given back.
func (sc *Scheduler) Withdraw(now time.Time, en *Entry) {
	if en.stage != stageWaiting {
		return
	}
	sc.dequeue(now, en)
	en.stage = stageEnded
	if !now.Before(en.ticket.Deadline) {
		en.refusal = refuser.New(refuser.DeadlinePassed, "the deadline passed before the request could be sent")
		return
	}
	en.refusal = refuser.New(refuser.Cancelled, "the caller left before the request could be sent")
}

// drop refuses a waiting entry.
func (sc *Scheduler) drop(now time.Time, en *Entry, rf *refuser.Refusal) {
	sc.dequeue(now, en)
	en.stage = stageEnded
	en.refusal = rf
	close(en.ready)
	sc.onGrant(en)
}

// Tick refuses what can't be sent any more and grants what has become possible
// with time.
func (sc *Scheduler) Tick(now time.Time) {
	for _, cs := range sc.classes {
		for el := cs.arrivals.Front(); el != nil; {
			en := el.Value.(*Entry)
			el = el.Next()
			if !now.Before(en.ticket.Deadline) {
				sc.drop(now, en, refuser.New(refuser.DeadlinePassed, "the deadline passed before the request could be sent"))
			} else if rf := sc.refuseLate(now, en); rf != nil {
				sc.noteRefused(en)
				sc.drop(now, en, rf)
			}
		}
	}
	sc.pumpAll(now)
}

// Update puts a new table in force.
func (sc *Scheduler) Update(now time.Time, tb *router.Table) {
	sc.table = tb
	sc.notePrefillRoles()
	sc.pumpAll(now)
}

func (sc *Scheduler) pumpAll(now time.Time) {
	if sc.requests == 0 {
		return
	}
	targets := sc.table.Targets()
	if len(targets) == 0 {
		return
	}
	start := sc.random.IntN(len(targets))
	for ix := range targets {
		sc.pump(now, targets[(start+ix)%len(targets)])
	}
}

func (sc *Scheduler) classIndex(name string) int {
	for ix, cs := range sc.classes {
		if cs.name == name {
			return ix
		}
	}
	return -1
}

func (sc *Scheduler) service(model string) *modelService {
	ms, ok := sc.services[model]
	if !ok {
		ms = &modelService{}
		sc.services[model] = ms
	}
	return ms
}

func sortClasses(all []*classState) {
	sort.SliceStable(all, func(ix, jx int) bool { return all[ix].rank < all[jx].rank })
}
