package server

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lagoonpass/lagoonpass/internal/coordination/serviceinvoker"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// Headers of calls to plain services and of jobs.
const (
	headerKeyTime  = "Lagoonpass-Key-Time"
	headerAttempt  = "Lagoonpass-Attempt"
	headerReplayed = "Lagoonpass-Replayed"
)

// recordTimeout is the time allowed for reading and writing the record of a
// keyed request, on top of the service's timeout.
const recordTimeout = 5 * time.Second

// callService proxies a call to a plain service.
func (sv *Server) callService(ec echo.Context) error {
	sc, err := sv.authorize(ec)
	if err != nil {
		return err
	}
	sv.countCaller(ec, sc)
	svc, err := findService(sc, ec.Param("service"))
	if err != nil {
		return err
	}
	cl, err := sv.readCall(ec, sc, svc)
	if err != nil {
		return err
	}
	ctx, cancel, err := callContext(ec, cl)
	if err != nil {
		return err
	}
	defer cancel()
	an, rf := sv.Invoker.Invoke(ctx, sc.settings, cl)
	if rf != nil {
		return rf
	}
	if an.Replayed {
		ec.Response().Header().Set(headerReplayed, "true")
	}
	return ec.Blob(an.Status, an.ContentType, an.Body)
}

// findService returns the service if it exists and the caller may use it.
func findService(sc *scope, name string) (*configurer.Service, error) {
	svc, ok := sc.settings.Service(name)
	if !ok {
		return nil, refuser.New(refuser.UnknownService, "no service %.100q", name)
	}
	if !configurer.Permitted(sc.caller.Services(), name) {
		return nil, refuser.New(refuser.Forbidden, "caller %.100q may not use service %.100q", sc.caller.Name(), name)
	}
	return svc, nil
}

func (sv *Server) readCall(ec echo.Context, sc *scope, svc *configurer.Service) (serviceinvoker.Call, error) {
	body, err := sv.readBody(ec, sc.settings.Limits().BodyBytes())
	if err != nil {
		return serviceinvoker.Call{}, err
	}
	rq := ec.Request()
	path := "/" + ec.Param("*")
	if rq.URL.RawQuery != "" {
		path += "?" + rq.URL.RawQuery
	}
	return serviceinvoker.Call{
		Caller:      sc.caller.Name(),
		Service:     svc,
		Method:      rq.Method,
		Path:        path,
		ContentType: rq.Header.Get(echo.HeaderContentType),
		Body:        body,
		Key:         rq.Header.Get(serviceinvoker.HeaderIdempotencyKey),
		KeyTime:     rq.Header.Get(headerKeyTime),
		KeyResent:   repeatsKey(rq),
	}, nil
}

// repeatsKey reports whether the caller has sent the key before, according to
// its headers. The earlier request may have been run, so no refusal of this one
// may have the outcome not-run.
func repeatsKey(rq *http.Request) bool {
	attempt := rq.Header.Get(headerAttempt)
	return rq.Header.Get(serviceinvoker.HeaderIdempotencyKey) != "" && attempt != "" && attempt != "1"
}

// callContext returns the context of a call, with its deadline. A call that is
// not repeatable continues if its caller disconnects; the record keeps its
// result.
func callContext(ec echo.Context, cl serviceinvoker.Call) (context.Context, context.CancelFunc, error) {
	within := cl.Service.Timeout() + recordTimeout
	if tx := ec.Request().Header.Get(headerDeadline); tx != "" {
		dn, err := time.ParseDuration(tx)
		if err != nil || dn <= 0 {
			return nil, nil, refuser.New(refuser.Malformed, "%s: found %.100q; allowed: a duration such as 1500ms", headerDeadline, tx)
		}
		within = dn
	}
	ctx := ec.Request().Context()
	if !serviceinvoker.Repeatable(cl.Service, cl.Method, cl.Path) {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	return ctx, cancel, nil
}
