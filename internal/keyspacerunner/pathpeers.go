package keyspacerunner

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
)

// pathQueries is the number of nodes that are asked at once whether they reach servers.
const pathQueries = 3

// pathPeers chooses the nodes that a detached node asks. It answers the load of a whole
// zone, or of most nodes, that lose their path together: the nodes that are asked at once
// are in different zones, and none is asked again before all others were. The zero value
// has asked nobody.
type pathPeers struct {
	asked map[string]bool // by id
}

// choose returns the nodes to ask next. Those that are registered as not ready are among
// them, since a registration can't change while the store is out of reach.
func (pp *pathPeers) choose(members []prober.Member, self string) []prober.Member {
	var all, unasked []prober.Member
	for _, mb := range members {
		if mb.ID == self || mb.State != prober.Alive && mb.State != prober.Leaving {
			continue
		}
		all = append(all, mb)
		if !pp.asked[mb.ID] {
			unasked = append(unasked, mb)
		}
	}
	if len(unasked) == 0 || pp.asked == nil {
		pp.asked, unasked = map[string]bool{}, all
	}
	chosen := spreadOverZones(unasked)
	chosen = chosen[:min(pathQueries, len(chosen))]
	for _, mb := range chosen {
		pp.asked[mb.ID] = true
	}
	return chosen
}

// spreadOverZones returns the members in random order, the first ones each of another
// zone.
func spreadOverZones(members []prober.Member) []prober.Member {
	members = slices.Clone(members)
	rand.Shuffle(len(members), func(ix, jx int) { members[ix], members[jx] = members[jx], members[ix] })
	inZone, turn := map[string]int{}, map[string]int{}
	for _, mb := range members {
		turn[mb.ID] = inZone[mb.Zone]
		inZone[mb.Zone]++
	}
	slices.SortStableFunc(members, func(one, two prober.Member) int { return cmp.Compare(turn[one.ID], turn[two.ID]) })
	return members
}
