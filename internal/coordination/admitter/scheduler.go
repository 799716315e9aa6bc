package admitter

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/estimator"
	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/coordination/throttler"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// defaultRetryAfter is the wait that a refused caller is told if no estimate
// applies, such as when no replica is ready.
const defaultRetryAfter = time.Second

// targetMarginDivisor gives the fraction of a first-token target that is kept
// as a margin.
const targetMarginDivisor = 10

// modelStats holds measurements of the requests of one model.
type modelStats struct {
	// duration is the time from sending to the end.
	duration movingAverage
	// firstToken is the time from sending to the first token.
	firstToken movingAverage
	// tokenTime is the time for a token after the first one.
	tokenTime movingAverage
	demand    demandMeter
}

// Scheduler makes the admission decisions. It is a state machine without locks
// whose callers pass in the time.
type Scheduler struct {
	// random chooses the server with which a round of grants begins.
	random *rand.Rand
	// policy chooses among the servers that have room.
	policy router.Policy
	// health weights the servers; nil gives all of them weight 1.
	health Health
	// reachability knows which servers are down.
	reachability Reachability
	// absences has the models without a registered replica that had one, and since when
	// they are asked for; zero if they are not. absence is how long that took in the past.
	absences map[string]time.Time
	absence  movingAverage
	// adapters knows where adapters can be used, or is nil.
	adapters AdapterStandings
	// quota limits the requests of each caller.
	quota Quota
	// liveNodes returns the number of live nodes.
	liveNodes func() int
	// nodeID decides which nodes get the slots that don't divide evenly.
	nodeID string
	// zone and region are the node's own; empty if not known.
	zone   string
	region string
	// settings is nil before the first ApplySettings.
	settings *configurer.Settings
	// table holds the servers of the last Update.
	table *router.Table
	// classes has the most urgent class first.
	classes []*classState
	// queues and stats are keyed by model, servers by server name.
	queues  map[string]*modelQueue
	servers map[string]*serverState
	stats   map[string]*modelStats
	// waitingRequests is the number of queued requests, and waitingBytes the
	// size of their bodies.
	waitingRequests int
	waitingBytes    int64
	// inFlight is the number of grants that have not been released.
	inFlight int
	// nextSeq is the sequence number of the newest entry.
	nextSeq uint64
	// meanMemory holds the moving average, in tokens, of the cache memory of a
	// request by pool.
	meanMemory map[string]float64
	// pauses holds the shortest allowed pause of streams by pool.
	pauses map[string]time.Duration
	// shortestTarget is the shortest first-token target of the classes.
	shortestTarget time.Duration
	// engines predicts prefill times and times to the first token.
	engines *estimator.Estimator
	// callers holds what each caller got lately.
	callers *callerUses
	// peers compares the speeds of servers.
	peers router.Peers
	// throttle keeps the node within the limits that servers name, and members
	// returns the ids of the nodes that share those of a pool.
	throttle *throttler.Throttler
	members  func(pool string) []string
	// connections returns how many connections the node may have to a server; 0 means no
	// limit.
	connections func(address string) int
	// places has this node's place among the members by pool.
	places map[string]place
	// signals says that servers' answers are observed.
	signals bool
	// excluded holds the end of each exclusion.
	excluded map[replica]time.Time
	// commonPrefixes holds the prefixes that all replicas are assumed to cache.
	commonPrefixes *router.CommonPrefixes
	// prefillTime returns the prefill time for tokens of request.Model.
	prefillTime func(tokens int) time.Duration
	// onDecision is called for each entry that is granted or refused after it
	// waited.
	onDecision func(*Entry)
	// splitModels holds the models with both prefill and decode servers.
	splitModels map[string]bool
	// request is reused for every decision, so that one allocates little.
	request router.Request
	// prefixSource is the candidate that caches most of the request's prompt, or nil.
	prefixSource *router.Target
	// choosing and choosingAt are the entry and the time of the decision being
	// made; eligible and eligiblePrefill, which the policy calls, read them.
	choosing        *Entry
	choosingAt      time.Time
	eligible        func(*router.Target) bool
	eligiblePrefill func(*router.Target) bool
}

// Waiting returns the number of waiting requests.
func (sc *Scheduler) Waiting() int { return sc.waitingRequests }

// WaitingBytes returns the total size of the bodies of the waiting requests.
func (sc *Scheduler) WaitingBytes() int64 { return sc.waitingBytes }

// InFlight returns the number of grants that have not been released.
func (sc *Scheduler) InFlight() int { return sc.inFlight }

// Outstanding returns the number and the prefill backlog of this node's
// in-flight requests, by name of each server that it uses or recently used.
func (sc *Scheduler) Outstanding(now time.Time) map[string]router.Use {
	all := map[string]router.Use{}
	for _, tg := range sc.table.Targets() {
		if tg.Load.Used(now) {
			all[tg.Name] = tg.Load.Use(now)
		}
	}
	return all
}

// Submit accepts or refuses a request. The entry that it returns is granted or
// waits. A refusal has outcome not-run.
func (sc *Scheduler) Submit(now time.Time, tk *Ticket) (*Entry, *refuser.Refusal) {
	candidates := sc.candidates(tk)
	if rf := sc.checkTicket(now, tk); rf != nil {
		return nil, rf
	}
	en := sc.newEntry(now, tk)
	sc.addArrivedDemand(en)
	if sc.waitingRequests > 0 && sc.throttle.Active() {
		// What a server takes again goes to those that wait, the most urgent first.
		sc.grantWaitingAll(now)
	}
	if len(candidates) == 0 && tk.Software != "" {
		return nil, softwareRefusal(tk)
	}
	if len(candidates) > 0 {
		if rf := sc.refuseUnfinishable(now, en); rf != nil {
			sc.addRefusedDemand(en)
			return nil, rf
		}
	}
	if tg := sc.chooseTarget(now, en, candidates); tg != nil {
		cs := sc.classes[en.class]
		cs.charge(cs.account(tk.Caller.Name()), en.cost)
		sc.grant(now, en, tg)
		return en, nil
	}
	rf, awaits := sc.awaitServer(now, en, candidates)
	if rf == nil && !awaits {
		rf = sc.refuseUnreachable(now, en)
	}
	if rf != nil {
		// Requests without a ready replica count as demand. Otherwise a model
		// that lost all replicas would get fewer of them.
		sc.addRefusedDemand(en)
		return nil, rf
	}
	if rf := sc.makeRoom(now, en); rf != nil {
		sc.addRefusedDemand(en)
		return nil, rf
	}
	sc.enqueue(now, en)
	return en, nil
}

func (sc *Scheduler) checkTicket(now time.Time, tk *Ticket) *refuser.Refusal {
	if sc.settings == nil || removedRefusal(sc.settings, tk) != nil {
		return refuser.New(refuser.RevisionBehind, "the request was read under another revision than is in force").WithRetryAfter(defaultRetryAfter)
	}
	if !now.Before(tk.Deadline) {
		return refuser.New(refuser.DeadlinePassed, "the deadline passed before the request arrived")
	}
	if tk.Resumed || tk.Charged {
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
		arrivedAt:   now,
		onTimeUntil: now.Add(sc.slack(tk)),
		cost:        costOf(tk),
		class:       sc.classIndex(tk.Class.Name()),
	}
	if !tk.Since.IsZero() {
		// It keeps the place that it had when it was first submitted.
		en.arrivedAt, en.onTimeUntil = tk.Since, tk.Since.Add(sc.slack(tk))
	}
	if tk.Resumed {
		en.onTimeUntil = now.Add(time.Millisecond)
	} else if tk.PromptTokens > 0 && en.class >= 0 {
		en.onTimeUntil = en.onTimeUntil.Add(-sc.classes[en.class].budgets.elapsed(tk.Deadline.Sub(now)))
	}
	return en
}

// slack returns how long the request can wait and still be on time: its
// first-token target minus a margin and the engine's time to the first token.
// If the lengths of the prompt's prefixes are known, prefillSlack predicts that
// time.
func (sc *Scheduler) slack(tk *Ticket) time.Duration {
	target := tk.Class.FirstToken()
	if len(tk.PrefixTokens) > 0 {
		return sc.prefillSlack(tk)
	}
	wait := target - target/targetMarginDivisor - sc.statsFor(tk.Model.Name()).firstToken.value
	return max(wait, time.Millisecond)
}

// chooseTarget returns a target with room for the entry, or nil.
func (sc *Scheduler) chooseTarget(now time.Time, en *Entry, candidates []*router.Target) *router.Target {
	sc.choosing, sc.choosingAt = en, now
	sc.fillRequest(en.ticket, candidates)
	sc.request.Eligible = sc.eligible
	if sc.ejectedAlike(en.ticket, candidates) {
		sc.request.Weight = nil
		defer func() { sc.request.Weight = sc.weight }()
	}
	tg := sc.policy.Choose(&sc.request, candidates, now)
	sc.choosing = nil
	return tg
}

// fillRequest sets the scheduler's reused routing request to that of the
// ticket.
func (sc *Scheduler) fillRequest(tk *Ticket, candidates []*router.Target) {
	sc.request.Model = tk.Model.Name()
	sc.request.Zone = sc.zone
	sc.request.Region = sc.region
	sc.request.Prefixes = tk.Prefixes
	sc.request.PromptTokens, sc.request.PrefixTokens = tk.PromptTokens, tk.PrefixTokens
	sc.request.PrefillTime = sc.prefillTime
	sc.fillTransfer(tk, candidates)
	sc.request.CommonBlocks = sc.commonPrefixes.Held(tk.Prefixes, len(sc.table.Candidates(tk.Model.Name())))
	sc.request.Avoid = sc.avoidedServers(tk, candidates)
	sc.request.Adapter = ""
	if tk.Adapter != nil {
		sc.request.Adapter = tk.Adapter.Name()
	}
}

func (sc *Scheduler) weight(tg *router.Target) float64 {
	if sc.health == nil {
		return 1
	}
	return sc.health.Weight(tg.Name)
}

func (sc *Scheduler) enqueue(now time.Time, en *Entry) {
	en.ready = make(chan struct{})
	sc.noteContention(now, en)
	mq := sc.queue(en.ticket.Model.Name())
	en.ahead = mq.byClass[en.class].aheadOf(en.ticket.Caller.Name())
	mq.add(en, sc.classes[en.class], now)
	sc.waitingRequests++
	sc.waitingBytes += int64(en.ticket.Bytes)
	lm := sc.settings.Limits()
	within := sc.waitingRequests <= lm.QueueRequests() && sc.waitingBytes <= lm.QueueBytes()
	checker.Assert(QueueBounded, within, "%d requests of %d bytes wait", sc.waitingRequests, sc.waitingBytes)
}

func (sc *Scheduler) queue(model string) *modelQueue {
	mq, ok := sc.queues[model]
	if !ok {
		mq = &modelQueue{model: model, byClass: make([]*classQueue, len(sc.classes))}
		for ix := range mq.byClass {
			mq.byClass[ix] = &classQueue{}
		}
		sc.queues[model] = mq
	}
	return mq
}

// dequeue removes an entry from the queue.
func (sc *Scheduler) dequeue(now time.Time, en *Entry) {
	sc.queues[en.ticket.Model.Name()].remove(en, sc.classes[en.class], now)
	sc.waitingRequests--
	sc.waitingBytes -= int64(en.ticket.Bytes)
}

// grant grants the entry and counts it as sent to the target.
func (sc *Scheduler) grant(now time.Time, en *Entry, tg *router.Target) {
	sc.assertGrant(tg, sc.window(now, tg, en.ticket.Resumed))
	en.stage = stageGranted
	en.target = tg
	en.estimate = sc.estimateLoad(now, en, tg)
	sc.throttle.Sent(now, tg.Name)
	tg.Load.Dispatched(now)
	sc.addBacklog(now, en, tg)
	sc.server(tg.Name).add(now, en.class, 1)
	sc.credit(tg, en)
	sc.callers.add(now, en.ticket.Caller, en.cost)
	sc.inFlight++
	sc.statsFor(en.ticket.Model.Name()).demand.running++
	sc.choosePrefillServer(now, en)
	if en.ready == nil {
		en.ready = closedReady
		return
	}
	close(en.ready)
	sc.onDecision(en)
}

// assertGrant asserts the invariants of a grant. It builds the arguments only
// if an invariant is broken, because building them allocates.
func (*Scheduler) assertGrant(tg *router.Target, window int) {
	if tg.Load.Own() >= window {
		checker.Assert(WindowKept, false, "%s has %d requests in a window of %d", tg.Name, tg.Load.Own(), window)
	}
	if tg.Leaving {
		checker.Assert(checker.NoRequestsToLeaving, false, "%s is leaving and was granted work", tg.Name)
	}
}

// closedReady is the ready channel of entries that are granted without waiting.
var closedReady = func() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}()

// Finish releases a grant, records its result and grants waiting requests for
// which the target now has room.
func (sc *Scheduler) Finish(now time.Time, en *Entry, rs Result) {
	checker.Assert(GrantBalanced, en.stage == stageGranted, "the grant of %s was given back twice", en.ticket.ID)
	if en.stage != stageGranted {
		return
	}
	sc.releasePrefillServer(now, en)
	en.stage = stageEnded
	sc.inFlight--
	sc.statsFor(en.ticket.Model.Name()).demand.running--
	en.target.Load.Finished(now)
	en.target.Load.RecordResult(now, rs.Failed)
	sc.removeBacklog(en)
	sc.server(en.target.Name).add(now, en.class, -1)
	sc.recordResult(now, en, rs)
	if rs.Full && sc.brittle(now, en.target) {
		sc.throttle.Rejected(now, en.target.Name)
	}
	if rs.Refused {
		sc.Exclude(now, en.target.Name, en.ticket.Model.Name(), refusalExclusionTime)
	}
	if tg, ok := sc.table.Target(en.target.Name); ok {
		sc.grantWaiting(now, tg)
	}
}

// recordResult updates the measurements with the times of a request that did
// not fail.
func (sc *Scheduler) recordResult(now time.Time, en *Entry, rs Result) {
	if rs.Failed || rs.Duration <= 0 {
		return
	}
	ms := sc.statsFor(en.ticket.Model.Name())
	ms.duration.add(rs.Duration)
	if rs.FirstToken > 0 {
		sc.peers.Observe(now, en.target.Load, rs.FirstToken, en.backlog+sc.engines.PrefillTime(en.ticket.Model.Name(), en.uncachedTokens))
		sc.engines.Observe(en.ticket.Model.Name(), en.uncachedTokens, en.backlog, rs.FirstToken)
	}
	if rs.FirstToken > 0 {
		ms.tokenTime.add((rs.Duration - rs.FirstToken) / time.Duration(max(en.ticket.MaxTokens, 1)))
		ms.firstToken.add(rs.FirstToken)
	}
	if en.class < len(sc.classes) {
		sc.classes[en.class].holdTime.add(rs.Duration)
	}
}

// Withdraw refuses a waiting entry whose caller has cancelled it or whose
// deadline has passed. An entry that was granted in the meantime stays granted
// and must be released with Finish.
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

// refuseWaiting refuses a waiting entry.
func (sc *Scheduler) refuseWaiting(now time.Time, en *Entry, rf *refuser.Refusal) {
	sc.dequeue(now, en)
	en.stage = stageEnded
	en.refusal = rf
	close(en.ready)
	sc.onDecision(en)
}

// Tick refuses waiting requests that are past their deadline or too late, and
// grants those that have room now.
func (sc *Scheduler) Tick(now time.Time) {
	sc.callers.update(now)
	for _, cs := range sc.classes {
		for el := cs.arrivals.Front(); el != nil; {
			en := el.Value.(*Entry)
			el = el.Next()
			if !now.Before(en.ticket.Deadline) {
				sc.refuseWaiting(now, en, refuser.New(refuser.DeadlinePassed, "the deadline passed before the request could be sent"))
			} else if rf := sc.refuseLate(now, en); rf != nil {
				if notBack, awaits := sc.awaitServer(now, en, sc.candidates(en.ticket)); notBack != nil {
					rf = notBack
				} else if awaits {
					continue
				}
				sc.addRefusedDemand(en)
				sc.refuseWaiting(now, en, rf)
			}
		}
	}
	sc.grantWaitingAll(now)
}

// Update applies a new routing table and grants waiting requests that it has
// room for.
func (sc *Scheduler) Update(now time.Time, tb *router.Table) {
	sc.noteAbsences(now, tb)
	sc.table = tb
	sc.updateSplitModels()
	sc.refuseWithoutSoftware(now)
	sc.grantWaitingAll(now)
}

func (sc *Scheduler) grantWaitingAll(now time.Time) {
	if sc.waitingRequests == 0 {
		return
	}
	targets := sc.table.Targets()
	if len(targets) == 0 {
		return
	}
	start := sc.random.IntN(len(targets))
	for ix := range targets {
		sc.grantWaiting(now, targets[(start+ix)%len(targets)])
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

func (sc *Scheduler) statsFor(model string) *modelStats {
	ms, ok := sc.stats[model]
	if !ok {
		ms = &modelStats{}
		sc.stats[model] = ms
	}
	return ms
}

func sortClasses(all []*classState) {
	sort.SliceStable(all, func(ix, jx int) bool { return all[ix].rank < all[jx].rank })
}
