package server

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// metricsType is the media type of the Prometheus text format.
const metricsType = "text/plain; version=0.0.4; charset=utf-8"

// leavingRetryAfter is when a health check may probe a leaving node again.
const leavingRetryAfter = time.Second

func (sv *Server) healthRoutes() {
	sv.echo.GET("/v1/health", sv.health)
	sv.echo.GET("/v1/ready", sv.ready)
	sv.echo.GET("/v1/metrics", sv.metrics)
}

// health answers as long as the process serves HTTP (liveness).
func (*Server) health(ec echo.Context) error {
	return ec.JSON(http.StatusOK, map[string]any{"healthy": true})
}

// ready answers if this node accepts callers (readiness).
func (sv *Server) ready(ec echo.Context) error {
	if sv.Holder.Current() == nil {
		return refuser.New(refuser.NotConfigured, "no configuration is in force yet").WithRetryAfter(time.Second)
	}
	if sv.leaving() {
		return refuser.New(refuser.Leaving, "the node is leaving").WithRetryAfter(leavingRetryAfter)
	}
	return ec.JSON(http.StatusOK, map[string]any{"ready": true, "revision": sv.Holder.Number()})
}

// metrics writes all counters and gauges as one metric family with the name as
// a label, since the names contain hyphens and dots.
func (sv *Server) metrics(ec echo.Context) error {
	if err := sv.authorizeOperator(ec); err != nil {
		return err
	}
	values := sv.Registry.Values()
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	var out strings.Builder
	out.WriteString("# TYPE lagoonpass untyped\n")
	for _, name := range names {
		fmt.Fprintf(&out, "lagoonpass{node=%q,name=%q} %d\n", sv.View().Self(), name, values[name])
	}
	return ec.Blob(http.StatusOK, metricsType, []byte(out.String()))
}
