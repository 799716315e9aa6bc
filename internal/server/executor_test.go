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

// Hazard 23: a settings change removes what a queued job needs.
func TestJobIsRefusedAfterServiceOrPermissionIsRemoved(t *testing.T) {
	rq := jobrunner.Request{Method: "POST", Path: "/services/orders/book"}
	require.NoError(t, checkJobRequest(scopeOf(t, jobSettings), rq))
	withoutPermission := strings.Replace(jobSettings, "services = orders", "services = other", 1)
	require.Equal(t, refuser.Forbidden, asRefusal(checkJobRequest(scopeOf(t, withoutPermission), rq)).Reason())
	withoutService := strings.NewReplacer("services = orders", "services = *", "[service.orders]", "[service.bookings]").Replace(jobSettings)
	require.Equal(t, refuser.UnknownService, asRefusal(checkJobRequest(scopeOf(t, withoutService), rq)).Reason())
}

func TestParseJobSetsDefaultsAndChecksDeadline(t *testing.T) {
	sb, err := parseJob([]byte(`{"request":{"path":"/v1/completions","body":{"model":"m"}},"deadline":"8h"}`))
	require.NoError(t, err)
	require.Equal(t, "POST", sb.Request.Method)
	require.JSONEq(t, `{"model":"m"}`, string(sb.Request.Body))
	require.EqualValues(t, 8, sb.Within.Hours())
	for _, bad := range []string{``, `{"request":{},"deadline":"soon"}`, `{"request":{},"deadline":"-1s"}`} {
		_, err := parseJob([]byte(bad))
		require.Equal(t, refuser.Malformed, asRefusal(err).Reason(), bad)
	}
}
