package registrar

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// Guards against records that nodes of an earlier or later build do not understand: the
// form of today is fixed, unknown fields are ignored, and missing ones are zero.
func TestRecordsAreUnderstoodByOtherBuilds(t *testing.T) {
	const today = `{"id":"n1","zone":"z","region":"r","peer-address":"p:1","caller-address":"c:1","leaving":true,"ready":true}`
	pr := messenger.Presence{ID: "n1", Zone: "z", Region: "r", PeerAddress: "p:1", CallerAddress: "c:1", Leaving: true}
	const stated = `{"id":"n1","zone":"z","region":"r","peer-address":"p:1","caller-address":"c:1","leaving":true,"ready":true,"capacity":70}`
	require.JSONEq(t, today, string(encodeRegistration(member{presence: pr, ready: true})))
	require.JSONEq(t, stated, string(encodeRegistration(member{presence: pr, ready: true, capacity: 70})))
	const without = `{"id":"n1","zone":"z","region":"r","peer-address":"p:1","caller-address":"c:1","leaving":true,"ready":true,"capacity":70,"lost-pools":["app"]}`
	require.JSONEq(t, without, string(encodeRegistration(member{presence: pr, ready: true, capacity: 70, lost: []string{"app"}})))
	for value, want := range map[string]member{
		today:   {presence: pr, ready: true},
		stated:  {presence: pr, ready: true, capacity: 70},
		without: {presence: pr, ready: true, capacity: 70, lost: []string{"app"}},
		today[:len(today)-1] + `,"later":{"a":[1]}}`: {presence: pr, ready: true},
		`{"id":"n1","ready":true,"capacity":-1}`:     {presence: messenger.Presence{ID: "n1"}, ready: true},
	} {
		got, err := decodeRegistration([]byte(value))
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	rg := New(platform.NewKeyspace(), "", func() messenger.Presence { return messenger.Presence{ID: "n0"} }, WithCapacity(func() int64 { return 30 }))
	rg.Replace([]storer.Entry{{Key: nodesPrefix + "p:1", Value: []byte(stated), Revision: 1}})
	for id, capacity := range map[string]int64{"n0": 30, "n1": 70} {
		mb, ok := rg.View().Member(id)
		require.True(t, ok)
		require.Equal(t, capacity, mb.Capacity, id)
	}
	require.Equal(t, "n1", string(encodeLeader("n1", 0)))
	require.Equal(t, "n1 7", string(encodeLeader("n1", 7)))
	for value, era := range map[string]int64{"n1": 0, "n1 7": 7, "n1 7 later": 7} {
		id, got := decodeLeader([]byte(value))
		require.Equal(t, "n1", id)
		require.Equal(t, era, got, value)
	}
}

// Guards against a small node that leads while large ones could: its callers would wait
// for plans. Nodes of one size, or of unknown size, campaign by their ids as before.
func TestLargeNodesCampaignFirst(t *testing.T) {
	own := int64(0)
	rg := New(platform.NewKeyspace(), "", func() messenger.Presence { return messenger.Presence{ID: "n1"} }, WithCapacity(func() int64 { return own }))
	rg.Replace([]storer.Entry{
		{Key: nodesPrefix + "p:0", Value: []byte(`{"id":"n0","ready":true}`), Revision: 1},
		{Key: nodesPrefix + "p:2", Value: []byte(`{"id":"n2","ready":true,"capacity":70}`), Revision: 2},
		{Key: nodesPrefix + "p:3", Value: []byte(`{"id":"n3","ready":true,"capacity":70,"leaving":true}`), Revision: 3},
	})
	for capacity, rank := range map[int64]int{0: 1, 30: 2, 70: 1, 90: 1} {
		own = capacity
		require.Equal(t, rank, rg.candidateRankLocked(), capacity)
	}
}
