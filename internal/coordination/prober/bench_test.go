package prober_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/vmlister"
)

func updates(count int) []messenger.MemberUpdate {
	var all []messenger.MemberUpdate
	for ix := range count {
		id := fmt.Sprintf("entry-%d", ix)
		all = append(all, messenger.MemberUpdate{
			Presence:    messenger.Presence{ID: id, Zone: "zone-a", Region: "region-1", PeerAddress: id, CallerAddress: id},
			Incarnation: 1, State: uint8(prober.Alive),
		})
	}
	return all
}

func newView(count int) *prober.View {
	var members []prober.Member
	for _, mu := range updates(count) {
		members = append(members, prober.Member{ID: mu.ID, State: prober.Alive})
	}
	return prober.NewView("entry-0", members)
}

func TestOwnsAllocatesNothing(t *testing.T) {
	vw := newView(360)
	require.Zero(t, testing.AllocsPerRun(100, func() { vw.Owns("worker/w7") }))
}

func TestOwnershipIsEvenAndMovesOnlyLostShare(t *testing.T) {
	const resources = 3600
	before, after := newView(360), newView(359)
	counts := map[string]int{}
	for ix := range resources {
		resource := fmt.Sprintf("worker/w%d", ix)
		previous, _ := before.Owner(resource)
		current, _ := after.Owner(resource)
		counts[previous.ID]++
		if previous.ID != "entry-359" {
			require.Equal(t, previous.ID, current.ID, "only what the lost member owned moves")
		}
	}
	for id, count := range counts {
		require.Less(t, count, 30, id)
	}
}

func BenchmarkOwner(bm *testing.B) {
	for _, count := range []int{4, 64, 360} {
		vw := newView(count)
		bm.Run(fmt.Sprintf("members=%d", count), func(bm *testing.B) {
			bm.ReportAllocs()
			for bm.Loop() {
				vw.Owner("worker/w7")
			}
		})
	}
}

// BenchmarkAnswerPing measures the cost of answering one ping.
func BenchmarkAnswerPing(bm *testing.B) {
	for _, count := range []int{4, 64, 360} {
		bm.Run(fmt.Sprintf("members=%d", count), func(bm *testing.B) {
			self := messenger.Presence{ID: "self", Zone: "zone-a", Region: "region-1", PeerAddress: "self"}
			random := rand.New(rand.NewPCG(1, 1))
			pb := prober.New(func() messenger.Presence { return self }, noList{}, nil, prober.WithRandom(random))
			all := updates(count - 1)
			first := &messenger.Ping{Gossip: messenger.Gossip{Sender: all[0], PeerUpdate: messenger.PeerUpdate{Updates: all}}}
			_, err := pb.Handle(context.Background(), first)
			require.NoError(bm, err)
			ping := &messenger.Ping{Gossip: messenger.Gossip{Sender: all[0]}}
			for range 1 << 14 {
				_, _ = pb.Handle(context.Background(), ping)
			}
			for bm.Loop() {
				_, _ = pb.Handle(context.Background(), ping)
			}
		})
	}
}

// noList is an empty VMList.
type noList struct{}

// VMs implements prober.VMList.
func (noList) VMs(context.Context) ([]vmlister.VM, error) { return nil, nil }
