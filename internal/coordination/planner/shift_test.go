package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// shiftSettings returns settings with 18 servers and 21 models. A server has
// room for three or four models.
func shiftSettings(t *testing.T) *configurer.Settings {
	var text strings.Builder
	text.WriteString("[planning]\ninterval = 500ms\nsmoothing = 1500ms\nmemory = 6s\nspare-when-idle = no\neven-from = 0.6\nmoves-per-hour = 100000\nmove-weight = 10\n")
	text.WriteString("[engine-kind.k]\n")
	for ix := range 18 {
		fmt.Fprintf(&text, "[backend-server.w%02d]\nkind = k\naddress = 10.0.0.%d:80\nzone = z%d\nmemory = 200GiB\nslots = 64\n", ix, ix+1, ix%3)
	}
	for ix := range 21 {
		fmt.Fprintf(&text, "[model.m%02d]\nmemory = 57GiB\n", ix)
	}
	st, faults := configurer.Parse([]configurer.File{{Name: "1.ini", Text: text.String()}})
	require.Empty(t, faults)
	return st
}

// TestReplicasFollowDemandThatShiftsToAnotherModel shifts the demand of one
// model, which fills ten of eighteen servers, within 5.5 s to a model with one
// replica. Within 2 s of the end of the shift the plan must have the replicas
// that the demand fills. The time of the loads is not simulated.
func TestReplicasFollowDemandThatShiftsToAnotherModel(t *testing.T) {
	st := shiftSettings(t)
	byServer := map[string][]string{}
	for ix := range 18 {
		server := fmt.Sprintf("w%02d", ix)
		byServer[server] = []string{fmt.Sprintf("m%02d", 1+ix)}
		if ix < 3 {
			byServer[server] = append(byServer[server], fmt.Sprintf("m%02d", 19+ix%2))
		}
		if ix%3 != 2 {
			byServer[server] = append(byServer[server], "m00")
		}
	}
	byServer["w02"] = []string{"m03", "m00"}
	pl, plan := planner.New(st), planner.NewPlan(byServer)
	now := time.Unix(1000, 0)
	const all, shift = 640.0, 5500 * time.Millisecond
	var began time.Time
	for step := range 40 {
		now = now.Add(500 * time.Millisecond)
		demand := planner.Demand{"m00": all, "m05": 1}
		if step >= 10 {
			if began.IsZero() {
				began = now
			}
			part := min(now.Sub(began).Seconds()/shift.Seconds(), 1)
			demand = planner.Demand{"m00": all * (1 - part), "m05": all * part}
		}
		next := pl.Next(planner.Input{Settings: st, Usable: planner.AllUsable, Demand: demand, Current: plan, Now: now})
		t.Logf("%v m00 %.0f/%d m05 %.0f/%d moves %d", now.Sub(began), demand["m00"], len(next.Servers("m00")), demand["m05"], len(next.Servers("m05")), next.Moves(plan))
		plan = next
		if !began.IsZero() && now.Sub(began) >= shift+2*time.Second {
			break
		}
	}
	require.GreaterOrEqual(t, len(plan.Servers("m05")), 10)
}

// TestSpareReplicasOfIdleModelsAreEvicted fills three servers in three zones
// with one replica of a model whose demand needs all three, and with two
// replicas each, in two zones, of four idle models. With spare-when-idle = no,
// the spare replicas of the idle models must make room.
func TestSpareReplicasOfIdleModelsAreEvicted(t *testing.T) {
	text := "[planning]\nspare-when-idle = no\nmoves-per-hour = 1000\n[engine-kind.k]\n"
	for ix := range 3 {
		text += fmt.Sprintf("[backend-server.w%d]\nkind = k\naddress = 10.0.0.%d:80\nzone = z%d\nmemory = 180GiB\nslots = 64\n", ix, ix+1, ix)
	}
	for ix := range 5 {
		text += fmt.Sprintf("[model.m%d]\nmemory = 60GiB\n", ix)
	}
	st, faults := configurer.Parse([]configurer.File{{Name: "1.ini", Text: text}})
	require.Empty(t, faults)
	plan := planner.NewPlan(map[string][]string{"w0": {"m0", "m1", "m2"}, "w1": {"m1", "m3", "m4"}, "w2": {"m2", "m3", "m4"}})
	pl, now := planner.New(st), time.Unix(1000, 0)
	for range 12 {
		now = now.Add(10 * time.Second)
		plan = pl.Next(planner.Input{Settings: st, Usable: planner.AllUsable, Demand: planner.Demand{"m0": 180}, Current: plan, Now: now})
	}
	require.Len(t, plan.Servers("m0"), 3)
	for ix := range 5 {
		require.NotEmpty(t, plan.Servers(fmt.Sprintf("m%d", ix)))
	}
}
