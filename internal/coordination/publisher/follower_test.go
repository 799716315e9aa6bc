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
	"github.com/lagoonpass/lagoonpass/internal/coordination/gossiper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/cluster"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

func errorAs[T error](err error, target *T) bool { return errors.As(err, target) }

// fleet is a cluster of nodes with followers on one store.
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
	follower := publisher.NewFollower(nd.holder, st, nd.View, nd.Caller, nd.Gossiper(), publisher.WithRandom(nd.Random(2)))
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

// awaitRevision waits until all nodes have the revision in force, and returns
// how long that took. It fails after the limit.
func (fl *fleet) awaitRevision(limit time.Duration, number int64, nodes ...*node) time.Duration {
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

func TestNodesApplyRevisionWithinOneSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4)
		defer fl.stop()
		time.Sleep(5 * time.Second)
		random := rand.New(rand.NewPCG(1, 1))
		var took []time.Duration
		for ix := range int64(100) {
			time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
			apply(t, fl.store, int(ix), ix)
			took = append(took, fl.awaitRevision(time.Second, ix+1, fl.nodes...))
		}
		sort.Slice(took, func(ix, jx int) bool { return took[ix] < took[jx] })
		t.Logf("time until the revision is in force on 4 nodes: median %v, p99 %v", took[len(took)/2], took[len(took)*99/100])
		reads, _ := fl.store.Calls()
		t.Logf("the nodes read the store %d times", reads)
	})
}

// staleStore returns the first value read of each key for ever, like a watch
// that neither fails nor delivers.
type staleStore struct {
	storer.Store
	mu   sync.Mutex
	seen map[string]storer.Entry
}

// Get implements storer.Store.
func (fz *staleStore) Get(ctx context.Context, key string) (storer.Entry, error) {
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

// TestNodesWithStaleStoreFollowRevisions guards against hazard 5: a node is not
// notified of a change, or is notified of only some changes.
func TestNodesWithStaleStoreFollowRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2)
		defer fl.stop()
		apply(t, fl.store, 0, 0)
		for range 2 {
			fl.add(&staleStore{Store: fl.store, seen: map[string]storer.Entry{}})
		}
		fl.awaitRevision(5*time.Second, 1, fl.nodes...)
		time.Sleep(5 * time.Second)
		longest := time.Duration(0)
		for ix := int64(1); ix <= 30; ix += 3 {
			for jx := range int64(3) { // three in a row: nodes may skip some
				apply(t, fl.store, int(ix+jx), ix+jx)
			}
			longest = max(longest, fl.awaitRevision(4*time.Second, ix+3, fl.nodes...))
		}
		t.Logf("revision in force on all nodes, half of them with stale reads, after at most %v", longest)
	})
}

// gatedStore is a store whose reads can be made to fail.
type gatedStore struct {
	storer.Store
	unreachable atomic.Bool
}

// Get implements storer.Store.
func (ga *gatedStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	if ga.unreachable.Load() {
		return storer.Entry{}, &storer.Error{Op: "get", Key: key, Kind: storer.Unavailable}
	}
	return ga.Store.Get(ctx, key)
}

// TestStartDuringOutageTakesHighestPeerRevision guards against hazard 6: a node
// starts during an outage of the store and first reaches a peer that was
// isolated and has an old revision, which later rejoins the cluster.
func TestStartDuringOutageTakesHighestPeerRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 3)
		defer fl.stop()
		apply(t, fl.store, 0, 0)
		gated := &gatedStore{Store: fl.store}
		isolated, rest := fl.add(gated), fl.nodes[:3]
		fl.awaitRevision(5*time.Second, 1, fl.nodes...)
		gated.unreachable.Store(true)
		fl.isolate(isolated, true, rest...)
		time.Sleep(10 * time.Second)
		apply(t, fl.store, 1, 1)
		fl.awaitRevision(5*time.Second, 2, rest...)
		require.EqualValues(t, 1, isolated.holder.Number())
		fl.store.SetDown(true)
		started := fl.add(fl.store)
		fl.isolate(started, true, rest...)
		time.Sleep(time.Second)
		require.Zero(t, started.holder.Number(), "one peer's word is not enough at once")
		fl.isolate(started, false, rest...)
		first := int64(0)
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			if number := started.holder.Number(); number > 0 && first == 0 {
				first = number
			}
		}
		require.EqualValues(t, 2, first, "the first revision that it serves")
		fl.isolate(isolated, false, rest...)
		fl.awaitRevision(30*time.Second, 2, fl.nodes...)
	})
}

func TestCorruptHeadKeepsRevisionInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2)
		defer fl.stop()
		apply(t, fl.store, 0, 0)
		fl.awaitRevision(5*time.Second, 1, fl.nodes...)
		en, err := fl.store.Get(t.Context(), "config/head")
		require.NoError(t, err)
		revision, err := fl.store.Swap(t.Context(), "config/head", []byte{0xc1}, en.Revision)
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		require.EqualValues(t, 1, fl.nodes[0].holder.Number())
		require.Positive(t, fl.nodes[0].holder.CorruptReads())
		_, err = fl.store.Swap(t.Context(), "config/head", en.Value, revision)
		require.NoError(t, err)
		apply(t, fl.store, 1, 1)
		fl.awaitRevision(5*time.Second, 2, fl.nodes...)
	})
}

func TestOnlyDesignatedNodesPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 12)
		defer fl.stop()
		apply(t, fl.store, 0, 0)
		fl.awaitRevision(5*time.Second, 1, fl.nodes...)
		time.Sleep(2 * time.Minute)
		before, _ := fl.store.Calls()
		time.Sleep(2 * time.Minute)
		after, _ := fl.store.Calls()
		perSecond := float64(after-before) / 120
		t.Logf("12 nodes read the store %.1f times a second", perSecond)
		require.Less(t, perSecond, 13.0)
		fl.nodes[0].Gossiper().Publish("other", gossiper.Version{Epoch: 1}, nil)
		apply(t, fl.store, 1, 1)
		t.Logf("revision in force on 12 nodes after %v", fl.awaitRevision(2*time.Second, 2, fl.nodes...))
	})
}
