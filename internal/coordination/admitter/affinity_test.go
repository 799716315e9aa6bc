package admitter_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/ejector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/coordination/watcher"
	"github.com/lagoonpass/lagoonpass/internal/protocol/prefixer"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// TestAffinityHitsMoreCachedBlocksThanPowerOfTwo sends 1,000 prompts to four
// stand-in engines. Each prompt has one of 24 shared prefixes of 8 blocks and
// one block of its own. Each cache holds 96 blocks, which is half of the
// prefixes, so that the four hold all prefixes twice. Cache events are lost in
// between.
func TestAffinityHitsMoreCachedBlocksThanPowerOfTwo(t *testing.T) {
	alone := func() int { return 1 }
	hits := map[string]float64{}
	for name, policy := range map[string]router.Policy{
		"power of two": router.NewPowerOfTwo(rand.New(rand.NewPCG(7, 1)), alone),
		"affinity":     router.NewAffinity(rand.New(rand.NewPCG(7, 1)), alone),
	} {
		hits[name] = cacheHitRate(t, policy)
		t.Logf("%s: %.3f of the blocks were in the cache", name, hits[name])
	}
	require.Greater(t, hits["affinity"], hits["power of two"]+0.1)
}

// cacheHitRate returns the fraction of the prompts' blocks that were cached.
func cacheHitRate(t *testing.T, policy router.Policy) float64 {
	var engines []*engine.Engine
	text := "[caller.desk]\nkey-sha256 = " + strings.Repeat("ab", 32) + "\nquota = 1000000\nburst = 1000000\n" +
		"[class.c]\nrank = 0\n[model.m]\nmemory = 1GiB\n[engine-kind.k]\nchecks-fencing = yes\n"
	for ix := range 4 {
		eg := engine.New(fmt.Sprintf("w%d", ix), engine.WithCacheBlocks(96), engine.WithPrefill(0), engine.WithTokenGap(0))
		sv := httptest.NewServer(eg.Handler())
		t.Cleanup(sv.Close)
		post(t, sv.Listener.Addr().String(), "/control/orders", `{"id":"1","fence":1,"action":"load-model","model":"m","version":"v1","memory":1024}`)
		text += fmt.Sprintf("[backend-server.w%d]\nkind = k\naddress = %s\nzone = zone-a\nmemory = 80GiB\nslots = 16\n", ix, sv.Listener.Addr())
		engines = append(engines, eg)
	}
	st, faults := configurer.Parse([]configurer.File{{Name: "10.ini", Text: text}})
	require.Empty(t, faults)
	wt := watcher.New()
	ad := admitter.New(wt, ejector.New(), rand.New(rand.NewPCG(7, 3)), admitter.WithScheduler(admitter.WithPolicy(policy)))
	random := rand.New(rand.NewPCG(7, 2))
	cr, _ := st.Caller("desk")
	cs, _ := st.Class("c")
	md, _ := st.Model("m")
	for ix := range 1000 {
		if ix%20 == 0 {
			engines[ix/20%4].SkipCacheEvents(1)
			wt.Poll(t.Context(), st.BackendServers())
			ad.Refresh(st)
		}
		prompt := strings.Repeat(string(rune('a'+random.IntN(24))), 8*prefixer.BlockBytes) + fmt.Sprintf("%0*d", prefixer.BlockBytes, ix)
		tk := &admitter.Ticket{
			Caller: cr, Class: cs, Model: md, MaxTokens: 1,
			Prefixes: prefixer.Prefixes(prompt), Deadline: time.Now().Add(time.Minute),
		}
		gr, rf := ad.Admit(t.Context(), st, tk)
		require.Nil(t, rf)
		post(t, gr.Address(), "/v1/completions", fmt.Sprintf(`{"model":"m","max_tokens":1,"prompt":%q}`, prompt))
		gr.Done(admitter.Result{})
	}
	hitBlocks, allBlocks := 0, 0
	for _, eg := range engines {
		hits, blocks := eg.CacheHits()
		hitBlocks, allBlocks = hitBlocks+hits, allBlocks+blocks
	}
	return float64(hitBlocks) / float64(allBlocks)
}

func post(t *testing.T, address, path, body string) {
	rs, err := http.Post("http://"+address+path, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, rs.Body)
	require.NoError(t, rs.Body.Close())
	require.Equal(t, http.StatusOK, rs.StatusCode)
}
