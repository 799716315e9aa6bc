package locator

import (
	"cmp"
	"math"
	"slices"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
)

// Spread says how the answers to the callers of one zone spread over members of
// different capacity.
//
// Nothing is known of how many callers a zone has; zones are taken to have equally
// many. A zone's share is its capacity divided by the mean of the zones that compete
// for its callers: its region's, or all if the region has no other.
type Spread struct {
	zone, region string
	// capacities holds the capacity of each member by id; nil if all are equal.
	capacities map[string]float64
	// share is the zone's share, or 0 if it has no members, and near the mean number
	// of its addresses in an answer.
	share, near float64
	// spare is the part of each other zone's capacity that its own callers leave.
	spare map[string]float64
}

// minSpare is the least part of a zone's capacity that counts as spare. It keeps zones
// that have none in the ranking, in case that others have too few members.
const minSpare = 1e-3

// NewSpread returns the spread of the answers with count addresses to the callers of a
// zone, over the live members.
func NewSpread(members []prober.Member, zone string, count int) *Spread {
	return newSpread(membersIn(members, prober.Alive), zone, regionOf(members, zone), count)
}

func newSpread(usable []prober.Member, zone, region string, count int) *Spread {
	sp := &Spread{zone: zone, region: region, capacities: capacitiesOf(usable)}
	if sp.Even() {
		return sp
	}
	nearest := math.MaxInt
	for _, mb := range usable {
		if dt := distance(mb, zone, region); dt > 0 {
			nearest = min(nearest, dt)
		}
	}
	zones, total := map[string]float64{}, 0.0
	for _, mb := range usable {
		if distance(mb, zone, region) <= nearest {
			zones[mb.Zone] += sp.capacities[mb.ID]
			total += sp.capacities[mb.ID]
		}
	}
	mean := total / float64(len(zones))
	sp.spare = map[string]float64{}
	for name, capacity := range zones {
		sp.spare[name] = max(1-nearPart(capacity/mean, count)*mean/capacity, minSpare)
	}
	if zones[zone] > 0 {
		sp.share = zones[zone] / mean
		sp.near = nearPart(sp.share, count) * float64(count)
	}
	return sp
}

// nearPart returns the part of the addresses of its own zone in the answers to a zone's
// callers. The nearest zone has at least one address of each answer, and another zone as
// well.
func nearPart(share float64, count int) float64 {
	least := 1 / float64(count)
	return max(min(share, 1-least), least)
}

// capacitiesOf returns the capacity of each member by id. Members that state none count
// as the mean of the others. It returns nil if all are equal.
func capacitiesOf(members []prober.Member) map[string]float64 {
	sum, stated, even := 0.0, 0, true
	first := int64(0)
	for _, mb := range members {
		if mb.Capacity <= 0 {
			continue
		}
		if stated == 0 {
			first = mb.Capacity
		}
		even = even && mb.Capacity == first
		sum += float64(mb.Capacity)
		stated++
	}
	if even {
		return nil
	}
	all := make(map[string]float64, len(members))
	for _, mb := range members {
		if all[mb.ID] = float64(mb.Capacity); mb.Capacity <= 0 {
			all[mb.ID] = sum / float64(stated)
		}
	}
	return all
}

// Even reports whether all members have the same capacity, or none states any.
func (sp *Spread) Even() bool { return sp.capacities == nil }

// ZoneShare returns the zone's capacity divided by the mean of the zones that compete
// for its callers; 0 if it has no members or members are even.
func (sp *Spread) ZoneShare() float64 { return sp.share }

// Near returns the mean number of addresses of the caller's zone in an answer; 0 if it
// has no members or members are even.
func (sp *Spread) Near() float64 { return sp.near }

// rank sorts the members in the order of Choose.
func (sp *Spread) rank(ranked []prober.Member, seed uint64) []prober.Member {
	type candidate struct {
		prober.Member
		distance int
		score    float64
	}
	sorted := make([]candidate, 0, len(ranked))
	for _, mb := range ranked {
		weight := sp.capacities[mb.ID]
		if spare, ok := sp.spare[mb.Zone]; ok && mb.Zone != sp.zone {
			weight *= spare
		}
		// The smallest of exponentially distributed values is each member's in
		// proportion to its weight.
		score := -math.Log(fraction(hash(mb.ID, seed))) / weight
		sorted = append(sorted, candidate{mb, distance(mb, sp.zone, sp.region), score})
	}
	slices.SortFunc(sorted, func(one, two candidate) int {
		return cmp.Or(cmp.Compare(one.distance, two.distance), cmp.Compare(one.score, two.score), cmp.Compare(one.ID, two.ID))
	})
	for ix, cd := range sorted {
		ranked[ix] = cd.Member
	}
	near := 0
	for near < len(ranked) && ranked[near].Zone == sp.zone {
		near++
	}
	wanted := int(sp.near)
	if fraction(hash("near addresses", seed)) < sp.near-float64(wanted) {
		wanted++
	}
	if wanted >= near {
		return ranked
	}
	// The members of the zone that the answer leaves out come last.
	return slices.Concat(ranked[:wanted], ranked[near:], ranked[wanted:near])
}

// fraction returns a hash as a number between 0 and 1, without either.
func fraction(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }
