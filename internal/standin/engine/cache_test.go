package engine_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/protocol/prefixer"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
)

// reportedEvents returns the boot id and the cache events of a report.
func reportedEvents(t *testing.T, eg *engine.Engine) (string, []router.CacheEvent) {
	wr := httptest.NewRecorder()
	eg.Handler().ServeHTTP(wr, httptest.NewRequest(http.MethodGet, "/control/report", http.NoBody))
	var wire struct {
		BootID string              `json:"boot-id"`
		Events []router.CacheEvent `json:"cache-events"`
	}
	require.NoError(t, json.Unmarshal(wr.Body.Bytes(), &wire))
	return wire.BootID, wire.Events
}

// TestPrefixHitShortensPrefill runs two prompts with a shared prefix, then one
// that evicts the blocks of that prefix, with a gap in the events.
func TestPrefixHitShortensPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eg := engine.New("w1", engine.WithCacheBlocks(8), engine.WithPrefill(100*time.Millisecond))
		order := `{"id":"o","fence":1,"action":"load-model","model":"m","version":"v1","memory":1}`
		eg.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/control/orders", strings.NewReader(order)))
		run := func(prompt string) time.Duration {
			began := time.Now()
			body := fmt.Sprintf(`{"model":"m","max_tokens":1,"prompt":%q}`, prompt)
			eg.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body)))
			return time.Since(began)
		}
		shared := strings.Repeat("s", 3*prefixer.BlockBytes)
		pm := router.NewPrefixMemory()
		require.Equal(t, 100*time.Millisecond, run(shared))
		require.Equal(t, 25*time.Millisecond, run(shared+strings.Repeat("x", prefixer.BlockBytes)))
		pm.Apply(reportedEvents(t, eg))
		require.Equal(t, 3, pm.Held(prefixer.Prefixes(shared)))

		eg.SkipCacheEvents(1)
		run(strings.Repeat("y", 8*prefixer.BlockBytes))
		pm.Apply(reportedEvents(t, eg))
		require.Equal(t, 1, pm.Gaps())
		require.Zero(t, pm.Held(prefixer.Prefixes(shared)))
		require.Equal(t, 100*time.Millisecond, run(shared))
	})
}
