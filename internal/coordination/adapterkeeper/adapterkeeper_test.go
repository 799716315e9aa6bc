package adapterkeeper

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
)

// TestLateOrdersNeverOvercommitMemory loses orders or delays them up to the
// bound while owners that don't know of each other keep sending. The engine
// counts overcommits.
func TestLateOrdersNeverOvercommitMemory(t *testing.T) {
	for _, fencing := range []string{"no", "yes"} {
		t.Run("fencing "+fencing, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				rg := newRig(rt, fencing, testBound, 8, 6)
				nodes := []*node{rg.node("a", "a"), rg.node("b", "b"), rg.node("c", "c")}
				nodes[0].takeOver()
				heldSince := rg.now
				for range rapid.IntRange(10, 60).Draw(rt, "events") {
					nd := nodes[rapid.IntRange(0, 2).Draw(rt, "node")]
					switch rapid.IntRange(0, 9).Draw(rt, "event") {
					case 0:
						nd.takeOver()
					case 1:
						fault := rapid.SampledFrom([]engine.OrderFault{engine.OrderLost, engine.OrderHeld, engine.OrderAnswerLost})
						rg.engine.InjectOrderFaults(0, fault.Draw(rt, "fault"))
					case 2:
						rg.engine.ReleaseOrders()
					case 3, 4:
						step := time.Duration(rapid.IntRange(1, 12).Draw(rt, "seconds")) * time.Second
						if rg.now.Add(step).Sub(heldSince) > testBound/2 {
							rg.engine.ReleaseOrders()
						}
						rg.advance(step)
					default:
						nd.obtain(fmt.Sprintf("a%d", rapid.IntRange(0, 5).Draw(rt, "adapter")))
					}
					if rg.engine.HeldOrders() == 0 {
						heldSince = rg.now
					}
					require.Zero(rt, rg.engine.Overcommits())
					require.Empty(rt, checker.Violations())
				}
			})
		})
	}
}

// TestLateLoadsOfReplacedOwnerFitInReserve delays two loads of an owner until
// its successor has loaded as many adapters as it may.
func TestLateLoadsOfReplacedOwnerFitInReserve(t *testing.T) {
	rg := newRig(t, "no", testBound, 8, 6)
	old, next := rg.node("a", "a"), rg.node("b", "b")
	old.takeOver()
	rg.engine.InjectOrderFaults(0, engine.OrderHeld, engine.OrderHeld)
	require.Equal(t, reasonFailed, old.obtain("a2"))
	require.Equal(t, reasonFailed, old.obtain("a5"))
	require.Equal(t, reasonUnanswered, old.obtain("a0"), "two unanswered orders are the most")
	next.takeOver()
	rg.advance(testBound/2 + time.Second)
	for ix := range 6 {
		next.obtain(fmt.Sprintf("a%d", ix))
	}
	require.Positive(t, next.counts.Values()["order-sent.load-adapter"])
	rg.engine.ReleaseOrders()
	require.Zero(t, rg.engine.Overcommits())
	require.Empty(t, checker.Violations())
}

// TestReplacedOwnerStillSendingDoesNotOvercommit lets a replaced owner fill the
// reserve for as long as it may send, while the new owner tries to load.
func TestReplacedOwnerStillSendingDoesNotOvercommit(t *testing.T) {
	rg := newRig(t, "no", testBound, 8, 6)
	old, next := rg.node("a", "a"), rg.node("b", "b")
	old.takeOver()
	require.Empty(t, old.obtain("a1"))
	next.takeOver()
	require.Equal(t, reasonNewOwner, next.obtain("a4"))
	for _, name := range []string{"a2", "a5"} {
		require.Empty(t, old.obtain(name))
	}
	rg.advance(testBound/2 + time.Second)
	next.obtain("a4")
	require.Equal(t, reasonNoOwner, old.obtain("a0"))
	require.Zero(t, rg.engine.Overcommits())
	require.Empty(t, checker.Violations())
}

// TestLoadBeyondReserveViolatesMemoryWithinCapacity records a load that does
// not fit.
func TestLoadBeyondReserveViolatesMemoryWithinCapacity(t *testing.T) {
	newRig(t, "yes", 0, 1, 1)
	tb := table{rules: Rules{Reserve: 10}}
	tb.reset(1, time.Now())
	tb.recordOrder(time.Now(), step{action: load, name: "a", bytes: 11})
	require.Len(t, checker.Violations(), 1)
	require.Equal(t, checker.MemoryWithinCapacity, checker.Violations()[0].Invariant)
}

func TestConcurrentRequestsShareOneLoad(t *testing.T) {
	rg := newRig(t, "yes", 0, 8, 1)
	owner, other := rg.node("owner", "owner"), rg.node("b", "owner")
	owner.takeOver()
	ad, _ := rg.settings.Adapter("a0")
	var wg sync.WaitGroup
	for _, nd := range []*node{owner, other} {
		for range 50 {
			wg.Go(func() {
				release, err := nd.keeper.Ensure(t.Context(), "w", ad)
				if err == nil {
					defer release()
				}
				require.NoError(t, err)
			})
		}
	}
	wg.Wait()
	require.Equal(t, 2, rg.sent, "one inspection and one load")
	require.EqualValues(t, 1, other.counts.Values()["adapter.asked"])
}

// TestLeastRecentlyUsedAdaptersAreEvicted requests all 40 adapters several
// times, although the reserve has no room for all.
func TestLeastRecentlyUsedAdaptersAreEvicted(t *testing.T) {
	rg := newRig(t, "yes", 0, 32, 40)
	nd := rg.node("a", "a")
	nd.takeOver()
	for range 3 {
		for ix := range 40 {
			require.Empty(t, nd.obtain(fmt.Sprintf("a%d", ix)))
			require.Empty(t, nd.obtain("a0"))
			rg.advance(time.Second)
		}
	}
	require.Zero(t, rg.engine.Overcommits())
	require.EqualValues(t, 1, nd.keeper.server("w").table.entries["a0"].bytes/mebibyte, "used all the time, and never unloaded")
	require.LessOrEqual(t, int(nd.counts.Values()["order-sent.load-adapter"]), 1+3*39)
}

// TestLeasedAdapterIsNotEvicted fills the reserve with an adapter that another
// node uses: it is evicted only after its lease and all renewals have expired.
func TestLeasedAdapterIsNotEvicted(t *testing.T) {
	rg := newRig(t, "yes", 0, 3, 3)
	owner, other := rg.node("owner", "owner"), rg.node("b", "owner")
	owner.takeOver()
	ad, _ := rg.settings.Adapter("a2")
	release, err := other.keeper.Ensure(t.Context(), "w", ad)
	require.NoError(t, err)
	for range 10 {
		rg.advance(LeaseTime / 2)
		other.keeper.renew()
		require.Eventually(t, func() bool {
			other.keeper.mu.Lock()
			defer other.keeper.mu.Unlock()
			return other.keeper.leases[target{"w", "a2"}].requestDone == nil
		}, time.Minute, time.Millisecond)
		require.Equal(t, reasonNoRoom, owner.obtain("a0"))
	}
	release()
	rg.advance(LeaseTime)
	other.keeper.renew()
	require.Empty(t, owner.obtain("a0"))
	require.NotContains(t, other.keeper.leases, target{"w", "a2"})
}

// TestNodeStopsUsingLeaseBeforeOwner delays the owner's answer: the node may
// use it for less time than the owner keeps the adapter.
func TestNodeStopsUsingLeaseBeforeOwner(t *testing.T) {
	rg := newRig(t, "yes", 0, 3, 3)
	owner, other := rg.node("owner", "owner"), rg.node("b", "owner")
	owner.takeOver()
	rg.beforeSend = func() { rg.advance(100 * time.Millisecond) }
	requested := rg.now
	ad, _ := rg.settings.Adapter("a2")
	_, err := other.keeper.Ensure(t.Context(), "w", ad)
	require.NoError(t, err)
	until := other.keeper.leases[target{"w", "a2"}].until
	require.Equal(t, requested.Add((LeaseTime - LeaseTime/useMarginDivisor)), until)
	require.True(t, until.Before(owner.keeper.server("w").table.entries["a2"].leasedUntil))
}

// TestNewOwnerWaitsOnUnfencedEngine checks when a new owner may use loaded
// adapters, when it may load, and when it may use the whole reserve.
func TestNewOwnerWaitsOnUnfencedEngine(t *testing.T) {
	rg := newRig(t, "no", testBound, 12, 6)
	old, next := rg.node("a", "a"), rg.node("b", "b")
	old.takeOver()
	require.Empty(t, old.obtain("a0"))
	next.takeOver()
	require.Empty(t, next.obtain("a0"), "what is loaded is used at once")
	require.Equal(t, reasonNewOwner, next.obtain("a1"))
	require.Empty(t, old.obtain("a2"), "the old owner may still send")
	rg.advance(testBound/2 + time.Second)
	require.Equal(t, reasonNoOwner, old.obtain("a1"), "it has to confirm first, and can't")
	require.Empty(t, next.obtain("a3"))
	require.Contains(t, next.keeper.server("w").table.entries, "a2")
	require.Equal(t, reasonNoRoom, next.obtain("a5"), "the room of the two largest is held back")
	rg.advance(testBound)
	require.Empty(t, next.obtain("a5"))
	require.Empty(t, checker.Violations())
}

func TestLoadIsRefusedWithoutLateOrderBound(t *testing.T) {
	rg := newRig(t, "no", 0, 8, 1)
	nd := rg.node("a", "a")
	nd.takeOver()
	require.Equal(t, reasonNoBound, nd.obtain("a0"))
	require.EqualValues(t, 1, nd.counts.Values()["adapter.refused.no-late-order-bound"])
}

// TestLoadWaitsForTransitToken takes the only token before the load.
func TestLoadWaitsForTransitToken(t *testing.T) {
	rg := newRig(t, "yes", 0, 8, 2)
	tokens := orderer.NewLocalTokens(1, 1)
	nd := rg.node("a", "a", WithTokens(tokens))
	nd.takeOver()
	release, err := tokens.Take(t.Context(), orderer.LimitAdapters)
	require.NoError(t, err)
	done := make(chan string)
	go func() { done <- nd.obtain("a0") }()
	select {
	case <-done:
		require.Fail(t, "loaded without a unit")
	case <-time.After(50 * time.Millisecond):
	}
	release()
	require.Empty(t, <-done)
}

func TestReportedAdapterIsUsedWhenOwnerIsUnreachable(t *testing.T) {
	rg := newRig(t, "yes", 0, 8, 2)
	reported := func(_, adapter string) bool { return adapter == "a0" }
	nd := rg.node("b", "silent", WithReportedAdapters(reported))
	for name, ok := range map[string]bool{"a0": true, "a1": false} {
		ad, _ := rg.settings.Adapter(name)
		_, err := nd.keeper.Ensure(t.Context(), "w", ad)
		require.Equal(t, ok, err == nil)
		if !ok {
			require.ErrorIs(t, err, ErrNotReady)
		}
	}
}

func BenchmarkEnsureWithLease(b *testing.B) {
	rg := newRig(b, "yes", 0, 8, 1)
	owner, other := rg.node("owner", "owner"), rg.node("b", "owner")
	owner.takeOver()
	ad, _ := rg.settings.Adapter("a0")
	for b.Loop() {
		release, err := other.keeper.Ensure(b.Context(), "w", ad)
		if err != nil {
			b.Fatal(err)
		}
		release()
	}
	b.ReportMetric(float64(other.counts.Values()["adapter.asked"]), "messages")
}

// TestReportedAdapterIsUsedBeforeOwnerMayOrder covers a new owner that has to
// wait before it sends orders: requests use the adapters that a server reports.
func TestReportedAdapterIsUsedBeforeOwnerMayOrder(t *testing.T) {
	rg := newRig(t, "yes", testBound, 4, 2)
	reported := func(_, adapter string) bool { return adapter == "a0" }
	owner := rg.node("owner", "owner", WithReportedAdapters(reported))
	rg.owner = owner
	for name, nd := range map[string]*node{"owner": owner, "peer": rg.node("a", "owner", WithReportedAdapters(reported))} {
		t.Run(name, func(t *testing.T) {
			held, _ := rg.settings.Adapter("a0")
			_, err := nd.keeper.Ensure(t.Context(), "w", held)
			require.NoError(t, err)
			other, _ := rg.settings.Adapter("a1")
			_, err = nd.keeper.Ensure(t.Context(), "w", other)
			require.ErrorContains(t, err, reasonNoOwner)
		})
	}
}
