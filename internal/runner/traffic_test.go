package runner_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
)

// A stream breaks when no retry is allowed, and the caller resumes it through
// the other entry node.
func TestBrokenStreamResumesAtAnotherNode(t *testing.T) {
	rg := newRig(t, engine.WithTokenGap(0), engine.WithPrefill(0))
	rg.engine.InjectRequestFaults(engine.Fault{Kind: engine.FaultEnd, At: 3})
	body := `{"model":"m","stream":true,"max_tokens":6}`
	rs := rg.call(http.DefaultClient, 0, "/v1/completions", body, "Lagoonpass-Retries", "none")
	part, err := io.ReadAll(rs.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "the connection is cut off")
	require.Contains(t, string(part), "event: error\ndata: {\"error\":")
	require.NotContains(t, string(part), "[DONE]")
	require.EqualValues(t, 1, rg.nodes[0].Values()["refusal.stream-broken"])

	id := rs.Header.Get("Lagoonpass-Request-Id")
	rs = rg.call(http.DefaultClient, 1, "/v1/completions", body, "Lagoonpass-Request-Id", id, "Lagoonpass-Resume-From", "3")
	rest, err := io.ReadAll(rs.Body)
	require.NoError(t, err)
	require.Contains(t, string(rest), "[DONE]")
	require.NotContains(t, string(rest), engine.Token(id, 2))
	for ix := 3; ix < 6; ix++ {
		require.Contains(t, string(rest), engine.Token(id, ix))
	}
}

func TestMalformedResumptionIsRefused(t *testing.T) {
	rg := newRig(t)
	for name, headers := range map[string][]string{
		"no id":         {"Lagoonpass-Resume-From", "3"},
		"no number":     {"Lagoonpass-Resume-From", "x", "Lagoonpass-Request-Id", "A"},
		"beyond":        {"Lagoonpass-Resume-From", "7", "Lagoonpass-Request-Id", "A"},
		"id with space": {"Lagoonpass-Resume-From", "3", "Lagoonpass-Request-Id", "A B"},
	} {
		t.Run(name, func(t *testing.T) {
			before := rg.nodes[0].Values()["refusal.malformed"]
			rs := rg.call(http.DefaultClient, 0, "/v1/completions", `{"model":"m","stream":true,"max_tokens":6}`, headers...)
			require.Equal(t, http.StatusBadRequest, rs.StatusCode)
			require.Equal(t, before+1, rg.nodes[0].Values()["refusal.malformed"])
		})
	}
}
