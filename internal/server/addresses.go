package server

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
)

// listAddresses tells a caller which entry addresses to use.
func (sv *Server) listAddresses(ec echo.Context) error {
	sc, err := sv.enter(ec)
	if err != nil {
		return err
	}
	limit := sc.settings.Limits().AddressesInAnswer()
	near, far := []string{}, []string{}
	for _, mb := range sv.View().Members() {
		if mb.State != prober.Alive || sv.leaving() && mb.ID == sv.View().Self() {
			continue
		}
		if mb.Zone == sv.Zone {
			near = append(near, mb.CallerAddress)
		} else {
			far = append(far, mb.CallerAddress)
		}
	}
	all := append(near, far...)
	return ec.JSON(http.StatusOK, map[string]any{
		"addresses":   all[:min(limit, len(all))],
		"lifetime-ms": sc.settings.Limits().AddressAnswerLifetime().Milliseconds(),
	})
}

func (sv *Server) status(ec echo.Context) error {
	members := []map[string]string{}
	for _, mb := range sv.View().Members() {
		members = append(members, map[string]string{"id": mb.ID, "zone": mb.Zone, "state": mb.State.String()})
	}
	return ec.JSON(http.StatusOK, map[string]any{"revision": sv.Holder.Number(), "members": members})
}
