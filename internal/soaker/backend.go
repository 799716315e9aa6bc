package soaker

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
)

// leavingGrace is how long new work may still come to a VM that is leaving.
const leavingGrace = 5 * time.Second

// headerRequest carries a request's id to an engine.
const headerRequest = "X-Request-Id"

// backend is a stand-in engine on a VM.
type backend struct {
	world  *world
	engine *engine.Engine
	serve  http.Handler
	host   string

	mu      sync.Mutex
	leaving time.Time
	isDown  bool
}

func newBackend(wd *world, ix int) *backend {
	eg := engine.New(engineName(ix),
		engine.WithMemory(28<<30),
		engine.WithAdapterMemory(2<<30),
		engine.WithFencing(fenced(ix)),
		engine.WithLoadTime(loadTime),
		engine.WithTokenGap(tokenGap),
		engine.WithPrefill(prefill),
		engine.WithReportLag(reportLag))
	return &backend{world: wd, engine: eg, serve: eg.Handler(), host: engineHost(ix)}
}

// ServeHTTP notes which completions arrive.
func (be *backend) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if strings.HasSuffix(rq.URL.Path, "/completions") {
		body, err := io.ReadAll(rq.Body)
		if err != nil {
			return
		}
		rq.Body = io.NopCloser(bytes.NewReader(body))
		be.note(rq.Header.Get(headerRequest), body)
	}
	be.serve.ServeHTTP(wr, rq)
}

func (be *backend) note(id string, body []byte) {
	var call struct {
		User string `json:"user"`
	}
	_ = json.Unmarshal(body, &call)
	be.world.arrived(call.User, arrival{engine: be.engine, id: id})
	be.mu.Lock()
	since := be.leaving
	be.mu.Unlock()
	if since.IsZero() || be.world.wasDisturbed(since) {
		return
	}
	late := time.Since(since)
	be.world.report.expect(checker.NoRequestsToLeaving, late <= leavingGrace, "%s got %s after it had been leaving for %s", be.host, id, late)
}

func (be *backend) setLeaving(leaving bool) {
	be.mu.Lock()
	defer be.mu.Unlock()
	be.leaving = time.Time{}
	if leaving {
		be.leaving = time.Now()
	}
	be.engine.SetLeaving(leaving)
}

// crash restarts the engine's process. Orders on its old connections are gone.
func (be *backend) crash() {
	be.engine.DropHeldOrders()
	be.world.network.Reset(be.host)
	be.engine.Restart()
}

func (be *backend) down() {
	be.mu.Lock()
	defer be.mu.Unlock()
	be.isDown = true
	be.engine.SetDown(true)
	be.crash()
}

func (be *backend) up() {
	be.mu.Lock()
	defer be.mu.Unlock()
	be.isDown = false
	be.engine.SetDown(false)
}

// release lets held orders arrive, unless the engine is down.
func (be *backend) release() {
	be.mu.Lock()
	isDown := be.isDown
	be.mu.Unlock()
	if isDown {
		be.engine.DropHeldOrders()
		return
	}
	be.engine.ReleaseOrders()
}

func (be *backend) recover() {
	be.up()
	be.engine.ClearOrderFaults()
	be.engine.ClearRequestFaults()
	be.release()
	be.setLeaving(false)
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}
