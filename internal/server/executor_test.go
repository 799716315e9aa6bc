package server

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/jobrunner"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const jobSettings = `[caller.desk]
key-sha256 = e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855
services = orders
[service.orders]
addresses = 127.0.0.1:1
non-repeatable = POST /book
[service.other]
addresses = 127.0.0.1:2
`

func scopeOf(t *testing.T, text string) *scope {
	st, faults := configurer.Parse([]configurer.File{{Name: "a.ini", Text: text}})
	require.Empty(t, faults)
	cr, _ := st.Caller("desk")
	return &scope{settings: st, caller: cr}
}

// Hazard 23: what a queued job needs is removed by a settings change.
func TestJobWhoseServiceOrRightWasRemovedMayNotRun(t *testing.T) {
	rq := jobrunner.Request{Method: "POST", Path: "/services/orders/book"}
	require.NoError(t, check(scopeOf(t, jobSettings), rq))
	withoutRight := strings.Replace(jobSettings, "services = orders", "services = other", 1)
	require.Equal(t, refuser.Forbidden, asRefusal(check(scopeOf(t, withoutRight), rq)).Reason())
	withoutService := strings.NewReplacer("services = orders", "services = *", "[service.orders]", "[service.bookings]").Replace(jobSettings)
	require.Equal(t, refuser.UnknownService, asRefusal(check(scopeOf(t, withoutService), rq)).Reason())
}

func TestParseOrder(t *testing.T) {
	od, err := parseOrder([]byte(`{"request":{"path":"/v1/completions","body":{"model":"m"}},"deadline":"8h"}`))
	require.NoError(t, err)
	require.Equal(t, "POST", od.Request.Method)
	require.JSONEq(t, `{"model":"m"}`, string(od.Request.Body))
	require.EqualValues(t, 8, od.Within.Hours())
	for _, bad := range []string{``, `{"request":{},"deadline":"soon"}`, `{"request":{},"deadline":"-1s"}`} {
		_, err := parseOrder([]byte(bad))
		require.Equal(t, refuser.Malformed, asRefusal(err).Reason(), bad)
	}
}
