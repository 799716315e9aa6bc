package orderregistrar_test

import (
	"context"
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
}

// order is the latest order that a server received.
type order struct {
	from string
	at   time.Time
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
	breaches []string
}

func newFleet(t *testing.T, count int, recordGap time.Duration) *fleet {
	log.SetLevel(log.FatalLevel)
	ctx, cancel := context.WithCancel(context.Background())
	fl := &fleet{t: t, store: platform.NewKeyspace(), gap: recordGap, stop: cancel, last: map[string]order{}, sent: map[string]int{}}
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
		term, leads := m.Leads()
		if !leads {
			m.End()
			continue
		}
		if !m.Begun(term) && m.Begin(ctx, term) != nil {
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
			fl.send(ctx, m, server)
		}
	}
}

func (fl *fleet) send(ctx context.Context, m *vm, server string) {
	done, err := m.Register(ctx, server)
	if err != nil {
		return
	}
	defer done(true)
	if _, leads := m.Leads(); !leads {
		return
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := time.Now()
	if was, ok := fl.last[server]; ok && was.from != m.name && now.Sub(was.at) < gap {
		fl.breaches = append(fl.breaches, fmt.Sprintf("server %s: %s %v after %s", server, m.name, now.Sub(was.at), was.from))
	}
	fl.last[server] = order{from: m.name, at: now}
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
				changes += len(fl.sent) - 1
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
