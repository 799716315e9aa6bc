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

// leavingGrace is how long new requests may still arrive at a VM that is leaving.
const leavingGrace = 5 * time.Second

// endedTime is how long an engine is down after a request crashed it.
const endedTime = 3 * time.Second

// headerRequest is the header with a request's id as an engine receives it.
const headerRequest = "X-Request-Id"

// backend is a stand-in engine on a VM of its own.
type backend struct {
	cluster *cluster
	engine  *engine.Engine
	handler http.Handler
	host    string

	mu      sync.Mutex
	leaving time.Time // start of leaving; zero while the VM isn't leaving
	isDown  bool      // the engine is unavailable because of a fault
}

func newBackend(cl *cluster, ix int) *backend {
	eg := engine.New(engineName(ix),
		engine.WithMemory(28<<30),
		engine.WithAdapterMemory(2<<30),
		engine.WithFencing(fenced(ix)),
		engine.WithLoadTime(loadTime),
		engine.WithTokenGap(tokenGap),
		engine.WithPrefill(prefill),
		engine.WithReportLag(reportLag))
	return &backend{cluster: cl, engine: eg, handler: eg.Handler(), host: engineHost(ix)}
}

// ServeHTTP records completions before it passes requests to the engine.
func (be *backend) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if strings.HasSuffix(rq.URL.Path, "/completions") {
		body, err := io.ReadAll(rq.Body)
		if err != nil {
			return
		}
		rq.Body = io.NopCloser(bytes.NewReader(body))
		be.recordCompletion(rq.Header.Get(headerRequest), body)
		if bytes.Contains(body, []byte(fatalUser)) {
			be.end()
			panic(http.ErrAbortHandler)
		}
	}
	be.handler.ServeHTTP(wr, rq)
}

// recordCompletion records the arrival of a completion. A completion must not
// arrive at a VM that has been leaving for longer than leavingGrace, unless the
// network delayed it.
func (be *backend) recordCompletion(id string, body []byte) {
	var call struct {
		User string `json:"user"`
	}
	_ = json.Unmarshal(body, &call)
	be.cluster.recordArrival(call.User, arrival{engine: be.engine, id: id})
	be.mu.Lock()
	since := be.leaving
	be.mu.Unlock()
	if since.IsZero() || be.cluster.networkFaultSince(since) {
		return
	}
	late := time.Since(since)
	be.cluster.report.expect(checker.NoRequestsToLeaving, late <= leavingGrace, "%s got %s after it had been leaving for %s", be.host, id, late)
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

// crash restarts the engine's process and drops the orders on its old
// connections.
func (be *backend) crash() {
	be.engine.DropHeldOrders()
	be.cluster.network.Reset(be.host)
	be.engine.Restart()
}

// end ends the engine's process under the request that crashes engines. The next one
// starts after endedTime.
func (be *backend) end() {
	be.cluster.recordFatal()
	be.engine.DropHeldOrders()
	be.engine.Restart()
	be.cluster.network.Crash(be.host)
	time.AfterFunc(endedTime, func() { be.cluster.network.Restart(be.host) })
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

// release delivers held orders, or drops them if the engine is down.
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

// recover ends all faults of the engine.
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
