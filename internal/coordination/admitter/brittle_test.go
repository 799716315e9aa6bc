package admitter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/coordination/throttler"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// The simulated brittle servers.
const (
	brittleSlots = 6
	// brittleQueue is how many requests wait there at most before the servers become
	// brittle; then none does.
	brittleQueue = 6
	// brittleLimit is the number of requests that a brittle server turns away in a
	// second without falling over.
	brittleLimit = 3
	brittleWork  = 60 * time.Millisecond
	brittleDown  = 2 * time.Second
	brittleNodes = 4
	brittleStep  = 2 * time.Millisecond
)

// brittleServer is a server that falls over when it turns too many requests away.
type brittleServer struct {
	running, waiting []*brittleRun
	rejected         []time.Time
	downUntil        time.Time
}

// brittleRun is a request at a server.
type brittleRun struct {
	node  *Scheduler
	entry *Entry
	sent  time.Time
	ends  time.Time
}

// brittleSim is some nodes that share brittle servers.
type brittleSim struct {
	t       *testing.T
	st      *configurer.Settings
	now     time.Time
	nodes   []*Scheduler
	servers map[string]*brittleServer
	count   int // of nodes
	work    time.Duration
	brittle bool
	falls   int
	served  int
}

func newBrittleSim(t *testing.T, servers, nodes int) *brittleSim {
	text := "[caller.c]\nkey-sha256 = " + strings.Repeat("ab", 32) + "\nquota = 100000\nburst = 100000\n[class.c]\nrank = 0\nfirst-token = 300ms\ndeadline = 1h\n[pool.p]\n[model.m]\npool = p\nmemory = 1GiB\n"
	st, faults := configurer.Parse([]configurer.File{{Name: "1.ini", Text: text}})
	require.Empty(t, faults)
	bs := &brittleSim{t: t, st: st, now: time.Unix(1000, 0), servers: map[string]*brittleServer{}, count: nodes, work: brittleWork}
	for ix := range servers {
		bs.servers[fmt.Sprint("w", ix)] = &brittleServer{}
	}
	for ix := range nodes {
		bs.start(ix)
	}
	return bs
}

// start starts a node, or starts it again without memory.
func (bs *brittleSim) start(ix int) {
	random := rand.New(rand.NewPCG(uint64(ix), 61))
	ids := func(string) []string {
		var all []string
		for ix := range bs.count {
			all = append(all, fmt.Sprint("n", ix))
		}
		return all
	}
	sc := NewScheduler(random, WithPolicy(router.NewQuickest(random)), WithLocation(fmt.Sprint("n", ix), "z", ""), WithMembers(ids),
		WithLiveNodes(func() int { return bs.count }), WithSignals(),
		WithOnDecision(func(en *Entry) {
			if en.Granted() {
				bs.arrive(ix, en)
			}
		}))
	sc.ApplySettings(bs.now, bs.st)
	var targets []*router.Target
	for name := range len(bs.servers) {
		targets = append(targets, &router.Target{Name: fmt.Sprint("w", name), Pool: "p", Slots: brittleSlots, Models: []string{"m"}, Load: &router.Load{}})
	}
	sc.Update(bs.now, router.NewTable(targets, bs.count))
	if ix < len(bs.nodes) {
		bs.nodes[ix] = sc
		return
	}
	bs.nodes = append(bs.nodes, sc)
}

// signals is what a server says in its answers.
func (bs *brittleSim) signals() throttler.Signals {
	if bs.brittle {
		return throttler.Signals{Brittle: brittleLimit}
	}
	return throttler.Signals{}
}

// arrive has a granted request reach its server.
func (bs *brittleSim) arrive(node int, en *Entry) {
	name := en.Target().Name
	sv := bs.servers[name]
	queue := brittleQueue
	if bs.brittle {
		queue = 0
	}
	rn := &brittleRun{node: bs.nodes[node], entry: en, sent: bs.now, ends: bs.now.Add(bs.work)}
	switch {
	case bs.now.Before(sv.downUntil):
		bs.nodes[node].Finish(bs.now, en, Result{Failed: true})
	case len(sv.running) < brittleSlots:
		sv.running = append(sv.running, rn)
	case len(sv.waiting) < queue:
		sv.waiting = append(sv.waiting, rn)
	default:
		bs.nodes[node].Observe(bs.now, name, bs.now, bs.signals())
		bs.reject(name, sv)
		bs.nodes[node].Finish(bs.now, en, Result{Refused: true, Full: true})
	}
}

// reject counts a request that was turned away. Too many end the server.
func (bs *brittleSim) reject(name string, sv *brittleServer) {
	var recent []time.Time
	for _, at := range append(sv.rejected, bs.now) {
		if bs.now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	sv.rejected = recent
	if !bs.brittle || len(recent) <= brittleLimit {
		return
	}
	bs.falls++
	lost := append(sv.running, sv.waiting...)
	*sv = brittleServer{downUntil: bs.now.Add(brittleDown)}
	for _, sc := range bs.nodes {
		sc.throttle.Forget(name)
	}
	for _, rn := range lost {
		bs.end(rn, Result{Failed: true})
	}
}

// end gives back the grant of a run, unless its node was started again.
func (bs *brittleSim) end(rn *brittleRun, rs Result) {
	if slices.Contains(bs.nodes, rn.node) {
		rn.node.Finish(bs.now, rn.entry, rs)
	}
}

// submit has a request arrive at the node, and reports whether it was taken.
func (bs *brittleSim) submit(node int) bool {
	tk := &Ticket{ID: fmt.Sprint(bs.now), MaxTokens: 1, Deadline: bs.now.Add(1500 * time.Millisecond)}
	tk.Caller, _ = bs.st.Caller("c")
	tk.Class, _ = bs.st.Class("c")
	tk.Model, _ = bs.st.Model("m")
	en, rf := bs.nodes[node].Submit(bs.now, tk)
	if rf == nil && en.Granted() {
		bs.arrive(node, en)
	}
	return rf == nil
}

// step advances the time: requests end, and now and then nodes hear of the load of the
// others.
func (bs *brittleSim) step() {
	bs.now = bs.now.Add(brittleStep)
	for name, sv := range bs.servers {
		var running []*brittleRun
		var ended []*brittleRun
		for _, rn := range sv.running {
			if rn.ends.After(bs.now) {
				running = append(running, rn)
			} else {
				ended = append(ended, rn)
			}
		}
		sv.running = running
		for len(sv.running) < brittleSlots && len(sv.waiting) > 0 {
			rn := sv.waiting[0]
			sv.waiting = sv.waiting[1:]
			rn.ends = bs.now.Add(bs.work)
			sv.running = append(sv.running, rn)
		}
		for _, rn := range ended {
			bs.served++
			rn.node.Observe(bs.now, name, rn.sent, bs.signals())
			bs.end(rn, Result{Duration: bs.work})
		}
	}
	if bs.now.UnixMilli()%100 == 0 {
		bs.exchange()
	}
}

// exchange tells each node the load of the others.
func (bs *brittleSim) exchange() {
	for ix, sc := range bs.nodes {
		for _, tg := range sc.table.Targets() {
			others := 0
			for jx, other := range bs.nodes {
				if far, ok := other.table.Target(tg.Name); ok && jx != ix {
					others += far.Load.Own()
				}
			}
			tg.Load.Digest(others, bs.count, bs.now)
		}
		sc.Tick(bs.now)
	}
}

// Servers that fall over when they turn requests away were sent more than they have
// room for by several nodes at once, also when they came back, or by a node that had
// just started.
func TestBrittleServersAreNotPushedOver(t *testing.T) {
	for seed := range uint64(10) {
		bs := newBrittleSim(t, 3, brittleNodes)
		random := rand.New(rand.NewPCG(seed, 67))
		for elapsed := time.Duration(0); elapsed < 30*time.Second; elapsed += brittleStep {
			bs.brittle = elapsed > 2*time.Second
			if elapsed%(7*time.Second) == 0 && elapsed > 5*time.Second {
				bs.start(random.IntN(brittleNodes))
			}
			offered := 0
			if random.Float64() < 150*brittleStep.Seconds() {
				offered = 1
			}
			if elapsed%(3*time.Second) < 50*time.Millisecond {
				offered += 2
			}
			for range offered {
				node := random.IntN(brittleNodes)
				bs.submit(node)
			}
			bs.step()
		}
		require.LessOrEqual(t, bs.falls, 2, "seed %d: servers that fell over", seed)
		require.Greater(t, bs.served, 4000, "seed %d: served of about 5,000", seed)
	}
}

// brittleServedShare is the share of the requests that nodes which outnumber the slots of
// brittle servers have to serve at a third of what the servers can do.
const brittleServedShare = 0.95

// checkManyNodes has 24 nodes share two brittle servers, and checks falls and what is served.
func checkManyNodes(t *testing.T, work time.Duration, perSecond float64) {
	for seed := range uint64(5) {
		bs := newBrittleSim(t, 2, 24)
		bs.work = work
		random := rand.New(rand.NewPCG(seed, 71))
		offered, before := 0, 0
		for elapsed := time.Duration(0); elapsed < 22*time.Second; elapsed += brittleStep {
			bs.brittle = elapsed > time.Second
			if elapsed == 2*time.Second {
				before = bs.served
			}
			if elapsed < 20*time.Second && random.Float64() < perSecond*brittleStep.Seconds() {
				bs.submit(random.IntN(bs.count))
				if elapsed > 2*time.Second {
					offered++
				}
			}
			bs.step()
		}
		t.Logf("seed %d: served %d of %d, falls %d", seed, bs.served-before, offered, bs.falls)
		require.LessOrEqual(t, bs.falls, 2, "seed %d: servers that fell over", seed)
		require.Greater(t, float64(bs.served-before), brittleServedShare*float64(offered), "seed %d: served of %d", seed, offered)
	}
}

// Nodes that were more than the slots of brittle servers refused requests for waits of
// minutes at servers that were nearly idle: their share was nothing most of the time.
func TestManyNodesShareFewSlotsOfBrittleServers(t *testing.T) {
	checkManyNodes(t, 25*time.Millisecond, 100)
}

// The same with requests so long that a node sends one in a turn: those that came while it
// had none were refused.
func TestManyNodesServeLongRequestsAtBrittleServers(t *testing.T) {
	checkManyNodes(t, 150*time.Millisecond, 20)
}

// A node that had just started waited for its share of idle servers, which was less than
// one request as soon as the nodes were more than the slots; one that had heard nothing
// since the sign took the servers for sound.
func TestNodeThatHasHeardNothingSendsOneRequestAtOnce(t *testing.T) {
	const nodes = 40
	bs := newBrittleSim(t, 1, 1)
	for name, brittle := range map[string]bool{"sound": false, "brittle": true} {
		t.Run(name, func(t *testing.T) {
			for ix := range nodes {
				random := rand.New(rand.NewPCG(uint64(ix), 61))
				sc := NewScheduler(random, WithLocation(fmt.Sprint("n", ix), "z", ""), WithLiveNodes(func() int { return nodes }), WithSignals())
				sc.ApplySettings(bs.now, bs.st)
				sc.Update(bs.now, router.NewTable([]*router.Target{{Name: "w0", Pool: "p", Slots: brittleSlots, Models: []string{"m"}, Load: &router.Load{}}}, nodes))
				granted := func() int {
					count := 0
					for range 2 {
						tk := &Ticket{ID: "r", MaxTokens: 1, Deadline: bs.now.Add(1500 * time.Millisecond)}
						tk.Caller, _ = bs.st.Caller("c")
						tk.Class, _ = bs.st.Class("c")
						tk.Model, _ = bs.st.Model("m")
						en, rf := sc.Submit(bs.now, tk)
						require.Nil(t, rf)
						if en.Granted() {
							count++
						}
					}
					return count
				}
				require.Equal(t, 1, granted(), "node %d has heard nothing", ix)
				bs.brittle = brittle
				sc.Observe(bs.now, "w0", bs.now, bs.signals())
				if !brittle {
					require.Equal(t, 2, granted(), "node %d has heard that they are sound", ix)
					continue
				}
				long := bs.now.Add(time.Minute)
				require.Equal(t, 1, sc.window(long, sc.table.Targets()[0], false), "node %d has heard nothing for long", ix)
			}
		})
	}
}
