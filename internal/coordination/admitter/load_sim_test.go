package admitter

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	simExchangeInterval = 100 * time.Millisecond
	simRefreshInterval  = 50 * time.Millisecond
	simHop              = time.Millisecond
	simAttempts         = 3 // servers that one request may reach
	simCallers          = 8
	simWarm             = 5 * time.Second // arrivals before this are not counted
)

// loadKind is a kind of requests.
type loadKind struct {
	name                   string
	rank                   int
	target, deadline, gap  time.Duration
	onTime, late           float64 // values of an answer
	perSecond              float64 // for each server at load 1
	prompt, shared, answer int     // mean tokens
	burst                  float64 // factor during the burst
}

// loadKinds are those of a deployment with uneven load and deferrable requests.
func loadKinds() []loadKind {
	return []loadKind{
		{"reading", 0, 600 * time.Millisecond, 5 * time.Second, 400 * time.Millisecond, 2.3, 0.69, 6, 5000, 3000, 120, 1},
		{"reply", 1, 500 * time.Millisecond, 15 * time.Second, 400 * time.Millisecond, 0.96, 0.29, 7, 2500, 1000, 250, 1},
		{"audit", 2, 5 * time.Second, 15 * time.Second, 400 * time.Millisecond, 1.2, 0.35, 0.9, 11000, 3000, 300, 1},
	}
}

// loadSetup is one scenario.
type loadSetup struct {
	kinds                      []loadKind
	nodes, servers, models     int
	load                       float64
	burstFrom, burstTo, length time.Duration
	hotCaller                  float64       // factor of caller c0 during the burst
	lost                       int           // servers that crash after 10 s
	retryAtOnce                bool          // refused callers don't wait
	patience                   time.Duration // after which callers leave unless the answer has begun; 0 for never
	slow                       map[int]float64
	slots, cache               int
	seed                       uint64
}

func baseSetup(change func(*loadSetup)) loadSetup {
	su := loadSetup{
		kinds: loadKinds(), nodes: 8, servers: 12, models: 26, load: 1, length: 30 * time.Second,
		hotCaller: 1, slots: 64, cache: 196_498, seed: 1,
	}
	change(&su)
	return su
}

type loadRequest struct {
	*loadKind
	model                  *configurer.Model
	caller                 *configurer.Caller
	pace                   float64
	prompt, shared, answer int
	prefix, own            uint64
	arrived                time.Time
	attempts, servers      int
	avoid                  []string
	first, gap             time.Duration
	done, ran, left        bool
}

// loadTally sums up what callers got.
type loadTally struct {
	sent, onTime, lateFirst, lateGap, refused, cut, left int
	value, full                                          float64
}

func (lt *loadTally) share() float64 { return lt.value / max(lt.full, 1e-9) }

func (lt *loadTally) add(other *loadTally) {
	lt.sent += other.sent
	lt.onTime += other.onTime
	lt.lateFirst += other.lateFirst
	lt.lateGap += other.lateGap
	lt.refused += other.refused
	lt.cut += other.cut
	lt.left += other.left
	lt.value += other.value
	lt.full += other.full
}

func (lt *loadTally) String() string {
	return fmt.Sprintf("value %.3f of %d: %d on time, %d late by first token, %d by a gap, %d refused, %d cut off, %d left",
		lt.share(), lt.sent, lt.onTime, lt.lateFirst, lt.lateGap, lt.refused, lt.cut, lt.left)
}

type loadNode struct {
	sc        *Scheduler
	targets   []*router.Target
	onSettled map[*Entry]func(*Entry)
	told      map[string]router.Use // what the node last told the others
	toldAt    time.Time
}

// loadSim simulates the schedulers of several nodes and the servers that they
// share.
type loadSim struct {
	loadSetup
	st             *configurer.Settings
	now            time.Time
	events         simHeap
	seq            int
	random         *rand.Rand
	engines        []*batchServer
	entryNodes     []*loadNode
	weights, paces []float64             // by model
	tallies        map[string]*loadTally // by kind, caller and "all"
	seconds        []loadTally           // by second of arrival
}

func newLoadSim(t testing.TB, su loadSetup) *loadSim {
	var text strings.Builder
	for ix := range simCallers {
		fmt.Fprintf(&text, "[caller.c%d]\nkey-sha256 = %064x\nquota = 1000000\nburst = 1000000\n", ix, ix)
	}
	for _, ki := range su.kinds {
		fmt.Fprintf(&text, "[class.%s]\nrank = %d\nfirst-token = %s\ndeadline = 1h\n", ki.name, ki.rank, ki.target)
		fmt.Fprintf(&text, "[route.%[1]s]\nhost = %[1]s\nprefix = /\npools = p\nclass = %[1]s\nstreams = yes\npause-target = %s\n", ki.name, ki.gap)
	}
	text.WriteString("[engine-kind.k]\n[pool.p]\nkind = k\nmemory = 230GiB\n")
	for ix := range su.models {
		fmt.Fprintf(&text, "[model.m%02d]\npool = p\nmemory = 70GiB\n", ix)
	}
	st, faults := configurer.Parse([]configurer.File{{Name: "1.ini", Text: text.String()}})
	require.Empty(t, faults)
	sm := &loadSim{
		loadSetup: su, st: st, now: simStart, random: rand.New(rand.NewPCG(su.seed, 7)),
		tallies: map[string]*loadTally{}, seconds: make([]loadTally, int(su.length/time.Second)+1),
	}
	placed := sm.place()
	for ix := range su.servers {
		sm.engines = append(sm.engines, &batchServer{sm: sm, slots: su.slots, cache: su.cache, slowdown: max(su.slow[ix], 1), held: map[uint64]int{}})
	}
	for ix := range su.nodes {
		sm.entryNodes = append(sm.entryNodes, sm.newNode(ix, placed))
	}
	return sm
}

// place gives each model a replica and those with the most work more, on the
// servers with the least work.
func (sm *loadSim) place() [][]string {
	placed := make([][]string, sm.servers)
	work, need, count := make([]float64, sm.servers), []float64{}, make([]float64, sm.models)
	for ix := range sm.models {
		sm.weights = append(sm.weights, 1/math.Pow(float64(ix+2), 0.9))
		sm.paces = append(sm.paces, []float64{1, 0.5, 1, 0.25, 1, 0.13}[ix%6])
		need = append(need, sm.weights[ix]*(0.2+sm.paces[ix]))
	}
	for turn := range sm.servers * 3 {
		next := turn
		for ix := range sm.models {
			if turn >= sm.models && (next == turn || need[ix]/count[ix] > need[next]/count[next]) {
				next = ix
			}
		}
		best, name := -1, fmt.Sprintf("m%02d", next)
		for ix := range placed {
			if len(placed[ix]) < 3 && !slices.Contains(placed[ix], name) && (best < 0 || work[ix] < work[best]) {
				best = ix
			}
		}
		if best < 0 {
			break
		}
		count[next]++
		work[best] += need[next] / count[next]
		placed[best] = append(placed[best], name)
	}
	return placed
}

func (sm *loadSim) newNode(ix int, placed [][]string) *loadNode {
	nd := &loadNode{onSettled: map[*Entry]func(*Entry){}}
	random := rand.New(rand.NewPCG(sm.seed, uint64(ix)))
	nd.sc = NewScheduler(random, WithPolicy(router.NewQuickest(random)), WithLiveNodes(func() int { return sm.nodes }),
		WithLocation(fmt.Sprintf("n%d", ix), "", ""),
		WithOnDecision(func(en *Entry) {
			if settle, ok := nd.onSettled[en]; ok {
				delete(nd.onSettled, en)
				settle(en)
			}
		}))
	for sx := range sm.engines {
		nd.targets = append(nd.targets, &router.Target{
			Name: fmt.Sprintf("w%02d", sx), Pool: "p", Slots: sm.slots, CacheTokens: sm.cache, Models: placed[sx],
			Adapters: map[string]bool{}, Load: &router.Load{}, Prefixes: router.NewPrefixMemory(),
		})
	}
	nd.sc.ApplySettings(sm.now, sm.st)
	sm.update(nd)
	return nd
}

// update gives the node a table of the servers that run.
func (sm *loadSim) update(nd *loadNode) {
	var up []*router.Target
	for ix, tg := range nd.targets {
		if !sm.engines[ix].down {
			up = append(up, tg)
		}
	}
	nd.sc.Update(sm.now, router.NewTable(up, sm.nodes))
}

func (sm *loadSim) at(when time.Time, run func()) {
	if when.Before(sm.now) {
		when = sm.now
	}
	sm.seq++
	heap.Push(&sm.events, simEvent{at: when, seq: sm.seq, run: run})
}

func (sm *loadSim) after(dn time.Duration, run func()) { sm.at(sm.now.Add(dn), run) }

// exchange tells the others the node's use, and applies what they told last.
func (sm *loadSim) exchange(nd *loadNode) {
	nd.told, nd.toldAt = nd.sc.Outstanding(sm.now), sm.now
	for _, tg := range nd.targets {
		var sum router.Use
		users, oldest, slow, told := 1, sm.now, 0.0, 0.0
		for _, other := range sm.entryNodes {
			us, ok := other.told[tg.Name]
			if other == nd || !ok {
				continue
			}
			users++
			sum = sum.Add(us)
			if us.Slowness > 0 {
				slow, told = slow+us.Slowness, told+1
			}
			if other.toldAt.Before(oldest) {
				oldest = other.toldAt
			}
		}
		sum.Slowness = slow / max(told, 1)
		tg.Load.Digest(sum.Requests, users, oldest)
		tg.Load.SetOthersUse(sum)
	}
	sm.update(nd)
}

func (sm *loadSim) every(dn, offset time.Duration, run func()) {
	for at := offset; at < sm.length+20*time.Second; at += dn {
		sm.at(simStart.Add(at), run)
	}
}

func (sm *loadSim) run() *loadSim {
	for ix, nd := range sm.entryNodes {
		part := time.Duration(ix+1) * time.Second / time.Duration(sm.nodes+1)
		sm.every(simExchangeInterval, part/10, func() { sm.exchange(nd) })
		sm.every(simRefreshInterval, part/20, func() { nd.sc.Tick(sm.now) })
	}
	for kx := range sm.kinds {
		for caller := range simCallers {
			sm.arrivals(&sm.kinds[kx], caller)
		}
	}
	for _, eg := range sm.engines[:sm.lost] {
		sm.at(simStart.Add(10*time.Second), eg.crash)
	}
	for sm.events.Len() > 0 {
		ev := heap.Pop(&sm.events).(simEvent)
		sm.now = ev.at
		ev.run()
	}
	return sm
}

// arrivals schedules the requests of one kind and caller as a Poisson process.
func (sm *loadSim) arrivals(ki *loadKind, caller int) {
	rate := ki.perSecond * float64(sm.servers) * sm.load / simCallers
	for at := time.Duration(0); ; {
		factor := 1.0
		if at >= sm.burstFrom && at < sm.burstTo {
			factor = ki.burst
			if caller == 0 {
				factor *= sm.hotCaller
			}
		}
		at += time.Duration(-math.Log(1-sm.random.Float64()) / (rate * factor) * float64(time.Second))
		if at >= sm.length {
			return
		}
		sm.at(simStart.Add(at), func() { sm.arrive(ki, caller) })
	}
}

func (sm *loadSim) arrive(ki *loadKind, caller int) {
	mark, ix := 0.0, 0
	for _, weight := range sm.weights {
		mark += weight
	}
	for mark *= sm.random.Float64(); ix < len(sm.weights)-1 && mark >= sm.weights[ix]; ix++ {
		mark -= sm.weights[ix]
	}
	length := func(mean int) int { return max(1, int(float64(mean)*(0.4+1.2*sm.random.Float64()))) }
	rq := &loadRequest{loadKind: ki, pace: sm.paces[ix], arrived: sm.now, shared: ki.shared, answer: length(ki.answer)}
	if ki.prompt > 0 {
		rq.prompt = ki.shared + length(ki.prompt-ki.shared)
	}
	rq.prefix = uint64(ix)<<8 + uint64(ki.rank)<<4 + uint64(sm.random.IntN(3)) + 1
	rq.own = sm.random.Uint64()
	rq.model, _ = sm.st.Model(fmt.Sprintf("m%02d", ix))
	rq.caller, _ = sm.st.Caller(fmt.Sprintf("c%d", caller))
	sm.try(rq)
}

// try submits the request to a random node.
func (sm *loadSim) try(rq *loadRequest) {
	rq.attempts++
	rq.servers, rq.avoid = 0, nil
	sm.submit(sm.entryNodes[sm.random.IntN(sm.nodes)], rq)
}

func (sm *loadSim) submit(nd *loadNode, rq *loadRequest) {
	class, _ := sm.st.Class(rq.name)
	tk := &Ticket{
		ID: "r", Caller: rq.caller, Class: class, Model: rq.model, PromptTokens: rq.prompt, MaxTokens: rq.answer,
		Prefixes: []uint64{rq.prefix, rq.own}, PrefixTokens: []int{rq.shared, rq.prompt},
		Deadline: rq.arrived.Add(rq.deadline), Avoid: rq.avoid, Repeated: rq.servers > 0,
	}
	if sm.patience > 0 {
		tk.StartBy = sm.now.Add(sm.patience)
	}
	en, rf := nd.sc.Submit(sm.now, tk)
	switch {
	case rf != nil:
		sm.refused(rq, rf.RetryAfter())
		return
	case en.Granted():
		sm.send(nd, rq, en)
		return
	}
	nd.onSettled[en] = func(en *Entry) {
		if rf := en.Refusal(); rf != nil {
			sm.refused(rq, rf.RetryAfter())
			return
		}
		sm.send(nd, rq, en)
	}
	sm.at(tk.LatestStart(), func() {
		if _, ok := nd.onSettled[en]; ok {
			delete(nd.onSettled, en)
			nd.sc.Withdraw(sm.now, en)
			rq.left = true
			sm.finish(rq)
		}
	})
}

// refused lets the caller return once, after a third of the time left at most.
func (sm *loadSim) refused(rq *loadRequest, after time.Duration) {
	if sm.retryAtOnce {
		after = 5 * time.Millisecond
	}
	if left := rq.arrived.Add(rq.deadline).Sub(sm.now); rq.attempts >= 2 || left <= 0 || after > left/3 {
		sm.finish(rq)
		return
	}
	sm.after(after, func() { sm.try(rq) })
}

func (sm *loadSim) send(nd *loadNode, rq *loadRequest, en *Entry) {
	sent, first, ended := sm.now, time.Duration(0), false
	name := en.Target().Name
	sv := sm.engines[slices.IndexFunc(nd.targets, func(tg *router.Target) bool { return tg.Name == name })]
	rn := &batchRun{loadRequest: rq, priority: en.Priority()}
	rq.servers++
	end := func(rs Result) {
		ended = true
		sm.after(simHop, func() { nd.sc.Finish(sm.now, en, rs) })
		switch {
		case !rs.Failed && !rs.Refused:
			rq.done = true
			sm.finish(rq)
		case rq.ran || rq.servers >= simAttempts:
			sm.finish(rq)
		default:
			rq.avoid = append(rq.avoid, name)
			sm.after(simHop, func() { sm.submit(nd, rq) })
		}
	}
	rn.onFirst = func() {
		first, rq.first = sm.now.Sub(sent), sm.now.Sub(rq.arrived)
		sm.after(simHop, func() { nd.sc.FirstTokenReceived(sm.now, en) })
	}
	rn.onEnd = func(failed bool) {
		end(Result{Failed: failed, FirstToken: first, Duration: sm.now.Sub(sent), Tokens: rn.tokens})
	}
	sm.after(simHop, func() {
		if !ended && !sv.submit(rn) {
			end(Result{Refused: true, Full: true})
		}
	})
	sm.at(rq.arrived.Add(rq.deadline), func() {
		if !ended {
			rn.gone, rq.ran = true, true
			sv.remove(rn)
			end(Result{Failed: true})
		}
	})
}

func (sm *loadSim) finish(rq *loadRequest) {
	lt := &loadTally{sent: 1, full: rq.onTime}
	switch {
	case rq.left:
		lt.left = 1
	case !rq.done && rq.ran:
		lt.cut = 1
	case !rq.done:
		lt.refused = 1
	case rq.first > rq.target:
		lt.lateFirst, lt.value = 1, rq.late
	case rq.gap > rq.loadKind.gap:
		lt.lateGap, lt.value = 1, rq.late
	default:
		lt.onTime, lt.value = 1, rq.onTime
	}
	since := rq.arrived.Sub(simStart)
	sm.seconds[int(since/time.Second)].add(lt)
	for _, name := range []string{rq.name, rq.caller.Name(), "all"} {
		if since >= simWarm {
			if sm.tallies[name] == nil {
				sm.tallies[name] = &loadTally{}
			}
			sm.tallies[name].add(lt)
		}
	}
}

// imbalance returns the greatest over the mean busy time of the servers.
func (sm *loadSim) imbalance() float64 {
	most, total := time.Duration(0), time.Duration(0)
	for _, sv := range sm.engines {
		most = max(most, sv.busy)
		total += sv.busy
	}
	return float64(most) / float64(total) * float64(len(sm.engines))
}
