// Package server is the HTTP interface of an entry node for callers and
// operators.
//
// # Usage
//
//	sv := server.New(server.Components{
//		Holder:     holder,
//		Dispatcher: dispatcher,
//		Invoker:    invoker,
//		Jobs:       jobs,
//		View:       view,
//		Zone:       "zone-a",
//		Registry:   registry,
//	})
//	err := http.Serve(listener, sv)
//
// Every error is answered as a refusal with one of the reasons of package
// refuser.
package server

import (
	"crypto/rand"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/labstack/echo/v4"

	"github.com/lagoonpass/lagoonpass/internal/coordination/dispatcher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/jobrunner"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/serviceinvoker"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/transport/connectiondrainer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// Components are the components of a node that a Server uses.
type Components struct {
	// Holder returns the configuration in force.
	Holder *publisher.Holder
	// Dispatcher runs completions requests.
	Dispatcher *dispatcher.Dispatcher
	// Invoker runs calls of plain services.
	Invoker *serviceinvoker.Invoker
	// Jobs accepts, lists and cancels jobs.
	Jobs *jobrunner.Runner
	// View returns the current view of the members.
	View func() *prober.View
	// LatestKnown returns the highest revision number that the node knows of; nil
	// means that of the revision in force.
	LatestKnown func() int64
	// Zone is the node's availability zone.
	Zone string
	// Registry counts refusals by reason.
	Registry *counter.Registry
	// Leaving reports whether a planned stop has begun; nil means never.
	Leaving func() bool
	// Drain starts a planned stop; nil means that operators can't start one.
	Drain func()
	// BodyTimeout limits the time in which a caller sends a body; zero means
	// 30 s.
	BodyTimeout time.Duration
}

// Server serves callers and operators.
type Server struct {
	Components
	echo *echo.Echo
	// inFlight is the number of requests in progress.
	inFlight atomic.Int64
	// callers bounds the callers that are counted.
	callers *counter.Labels
}

// maxCountedCallers is the number of callers with counters of their own.
const maxCountedCallers = 64

// New returns a server that uses the components.
func New(cp Components) *Server {
	sv := &Server{Components: cp, echo: echo.New(), callers: counter.NewLabels(maxCountedCallers)}
	sv.echo.HideBanner = true
	sv.echo.HTTPErrorHandler = sv.handleError
	sv.echo.Use(recoverPanic)
	sv.routes()
	return sv
}

// ServeHTTP implements http.Handler.
func (sv *Server) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	sv.inFlight.Add(1)
	defer sv.inFlight.Add(-1)
	if sv.leaving() && !connectiondrainer.Pending(rq.Context()) {
		// Make the caller send its next request to another node.
		wr.Header().Set("Connection", "close")
	}
	sv.echo.ServeHTTP(wr, rq)
}

// InFlight returns the number of requests in progress.
func (sv *Server) InFlight() int64 { return sv.inFlight.Load() }

func (sv *Server) leaving() bool { return sv.Leaving != nil && sv.Leaving() }

func (sv *Server) routes() {
	sv.echo.POST("/v1/chat/completions", sv.complete)
	sv.echo.POST("/v1/completions", sv.complete)
	sv.echo.GET("/v1/models", sv.listModels)
	sv.echo.Any("/services/:service/*", sv.callService)
	sv.jobRoutes()
	sv.echo.GET("/v1/addresses", sv.listAddresses)
	sv.operatorRoutes()
	sv.healthRoutes()
}

// handleError answers any error as a refusal. It logs internal errors.
func (sv *Server) handleError(err error, ec echo.Context) {
	if ec.Response().Committed {
		return
	}
	rf := asRefusal(err)
	if rf.Reason() == refuser.Internal {
		log.WithError(err).WithField("request", ec.Response().Header().Get(headerRequestID)).Error("server failed to handle a request; the caller gets an internal refusal")
	}
	if repeatsKey(ec.Request()) && rf.Reason() != refuser.KeyConflict {
		rf = rf.WithOutcome(refuser.Unknown)
	}
	sv.countRefusal(rf)
	if name, ok := ec.Get(callerKey).(string); ok {
		sv.Registry.Inc("caller", name, "refused", string(rf.Reason()))
	}
	if rf.RetryAfter() > 0 {
		seconds := int64((rf.RetryAfter() + time.Second - 1) / time.Second)
		ec.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	_ = ec.Blob(rf.Status(), echo.MIMEApplicationJSON, refuser.Encode(rf))
}

func (sv *Server) countRefusal(rf *refuser.Refusal) {
	sv.Registry.Inc("refusal", string(rf.Reason()))
}

// scope is the settings and the caller with which a request is checked and run.
type scope struct {
	settings *configurer.Settings
	caller   *configurer.Caller
}

// authorize authenticates the caller and checks its revision. It refuses all
// requests while no configuration is in force.
func (sv *Server) authorize(ec echo.Context) (*scope, error) {
	rv := sv.Holder.Current()
	if rv == nil {
		return nil, refuser.New(refuser.NotConfigured, "no configuration is in force yet").WithRetryAfter(time.Second)
	}
	key, cr, err := authenticate(rv.Settings(), ec.Request().Header.Get(echo.HeaderAuthorization))
	if err != nil {
		return nil, sv.refuseKey(ec, rv.Number(), key, err)
	}
	if err := checkRevision(ec, rv.Number()); err != nil {
		return nil, err
	}
	return &scope{settings: rv.Settings(), caller: cr}, nil
}

// callerKey is the key of the counted caller in the context of a request.
const callerKey = "caller"

// countCaller counts a request of the caller, and its refusal if it is refused.
func (sv *Server) countCaller(ec echo.Context, sc *scope) {
	name := sv.callers.Label(sc.caller.Name())
	ec.Set(callerKey, name)
	sv.Registry.Inc("caller", name, "requests")
}

func newRequestID() string { return rand.Text() }
