package server

import (
	"math/rand/v2"
	"net/http"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
)

const (
	// lifetimeJitter is the part by which lifetimes of answers differ at most,
	// either way, so that answers do not expire together.
	lifetimeJitter = 0.2
	// drawsPerCaller is how many different answers one caller can get.
	drawsPerCaller = 1 << 16
)

// listAddresses tells a caller which entry addresses to use.
func (sv *Server) listAddresses(ec echo.Context) error {
	sc, err := sv.enter(ec)
	if err != nil {
		return err
	}
	zone := ec.QueryParam("zone")
	if zone == "" {
		zone = sv.Zone
	}
	limits := sc.settings.Limits()
	seed := xxhash.Sum64String(sc.caller.Name()) + rand.Uint64N(drawsPerCaller)
	chosen := chooseAddresses(sv.staying(), zone, limits.AddressesInAnswer(), seed)
	lifetime := jitterLifetime(limits.AddressAnswerLifetime(), rand.Float64())
	return ec.JSON(http.StatusOK, map[string]any{
		"addresses":   chosen,
		"lifetime-ms": lifetime.Milliseconds(),
	})
}

// staying returns the members without this node if it is leaving.
func (sv *Server) staying() []prober.Member {
	vw := sv.View()
	if !sv.leaving() {
		return vw.Members()
	}
	var others []prober.Member
	for _, mb := range vw.Members() {
		if mb.ID != vw.Self() {
			others = append(others, mb)
		}
	}
	return others
}

// chooseAddresses returns up to count addresses of members that are alive, the
// nearest first: the zone, then its region, then others. Members at the same
// distance rank by rendezvous hashing with the seed, so that callers, and the
// answers of one caller, spread over them all, and the loss of a member moves
// its callers to all others alike. Two zones are named at least if there are
// two and count allows.
func chooseAddresses(members []prober.Member, zone string, count int, seed uint64) []string {
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

// jitterLifetime spreads a lifetime by draw, which is in [0, 1).
func jitterLifetime(lifetime time.Duration, draw float64) time.Duration {
	return time.Duration(float64(lifetime) * (1 - lifetimeJitter + 2*lifetimeJitter*draw))
}
