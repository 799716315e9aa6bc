package adapterkeeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
)

// newCountingTable returns the table and the ownership of a new owner whose
// engine counts its orders.
func newCountingTable(now time.Time) (*table, orderer.Ownership) {
	tb := &table{rules: Rules{CountsOrders: true, Bound: 13 * time.Second, Reserve: 2, TakeoverReserve: 2, Lease: time.Second}}
	ow := orderer.Ownership{Number: 9, Claim: 9, Claimed: now, Confirmed: now}
	tb.reset(ow.Claim, now)
	return tb, ow
}

// TestNewOwnerOrdersAtOnceOnCountingEngine lets a new owner send orders at once
// and use the whole reserve: the engine refuses late orders of the previous
// owner after it accepted one of the new owner.
func TestNewOwnerOrdersAtOnceOnCountingEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	tb, ow := newCountingTable(now)
	require.Equal(t, inspect, tb.decide(now, ow, "a1", 1).action)
	tb.recordInspection(now, now, "b", 3, map[string]int64{"a0": 1})
	st := tb.decide(now, ow, "a1", 1)
	require.Equal(t, load, st.action)
	require.True(t, tb.mayOrder(now.Add(time.Hour), ow, st), "the mandate need not be fresh")
	tb.recordOrder(now, st)
	tb.recordDone(now, st, "b")
	require.Equal(t, ready, tb.decide(now, ow, "a1", 1).action)
	require.Equal(t, refuse, tb.decide(now, ow, "a2", 1).action, "both places are leased")
	later := now.Add(2 * time.Second)
	require.Equal(t, unload, tb.decide(later, ow, "a2", 1).action)
}

// TestAcceptedOrderSupersedesUnansweredOne checks that the owner inspects the
// engine after a newer order invalidated an unanswered one.
func TestAcceptedOrderSupersedesUnansweredOne(t *testing.T) {
	now := time.Unix(1000, 0)
	tb, ow := newCountingTable(now)
	tb.recordInspection(now, now, "b", 3, nil)
	st := tb.decide(now, ow, "a1", 1)
	tb.recordOrder(now, st)
	tb.recordUnanswered(st, orderer.ActionLoadAdapter, 9, now)
	next := tb.decide(now, ow, "a2", 1)
	require.Equal(t, load, next.action, "the other place is free")
	require.Equal(t, int64(1), tb.reserved(now), "the unanswered one keeps its place")
	tb.recordOrder(now, next)
	tb.recordDone(now, next, "b")
	require.Empty(t, tb.unanswered)
	require.Equal(t, inspect, tb.decide(now, ow, "a3", 1).action)
}
