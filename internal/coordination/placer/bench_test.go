package placer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/gossiper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// BenchmarkHolderPass measures the holder's computation in one planning
// interval for 1,300 servers and 650 models.
func BenchmarkHolderPass(b *testing.B) {
	var text strings.Builder
	text.WriteString("[engine-kind.k]\nchecks-fencing = yes\n")
	for ix := range 1300 {
		fmt.Fprintf(&text, "[backend-server.w%04d]\nkind = k\naddress = 127.0.0.1:%d\nzone = zone-%d\nmemory = 64GiB\nslots = 16\n", ix, ix+1, ix%11)
	}
	demand := planner.Demand{}
	for ix := range 650 {
		fmt.Fprintf(&text, "[model.m%04d]\nmemory = %dGiB\n", ix, 6+ix%7)
		demand[fmt.Sprintf("m%04d", ix)] = float64(10 + ix%30)
	}
	st, faults := configurer.Parse([]configurer.File{{Name: "a.ini", Text: text.String()}})
	require.Empty(b, faults)
	plan := planner.Initial(st, planner.AllUsable)
	serves := map[string]map[string]bool{}
	for _, server := range plan.ServerNames() {
		serves[server] = map[string]bool{}
		for _, model := range plan.Models(server) {
			serves[server][model] = true
		}
	}
	sn := Situation{
		Settings: st, Usable: planner.AllUsable, ReportedModels: plan.Models,
		Serving: func(model, server string) bool { return serves[server][model] },
	}
	view := func() *prober.View { return prober.NewView("n1", nil) }
	pc := New("n1", nil, nil, view, nil, gossiper.New())
	pc.settings = st
	now := time.Unix(0, 0)
	state := planner.State{Demand: demand, Mean: demand}
	pc.term = term{record: planner.NewRecord(1, 1, "", plan, state), planner: planner.Resume(st, state, now), since: now}
	for b.Loop() {
		now = now.Add(time.Second)
		pc.next(now, sn)
	}
}
