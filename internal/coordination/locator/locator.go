// Package locator chooses the addresses of entry nodes that a caller should use.
//
// # Usage
//
//	addresses := locator.Choose(view.Members(), "zone-a", 3, rand.Uint64())
package locator

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
)

// Choose returns up to count addresses of members that are alive, the
// nearest first: the zone, then its region, then others. Members at the same
// distance rank by rendezvous hashing with the seed, so that callers, and the
// answers of one caller, spread over them all, and the loss of a member moves
// its callers to all others alike. Two zones are named at least if there are
// two and count allows.
func Choose(members []prober.Member, zone string, count int, seed uint64) []string {
	ranked := rankMembers(members, zone, seed)
	chosen := ranked[:min(count, len(ranked))]
	if count > 1 && sameZone(chosen) {
		for _, mb := range ranked[len(chosen):] {
			if mb.Zone != chosen[0].Zone {
				chosen[len(chosen)-1] = mb
				break
			}
		}
	}
	addresses := make([]string, 0, len(chosen))
	for _, mb := range chosen {
		addresses = append(addresses, mb.CallerAddress)
	}
	return addresses
}

func rankMembers(members []prober.Member, zone string, seed uint64) []prober.Member {
	region := regionOf(members, zone)
	distances, weights := map[string]int{}, map[string]uint64{}
	var ranked []prober.Member
	for _, mb := range members {
		if mb.State != prober.Alive {
			continue
		}
		ranked = append(ranked, mb)
		distances[mb.ID] = distance(mb, zone, region)
		dg := xxhash.NewWithSeed(seed)
		_, _ = dg.WriteString(mb.ID)
		weights[mb.ID] = dg.Sum64()
	}
	sort.Slice(ranked, func(ix, jx int) bool {
		one, two := ranked[ix].ID, ranked[jx].ID
		if distances[one] != distances[two] {
			return distances[one] < distances[two]
		}
		return weights[one] > weights[two]
	})
	return ranked
}

// regionOf returns the region of a zone, or an empty text if no member is in
// the zone.
func regionOf(members []prober.Member, zone string) string {
	for _, mb := range members {
		if mb.Zone == zone {
			return mb.Region
		}
	}
	return ""
}

// distance ranks members: the same zone, the same region, anywhere.
func distance(mb prober.Member, zone, region string) int {
	switch {
	case mb.Zone == zone:
		return 0
	case mb.Region == region:
		return 1
	default:
		return 2
	}
}

func sameZone(members []prober.Member) bool {
	for _, mb := range members {
		if mb.Zone != members[0].Zone {
			return false
		}
	}
	return len(members) > 0
}
