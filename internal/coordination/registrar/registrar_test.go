package registrar_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/registrar"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
)

const (
	lifetime = 1200 * time.Millisecond
	handover = 3 * time.Second
)

type node struct {
	*registrar.Registrar
	id      string
	link    *platform.Link
	leaving atomic.Bool
	paused  atomic.Int64
	// unreachable makes checks of the node fail.
	unreachable atomic.Bool
	// unfit says that the node is not fit to lead.
	unfit atomic.Bool
}

type fleet struct {
	store *platform.Keyspace
	nodes []*node
	stop  context.CancelFunc
	done  sync.WaitGroup
}

func newFleet(count int) *fleet {
	log.SetLevel(log.FatalLevel)
	ctx, cancel := context.WithCancel(context.Background())
	fl := &fleet{store: platform.NewKeyspace(), stop: cancel}
	start := time.Now()
	for ix := range count {
		nd := &node{id: fmt.Sprintf("n%d", ix), link: platform.NewLink(fl.store)}
		presence := func() messenger.Presence {
			return messenger.Presence{ID: nd.id, PeerAddress: nd.id + ":1", CallerAddress: nd.id + ":2", Zone: "z", Leaving: nd.leaving.Load()}
		}
		clock := func() time.Duration { return time.Since(start) + time.Duration(nd.paused.Load()) }
		nd.Registrar = registrar.New(nd.link, "p/", presence, registrar.WithLifetime(lifetime),
			registrar.WithHandover(handover), registrar.WithClock(clock), registrar.WithCheck(fl.check),
			registrar.WithFitness(func() bool { return !nd.unfit.Load() }))
		fl.nodes = append(fl.nodes, nd)
		fl.done.Go(func() { _ = nd.Run(ctx) })
	}
	return fl
}

// check implements registrar.CheckFunc.
func (fl *fleet) check(ctx context.Context, address string) (string, error) {
	for _, nd := range fl.nodes {
		if nd.id+":1" == address && !nd.unreachable.Load() {
			return nd.id, nil
		}
	}
	<-ctx.Done()
	return "", ctx.Err()
}

func (fl *fleet) end() {
	fl.stop()
	fl.done.Wait()
}

func (fl *fleet) leaders() []*node {
	var all []*node
	for _, nd := range fl.nodes {
		if _, ok := nd.Leads(); ok {
			all = append(all, nd)
		}
	}
	return all
}

func (fl *fleet) await(t *testing.T, limit time.Duration, cond func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !cond() {
		require.Less(t, time.Since(began), limit, "condition did not come true")
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

func TestNodesSeeEachOtherAndExactlyOneLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(4)
		defer fl.end()
		fl.await(t, 5*time.Second, func() bool { return len(fl.leaders()) == 1 })
		for _, nd := range fl.nodes {
			require.Len(t, nd.View().Members(), 4)
			leader, ok := nd.Leader()
			require.True(t, ok)
			require.Equal(t, fl.leaders()[0].id, leader.ID)
		}
		fl.nodes[0].leaving.Store(true)
		fl.nodes[0].Notify()
		fl.await(t, time.Second, func() bool {
			mb, _ := fl.nodes[1].View().Member("n0")
			return mb.State == prober.Leaving
		})
	})
}

// TestPartitionedLeaderStopsBeforeNextLeads cuts the leader off from the store.
// It must stop at least the handover before another node begins to lead.
func TestPartitionedLeaderStopsBeforeNextLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(3)
		defer fl.end()
		fl.await(t, 5*time.Second, func() bool { return len(fl.leaders()) == 1 })
		old := fl.leaders()[0]
		old.link.SetCut(true)
		fl.await(t, lifetime, func() bool { return len(fl.leaders()) == 0 })
		gap := fl.await(t, 10*time.Second, func() bool { return len(fl.leaders()) == 1 })
		require.GreaterOrEqual(t, gap, handover)
		require.NotEqual(t, old.id, fl.leaders()[0].id)
		old.link.SetCut(false)
		time.Sleep(5 * time.Second)
		require.Len(t, fl.leaders(), 1)
		require.Len(t, old.View().Members(), 3, "it is registered again")
	})
}

// TestResumedLeaderDoesNotLeadAfterLeaseExpired suspends the leader for longer
// than its lease. It must not lead when it resumes, although it has not read
// the store yet.
func TestResumedLeaderDoesNotLeadAfterLeaseExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(3)
		defer fl.end()
		fl.await(t, 5*time.Second, func() bool { return len(fl.leaders()) == 1 })
		old := fl.leaders()[0]
		old.paused.Store(int64(lifetime))
		_, leads := old.Leads()
		require.False(t, leads)
	})
}

// TestNewLeaderIsElectedWhenKeysAreRemoved removes the leader's keys while its
// lease is valid.
func TestNewLeaderIsElectedWhenKeysAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(3)
		defer fl.end()
		fl.await(t, 5*time.Second, func() bool { return len(fl.leaders()) == 1 })
		old := fl.leaders()[0]
		term, _ := old.Leads()
		fl.store.Remove("p/leader")
		fl.store.Remove("p/nodes/" + old.id + ":1")
		fl.await(t, time.Second, func() bool { return len(fl.leaders()) == 0 })
		fl.await(t, 10*time.Second, func() bool { return len(fl.leaders()) == 1 })
		next, _ := fl.leaders()[0].Leads()
		require.Greater(t, next, term, "terms grow")
		for _, nd := range fl.nodes {
			require.Len(t, nd.View().Members(), 3)
		}
	})
}

// TestNodesRegisterDespiteLostStoreAnswers checks that registrations and
// elections take effect although the store's answers are lost.
func TestNodesRegisterDespiteLostStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(3)
		defer fl.end()
		fl.store.LoseAnswers(6)
		fl.await(t, 10*time.Second, func() bool { return len(fl.leaders()) == 1 })
		require.Len(t, fl.nodes[0].View().Members(), 3)
	})
}

// A node that did not reach the servers that are sent orders led beside nodes that did, or
// nobody led since none of them did.
func TestNodeUnfitToLeadLeadsOnlyIfAllAre(t *testing.T) {
	for name, unfit := range map[string]int{"one node is fit": 2, "no node is fit": 3} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(3)
				defer fl.end()
				fl.await(t, 10*time.Second, func() bool { return len(fl.leaders()) == 1 })
				leader := fl.leaders()[0]
				leader.unfit.Store(true)
				for _, nd := range fl.nodes {
					if nd != leader && unfit > 1 {
						nd.unfit.Store(true)
						unfit--
					}
				}
				leader.Resign(t.Context())
				fl.await(t, 20*time.Second, func() bool { return len(fl.leaders()) == 1 })
				if name == "one node is fit" {
					require.False(t, fl.leaders()[0].unfit.Load())
				}
			})
		})
	}
}

func TestResignedLeaderIsReplacedByAnotherNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(2)
		defer fl.end()
		fl.await(t, 5*time.Second, func() bool { return len(fl.leaders()) == 1 })
		old := fl.leaders()[0]
		old.leaving.Store(true)
		old.Resign(t.Context())
		require.Empty(t, fl.leaders())
		fl.await(t, handover+2*time.Second, func() bool { return len(fl.leaders()) == 1 })
		require.NotEqual(t, old.id, fl.leaders()[0].id)
	})
}

// TestNeverTwoLeadersUnderRandomFaults applies random partitions, suspensions,
// removed keys, outages and lost answers. Two nodes must never lead at the same
// time, nor one after the other within the handover.
func TestNeverTwoLeadersUnderRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(4)
				defer fl.end()
				random := rand.New(rand.NewPCG(seed, 7))
				last, lastAt := "", time.Time{}
				for range 3000 {
					fl.disturb(random)
					time.Sleep(20 * time.Millisecond)
					leaders := fl.leaders()
					require.LessOrEqual(t, len(leaders), 1)
					if len(leaders) == 0 {
						continue
					}
					if last != "" && last != leaders[0].id {
						require.GreaterOrEqual(t, time.Since(lastAt), handover)
					}
					last, lastAt = leaders[0].id, time.Now()
				}
				require.NotEmpty(t, last)
			})
		})
	}
}

func (fl *fleet) disturb(random *rand.Rand) {
	nd := fl.nodes[random.IntN(len(fl.nodes))]
	switch random.IntN(400) {
	case 0:
		nd.link.SetCut(true)
	case 1, 2, 3:
		nd.link.SetCut(false)
	case 4:
		fl.store.SetDown(true)
	case 5, 6, 7:
		fl.store.SetDown(false)
	case 8:
		fl.store.Remove("p/leader")
	case 9:
		fl.store.LoseAnswers(random.IntN(3))
	case 10:
		fl.store.Compact()
	case 11:
		// Only a leader is suspended, by moving its clock ahead of the others'.
		// A node that waits to lead would count the suspension as part of the
		// handover, which a suspension of a real machine cannot cause.
		if _, leads := nd.Leads(); leads {
			nd.paused.Add(random.Int64N(int64(3 * time.Second)))
		}
	}
}

// TestLostNodeIsEvictedAndOthersStay loses one node for good. The leader removes
// its registration; a node that only stopped reporting stays.
func TestLostNodeIsEvictedAndOthersStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(4)
		defer fl.end()
		fl.await(t, 10*time.Second, func() bool { return len(fl.leaders()) == 1 })
		var lost *node
		for _, nd := range fl.nodes {
			if nd != fl.leaders()[0] {
				lost = nd
			}
		}
		lost.link.SetCut(true)
		lost.unreachable.Store(true)
		fl.await(t, 4*time.Second, func() bool {
			_, ok := fl.leaders()[0].View().Member(lost.id)
			return !ok
		})
		time.Sleep(10 * time.Second)
		require.Len(t, fl.leaders()[0].View().Members(), 3)
		lost.link.SetCut(false)
		lost.unreachable.Store(false)
		fl.await(t, 5*time.Second, func() bool { return len(fl.leaders()[0].View().Members()) == 4 })
	})
}

// TestLostLeaderIsEvictedByTheNext loses the leader for good. Its registration
// has to go soon after the next leader begins, although that one has never heard
// of it.
func TestLostLeaderIsEvictedByTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(4)
		defer fl.end()
		fl.await(t, 10*time.Second, func() bool { return len(fl.leaders()) == 1 })
		old := fl.leaders()[0]
		old.link.SetCut(true)
		old.unreachable.Store(true)
		fl.await(t, 10*time.Second, func() bool { return len(fl.leaders()) == 1 && fl.leaders()[0] != old })
		fl.await(t, 1500*time.Millisecond, func() bool {
			_, ok := fl.leaders()[0].View().Member(old.id)
			return !ok
		})
	})
}

// TestIdleFleetCallsStoreOnlyForItsLeader counts the calls of a fleet in which
// nothing changes. Each node used to renew a lease.
func TestIdleFleetCallsStoreOnlyForItsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(8)
		defer fl.end()
		fl.await(t, 10*time.Second, func() bool { return len(fl.leaders()) == 1 })
		time.Sleep(5 * time.Second)
		_, before := fl.store.Calls()
		renewals := fl.store.Renewals()
		time.Sleep(12 * time.Second)
		_, after := fl.store.Calls()
		require.Equal(t, before, after, "writes")
		require.LessOrEqual(t, fl.store.Renewals()-renewals, int64(45))
	})
}

// TestNeverTwoLeadersOverDrills has the store return from older copies, beside
// the other faults. Leases are given out again, the copy has keys of leaders that
// no longer lead, and terms still have to grow.
func TestNeverTwoLeadersOverDrills(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(4)
				fl.store.SetEra(7)
				defer fl.end()
				random := rand.New(rand.NewPCG(seed, 20))
				last, lastAt, highest := "", time.Time{}, int64(0)
				for step := range 3000 {
					fl.disturb(random)
					switch {
					case step%300 == 0:
						fl.store.Copy()
					case step%300 == 299-random.IntN(100):
						fl.store.Restore()
					}
					time.Sleep(20 * time.Millisecond)
					leaders := fl.leaders()
					require.LessOrEqual(t, len(leaders), 1)
					if len(leaders) == 0 {
						continue
					}
					if last != "" && last != leaders[0].id {
						require.GreaterOrEqual(t, time.Since(lastAt), handover)
					}
					last, lastAt = leaders[0].id, time.Now()
					if term, leads := leaders[0].Leads(); leads {
						require.GreaterOrEqual(t, term, highest)
						highest = term
					}
				}
				require.NotEmpty(t, last)
			})
		})
	}
}

// TestFleetStaysTogetherAfterDrill restores a copy from before two of the nodes
// had registered. Nobody drops them, and they register again.
func TestFleetStaysTogetherAfterDrill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(4)
		fl.store.SetEra(7)
		defer fl.end()
		fl.await(t, 10*time.Second, func() bool { return len(fl.leaders()) == 1 })
		fl.store.Remove("p/nodes/n2:1")
		fl.store.Remove("p/nodes/n3:1")
		fl.store.Copy()
		time.Sleep(5 * time.Second)
		fl.store.Restore()
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			for _, nd := range fl.nodes {
				require.Len(t, nd.View().Members(), 4, nd.id)
			}
		}
		registered, err := fl.store.List(t.Context(), "p/nodes/")
		require.NoError(t, err)
		require.Len(t, registered, 4)
		require.Len(t, fl.leaders(), 1)
	})
}

// TestOwnReadinessIsInTheViewAtOnce has a node become ready while its store is cut
// off. Its view, from which it names addresses to callers, must not wait for the
// store.
func TestOwnReadinessIsInTheViewAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log.SetLevel(log.FatalLevel)
		link := platform.NewLink(platform.NewKeyspace())
		var ready atomic.Bool
		presence := func() messenger.Presence {
			return messenger.Presence{ID: "n", PeerAddress: "n:1", CallerAddress: "n:2", Zone: "z"}
		}
		rg := registrar.New(link, "p/", presence, registrar.WithReady(ready.Load))
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Go(func() { _ = rg.Run(ctx) })
		time.Sleep(5 * time.Second)
		link.SetCut(true)
		ready.Store(true)
		rg.Notify()
		time.Sleep(10 * time.Millisecond)
		mb, ok := rg.View().Member("n")
		require.True(t, ok)
		require.Equal(t, prober.Alive, mb.State)
		cancel()
		done.Wait()
	})
}
