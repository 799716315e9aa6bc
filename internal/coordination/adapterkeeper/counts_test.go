package adapterkeeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
)

// countingTable is the table of a new owner of an engine that counts its orders.
func countingTable(now time.Time) (*table, orderer.Mandate) {
	tb := &table{rules: Rules{CountsOrders: true, Bound: 13 * time.Second, Reserve: 2, Spare: 2, Lease: time.Second}}
	md := orderer.Mandate{Number: 9, Claim: 9, Claimed: now, Confirmed: now}
	tb.reset(md.Claim, now)
	return tb, md
}

// TestEngineThatCountsOrdersNeedsNoWait lets a new owner order at once, with all
// of the room: a late order of the last owner has no effect after its own.
func TestEngineThatCountsOrdersNeedsNoWait(t *testing.T) {
	now := time.Unix(1000, 0)
	tb, md := countingTable(now)
	require.Equal(t, inspect, tb.decide(now, md, "a1", 1).action)
	tb.observe(now, now, "b", 3, map[string]int64{"a0": 1})
	st := tb.decide(now, md, "a1", 1)
	require.Equal(t, load, st.action)
	require.True(t, tb.mandated(now.Add(time.Hour), md, st), "the mandate need not be fresh")
	tb.begin(now, st)
	tb.answered(now, st, "b")
	require.Equal(t, ready, tb.decide(now, md, "a1", 1).action)
	require.Equal(t, refuse, tb.decide(now, md, "a2", 1).action, "both places are leased")
	later := now.Add(2 * time.Second)
	require.Equal(t, unload, tb.decide(later, md, "a2", 1).action)
}

// TestNewerOrderOutlivesAnUnansweredOne looks at the engine again after that.
func TestNewerOrderOutlivesAnUnansweredOne(t *testing.T) {
	now := time.Unix(1000, 0)
	tb, md := countingTable(now)
	tb.observe(now, now, "b", 3, nil)
	st := tb.decide(now, md, "a1", 1)
	tb.begin(now, st)
	tb.unanswered(st, orderer.ActionLoadAdapter, 9, now)
	next := tb.decide(now, md, "a2", 1)
	require.Equal(t, load, next.action, "the other place is free")
	require.Equal(t, int64(1), tb.reserved(now), "the unanswered one keeps its place")
	tb.begin(now, next)
	tb.answered(now, next, "b")
	require.Empty(t, tb.attempts)
	require.Equal(t, inspect, tb.decide(now, md, "a3", 1).action)
}
