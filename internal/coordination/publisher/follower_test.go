package publisher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/spreader"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/cluster"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

func errorAs[T error](err error, target *T) bool { return errors.As(err, target) }

// fleet is nodes with followers.
type fleet struct {
	*cluster.Cluster
	t     *testing.T
	store *platform.Memory
	nodes []*node
}

type node struct {
	*cluster.Node
	holder *publisher.Holder
}

func newFleet(t *testing.T, count int) *fleet {
	fl := &fleet{Cluster: cluster.New(), t: t, store: platform.NewMemory()}
	fl.store.SetLatency(5 * time.Millisecond)
	for range count {
		fl.add(fl.store)
	}
	return fl
}

func (fl *fleet) add(st storer.Store) *node {
	nd := &node{holder: publisher.NewHolder()}
	handle := func(_ context.Context, call messenger.Message) (messenger.Message, error) {
		if ft, ok := call.(*messenger.RevisionFetch); ok {
			return nd.holder.Handle(ft)
		}
		return nil, prober.ErrUnhandled
	}
	id := fmt.Sprintf("n%d", len(fl.nodes))
	nd.Node = fl.Start(fl.t.Context(), id, id, "r", cluster.WithSetup(func(*cluster.Node) messenger.HandlerFunc { return handle }), cluster.WithRevision(nd.holder.Number))
	follower := publisher.NewFollower(nd.holder, st, nd.View, nd.Caller, nd.Spreader(), publisher.WithRandom(nd.Random(2)))
	fl.nodes = append(fl.nodes, nd)
	go func() { _ = follower.Run(fl.t.Context()) }()
	return nd
}

func (fl *fleet) stop() {
	for _, nd := range fl.nodes {
		nd.Stop()
	}
	synctest.Wait()
	require.Empty(fl.t, checker.Violations())
}

// await lets time pass until all nodes have the revision in force.
func (fl *fleet) await(limit time.Duration, number int64, nodes ...*node) time.Duration {
	began := time.Now()
	for _, nd := range nodes {
		for nd.holder.Number() < number {
			require.Less(fl.t, time.Since(began), limit, "%s is at revision %d, not %d", nd.ID, nd.holder.Number(), number)
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(began)
}

func (fl *fleet) isolate(one *node, cut bool, others ...*node) {
	for _, nd := range others {
		fl.Isolate(one.Node, cut, nd.Node)
	}
}

func TestRevisionIsInForceWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4)
		defer fl.stop()
		time.Sleep(5 * time.Second)
		random := rand.New(rand.NewPCG(1, 1))
		var took []time.Duration
		for ix := range int64(100) {
			time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
			apply(t, fl.store, int(ix), ix)
			took = append(took, fl.await(time.Second, ix+1, fl.nodes...))
		}
		sort.Slice(took, func(ix, jx int) bool { return took[ix] < took[jx] })
		t.Logf("in force on 4 nodes: median %v, p99 %v", took[len(took)/2], took[len(took)*99/100])
		reads, _ := fl.store.Calls()
		t.Logf("%d reads", reads)
	})
}

// frozen answers every read as at first, as a watch that neither fails nor
// delivers.
type frozen struct {
	storer.Store
	mu   sync.Mutex
	seen map[string]storer.Entry
}

// Get implements storer.Store.
func (fz *frozen) Get(ctx context.Context, key string) (storer.Entry, error) {
	fz.mu.Lock()
	en, ok := fz.seen[key]
	fz.mu.Unlock()
	if ok {
		return en, nil
	}
	en, err := fz.Store.Get(ctx, key)
	if err == nil {
		fz.mu.Lock()
		fz.seen[key] = en
		fz.mu.Unlock()
	}
	return en, err
}

// Hazard 5: the news of a change never comes, or comes with changes skipped.
func TestStaleStoreHoldsNoNodeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2)
		defer fl.stop()
		apply(t, fl.store, 0, 0)
		for range 2 {
			fl.add(&frozen{Store: fl.store, seen: map[string]storer.Entry{}})
		}
		fl.await(5*time.Second, 1, fl.nodes...)
		time.Sleep(5 * time.Second)
		longest := time.Duration(0)
		for ix := int64(1); ix <= 30; ix += 3 {
			for jx := range int64(3) { // three at once: some numbers are never seen
				apply(t, fl.store, int(ix+jx), ix+jx)
			}
			longest = max(longest, fl.await(4*time.Second, ix+3, fl.nodes...))
		}
		t.Logf("in force with half of the nodes' reads stale: at most %v", longest)
	})
}

// gated is a store that can be put out of reach of one node.
type gated struct {
	storer.Store
	shut atomic.Bool
}

// Get implements storer.Store.
func (ga *gated) Get(ctx context.Context, key string) (storer.Entry, error) {
	if ga.shut.Load() {
		return storer.Entry{}, &storer.Error{Op: "get", Key: key, Kind: storer.Unavailable}
	}
	return ga.Store.Get(ctx, key)
}

// Hazard 6: a node starts during an outage and hears first from a peer that
// was cut off and is behind; the cut-off peer comes back with old news.
func TestStartDuringOutageTakesTheHighestOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 3)
		defer fl.stop()
		apply(t, fl.store, 0, 0)
		cutOff := &gated{Store: fl.store}
		behind, rest := fl.add(cutOff), fl.nodes[:3]
		fl.await(5*time.Second, 1, fl.nodes...)
		cutOff.shut.Store(true)
		fl.isolate(behind, true, rest...)
		time.Sleep(10 * time.Second)
		apply(t, fl.store, 1, 1)
		fl.await(5*time.Second, 2, rest...)
		require.EqualValues(t, 1, behind.holder.Number())
		fl.store.SetDown(true)
		started := fl.add(fl.store)
		fl.isolate(started, true, rest...)
		time.Sleep(time.Second)
		require.Zero(t, started.holder.Number(), "one peer's word is not enough at once")
		fl.isolate(started, false, rest...)
		lowest := int64(0)
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			if number := started.holder.Number(); number > 0 && lowest == 0 {
				lowest = number
			}
		}
		require.EqualValues(t, 2, lowest, "the first revision that it serves")
		fl.isolate(behind, false, rest...)
		fl.await(30*time.Second, 2, fl.nodes...)
	})
}

func TestCorruptHeadKeepsTheRevisionInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2)
		defer fl.stop()
		apply(t, fl.store, 0, 0)
		fl.await(5*time.Second, 1, fl.nodes...)
		en, err := fl.store.Get(t.Context(), "config/head")
		require.NoError(t, err)
		revision, err := fl.store.Swap(t.Context(), "config/head", []byte{0xc1}, en.Revision)
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		require.EqualValues(t, 1, fl.nodes[0].holder.Number())
		require.Positive(t, fl.nodes[0].holder.Corrupt())
		_, err = fl.store.Swap(t.Context(), "config/head", en.Value, revision)
		require.NoError(t, err)
		apply(t, fl.store, 1, 1)
		fl.await(5*time.Second, 2, fl.nodes...)
	})
}

func TestOnlyDesignatedNodesPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 12)
		defer fl.stop()
		apply(t, fl.store, 0, 0)
		fl.await(5*time.Second, 1, fl.nodes...)
		time.Sleep(2 * time.Minute)
		before, _ := fl.store.Calls()
		time.Sleep(2 * time.Minute)
		after, _ := fl.store.Calls()
		perSecond := float64(after-before) / 120
		t.Logf("%.1f reads a second by 12 nodes", perSecond)
		require.Less(t, perSecond, 13.0)
		fl.nodes[0].Spreader().Publish("other", spreader.Version{Epoch: 1}, nil)
		apply(t, fl.store, 1, 1)
		t.Logf("in force on 12 nodes after %v", fl.await(2*time.Second, 2, fl.nodes...))
	})
}
