package keyspacerunner

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
)

// zonedMembers returns 33 nodes in three zones, of which those in the last one are
// registered as not ready.
func zonedMembers() []prober.Member {
	var all []prober.Member
	for ix := range 33 {
		state := prober.Alive
		if ix%3 == 2 {
			state = prober.Leaving
		}
		all = append(all, prober.Member{ID: fmt.Sprint("n", ix), Zone: fmt.Sprint("z", ix%3), State: state})
	}
	return all
}

// A cut node asked nodes that were cut off as well, again and again, and never learned
// that others reach the servers.
func TestCutIsConfirmedByNodesOfOtherZonesAndByEachNodeInTurn(t *testing.T) {
	members := zonedMembers()
	for range 50 {
		pp := &pathPeers{}
		zones, asked := map[string]bool{}, map[string]int{}
		for _, mb := range pp.choose(members, "n0") {
			zones[mb.Zone] = true
			asked[mb.ID]++
		}
		require.Len(t, zones, 3)
		for range 10 {
			for _, mb := range pp.choose(members, "n0") {
				asked[mb.ID]++
			}
		}
		require.Len(t, asked, 32)
		require.NotContains(t, asked, "n0")
		for id, times := range asked {
			require.Equal(t, 1, times, id)
		}
		require.Len(t, pp.choose(members, "n0"), pathQueries, "all were asked and begin anew")
	}
}
