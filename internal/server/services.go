package server

import (
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// callService passes a call on to the first instance of a plain service.
func (sv *Server) callService(ec echo.Context) error {
	sc, err := sv.enter(ec)
	if err != nil {
		return err
	}
	name := ec.Param("service")
	svc, ok := sc.settings.Service(name)
	if !ok {
		return refuser.New(refuser.UnknownService, "no service %q", name)
	}
	if !permitted(sc.caller.Services(), name) {
		return refuser.New(refuser.Forbidden, "caller %q may not use service %q", sc.caller.Name(), name)
	}
	body, err := readBody(ec, sc.settings.Limits().BodyBytes())
	if err != nil {
		return err
	}
	rs, err := sv.Forwarder.Send(ec.Request().Context(), forwarder.Request{
		Address: svc.Addresses()[0],
		Method:  ec.Request().Method,
		Path:    "/" + ec.Param("*"),
		Header:  http.Header{"Content-Type": ec.Request().Header["Content-Type"]},
		Body:    body,
	})
	if forwarder.NotSent(err) {
		return refuser.New(refuser.BackendUnreachable, "%v", err)
	}
	if err != nil {
		return refuser.New(refuser.BackendFailed, "%v", err).WithOutcome(refuser.Unknown)
	}
	defer func() { _ = rs.Body.Close() }()
	answer, err := io.ReadAll(rs.Body)
	if err != nil {
		return refuser.New(refuser.BackendFailed, "%v", err).WithOutcome(refuser.Unknown)
	}
	return ec.Blob(rs.StatusCode, rs.Header.Get("Content-Type"), answer)
}
