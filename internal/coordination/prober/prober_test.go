package prober_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/gossiper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/standin/cluster"
	"github.com/lagoonpass/lagoonpass/internal/state/vmlister"
)

// fleet is a cluster of nodes within a synctest bubble.
type fleet struct {
	*cluster.Cluster
	t     *testing.T
	nodes []*cluster.Node
}

func newFleet(t *testing.T, count, regions int) *fleet {
	fl := &fleet{Cluster: cluster.New(), t: t}
	for ix := range count {
		fl.add(fmt.Sprintf("n%d", ix), fmt.Sprintf("10.0.0.%d:7", ix), fmt.Sprintf("r%d", ix*regions/count))
	}
	return fl
}

func (fl *fleet) add(id, address, region string) {
	fl.nodes = append(fl.nodes, fl.Start(fl.t.Context(), id, address, region))
}

func (fl *fleet) kill(nd *cluster.Node) {
	fl.Kill(nd)
	fl.nodes = slices.DeleteFunc(fl.nodes, func(other *cluster.Node) bool { return other == nd })
}

// agreed reports whether every node sees exactly the nodes of the fleet as
// alive.
func (fl *fleet) agreed() bool {
	for _, nd := range fl.nodes {
		if nd.View().Stale() || len(seen(nd, prober.Alive)) != len(fl.nodes) {
			return false
		}
	}
	return true
}

// await waits until the condition holds, at most limit, and returns the time
// that took.
func (fl *fleet) await(limit time.Duration, holds func() bool) time.Duration {
	const step = 10 * time.Millisecond
	began := time.Now()
	for !holds() {
		require.Less(fl.t, time.Since(began), limit, "condition did not come true")
		time.Sleep(step)
		synctest.Wait()
	}
	return time.Since(began)
}

func (fl *fleet) stop() {
	for _, nd := range fl.nodes {
		nd.Stop()
	}
	synctest.Wait()
}

func seen(nd *cluster.Node, st prober.State) []string {
	var ids []string
	for _, mb := range nd.View().Members() {
		if mb.State == st {
			ids = append(ids, mb.ID)
		}
	}
	return ids
}

func TestResourcesOfKilledNodeAreOwnedWithinFiveSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, 1)
		defer fl.stop()
		t.Logf("4 nodes agree after %v", fl.await(10*time.Second, fl.agreed))
		for _, ordinal := range []string{"first", "second"} {
			fl.kill(fl.nodes[0])
			t.Logf("%s killed node's share is owned after %v", ordinal, fl.await(5*time.Second, fl.agreed))
		}
	})
}

func TestUnresponsiveNodeIsDeadWithinFiveSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, 1)
		defer fl.stop()
		fl.await(10*time.Second, fl.agreed)
		silent := fl.nodes[3]
		fl.Pause(silent.Address)
		fl.nodes = fl.nodes[:3]
		t.Logf("silent node's share is owned after %v", fl.await(5*time.Second, fl.agreed))
		fl.Resume(silent.Address)
		fl.nodes = append(fl.nodes, silent)
		fl.await(10*time.Second, fl.agreed)
	})
}

func TestLeavingStateReachesPeersWithin100Milliseconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, 1)
		defer fl.stop()
		fl.await(10*time.Second, fl.agreed)
		fl.nodes[1].Leave()
		everyone := func() bool {
			for _, nd := range fl.nodes {
				if !slices.Equal(seen(nd, prober.Leaving), []string{"n1"}) {
					return false
				}
			}
			return true
		}
		require.Less(t, fl.await(time.Second, everyone), 100*time.Millisecond)
	})
}

func TestListMarksMembersLeavingButNeverRemovesThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, 1)
		defer fl.stop()
		fl.await(10*time.Second, fl.agreed)
		fl.EditVMs(func(vms []vmlister.VM) []vmlister.VM {
			vms[2].State = vmlister.StateLeaving
			return vms[:3] // n3 is missing, as in a list that lags
		})
		fl.await(3*time.Second, func() bool {
			return slices.Contains(seen(fl.nodes[0], prober.Leaving), "n2") && fl.nodes[2].Leaving()
		})
		time.Sleep(20 * time.Second)
		require.Equal(t, []string{"n0", "n1", "n3"}, seen(fl.nodes[0], prober.Alive))
	})
}

// TestPausedNodeOwnsNothingUntilPeerAnswers covers hazard 8: a node that was
// stopped and continued must not act on its old view.
func TestPausedNodeOwnsNothingUntilPeerAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, 1)
		defer fl.stop()
		fl.await(10*time.Second, fl.agreed)
		paused := fl.nodes[0]
		resource := ""
		for ix := 0; !paused.View().Owns(resource); ix++ {
			resource = fmt.Sprintf("r%d", ix)
		}
		fl.Pause(paused.Address)
		time.Sleep(time.Minute)
		require.False(t, paused.View().Owns(resource), "a view that was not renewed for a minute owns nothing")
		owner, _ := fl.nodes[1].View().Owner(resource)
		require.NotEqual(t, paused.ID, owner.ID)
		fl.Isolate(paused, true, fl.nodes[1:]...)
		fl.Resume(paused.Address)
		time.Sleep(time.Second)
		require.False(t, paused.View().Owns(resource), "nobody answered yet")
		fl.Isolate(paused, false, fl.nodes[1:]...)
		fl.await(20*time.Second, func() bool { return fl.agreed() && paused.View().Owns(resource) })
	})
}

func TestRelayedPingsKeepMembersAliveDuringOneWayCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, 1)
		defer fl.stop()
		fl.await(10*time.Second, fl.agreed)
		fl.Cut(fl.nodes[0].Address, fl.nodes[1].Address)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			require.Empty(t, seen(fl.nodes[0], prober.Dead))
			require.Empty(t, seen(fl.nodes[2], prober.Dead))
		}
	})
}

func TestIsolatedRegionStaysValidAndRejoinsAfterOneHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, 2)
		defer fl.stop()
		fl.await(15*time.Second, fl.agreed)
		isolate := func(cut bool) {
			for _, nd := range fl.nodes[:2] {
				fl.Isolate(nd, cut, fl.nodes[2:]...)
			}
		}
		isolate(true)
		halves := func() bool {
			for _, nd := range fl.nodes {
				if len(seen(nd, prober.Alive)) != 2 || nd.View().Stale() {
					return false
				}
			}
			return true
		}
		fl.await(30*time.Second, halves)
		time.Sleep(time.Hour)
		require.True(t, halves())
		isolate(false)
		back := fl.await(30*time.Second, func() bool {
			for ix, nd := range fl.nodes {
				for _, id := range seen(nd, prober.Dead) {
					same := int(id[1]-'0')/2 == ix/2
					require.False(t, same, "a member of the own region may not die on the way back")
				}
			}
			return fl.agreed()
		})
		t.Logf("regions agree %v after the cut", back)
	})
}

func TestNewIDAtSameAddressRetiresPreviousMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 3, 1)
		defer fl.stop()
		fl.await(10*time.Second, fl.agreed)
		former := fl.nodes[2]
		fl.kill(former)
		fl.add("n2-new", former.Address, "r0")
		fl.await(10*time.Second, fl.agreed)
		require.NotContains(t, seen(fl.nodes[0], prober.Alive), "n2")
	})
}

func TestRestartedProcessWithSameIDIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 3, 1)
		defer fl.stop()
		fl.await(10*time.Second, fl.agreed)
		fl.Pause(fl.nodes[2].Address)
		time.Sleep(10 * time.Second)
		fl.Resume(fl.nodes[2].Address) // it raises its incarnation
		fl.await(10*time.Second, fl.agreed)
		former := fl.nodes[2]
		fl.kill(former)
		fl.add(former.ID, former.Address, "r0")
		fl.await(10*time.Second, fl.agreed)
		fl.nodes[2].Leave()
		fl.await(2*time.Second, func() bool { return len(seen(fl.nodes[0], prober.Leaving)) == 1 })
	})
}

func TestEntriesReachEveryNodeWithinTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 16, 2)
		defer fl.stop()
		fl.await(20*time.Second, fl.agreed)
		fl.nodes[3].Gossiper().Publish("configuration", gossiper.Version{Epoch: 9}, nil)
		took := fl.await(2*time.Second, func() bool {
			for _, nd := range fl.nodes {
				if vn, _, _ := nd.Gossiper().Get("configuration"); vn.Epoch != 9 {
					return false
				}
			}
			return true
		})
		t.Logf("entry at 16 nodes after %v", took)
	})
}

func TestControlTrafficStaysBelow3000BytesPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mean, _ := controlBytes(t, 16, 20*time.Second)
		require.Less(t, mean, int64(3000))
	})
}

// BenchmarkControlBytes measures the membership traffic of a node in steady
// state, in virtual time.
func BenchmarkControlBytes(bm *testing.B) {
	for _, count := range []int{4, 16, 64} {
		bm.Run(fmt.Sprintf("nodes=%d", count), func(bm *testing.B) {
			for bm.Loop() {
				synctest.Test(&testing.T{}, func(t *testing.T) {
					mean, most := controlBytes(t, count, 2*time.Minute)
					bm.ReportMetric(float64(mean), "B/s-mean")
					bm.ReportMetric(float64(most), "B/s-most")
				})
			}
		})
	}
}

func controlBytes(t *testing.T, count int, settle time.Duration) (mean, most int64) {
	fl := newFleet(t, count, min(4, max(1, count/4)))
	defer fl.stop()
	fl.await(2*time.Minute, fl.agreed)
	time.Sleep(settle)
	const window = time.Minute
	before := map[string]int64{}
	for _, nd := range fl.nodes {
		before[nd.Address] = fl.Bytes(nd.Address)
	}
	time.Sleep(window)
	var sum int64
	for _, nd := range fl.nodes {
		used := fl.Bytes(nd.Address) - before[nd.Address]
		most = max(most, used)
		sum += used
	}
	seconds := int64(window / time.Second)
	return sum / seconds / int64(count), most / seconds
}
