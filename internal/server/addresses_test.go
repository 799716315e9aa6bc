package server

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/locator"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

func newMembers(count, zones int) []prober.Member {
	var members []prober.Member
	for ix := range count {
		id := fmt.Sprintf("n%02d", ix)
		members = append(members, prober.Member{
			ID: id, CallerAddress: id, Zone: fmt.Sprintf("z%d", ix%zones),
			Region: fmt.Sprintf("r%d", ix%zones/3), State: prober.Alive,
		})
	}
	return members
}

// Hazard 27: an entry VM fails and all its callers request addresses at once.
func TestCallersOfDeadNodeSpreadOverItsZone(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	members := newMembers(24, 3)
	const callers = 6000
	first := map[string]int{}
	for range callers {
		first[locator.Choose(members, "z0", 3, random.Uint64())[0]]++
	}
	lost := "n00"
	require.InEpsilon(t, callers/8, first[lost], 0.2)
	members[0].State = prober.Dead
	after := map[string]int{}
	for range first[lost] {
		after[locator.Choose(members, "z0", 3, random.Uint64())[0]]++
	}
	require.Len(t, after, 7, "the others of the zone")
	for id, count := range after {
		require.InEpsilon(t, first[lost]/7, count, 0.35, id)
	}
}

func TestChooseReturnsLiveNodesOfTwoZones(t *testing.T) {
	members := newMembers(12, 6)
	members[0].State = prober.Leaving
	members[6].State = prober.Suspect
	members[1].State = prober.Dead
	for seed := range uint64(100) {
		for _, zone := range []string{"z0", "z2", "z5", "nowhere"} {
			chosen := locator.Choose(members, zone, 2, seed)
			require.Len(t, chosen, 2)
			zones := map[string]bool{}
			for _, id := range chosen {
				require.NotContains(t, []string{"n00", "n01", "n06"}, id)
				for _, mb := range members {
					if mb.ID == id {
						zones[mb.Zone] = true
					}
				}
			}
			require.Len(t, zones, 2)
		}
		require.Contains(t, []string{"n02", "n08"}, locator.Choose(members, "z2", 2, seed)[0], "nearest first")
	}
	require.Empty(t, locator.Choose(nil, "z0", 3, 1))
	require.Len(t, locator.Choose(members, "z2", 1, 1), 1)
}

func TestJitterLifetimeStaysWithinBounds(t *testing.T) {
	require.Equal(t, 24*time.Second, jitterLifetime(30*time.Second, 0))
	require.Equal(t, 30*time.Second, jitterLifetime(30*time.Second, 0.5))
	require.Less(t, jitterLifetime(30*time.Second, 0.999), 36*time.Second)
}

// Hazard 6: the caller has seen a newer revision than the node has in force.
func TestCheckRevisionRefusesWhenNodeLags(t *testing.T) {
	for _, tc := range []struct {
		header string
		reason refuser.Reason
	}{
		{"", ""},
		{"6", ""},
		{"7", ""},
		{"8", refuser.RevisionBehind},
		{"x", refuser.Malformed},
		{"-1", refuser.Malformed},
	} {
		rq := httptest.NewRequest(http.MethodPost, "/v1/completions", http.NoBody)
		rq.Header.Set(headerRevision, tc.header)
		wr := httptest.NewRecorder()
		err := checkRevision(echo.New().NewContext(rq, wr), 7)
		require.Equal(t, "7", wr.Header().Get(headerRevision))
		if tc.reason == "" {
			require.NoError(t, err)
			continue
		}
		var rf *refuser.Refusal
		require.ErrorAs(t, err, &rf)
		require.Equal(t, tc.reason, rf.Reason())
		require.Equal(t, refuser.NotRun, rf.Outcome())
		require.Equal(t, tc.reason == refuser.RevisionBehind, rf.RetryAfter() > 0)
	}
}
