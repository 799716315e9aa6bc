// Package locator chooses the entry nodes whose addresses a caller receives.
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

// Choose returns up to count caller addresses of live members, or of leaving ones if
// none is live, nearest first:
// the caller's zone, then its region, then other regions. It orders members at
// the same distance by rendezvous hashing with the seed, weighted by their capacity.
// Different seeds, for
// different callers or successive answers to one caller, balance the load over
// all members, and the callers of a lost member move to all others evenly. The
// addresses cover at least two zones if live members exist in two and count is
// greater than 1. Callers use each address of an answer equally often.
//
// If members differ in capacity, a zone that bears less than its share of the load
// has fewer addresses in the answers to its own callers, though at least one, and in
// those to callers of other zones; see Spread.
func Choose(members []prober.Member, zone string, count int, seed uint64) []string {
	ranked := rankMembers(members, zone, count, seed)
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

// rankMembers returns the live members in the order of Choose, or the leaving ones if
// none is live.
func rankMembers(members []prober.Member, zone string, count int, seed uint64) []prober.Member {
	usable := membersIn(members, prober.Alive)
	if len(usable) == 0 {
		usable = membersIn(members, prober.Leaving)
	}
	region := regionOf(members, zone)
	if sp := newSpread(usable, zone, region, count); !sp.Even() {
		return sp.rank(usable, seed)
	}
	return rankEvenly(usable, zone, region, seed)
}

// membersIn returns the members in the state.
func membersIn(members []prober.Member, state prober.State) []prober.Member {
	var all []prober.Member
	for _, mb := range members {
		if mb.State == state {
			all = append(all, mb)
		}
	}
	return all
}

// rankEvenly sorts members of equal capacity in the order of Choose.
func rankEvenly(ranked []prober.Member, zone, region string, seed uint64) []prober.Member {
	distances, weights := map[string]int{}, map[string]uint64{}
	for _, mb := range ranked {
		distances[mb.ID] = distance(mb, zone, region)
		weights[mb.ID] = hash(mb.ID, seed)
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

func hash(text string, seed uint64) uint64 {
	dg := xxhash.NewWithSeed(seed)
	_, _ = dg.WriteString(text)
	return dg.Sum64()
}

// regionOf returns the region of a zone, or "" if no member is in the zone.
func regionOf(members []prober.Member, zone string) string {
	for _, mb := range members {
		if mb.Zone == zone {
			return mb.Region
		}
	}
	return ""
}

// distance returns 0 for the same zone, 1 for the same region, otherwise 2.
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

// sameZone reports whether all members are in one zone. It returns false
// without members.
func sameZone(members []prober.Member) bool {
	for _, mb := range members {
		if mb.Zone != members[0].Zone {
			return false
		}
	}
	return len(members) > 0
}
