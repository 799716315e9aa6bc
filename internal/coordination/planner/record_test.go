package planner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
)

func TestRecordIsEqualAfterEncodingAndDecoding(t *testing.T) {
	pl := planner.NewPlan(map[string][]string{"w1": {"a", "b"}, "w2": {"b"}, "w3": nil})
	st := planner.State{
		MoveAges: []time.Duration{time.Minute, 3 * time.Second},
		Demand:   planner.Demand{"a": 1.5, "c": 70},
		Mean:     planner.Demand{"a": 2, "c": 7.1},
	}
	value, err := planner.NewRecord(3, 9, "x", pl, st).Encode()
	require.NoError(t, err)
	rc, err := planner.DecodeRecord(value)
	require.NoError(t, err)
	require.EqualValues(t, []any{int64(3), int64(9), "x"}, []any{rc.Epoch(), rc.Number(), rc.Batch()})
	require.True(t, pl.Equal(rc.Plan()))
	require.True(t, rc.Plan().HasServer("w3"))
	require.Equal(t, st.MoveAges, rc.State().MoveAges)
	require.InDelta(t, 70, rc.State().Demand["c"], 0.1)
	require.InDelta(t, 7.1, rc.State().Mean["c"], 0.1)
	for cut := range value {
		_, err := planner.DecodeRecord(value[:cut])
		require.ErrorIs(t, err, planner.ErrCorrupt)
	}
}

// TestResumeIgnoresTheAgeOfTheState resumes from a state that is two hours old.
// The ages of moves do not include that time, so that the budget allows too few
// moves rather than too many.
func TestResumeIgnoresTheAgeOfTheState(t *testing.T) {
	st := newSettings(t, 9, 14, func(int) int { return 12 })
	now := time.Unix(7200, 0)
	state := planner.State{MoveAges: []time.Duration{59 * time.Minute, time.Minute}}
	pl := planner.Resume(st, state, now)
	require.Equal(t, state.MoveAges, pl.State(now).MoveAges, "the time between does not count")
	later := pl.State(now.Add(2 * time.Minute)).MoveAges
	require.Equal(t, []time.Duration{3 * time.Minute}, later)
}

// TestStateIsUnchangedByLaterPasses guards against a State that shares its maps
// with the planner.
func TestStateIsUnchangedByLaterPasses(t *testing.T) {
	st := newSettings(t, 9, 14, func(int) int { return 12 })
	pl := planner.New(st)
	in := planner.Input{Settings: st, Usable: planner.AllUsable, Demand: planner.Demand{"m0000": 3}, Current: planner.Initial(st, planner.AllUsable), Now: time.Unix(10, 0)}
	pl.Next(in)
	state := pl.State(in.Now)
	in.Demand, in.Now = planner.Demand{"m0000": 9}, time.Unix(20, 0)
	pl.Next(in)
	require.InDelta(t, 3, state.Demand["m0000"], 0)
	require.InDelta(t, 3, state.Mean["m0000"], 0)
}

// TestLastServingReplicaIsNotEvicted guards against hazard 14: the planner
// counts replicas that are planned but do not serve yet. Only one replica of
// each model serves.
func TestLastServingReplicaIsNotEvicted(t *testing.T) {
	st := newSettings(t, 9, 14, func(int) int { return 12 })
	first := planner.Initial(st, planner.AllUsable)
	plan := first
	serving := func(model, server string) bool {
		held := first.Servers(model)
		return server == held[len(held)-1]
	}
	pl := planner.New(st)
	for pass := range 60 {
		plan = pl.Next(planner.Input{
			Settings: st, Usable: planner.AllUsable, Demand: planner.Demand{"m0003": 200}, Current: plan,
			Serving: serving, Now: time.Unix(int64(10*pass), 0),
		})
		for _, md := range st.Models() {
			held := first.Servers(md.Name())
			require.Contains(t, plan.Servers(md.Name()), held[len(held)-1])
		}
	}
	require.Positive(t, plan.Moves(first))
}

// BenchmarkRecord encodes and decodes a plan with 1,300 servers and 650 models.
func BenchmarkRecord(b *testing.B) {
	st := newSettings(b, 1300, 650, func(model int) int { return 6 + model%7 })
	state := planner.State{Demand: planner.Demand{}, Mean: planner.Demand{}}
	for _, md := range st.Models() {
		state.Demand[md.Name()], state.Mean[md.Name()] = 23.4, 22.1
	}
	rc := planner.NewRecord(1, 1, "batch", planner.Initial(st, planner.AllUsable), state)
	size := 0
	for b.Loop() {
		value, err := rc.Encode()
		require.NoError(b, err)
		_, err = planner.DecodeRecord(value)
		require.NoError(b, err)
		size = len(value)
	}
	b.ReportMetric(float64(size), "bytes")
}
