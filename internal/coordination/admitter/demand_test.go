package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

func TestDemandCountsRunningWaitingAndRefusedRequests(t *testing.T) {
	now, sc, tk := backlogged(t)
	model := tk.Model.Name()
	require.InDelta(t, 1000-20, sc.Demand(now)[model], 0, "128 run or have ended, the others wait")
	unreachable := *tk
	unreachable.Deadline = now.Add(time.Minute)
	for range 30 {
		_, rf := sc.Submit(now, &unreachable)
		require.NotNil(t, rf)
	}
	now = now.Add(10 * time.Second)
	require.InDelta(t, 980+30, sc.Demand(now)[model], 0.01, "3 refused a second would have run for 10 s each")
	now = now.Add(10 * time.Second)
	require.InDelta(t, 980, sc.Demand(now)[model], 0.01, "a refusal counts once")
}

// TestDemandCountsRequestsWithoutReadyReplica guards against a planner that
// takes a model for idle because it lost all replicas: refused requests count
// as demand. A request that is submitted again counts once.
func TestDemandCountsRequestsWithoutReadyReplica(t *testing.T) {
	text := "[caller.c]\nkey-sha256 = 0000000000000000000000000000000000000000000000000000000000000000\nquota = 100000\nburst = 100000\n" +
		"[class.urgent]\nrank = 0\nfirst-token = 800ms\ndeadline = 1h\n[engine-kind.k]\n[pool.p]\nkind = k\nmemory = 10GiB\nslots = 64\n" +
		"[model.m]\npool = p\nmemory = 1GiB\n"
	st, faults := configurer.Parse([]configurer.File{{Name: "1.ini", Text: text}})
	require.Empty(t, faults)
	po, _ := st.Pool("p")
	st = st.WithBackendServers([]*configurer.BackendServer{configurer.NewBackendServer("w0", configurer.WithPool(po, 0), configurer.WithSlots(64))})
	now := time.Unix(1000, 0)
	sc := NewScheduler(rand.New(rand.NewPCG(1, 2)))
	sc.ApplySettings(now, st)
	sc.Update(now, router.NewTable(nil, 1))
	tk := &Ticket{ID: "r", PromptTokens: 3840, Deadline: now.Add(5 * time.Second), Prefixes: []uint64{1}, PrefixTokens: []int{3840}}
	tk.Caller, _ = st.Caller("c")
	tk.Class, _ = st.Class("urgent")
	tk.Model, _ = st.Model("m")
	sc.Demand(now)
	submit := func() {
		for again := range 4 {
			next := *tk
			next.Repeated = again > 0
			_, rf := sc.Submit(now, &next)
			require.NotNil(t, rf)
			require.Equal(t, refuser.NoWorker, rf.Reason())
		}
	}
	submit()
	now = now.Add(100 * time.Millisecond)
	sc.Demand(now)
	for range 10 {
		submit()
		now = now.Add(100 * time.Millisecond)
	}
	// Ten prompts per second with a prefill time of 100 ms each.
	require.InDelta(t, 64/prefillShare, sc.Demand(now)["m"], 1)
}
