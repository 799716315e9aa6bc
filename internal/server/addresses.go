package server

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/lagoonpass/lagoonpass/internal/coordination/locator"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
)

const (
	// lifetimeJitter is the maximum deviation of an answer's lifetime as a
	// fraction of it, in both directions, so that answers don't expire at once.
	lifetimeJitter = 0.2
	// answersPerCaller is the number of different answers to one caller.
	answersPerCaller = 1 << 16
)

// listAddresses answers with the entry addresses that the caller should use.
func (sv *Server) listAddresses(ec echo.Context) error {
	sc, err := sv.authorize(ec)
	if err != nil {
		return err
	}
	zone := ec.QueryParam("zone")
	if zone == "" {
		zone = sv.Zone
	}
	limits := sc.settings.Limits()
	seed := xxhash.Sum64String(sc.caller.Name()) + rand.Uint64N(answersPerCaller)
	chosen := locator.Choose(sv.remainingMembers(), zone, limits.AddressesInAnswer(), seed)
	lifetime := jitterLifetime(limits.AddressAnswerLifetime(), rand.Float64())
	return ec.JSON(http.StatusOK, map[string]any{
		"addresses":   chosen,
		"lifetime-ms": lifetime.Milliseconds(),
	})
}

// remainingMembers returns all members, except this node if it is leaving.
func (sv *Server) remainingMembers() []prober.Member {
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

// jitterLifetime varies a lifetime by up to lifetimeJitter: down for a fraction
// near 0, up for one near 1. The fraction is in [0, 1).
func jitterLifetime(lifetime time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(lifetime) * (1 - lifetimeJitter + 2*lifetimeJitter*fraction))
}
