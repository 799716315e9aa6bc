package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
)

func (dm *Demo) send(t *testing.T, node int, method, path, key, body string) (*http.Response, string) {
	rq, err := http.NewRequestWithContext(t.Context(), method, "http://"+dm.Addresses()[node]+path, strings.NewReader(body))
	require.NoError(t, err)
	rq.Header.Set("Authorization", "Bearer example-key-"+dm.settings.Callers()[0].Name())
	rq.Header.Set("Content-Type", "application/json")
	if key != "" {
		rq.Header.Set("Idempotency-Key", key)
	}
	rs, err := http.DefaultClient.Do(rq)
	require.NoError(t, err)
	defer func() { _ = rs.Body.Close() }()
	text, err := io.ReadAll(rs.Body)
	require.NoError(t, err)
	return rs, string(text)
}

// TestBookingsAndJobsAreSharedByAllNodes sends a booking with the same
// idempotency key through every node, which must run it once, and reads a job
// from another node than the one that accepted it.
func TestBookingsAndJobsAreSharedByAllNodes(t *testing.T) {
	checker.Reset()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	dm, err := Start(ctx, "harwick-pell", WithInstantLoads())
	require.NoError(t, err)
	defer dm.Stop()
	require.NoError(t, dm.AwaitReady(ctx, ignoreProgress))
	const key = "019b7b00-0000-7000-8000-000000000001"
	var first string
	for node := range dm.Addresses() {
		rs, text := dm.send(t, node, http.MethodPost, "/services/orders/book", key, `{"item":"chlorine"}`)
		require.Equal(t, http.StatusOK, rs.StatusCode, text)
		if node == 0 {
			first = text
			continue
		}
		require.Equal(t, first, text)
		require.Equal(t, "true", rs.Header.Get("Lagoonpass-Replayed"))
	}
	require.Equal(t, 1, dm.services["orders"].Runs(`{"item":"chlorine"}`))

	body := fmt.Sprintf(`{"request":{"path":"/v1/chat/completions","body":{"model":%q,"max_tokens":4,"messages":[]}}}`, dm.settings.Models()[0].Name())
	rs, text := dm.send(t, 1, http.MethodPost, "/v1/jobs", "review-17", body)
	require.Equal(t, http.StatusAccepted, rs.StatusCode, text)
	var job struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	require.NoError(t, json.Unmarshal([]byte(text), &job))
	_, text = dm.send(t, 2, http.MethodGet, "/v1/jobs/"+job.ID+"?wait=30s", "", "")
	require.NoError(t, json.Unmarshal([]byte(text), &job))
	require.Equal(t, "done", job.State, text)
	require.Empty(t, checker.Violations())
}
