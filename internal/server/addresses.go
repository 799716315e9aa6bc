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
	chosen := locator.Choose(sv.staying(), zone, limits.AddressesInAnswer(), seed)
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

// jitterLifetime spreads a lifetime by draw, which is in [0, 1).
func jitterLifetime(lifetime time.Duration, draw float64) time.Duration {
	return time.Duration(float64(lifetime) * (1 - lifetimeJitter + 2*lifetimeJitter*draw))
}
