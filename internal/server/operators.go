package server

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

func (sv *Server) operatorRoutes() {
	sv.echo.GET("/v1/status", sv.status)
	sv.echo.GET("/v1/counters", sv.counters)
	sv.echo.POST("/v1/drain", sv.drain)
}

// authorizeOperator refuses a request whose caller is not an operator.
func (sv *Server) authorizeOperator(ec echo.Context) error {
	sc, err := sv.authorize(ec)
	if err != nil {
		return err
	}
	if !sc.caller.Operator() {
		return refuser.New(refuser.Forbidden, "caller %.100q is no operator", sc.caller.Name())
	}
	return nil
}

// status answers with this node's state and its view of the members.
func (sv *Server) status(ec echo.Context) error {
	if err := sv.authorizeOperator(ec); err != nil {
		return err
	}
	vw := sv.View()
	members := []map[string]any{}
	for _, mb := range vw.Members() {
		members = append(members, map[string]any{
			"id":             mb.ID,
			"zone":           mb.Zone,
			"region":         mb.Region,
			"state":          mb.State.String(),
			"revision":       mb.Revision,
			"caller-address": mb.CallerAddress,
		})
	}
	return ec.JSON(http.StatusOK, map[string]any{
		"id":                    vw.Self(),
		"leaving":               sv.leaving(),
		"revision":              sv.Holder.Number(),
		"corrupt-configuration": sv.Holder.CorruptReads(),
		"stale":                 vw.Stale(),
		"in-flight":             sv.InFlight(),
		"members":               members,
	})
}

// counters answers with all counters and gauges of this node.
func (sv *Server) counters(ec echo.Context) error {
	if err := sv.authorizeOperator(ec); err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, map[string]any{"id": sv.View().Self(), "counters": sv.Registry.Values()})
}

// drain starts the planned stop of this node, as SIGTERM does.
func (sv *Server) drain(ec echo.Context) error {
	if err := sv.authorizeOperator(ec); err != nil {
		return err
	}
	if sv.Drain == nil {
		return refuser.New(refuser.NotFound, "this node cannot be drained by a call")
	}
	sv.Drain()
	return ec.JSON(http.StatusAccepted, map[string]any{"id": sv.View().Self(), "leaving": true})
}
