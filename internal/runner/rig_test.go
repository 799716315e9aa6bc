package runner_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/runner"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/identifier"
)

const (
	loopback     = "127.0.0.1:0"
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	settingsText = `
[model.m]
memory = 1GiB
max-replicas = 1
[adapter.ad]
model = m
memory = 64MiB
[class.c]
rank = 0
deadline = 5m
[limits]
address-answer-lifetime = 1m
entry-nodes = 2
[timeouts]
drain = 2m
lease-lifetime = 1m
engine-silence = 20s
[caller.t]
key-sha256 = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
quota = 100000
burst = 100000
[engine-kind.k]
checks-fencing = yes
resumes = yes
[backend-server.w1]
kind = k
address = %s
zone = zone-a
accelerators = 1
memory = 80GiB
cache-reserve = 20GiB
adapter-reserve = 4GiB
slots = 16
`
)

// rig is two entry nodes and one stand-in engine on loopback.
type rig struct {
	t      testing.TB
	engine *engine.Engine
	nodes  []*runner.Node
	// stops has a function for each node that begins its planned stop.
	stops []context.CancelFunc
	// ended receives the result of each node's Run.
	ended []chan error
	// pauses receives the length of each pause of a planned stop.
	pauses chan time.Duration
	// endPause ends a pause.
	endPause chan time.Time
	// gate is closed by open.
	gate chan struct{}
	open func()
	// backend is the engine's host and port.
	backend string
	// leaving is set when the VM list says that the engine is leaving.
	leaving atomic.Bool
}

// gatedWriter delays token 20 until the gate is closed.
type gatedWriter struct {
	http.ResponseWriter
	gate chan struct{}
}

func (gw *gatedWriter) Write(data []byte) (int, error) {
	if bytes.Contains(data, []byte(`"token_index":20}`)) {
		<-gw.gate
	}
	return gw.ResponseWriter.Write(data)
}

func (gw *gatedWriter) Unwrap() http.ResponseWriter { return gw.ResponseWriter }

func newRig(t testing.TB, opts ...engine.Option) *rig { return newRigOf(t, settingsText, opts...) }

func newRigOf(t testing.TB, text string, opts ...engine.Option) *rig {
	checker.Reset()
	rg := &rig{t: t, engine: engine.New("w1", opts...), pauses: make(chan time.Duration, 8), endPause: make(chan time.Time, 8), gate: make(chan struct{})}
	rg.open = sync.OnceFunc(func() { close(rg.gate) })
	backend := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		rg.engine.Handler().ServeHTTP(&gatedWriter{wr, rg.gate}, rq)
	}))
	rg.backend = backend.Listener.Addr().String()
	store := platform.NewMemory()
	files := []configurer.File{{Name: "1.ini", Text: fmt.Sprintf(text, backend.Listener.Addr())}}
	_, err := publisher.Apply(t.Context(), store, files, "test", 0)
	require.NoError(t, err)
	web := httptest.NewServer(platform.Handler(store, rg.vms))
	for ix := range 2 {
		id := identifier.New(fmt.Sprintf("entry-%d", ix+1), "zone-a", "region-1", loopback, loopback, web.URL, web.URL+"/v1/vms")
		nd, err := runner.New(id, runner.WithTimer(rg.pause))
		require.NoError(t, err)
		rg.nodes = append(rg.nodes, nd)
	}
	for _, nd := range rg.nodes {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		rg.stops, rg.ended = append(rg.stops, cancel), append(rg.ended, ended)
		go func() { ended <- nd.Run(ctx) }()
	}
	t.Cleanup(func() {
		rg.open()
		for ix, nd := range rg.nodes {
			rg.stops[ix]()
			nd.Abort()
			<-rg.ended[ix]
		}
		backend.CloseClientConnections()
		backend.Close()
		web.Close()
		checker.Reset()
	})
	for ix := range rg.nodes {
		require.Eventually(t, func() bool { return rg.ready(ix) }, readyTimeout, pollInterval)
	}
	return rg
}

func (rg *rig) pause(dn time.Duration) <-chan time.Time {
	rg.pauses <- dn
	return rg.endPause
}

func (rg *rig) vms() []platform.VM {
	var all []platform.VM
	for ix, nd := range rg.nodes {
		all = append(all, platform.VM{Name: fmt.Sprintf("entry-%d", ix+1), Address: nd.PeerAddress(), Zone: "zone-a", Kind: "entry", State: "live"})
	}
	if rg.leaving.Load() {
		all = append(all, platform.VM{Name: "w1", Address: rg.backend, Zone: "zone-a", Kind: "backend", State: "leaving"})
	}
	return all
}

// ready reports whether node ix serves the model and knows its peer.
func (rg *rig) ready(ix int) bool {
	rs := rg.call(http.DefaultClient, ix, "/v1/completions", `{"model":"m","max_tokens":1}`)
	_, _ = io.Copy(io.Discard, rs.Body)
	addresses, _ := io.ReadAll(rg.call(http.DefaultClient, ix, "/v1/addresses", "").Body)
	return rs.StatusCode == http.StatusOK && strings.Contains(string(addresses), rg.nodes[1-ix].CallerAddress())
}

// call sends node ix a GET, or a POST if the body is not empty. The headers are
// pairs of names and values.
func (rg *rig) call(hc *http.Client, ix int, path, body string, headers ...string) *http.Response {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	rq, err := http.NewRequestWithContext(rg.t.Context(), method, "http://"+rg.nodes[ix].CallerAddress()+path, strings.NewReader(body))
	require.NoError(rg.t, err)
	rq.Header.Set("Authorization", "Bearer test")
	for at := 0; at < len(headers); at += 2 {
		rq.Header.Set(headers[at], headers[at+1])
	}
	rs, err := hc.Do(rq)
	require.NoError(rg.t, err)
	rg.t.Cleanup(func() { _ = rs.Body.Close() })
	return rs
}
