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

// metricsType is the media type of the text that common collectors read.
const metricsType = "text/plain; version=0.0.4; charset=utf-8"

// leavingRetry is when a probe of a leaving node may ask again.
const leavingRetry = time.Second

func (sv *Server) healthRoutes() {
	sv.echo.GET("/v1/health", sv.health)
	sv.echo.GET("/v1/ready", sv.ready)
	sv.echo.GET("/v1/metrics", sv.metrics)
}

// health answers as long as the process serves at all.
func (*Server) health(ec echo.Context) error {
	return ec.JSON(http.StatusOK, map[string]any{"healthy": true})
}

// ready answers if callers may be sent to this node.
func (sv *Server) ready(ec echo.Context) error {
	if sv.Holder.Current() == nil {
		return refuser.New(refuser.NotConfigured, "no configuration is in force yet").WithRetryAfter(time.Second)
	}
	if sv.leaving() {
		return refuser.New(refuser.Leaving, "the node is leaving").WithRetryAfter(leavingRetry)
	}
	return ec.JSON(http.StatusOK, map[string]any{"ready": true, "revision": sv.Holder.Number()})
}

// metrics writes all counters and gauges as one family with the name as a
// label, since the names are in kebab case with dots.
func (sv *Server) metrics(ec echo.Context) error {
	if err := sv.enterOperator(ec); err != nil {
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
