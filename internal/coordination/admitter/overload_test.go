package admitter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGoodputDoesNotFallUnderOverload loads a pool with half to four times what
// its servers can process, from a few nodes and from many that know of each
// other's use with a delay. It guards against servers that are sent more than
// they finish, and against serving requests that are late already, by which the
// answers in time become fewer the more are asked for.
func TestGoodputDoesNotFallUnderOverload(t *testing.T) {
	t.Parallel()
	counts, loads := []int{8, 40}, []float64{0.5, 1, 2, 4}
	tallies := make([]*loadTally, len(counts)*len(loads))
	t.Run("play", func(t *testing.T) {
		for ix := range tallies {
			nodes, load := counts[ix/len(loads)], loads[ix%len(loads)]
			t.Run(fmt.Sprintf("%d nodes, load %.1f", nodes, load), func(t *testing.T) {
				t.Parallel()
				sm := newLoadSim(t, baseSetup(func(su *loadSetup) { su.load, su.nodes = load, nodes })).run()
				tallies[ix] = sm.tallies["all"]
			})
		}
	})
	for nodeIx, nodes := range counts {
		best := 0.0
		for loadIx, load := range loads {
			all := tallies[nodeIx*len(loads)+loadIx]
			goodput := load * all.share()
			t.Logf("%d nodes, load %.1f: goodput %.3f, %v", nodes, load, goodput, all)
			if load == 0.5 {
				require.Greater(t, all.share(), 0.96, "a quiet load is served")
			}
			require.Greater(t, goodput, 0.75*best, "%d nodes, load %.1f", nodes, load)
			best = max(best, goodput)
		}
	}
}

// TestRefusalsSpreadReturnsWithinTimeLeft checks when the callers of refused
// requests are told to return. It guards against callers that are refused
// together and return in the same instant, and against waits that callers don't
// honour since they are longer than a third of the time that they have left.
func TestRefusalsSpreadReturnsWithinTimeLeft(t *testing.T) {
	now, sc, tk := backlogged(t)
	tk.Deadline = now.Add(6 * time.Second)
	en := sc.newEntry(now, tk)
	least, most := time.Hour, time.Duration(0)
	for _, age := range []time.Duration{0, time.Second, time.Minute} {
		for range 100 {
			after := sc.returnAfter(now, en, now.Add(-age))
			require.LessOrEqual(t, after, 2*time.Second)
			require.GreaterOrEqual(t, after, min(max(age, refusalExclusionTime), 2*time.Second)/2)
			least, most = min(least, after), max(most, after)
		}
	}
	require.Less(t, least, 300*time.Millisecond)
	require.Greater(t, most, 1900*time.Millisecond, "a long overload is expected to last")
}

// surgeSetup sets up one model on three servers whose callers leave after two seconds.
// Without another burst, demand is 0.7 of what the servers finish.
func surgeSetup(su *loadSetup) {
	su.kinds = []loadKind{{"chat", 0, 300 * time.Millisecond, 12 * time.Second, 150 * time.Millisecond, 1, 0.5, 15, 715, 172, 282, 1}}
	su.nodes, su.servers, su.models, su.slots, su.cache = 4, 3, 1, 24, 82_737
	su.load, su.length, su.patience = 0.7, 24*time.Second, 2*time.Second
	su.burstFrom, su.burstTo = 8*time.Second, 11*time.Second
}

// TestCallersOfASharpSurgeAreServed guards against callers that are refused for good although
// the surge is over while they still wait: demand is 1.26 of what the servers finish, for
// three seconds.
func TestCallersOfASharpSurgeAreServed(t *testing.T) {
	sm := newLoadSim(t, baseSetup(func(su *loadSetup) {
		surgeSetup(su)
		su.kinds[0].burst = 1.8
	})).run()
	all := sm.tallies["all"]
	require.LessOrEqual(t, 100*all.refused, all.sent, "of all requests 1 in 100 may be refused for good")
	require.Zero(t, all.left)
}

// TestOverloadedPoolServesCallers runs scenarios of overload and checks what
// callers get. Each names the failure that it guards against.
func TestOverloadedPoolServesCallers(t *testing.T) {
	t.Parallel()
	plain := loadKind{name: "call", target: 150 * time.Millisecond, deadline: time.Second, gap: time.Hour, onTime: 1, late: 0.1, perSecond: 40, answer: 20, burst: 1}
	hot := func(su *loadSetup) { su.nodes, su.hotCaller, su.burstTo = 4, 8, su.length }
	othersServed := func(t *testing.T, sm *loadSim) {
		var others loadTally
		for ix := 1; ix < simCallers; ix++ {
			others.add(sm.tallies[fmt.Sprint("c", ix)])
		}
		require.Greater(t, others.share(), 0.8)
		require.Greater(t, sm.tallies["c0"].value, others.value/7, "it gets at least as much as another one")
	}
	for _, tt := range []struct {
		name   string
		change func(*loadSetup)
		least  map[string]float64 // values served
		check  func(*testing.T, *loadSim)
	}{
		{"a backlog of late requests keeps new ones from being in time after a burst", func(su *loadSetup) {
			su.load, su.length, su.burstFrom, su.burstTo = 0.5, 20*time.Second, 8*time.Second, 12*time.Second
			for ix := range su.kinds {
				su.kinds[ix].burst = 3
			}
		}, map[string]float64{"reading": 0.85}, func(t *testing.T, sm *loadSim) {
			for second := 15; second < 20; second++ {
				require.Greater(t, sm.seconds[second].share(), 0.8, "second %d: %v", second, &sm.seconds[second])
			}
		}},
		{"deferrable requests at four times their demand delay urgent ones", func(su *loadSetup) {
			su.load, su.burstTo = 0.5, su.length
			su.kinds[2].burst = 4
		}, map[string]float64{"reading": 0.8}, nil},
		{"refused callers that return at once crowd out others", func(su *loadSetup) { su.load, su.retryAtOnce = 2, true }, map[string]float64{"reading": 0.6}, nil},
		{"a lost quarter of the servers takes the others along", func(su *loadSetup) { su.load, su.lost = 0.6, 3 }, map[string]float64{"reading": 0.7}, nil},
		{"many nodes choose the same server", func(su *loadSetup) { su.load, su.nodes = 0.6, 40 }, map[string]float64{"all": 0.9}, func(t *testing.T, sm *loadSim) {
			require.Less(t, sm.imbalance(), 1.5)
		}},
		{"servers at a third of their speed get as many requests as others", func(su *loadSetup) { su.load, su.slow = 0.4, map[int]float64{0: 3} }, map[string]float64{"all": 0.9}, func(t *testing.T, sm *loadSim) {
			arrivals := 0
			for _, sv := range sm.engines {
				arrivals += sv.arrivals
			}
			require.Less(t, sm.engines[0].arrivals, arrivals/len(sm.engines)/2)
			ld := sm.entryNodes[0].targets[0].Load
			require.Greater(t, ld.Slowdown(), 1.4)
			ld.ForgetSlowness()
			require.InDelta(t, 1, ld.Slowdown(), 0, "a new process inherits nothing")
		}},
		{"callers of a short surge beyond a model's servers are refused twice, or leave while they wait", func(su *loadSetup) {
			surgeSetup(su)
			su.kinds[0].burst = 1.6
		}, map[string]float64{"chat": 0.85}, func(t *testing.T, sm *loadSim) {
			all := sm.tallies["all"]
			require.LessOrEqual(t, 100*all.refused, all.sent, "1 in 100")
			require.Zero(t, all.left)
		}},
		{"late requests take each slot that becomes free, so that new ones are late as well", func(su *loadSetup) {
			surgeSetup(su)
			su.load, su.kinds[0].burst, su.burstTo = 0.9, 1.2, 18*time.Second
		}, map[string]float64{"chat": 0.75}, nil},
		{"a hot caller crowds out others on model servers", func(su *loadSetup) { hot(su); su.load = 0.8 }, nil, othersServed},
		{"a hot caller crowds out others on plain servers", func(su *loadSetup) {
			hot(su)
			su.kinds, su.servers, su.models, su.slots, su.cache = []loadKind{plain}, 4, 1, 6, 0
		}, nil, othersServed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			sm := newLoadSim(t, baseSetup(tt.change)).run()
			for name, least := range tt.least {
				require.Greater(t, sm.tallies[name].share(), least, fmt.Sprint(name, ": ", sm.tallies[name]))
			}
			t.Log(sm.tallies["all"])
			if tt.check != nil {
				tt.check(t, sm)
			}
		})
	}
}
