package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
)

var start = time.Unix(1000, 0)

func targets(count, slots int) []*router.Target {
	var all []*router.Target
	for ix := range count {
		all = append(all, &router.Target{
			Name: fmt.Sprintf("w%d", ix), Zone: "zone-a", Slots: slots, Models: []string{"m"},
			Load: &router.Load{}, Prefixes: router.NewPrefixMemory(),
		})
	}
	return all
}

// peakPressure lets nodes dispatch by one report that is never renewed. It
// returns the highest pressure divided by the mean.
func peakPressure(policy func(*rand.Rand, func() int) router.Policy, nodes, servers, each int) float64 {
	sent := make([]int, servers)
	reported := make([]int, servers)
	for ix := range reported {
		reported[ix] = 4 * (ix % 3)
	}
	for node := range nodes {
		random := rand.New(rand.NewPCG(uint64(node), 7))
		pl := policy(random, func() int { return nodes })
		all := targets(servers, 16)
		for ix, tg := range all {
			tg.Load.Report(reported[ix], start)
		}
		for ix := range each {
			now := start.Add(time.Duration(ix+1) * time.Second / time.Duration(each+1))
			tg := pl.Choose(&router.Request{Model: "m", Zone: "zone-a"}, all, now)
			tg.Load.Dispatched(now)
			for jx := range all {
				if all[jx] == tg {
					sent[jx]++
				}
			}
		}
	}
	total, most := 0, 0
	for ix := range sent {
		total += sent[ix] + reported[ix]
		most = max(most, sent[ix]+reported[ix])
	}
	return float64(most) * float64(servers) / float64(total)
}

func TestNodesDoNotOverloadOneServerOnStaleReport(t *testing.T) {
	for _, tc := range []struct{ nodes, servers, each int }{
		{4, 3, 10}, {4, 9, 20}, {64, 4, 1}, {64, 8, 4}, {360, 2, 1}, {360, 13, 2},
	} {
		naive := peakPressure(func(*rand.Rand, func() int) router.Policy { return router.LeastReported{} }, tc.nodes, tc.servers, tc.each)
		two := peakPressure(func(rd *rand.Rand, nodes func() int) router.Policy { return router.NewPowerOfTwo(rd, nodes) }, tc.nodes, tc.servers, tc.each)
		af := peakPressure(func(rd *rand.Rand, nodes func() int) router.Policy { return router.NewAffinity(rd, nodes) }, tc.nodes, tc.servers, tc.each)
		t.Logf("%+v greatest over mean: least reported %.2f, power of two %.2f, affinity %.2f", tc, naive, two, af)
		require.Less(t, two, 1.6)
		require.Less(t, af, 1.6)
		require.Greater(t, naive, 1.25*max(two, af))
	}
}

func TestLoadCountsOwnRequestsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ld := &router.Load{}
		now := start
		var history []int
		own, others := 0, rapid.IntRange(0, 50).Draw(rt, "others")
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			if own > 0 && rapid.Bool().Draw(rt, "end") {
				own--
				ld.Finished(now)
			} else {
				own++
				ld.Dispatched(now)
			}
			history = append(history, own)
			now = now.Add(time.Millisecond)
		}
		lag := rapid.IntRange(1, len(history)).Draw(rt, "lag")
		ld.Report(history[len(history)-lag]+others, now.Add(-time.Duration(lag)*time.Millisecond))
		require.Equal(rt, others, ld.Others())
		require.Equal(rt, own+others, ld.Total())
	})
}

func TestOlderReportIsIgnored(t *testing.T) {
	ld := &router.Load{}
	ld.Digest(5, 3, start.Add(time.Second))
	ld.Report(40, start)
	require.Equal(t, 5, ld.Others())
	require.Equal(t, 3, ld.Users())
}

func TestCacheEventGapKeepsOwnPrefixes(t *testing.T) {
	pm := router.NewPrefixMemory()
	pm.Sent([]uint64{1})
	pm.Apply("boot-1", []router.CacheEvent{{Sequence: 1, Hash: 10}, {Sequence: 2, Hash: 11}})
	require.Equal(t, 2, pm.Held([]uint64{10, 11}))
	pm.Apply("boot-1", []router.CacheEvent{{Sequence: 2, Hash: 11}, {Sequence: 5, Hash: 12}})
	require.Equal(t, 1, pm.Gaps())
	require.Zero(t, pm.Held([]uint64{10, 11}), "told before the gap")
	require.Equal(t, 1, pm.Held([]uint64{1}), "sent by this node")
	require.Equal(t, 1, pm.Held([]uint64{12}))
	pm.Apply("boot-1", []router.CacheEvent{{Sequence: 6, Hash: 1, Evicted: true}})
	require.Zero(t, pm.Held([]uint64{1}))
	pm.Sent([]uint64{2})
	pm.Apply("boot-2", nil)
	require.Zero(t, pm.Held([]uint64{2}), "a new boot has an empty cache")
}

func TestAffinityPrefersFittingServer(t *testing.T) {
	tests := []struct {
		name string
		rq   router.Request
		mark func(all []*router.Target)
		// minHits is how often, out of 200, the fitting server must be chosen.
		// Since two of three servers are drawn, a preference gives 2/3.
		minHits int
	}{
		{"adapter ready", router.Request{Adapter: "a", Zone: "zone-a"}, func(all []*router.Target) {
			all[1].Adapters = map[string]bool{"a": true}
		}, 110},
		{"prefix held", router.Request{Prefixes: []uint64{1, 2}, Zone: "zone-a"}, func(all []*router.Target) {
			all[1].Prefixes.Sent([]uint64{1, 2})
		}, 110},
		{"own zone", router.Request{Zone: "zone-b"}, func(all []*router.Target) { all[1].Zone = "zone-b" }, 110},
		{"not loading", router.Request{Zone: "zone-a"}, func(all []*router.Target) {
			all[0].Loading, all[2].Loading = true, true
		}, 199},
		{"not avoided", router.Request{Zone: "zone-a", Avoid: []string{"w0", "w2"}}, func([]*router.Target) {}, 199},
		{"not leaving", router.Request{Zone: "zone-a"}, func(all []*router.Target) {
			all[0].Leaving, all[2].Leaving = true, true
		}, 199},
		{"healthy", router.Request{Zone: "zone-a", Weight: func(tg *router.Target) float64 {
			if tg.Name == "w1" {
				return 1
			}
			return 0
		}}, func([]*router.Target) {}, 199},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			hits := 0
			for seed := range uint64(200) {
				all := targets(3, 16)
				tc.mark(all)
				for _, tg := range all {
					tg.Load.Report(4, start)
				}
				tc.rq.Model = "m"
				af := router.NewAffinity(rand.New(rand.NewPCG(seed, 1)), func() int { return 1 })
				if af.Choose(&tc.rq, all, start).Name == "w1" {
					hits++
				}
			}
			require.Greater(t, hits, tc.minHits)
		})
	}
}

func TestPoliciesReturnNilWithoutEligibleTarget(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	one := func() int { return 1 }
	none := &router.Request{Model: "m", Eligible: func(*router.Target) bool { return false }}
	for _, pl := range []router.Policy{
		router.NewRoundRobin(),
		router.LeastReported{},
		router.NewPowerOfTwo(random, one), router.NewAffinity(random, one),
	} {
		require.Nil(t, pl.Choose(none, targets(3, 4), start))
		require.Nil(t, pl.Choose(none, nil, start))
	}
}
