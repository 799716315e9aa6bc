package orderregistrar_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/orderregistrar"
	"github.com/lagoonpass/lagoonpass/internal/coordination/registrar"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

var (
	firstDrill = flag.Uint64("first-drill", 0, "seed of the first series of drills")
	drills     = flag.Uint64("drills", 12, "number of series of drills")
)

const (
	gap     = 3 * time.Second
	servers = 8
)

// vm is a VM that sends orders to random servers while it is the leader.
type vm struct {
	*registrar.Registrar
	*orderregistrar.Record
	name string
	link *platform.Link
	era  int64
}

// order is the latest order that a server received.
type order struct {
	from  string
	at    time.Time
	fence int64
}

type fleet struct {
	t     *testing.T
	store *platform.Keyspace
	vms   []*vm
	// gap is the gap of each Record.
	gap  time.Duration
	stop context.CancelFunc
	done sync.WaitGroup

	mu       sync.Mutex
	last     map[string]order // by server
	sent     map[string]int   // orders by VM
	handed   int              // orders to a server by another VM than the last one
	breaches []string
}

func newFleet(t *testing.T, count int, recordGap time.Duration) *fleet {
	log.SetLevel(log.FatalLevel)
	ctx, cancel := context.WithCancel(context.Background())
	fl := &fleet{t: t, store: platform.NewKeyspace(), gap: recordGap, stop: cancel, last: map[string]order{}, sent: map[string]int{}}
	fl.store.SetEra(7)
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	for ix := range count {
		m := &vm{name: fmt.Sprintf("n%d", ix), link: platform.NewLink(fl.store)}
		presence := func() messenger.Presence {
			return messenger.Presence{ID: m.name, PeerAddress: m.name + ":1", CallerAddress: m.name + ":2", Zone: "z"}
		}
		m.Registrar = registrar.New(m.link, "p/", presence, registrar.WithClock(clock))
		m.Record = orderregistrar.New(m.link, "orders", m.name, "p/leader", recordGap, orderregistrar.WithClock(clock))
		fl.vms = append(fl.vms, m)
		fl.done.Go(func() { _ = m.Registrar.Run(ctx) })
		fl.done.Go(func() { fl.lead(ctx, m, rand.New(rand.NewPCG(uint64(ix), 1))) })
	}
	return fl
}

func (fl *fleet) end() {
	fl.stop()
	fl.done.Wait()
}

// lead sends orders while the VM is the leader.
func (fl *fleet) lead(ctx context.Context, m *vm, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(30 * time.Millisecond)
		if era := m.link.Era(); era != m.era {
			if m.era != 0 {
				m.Record.StoreRestored()
			}
			m.era = era
		}
		term, leads := m.Leads()
		if !leads {
			m.End()
			continue
		}
		if !m.Begun(term) && m.begin(ctx, term) != nil {
			continue
		}
		if random.IntN(20) == 0 {
			m.Prune(ctx)
		}
		// Half of the servers get orders often, the others rarely.
		server := fmt.Sprint(random.IntN(servers / 2))
		if random.IntN(30) == 0 {
			server = fmt.Sprint(servers/2 + random.IntN(servers/2))
		}
		if m.MaySend(server) {
			fl.send(ctx, m, server, term)
		}
	}
}

func (m *vm) begin(ctx context.Context, term int64) error {
	if former := m.FormerTerm(); former != 0 {
		return m.Continue(ctx, former, term)
	}
	return m.Begin(ctx, term)
}

func (fl *fleet) send(ctx context.Context, m *vm, server string, fence int64) {
	done, err := m.Register(ctx, server)
	if err != nil {
		return
	}
	defer done(true)
	if term, leads := m.Leads(); !leads || term != fence {
		return
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := time.Now()
	if was, ok := fl.last[server]; ok && was.from != m.name && now.Sub(was.at) < gap {
		fl.breaches = append(fl.breaches, fmt.Sprintf("server %s: %s %v after %s", server, m.name, now.Sub(was.at), was.from))
	}
	if was := fl.last[server]; fence < was.fence || fence == was.fence && was.from != m.name {
		fl.breaches = append(fl.breaches, fmt.Sprintf("server %s: fence %d by %s after %d by %s", server, fence, m.name, was.fence, was.from))
	}
	if was, ok := fl.last[server]; ok && was.from != m.name {
		fl.handed++
	}
	fl.last[server] = order{from: m.name, at: now, fence: fence}
	fl.sent[m.name]++
}

func (fl *fleet) injectFault(random *rand.Rand) {
	m := fl.vms[random.IntN(len(fl.vms))]
	switch random.IntN(300) {
	case 0, 1:
		m.link.SetCut(true)
	case 2, 3, 4, 5:
		m.link.SetCut(false)
	case 6:
		fl.store.SetDown(true)
	case 7, 8, 9:
		fl.store.SetDown(false)
	case 10, 11, 12:
		fl.store.Remove("p/leader")
	case 13, 14, 15, 16:
		fl.store.LoseAnswers(random.IntN(3))
	}
}

// senders returns the number of VMs that sent orders.
func (fl *fleet) senders() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return len(fl.sent)
}

func (fl *fleet) violations() []string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return append([]string(nil), fl.breaches...)
}

// TestOrdersOfTwoVMsKeepGap injects random cuts, outages, taken keys and lost
// answers: no server gets orders of two VMs within the gap.
func TestOrdersOfTwoVMsKeepGap(t *testing.T) {
	changes := 0
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 7))
				fl := newFleet(t, 4, gap)
				defer fl.end()
				for range 3000 {
					fl.injectFault(random)
					time.Sleep(20 * time.Millisecond)
				}
				require.Empty(t, fl.violations())
				fl.end()
				changes += fl.handed
			})
		})
	}
	require.Greater(t, changes, 12, "the orders change hands")
}

// TestGapCheckFiresWithoutGap verifies that the check of the random test
// detects a Record without a gap.
func TestGapCheckFiresWithoutGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 7))
		fl := newFleet(t, 4, -time.Second)
		defer fl.end()
		for range 3000 {
			fl.injectFault(random)
			time.Sleep(20 * time.Millisecond)
		}
		require.NotEmpty(t, fl.violations())
	})
}

// TestNextLeaderDelaysOrdersToRecentServersOnly replaces a leader that sent
// orders to two of three servers.
func TestNextLeaderDelaysOrdersToRecentServersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.NewKeyspace()
		store.Put("leader", []byte("one"))
		term := func() int64 {
			en, err := store.Get(t.Context(), "leader")
			require.NoError(t, err)
			return en.Revision
		}
		start := time.Now()
		clock := orderregistrar.WithClock(func() time.Duration { return time.Since(start) })
		one := orderregistrar.New(store, "orders", "one", "leader", gap, clock)
		require.False(t, one.MaySend("a"), "nothing is known yet")
		require.NoError(t, one.Begin(t.Context(), term()))
		for _, server := range []string{"a", "b"} {
			done, err := one.Register(t.Context(), server)
			require.NoError(t, err)
			done(true)
		}
		store.Put("leader", []byte("two"))
		_, err := one.Register(t.Context(), "c")
		require.Error(t, err, "it no longer leads")
		two := orderregistrar.New(store, "orders", "two", "leader", gap, clock)
		require.NoError(t, two.Begin(t.Context(), term()))
		require.True(t, two.MaySend("c"))
		require.False(t, two.MaySend("a"))
		_, err = two.Register(t.Context(), "a")
		require.ErrorIs(t, err, orderregistrar.ErrRecentOrders)
		again := orderregistrar.New(store, "orders", "one", "leader", gap, clock)
		require.NoError(t, again.Begin(t.Context(), term()))
		require.True(t, again.MaySend("a"), "a new process of the same VM need not wait")
		time.Sleep(gap + time.Second)
		require.True(t, two.MaySend("a"))
		done, err := two.Register(t.Context(), "a")
		require.NoError(t, err)
		done(true)
		time.Sleep(gap + time.Second)
		two.Prune(t.Context())
		en, err := store.Get(t.Context(), "orders")
		require.NoError(t, err)
		require.JSONEq(t, `{"holders":{}}`, string(en.Value), "what is no longer recent is struck")
	})
}

// TestUnansweredOrderKeepsServerRecorded checks that a server stays in the
// record for as long as an unanswered order may arrive.
func TestUnansweredOrderKeepsServerRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.NewKeyspace()
		store.Put("leader", []byte("one"))
		en, err := store.Get(t.Context(), "leader")
		require.NoError(t, err)
		start := time.Now()
		one := orderregistrar.New(store, "orders", "one", "leader", gap, orderregistrar.WithClock(func() time.Duration { return time.Since(start) }))
		require.NoError(t, one.Begin(t.Context(), en.Revision))
		done, err := one.Register(t.Context(), "a")
		require.NoError(t, err)
		done(false)
		for wanted := range 2 {
			time.Sleep(gap + time.Second + time.Duration(wanted)*10*time.Second)
			one.Prune(t.Context())
			en, err = store.Get(t.Context(), "orders")
			require.NoError(t, err)
			if wanted == 0 {
				require.JSONEq(t, `{"holders":{"one":["a"]}}`, string(en.Value))
			} else {
				require.JSONEq(t, `{"holders":{}}`, string(en.Value))
			}
		}
	})
}

// TestUnreadableRecordDelaysOrders covers a record in an unknown format.
func TestUnreadableRecordDelaysOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.NewKeyspace()
		store.Put("leader", []byte("one"))
		en, err := store.Get(t.Context(), "leader")
		require.NoError(t, err)
		store.Put("orders", []byte("["))
		start := time.Now()
		rc := orderregistrar.New(store, "orders", "one", "leader", gap, orderregistrar.WithClock(func() time.Duration { return time.Since(start) }))
		require.NoError(t, rc.Begin(t.Context(), en.Revision))
		time.Sleep(gap - time.Millisecond)
		require.False(t, rc.MaySend("a"))
		time.Sleep(time.Second)
		require.True(t, rc.MaySend("a"))
		done, err := rc.Register(t.Context(), "a")
		require.NoError(t, err)
		done(true)
		require.NoError(t, rc.Begin(t.Context(), en.Revision))
		require.True(t, rc.MaySend("b"), "it is readable again")
	})
}

// countingStore counts the calls to Commit.
type countingStore struct {
	*platform.Keyspace
	calls int
}

func (cs *countingStore) Commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	cs.calls++
	return cs.Keyspace.Commit(ctx, tx)
}

// TestWritesPauseWhileStoreIsDown requests many orders while the store is down.
func TestWritesPauseWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{Keyspace: platform.NewKeyspace()}
		store.Put("leader", []byte("one"))
		en, err := store.Get(t.Context(), "leader")
		require.NoError(t, err)
		start := time.Now()
		rc := orderregistrar.New(store, "orders", "one", "leader", gap, orderregistrar.WithClock(func() time.Duration { return time.Since(start) }))
		time.Sleep(time.Second)
		require.NoError(t, rc.Begin(t.Context(), en.Revision))
		store.SetDown(true)
		for range 100 {
			_, err := rc.Register(t.Context(), "a")
			require.Error(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		require.LessOrEqual(t, store.calls, 6)
		store.SetDown(false)
		time.Sleep(time.Second)
		_, err = rc.Register(t.Context(), "a")
		require.NoError(t, err)
	})
}

// drill has the store away for a moment and return from a copy that is some
// seconds old.
func (fl *fleet) drill(random *rand.Rand) {
	fl.store.Copy()
	for range random.IntN(250) {
		fl.injectFault(random)
		time.Sleep(20 * time.Millisecond)
	}
	fl.store.SetDown(true)
	time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	fl.store.Restore()
	fl.store.SetDown(false)
}

// TestOrdersKeepGapAndFencesOverDrills has the store return from older copies,
// beside cuts, outages, taken keys and lost answers. No server gets orders of two
// VMs within the gap, and its fences never go down nor name two VMs.
func TestOrdersKeepGapAndFencesOverDrills(t *testing.T) {
	for seed := *firstDrill; seed < *firstDrill+*drills; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 20))
				fl := newFleet(t, 4, gap)
				defer fl.end()
				for range 8 {
					for range random.IntN(400) {
						fl.injectFault(random)
						time.Sleep(20 * time.Millisecond)
					}
					fl.drill(random)
				}
				require.Empty(t, fl.violations())
			})
		})
	}
}

// TestDrillCheckFiresWithoutEras verifies that the check of the drills detects
// nodes that do not know of the eras, as all did.
func TestDrillCheckFiresWithoutEras(t *testing.T) {
	broken := 0
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 20))
			fl := newFleet(t, 4, gap)
			defer fl.end()
			for _, m := range fl.vms {
				m.link.HideEras()
			}
			for range 8 {
				for range random.IntN(400) {
					fl.injectFault(random)
					time.Sleep(20 * time.Millisecond)
				}
				fl.drill(random)
			}
			broken += len(fl.violations())
		})
	}
	require.Positive(t, broken)
}

// TestOrdersGoOnSoonAfterDrill has a drill without other faults. The former
// leader goes on, since it knows the orders that the copy lacks.
func TestOrdersGoOnSoonAfterDrill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, gap)
		defer fl.end()
		time.Sleep(10 * time.Second)
		fl.store.Copy()
		time.Sleep(4 * time.Second)
		require.Equal(t, 1, fl.senders())
		fl.store.Restore()
		restored := time.Now()
		limit := gap + 2*time.Second
		for ordered := 0; ordered < servers/2; time.Sleep(10 * time.Millisecond) {
			require.Less(t, time.Since(restored), limit)
			ordered = 0
			fl.mu.Lock()
			for _, od := range fl.last {
				if era, _ := registrar.SplitTerm(od.fence); era == 8 {
					ordered++
				}
			}
			fl.mu.Unlock()
		}
		require.Equal(t, 1, fl.senders(), "the leader stays")
		require.Empty(t, fl.violations())
	})
}

// TestNextLeaderAfterDrillDelaysOrdersToAllServers loses the leader with the
// drill: no one else knows which orders the copy lacks.
func TestNextLeaderAfterDrillDelaysOrdersToAllServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, gap)
		defer fl.end()
		fl.store.Copy() // before there was any record
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, fl.senders())
		for _, m := range fl.vms {
			if _, leads := m.Leads(); leads {
				m.link.SetCut(true)
			}
		}
		fl.store.Restore()
		time.Sleep(15 * time.Second)
		require.Equal(t, 2, fl.senders(), "another VM has taken over")
		require.Empty(t, fl.violations())
	})
}

// TestContinuedTermWritesAllRecentServersBeforeItsNextOrder has a leader go on
// after a drill that lost its entries. Its first order used to write only the
// entry of its own server, so that the next leader took the others for free.
func TestContinuedTermWritesAllRecentServersBeforeItsNextOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.NewKeyspace()
		store.SetEra(7)
		start := time.Now()
		clock := orderregistrar.WithClock(func() time.Duration { return time.Since(start) })
		lead := func(id string) int64 {
			store.Put("leader", []byte(id))
			en, err := store.Get(t.Context(), "leader")
			require.NoError(t, err)
			return registrar.Term(store.Era(), en.Revision)
		}
		order := func(rc *orderregistrar.Record, server string) {
			done, err := rc.Register(t.Context(), server)
			require.NoError(t, err)
			done(true)
		}
		store.Copy()
		one := orderregistrar.New(store, "orders", "one", "leader", gap, clock)
		former := lead("one")
		require.NoError(t, one.Begin(t.Context(), former))
		order(one, "a")
		one.End()
		store.Restore()
		one.StoreRestored()
		require.NoError(t, one.Continue(t.Context(), former, lead("one")))
		order(one, "b")

		two := orderregistrar.New(store, "orders", "two", "leader", gap, clock)
		require.NoError(t, two.Begin(t.Context(), lead("two")))
		require.False(t, two.MaySend("a"))
		require.False(t, two.MaySend("b"))
		require.True(t, two.MaySend("c"))
	})
}

// TestTermDoesNotBeginWithRecordOfLaterEra has the store return from an older copy
// between a leader's election and its reading of the record.
func TestTermDoesNotBeginWithRecordOfLaterEra(t *testing.T) {
	store := platform.NewKeyspace()
	store.SetEra(7)
	store.Copy()
	rc := orderregistrar.New(store, "orders", "one", "leader", gap)
	store.Restore()
	require.ErrorIs(t, rc.Begin(t.Context(), registrar.Term(7, 5)), storer.ErrEraChanged)
	require.NoError(t, rc.Begin(t.Context(), registrar.Term(8, 5)))
}
