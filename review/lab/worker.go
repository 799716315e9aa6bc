package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two registrations of a worker.
const heartbeat = 1200 * time.Millisecond

// worker is a model worker, or one of a service without models.
type worker struct {
	lab               *lab
	id, service, zone string
	address           string
	slots             int
	// events is the number of events of a stream, and gap the time between two.
	events int
	gap    time.Duration
	// first is the time before the first event.
	first time.Duration
	// work is the time of a request that is no stream.
	work time.Duration

	mu       sync.Mutex
	server   *http.Server
	software string
	born     int64
	seq      int64 // registrations
	models   []string
	accepted int64 // orders
	busy     bool
	runs     map[string]int
	running  int
}

func (lb *lab) addWorker(wk *worker) error {
	wk.lab, wk.runs = lb, map[string]int{}
	lb.workers = append(lb.workers, wk)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	wk.address = ln.Addr().String()
	wk.serve(ln)
	go func() {
		for {
			wk.register()
			select {
			case <-lb.stop:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return nil
}

func (wk *worker) serve(ln net.Listener) {
	wk.mu.Lock()
	wk.born = time.Now().UnixMilli()
	wk.seq, wk.accepted, wk.busy = 0, 0, false
	wk.server = &http.Server{Handler: wk, ReadHeaderTimeout: time.Minute}
	server := wk.server
	wk.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
}

// end ends the worker's process: its connections are lost.
func (wk *worker) end() {
	wk.mu.Lock()
	server := wk.server
	wk.server = nil
	wk.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// restart starts the worker again under its id and address, empty, at another version of
// its software.
func (wk *worker) restart(software string) error {
	ln, err := net.Listen("tcp", wk.address)
	if err != nil {
		return err
	}
	wk.mu.Lock()
	wk.software, wk.models = software, nil
	wk.mu.Unlock()
	wk.serve(ln)
	wk.register()
	return nil
}

func (wk *worker) modelsLocked() []map[string]any {
	models := []map[string]any{}
	for _, name := range wk.models {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return models
}

func (wk *worker) register() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.server == nil {
		return
	}
	wk.seq++
	body, err := json.Marshal(map[string]any{
		"service": wk.service, "addr": wk.address, "zone": wk.zone, "version": wk.software, "slots": wk.slots, "state": "ready",
		"cold_left_ms": 0, "stage": "mixed", "models": wk.modelsLocked(), "seq": wk.seq, "born": wk.born,
	})
	if err == nil {
		wk.lab.store.Put("servers/"+wk.id, body)
	}
}

// ServeHTTP implements http.Handler.
func (wk *worker) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if want := rq.Header.Get("Expect-Instance"); want != "" && want != wk.id {
		wr.Header().Set("Instance-Id", wk.id)
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch rq.URL.Path {
	case "/healthz":
		wr.Header().Set("Instance-Id", wk.id)
	case "/report":
		wk.report(wr)
	case "/order":
		wk.order(wr, rq)
	default:
		wk.request(wr, rq)
	}
}

func (wk *worker) report(wr http.ResponseWriter) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(map[string]any{
		"stage": "mixed", "models": wk.modelsLocked(), "busy": wk.busy, "seq": wk.accepted, "queued": 0, "running": wk.running,
		"kv_used": 0, "kv_total": 82737, "handles": 0, "born": wk.born,
	})
}

// loadTime is how long a load takes from the worker's own disk.
const loadTime = 350 * time.Millisecond

func (wk *worker) order(wr http.ResponseWriter, rq *http.Request) {
	var od struct {
		Op, Model, Adapter, Holder string
		Expected                   *int64
		Fence                      int64
	}
	if err := json.NewDecoder(rq.Body).Decode(&od); err != nil || od.Holder == "" || od.Fence == 0 || od.Adapter != "" {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	wk.lab.orders.note(wk.id, od.Holder, od.Fence)
	wk.mu.Lock()
	defer wk.mu.Unlock()
	holds := slices.Contains(wk.models, od.Model)
	switch {
	case wk.busy || od.Expected != nil && *od.Expected != wk.accepted:
		wr.WriteHeader(http.StatusConflict)
		return
	case holds == (od.Op == "load"):
		return
	}
	wk.accepted++
	wk.lab.note("%s: order %s %s of %s, fence %d", wk.id, od.Op, od.Model, od.Holder, od.Fence)
	if od.Op != "load" {
		wk.models = slices.DeleteFunc(wk.models, func(name string) bool { return name == od.Model })
		wr.WriteHeader(http.StatusAccepted)
		go wk.register()
		return
	}
	wk.busy = true
	born := wk.born
	time.AfterFunc(loadTime, func() {
		wk.mu.Lock()
		if wk.born == born {
			wk.busy, wk.models = false, append(wk.models, od.Model)
		}
		wk.mu.Unlock()
		wk.register()
	})
	wr.WriteHeader(http.StatusAccepted)
}

// admit takes a slot, or returns the status of the refusal.
func (wk *worker) admit(model string) int {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	switch {
	case model != "" && !slices.Contains(wk.models, model):
		return http.StatusMisdirectedRequest
	case wk.running >= wk.slots:
		return http.StatusServiceUnavailable
	}
	wk.running++
	return 0
}

func (wk *worker) request(wr http.ResponseWriter, rq *http.Request) {
	id := rq.Header.Get("Attempt-Id")
	size, err := io.Copy(io.Discard, rq.Body)
	if err != nil {
		return
	}
	wr.Header().Set("Attempt-Id", id)
	if status := wk.admit(rq.Header.Get("Model")); status != 0 {
		wr.Header().Set("Not-Executed", "1")
		wr.WriteHeader(status)
		return
	}
	wk.mu.Lock()
	wk.runs[id]++
	software := wk.software
	wk.mu.Unlock()
	defer func() {
		wk.mu.Lock()
		defer wk.mu.Unlock()
		wk.running--
	}()
	wr.Header().Set("Response-Seal", "seal."+wk.id+"."+id)
	wr.Header().Set("Keep-Alive", "timeout=30")
	if wk.events == 0 {
		select {
		case <-rq.Context().Done():
			wk.lab.note("%s: request %s was given up", wk.id, id)
			return
		case <-time.After(wk.work):
		}
		wk.lab.note("%s: ran %s with %d bytes", wk.id, id, size)
		_, _ = fmt.Fprintf(wr, "done %s %d", id, size)
		return
	}
	wk.stream(wr, rq, software)
}

// stream sends the events after the one that the client has.
func (wk *worker) stream(wr http.ResponseWriter, rq *http.Request, software string) {
	last, _ := strconv.Atoi(strings.TrimSpace(rq.Header.Get("Last-Event-Id")))
	wk.lab.note("%s (%s): runs %s after event %d", wk.id, software, rq.Header.Get("Attempt-Id"), last)
	wr.Header().Set("Content-Type", "text/event-stream")
	wr.Header().Set("Weight-Versions", "1")
	control := http.NewResponseController(wr)
	select {
	case <-rq.Context().Done():
		return
	case <-time.After(wk.first):
	}
	for event := last + 1; event <= wk.events; event++ {
		select {
		case <-rq.Context().Done():
			return
		case <-time.After(wk.gap):
		}
		if _, err := fmt.Fprintf(wr, "id: %d\ndata: piece %d of %s\n\n", event, event, software); err != nil {
			return
		}
		_ = control.Flush()
	}
}
