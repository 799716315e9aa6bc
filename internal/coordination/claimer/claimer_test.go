package claimer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/claimer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/network"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
)

const resource = "planner"

// group is several claimers whose views the test sets.
type group struct {
	store   *platform.Memory
	network *network.Network
	nodes   []*node
}

type node struct {
	*claimer.Claimer
	id       string
	view     *prober.View
	registry *counter.Registry
}

func newGroup(count int) *group {
	gr := &group{store: platform.NewMemory(), network: network.New()}
	for ix := range count {
		nd := &node{id: fmt.Sprintf("n%d", ix), registry: counter.NewRegistry()}
		nd.Claimer = claimer.New(gr.store, func() *prober.View { return nd.view }, gr.network.From(nd.id),
			claimer.WithRandom(rand.New(rand.NewPCG(uint64(ix), 7))), claimer.WithRegistry(nd.registry))
		gr.network.Listen(nd.id, messenger.HandlerFunc(func(ctx context.Context, call messenger.Message) (messenger.Message, error) {
			return nd.Handle(ctx, call.(*messenger.Release))
		}))
		gr.nodes = append(gr.nodes, nd)
	}
	return gr
}

// setView gives a node a view in which exactly the named nodes are alive.
func (gr *group) setView(nd *node, alive ...string) {
	var members []prober.Member
	for _, other := range gr.nodes {
		mb := prober.Member{ID: other.id, PeerAddress: other.id, State: prober.Dead}
		for _, id := range alive {
			if id == other.id {
				mb.State = prober.Alive
			}
		}
		members = append(members, mb)
	}
	nd.view = prober.NewView(nd.id, members, prober.WithValidSince(nd.view.ValidSince()))
}

// owner gives all nodes a view in which n0 and n1 are alive, and returns the
// one of them that owns the resource and the other one.
func (gr *group) owner() (owner, other *node) {
	for _, nd := range gr.nodes {
		nd.view = prober.NewView(nd.id, nil)
	}
	for _, nd := range gr.nodes {
		gr.setView(nd, "n0", "n1")
	}
	if gr.nodes[0].view.Owns(resource) {
		return gr.nodes[0], gr.nodes[1]
	}
	return gr.nodes[1], gr.nodes[0]
}

// hold calls Hold until it succeeds and returns the epoch.
func hold(t *testing.T, nd *node, within time.Duration) int64 {
	began := time.Now()
	for {
		epoch, err := nd.Hold(t.Context(), resource)
		if err == nil {
			return epoch
		}
		require.Less(t, time.Since(began), within, "%v", err)
		time.Sleep(50 * time.Millisecond)
	}
}

// TestPausedHolderIsFenced covers hazard 1: an owner is paused, another node
// takes over, and the first node resumes and writes.
func TestPausedHolderIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gr := newGroup(2)
		first, second := gr.owner()
		require.EqualValues(t, 1, hold(t, first, time.Second))
		require.NoError(t, first.Update(t.Context(), resource, []byte("a")))
		gr.setView(second, second.id)
		require.EqualValues(t, 2, hold(t, second, time.Second))
		payload, _ := second.Payload(t.Context(), resource)
		require.Equal(t, "a", string(payload))
		require.NoError(t, second.Update(t.Context(), resource, []byte("b")))
		time.Sleep(time.Second)
		first.view = prober.NewView(first.id, first.view.Members(), prober.WithValidSince(time.Now()))
		_, held := first.Epoch(resource)
		require.False(t, held, "what was confirmed before the pause does not count")
		require.ErrorIs(t, first.Update(t.Context(), resource, []byte("c")), claimer.ErrLost)
		payload, _ = second.Payload(t.Context(), resource)
		require.Equal(t, "b", string(payload))
	})
}

// TestConflictingViewsMoveResourceRarely covers hazard 2: two nodes see
// different members, and each considers itself the owner.
func TestConflictingViewsMoveResourceRarely(t *testing.T) {
	for _, mutual := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			gr := newGroup(3)
			first, second := gr.owner()
			hold(t, first, time.Second)
			if mutual { // each sees the other as dead
				gr.setView(first, first.id)
				gr.setView(second, second.id)
			} else { // each sees the other as alive, but their views differ
				first, second = gr.setConflictingViews(t)
			}
			var highest int64
			for range 4 * 3600 {
				for _, nd := range []*node{first, second} {
					if epoch, err := nd.Hold(t.Context(), resource); err == nil {
						highest = max(highest, epoch)
					}
				}
				time.Sleep(250 * time.Millisecond)
			}
			t.Logf("mutual=%v: epoch %d after an hour", mutual, highest)
			require.LessOrEqual(t, highest, int64(24))
			if !mutual {
				require.LessOrEqual(t, highest, int64(2))
			}
		})
	}
}

// setConflictingViews gives two nodes views that contain both of them, and in
// each of which the node itself owns the resource.
func (gr *group) setConflictingViews(t *testing.T) (one, two *node) {
	for _, one := range gr.nodes {
		for _, two := range gr.nodes {
			gr.setView(one, one.id, two.id)
			two.view = prober.NewView(two.id, []prober.Member{
				{ID: two.id, State: prober.Alive},
				{ID: one.id, PeerAddress: one.id, State: prober.Leaving},
			})
			if one != two && one.view.Owns(resource) && two.view.Owns(resource) {
				return one, two
			}
		}
	}
	t.Fatal("no two nodes that both own the resource in their views")
	return nil, nil
}

func TestLiveHolderReleasesOnRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gr := newGroup(2)
		owner, other := gr.owner()
		gr.setView(other, other.id)
		require.EqualValues(t, 1, hold(t, other, time.Second))
		_, err := owner.Hold(t.Context(), resource)
		require.ErrorIs(t, err, claimer.ErrHeld, "the holder's own view gives it the resource")
		gr.setView(other, "n0", "n1")
		require.EqualValues(t, 2, hold(t, owner, 5*time.Second))
		_, held := other.Epoch(resource)
		require.False(t, held)
	})
}

// TestAcquisitionSurvivesLostAnswer covers hazard 3: a write takes effect and
// its answer is lost.
func TestAcquisitionSurvivesLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gr := newGroup(2)
		owner, _ := gr.owner()
		gr.store.LoseAnswers(1)
		epoch, err := owner.Hold(t.Context(), resource)
		require.NoError(t, err)
		require.EqualValues(t, 1, epoch)
		gr.store.LoseWrites(1)
		require.Error(t, owner.Update(t.Context(), resource, []byte("x")))
		require.EqualValues(t, 1, hold(t, owner, time.Second))
		require.NoError(t, owner.Update(t.Context(), resource, []byte("x")))
	})
}

// TestStoreOutageKeepsHoldersAndPacesAcquisitions covers hazard 4: after an
// outage of one hour all acquisitions are due at once.
func TestStoreOutageKeepsHoldersAndPacesAcquisitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gr := newGroup(1)
		nd := gr.nodes[0]
		nd.view = prober.NewView(nd.id, []prober.Member{{ID: nd.id, State: prober.Alive}})
		epoch := hold(t, nd, time.Second)
		const resources = 40
		pass := func() (held int) {
			for ix := range resources {
				if _, err := nd.Hold(t.Context(), fmt.Sprintf("limit/%d", ix)); err == nil {
					held++
				}
			}
			return held
		}
		gr.store.SetDown(true)
		_, before := gr.store.Calls()
		for range 3600 {
			require.Zero(t, pass(), "nothing new is taken during an outage")
			require.Equal(t, epoch, hold(t, nd, time.Second), "what is held is kept")
			time.Sleep(time.Second)
		}
		gr.store.SetDown(false)
		most := int64(0)
		for held := 0; held < resources; {
			_, start := gr.store.Calls()
			held = pass()
			time.Sleep(time.Second)
			_, end := gr.store.Calls()
			most = max(most, end-start)
		}
		_, after := gr.store.Calls()
		require.EqualValues(t, resources, after-before)
		require.LessOrEqual(t, most, int64(4), "acquisitions a second of one node")
	})
}

func TestReleaseAllAllowsImmediateAcquisition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gr := newGroup(2)
		owner, other := gr.owner()
		hold(t, owner, time.Second)
		owner.ReleaseAll(t.Context())
		gr.setView(other, other.id)
		epoch, err := other.Hold(t.Context(), resource)
		require.NoError(t, err)
		require.EqualValues(t, 2, epoch)
		require.Empty(t, checker.Violations())
	})
}

func TestHoldFailsWithStaleView(t *testing.T) {
	gr := newGroup(2)
	owner, _ := gr.owner()
	owner.view = prober.NewView(owner.id, owner.view.Members(), prober.WithStale(true))
	_, err := owner.Hold(t.Context(), resource)
	require.True(t, errors.Is(err, claimer.ErrNotOwner))
}
