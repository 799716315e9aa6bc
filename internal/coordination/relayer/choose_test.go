package relayer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/relayer"
)

// members returns nodes a0, a1, ... b0, ... of zones a, b, ....
func members(zones, each int) []prober.Member {
	var all []prober.Member
	for zone := range zones {
		for ix := range each {
			name := string(rune('a' + zone))
			all = append(all, prober.Member{ID: fmt.Sprintf("%s%02d", name, ix), Zone: name, State: prober.Alive})
		}
	}
	return all
}

func peersOf(self, leader string, all []prober.Member) []string {
	var ids []string
	for _, mb := range relayer.Choose(prober.NewView(self, all), leader).Peers() {
		ids = append(ids, mb.ID)
	}
	return ids
}

func TestChooseAsksOwnZoneThenLeaderThenFirstNodes(t *testing.T) {
	all := members(3, 4)
	require.Equal(t, []string{"b00", "c02", "a00"}, peersOf("b03", "c02", all))
	require.Equal(t, []string{"c02", "a00", "a01"}, peersOf("b00", "c02", all), "first of its zone")
	require.Equal(t, []string{"c02", "a00", "a01"}, peersOf("c03", "c02", all), "in the leader's zone")
	require.Equal(t, []string{"b00", "a00", "a01"}, peersOf("b03", "", all), "without a leader")
	require.Equal(t, []string{"b00", "a00", "a01"}, peersOf("b03", "gone", all))
	all[0].State = prober.Leaving
	require.Equal(t, []string{"b00", "c02", "a01"}, peersOf("b03", "c02", all), "a node that leaves comes last")
}

func TestChooseMakesLeaderOrFirstNodeTheReader(t *testing.T) {
	all := members(3, 4)
	for _, leader := range []string{"", "b02"} {
		var readers []string
		for _, mb := range all {
			if relayer.Choose(prober.NewView(mb.ID, all), leader).Reader() {
				readers = append(readers, mb.ID)
			}
		}
		want := "a00"
		if leader != "" {
			want = leader
		}
		require.Equal(t, []string{want}, readers)
	}
	require.True(t, relayer.Choose(prober.NewView("x", []prober.Member{{ID: "x"}}), "").Reader(), "a node that knows no other")
}

// At 360 nodes no node may have to answer many more than the nodes of its zone.
func TestChooseSpreadsFollowersOverZones(t *testing.T) {
	all := members(12, 30)
	followers := map[string]int{}
	for _, mb := range all {
		if peers := peersOf(mb.ID, "f07", all); mb.ID != "f07" {
			followers[peers[0]]++
		}
	}
	for id, count := range followers {
		require.LessOrEqual(t, count, 29+11, id)
	}
	require.Len(t, followers, 12)
}

// Nodes that read the store relieve each other in one direction only.
func TestChooseOrdersNodesThatTurnToTheStore(t *testing.T) {
	all := members(2, 3)
	sc := relayer.Choose(prober.NewView("a02", all), "b01")
	require.Equal(t, 2, sc.Rank())
	var before []string
	for _, mb := range sc.Before() {
		before = append(before, mb.ID)
	}
	require.Equal(t, []string{"b01", "a00", "a01"}, before)
}
