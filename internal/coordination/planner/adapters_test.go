package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// TestAdaptersThatFillServersAreDemand has the requests of one model want thirty
// adapters at once while they fill less than one server; a server has five
// places. The model gets the six servers that its adapters fill.
func TestAdaptersThatFillServersAreDemand(t *testing.T) {
	text := "[planning]\nspare-when-idle = no\nmoves-per-hour = 1000\n[engine-kind.k]\n" +
		"[pool.p]\nkind = k\nmemory = 180GiB\nadapter-slots = 5\nslots = 64\n"
	for ix := range 6 {
		text += fmt.Sprintf("[model.m%d]\npool = p\nmemory = 60GiB\n", ix)
	}
	for ix := range 40 {
		text += fmt.Sprintf("[adapter.a%02d]\nmodel = m0\nmemory = 1MiB\n", ix)
	}
	st, faults := configurer.Parse([]configurer.File{{Name: "1.ini", Text: text}})
	require.Empty(t, faults)
	po, _ := st.Pool("p")
	var servers []*configurer.BackendServer
	byServer := map[string][]string{}
	for ix := range 10 {
		name := fmt.Sprintf("w%d", ix)
		servers = append(servers, configurer.NewBackendServer(name, configurer.WithPool(po, 1<<30), configurer.WithZone(fmt.Sprint(ix%3)), configurer.WithSlots(64)))
		byServer[name] = []string{fmt.Sprintf("m%d", ix%6)}
	}
	st = st.WithBackendServers(servers)
	wanted := map[string]bool{"unknown": true}
	for ix := range 30 {
		wanted[fmt.Sprintf("a%02d", ix)] = true
	}
	demand := planner.Demand{"m0": 40, "m1": 30}
	raised := planner.WithAdapters(st, demand, wanted)
	require.InDelta(t, 30.0/5*64*0.9, raised["m0"], 0.1)
	require.InDelta(t, 30, raised["m1"], 0)
	require.InDelta(t, 40, demand["m0"], 0, "the demand itself stays")
	pl, plan, now := planner.New(st), planner.NewPlan(byServer), time.Unix(1000, 0)
	for range 12 {
		now = now.Add(10 * time.Second)
		plan = pl.Next(planner.Input{Settings: st, Usable: planner.All, Demand: raised, Current: plan, Now: now})
	}
	require.GreaterOrEqual(t, len(plan.Servers("m0")), 6)
}
