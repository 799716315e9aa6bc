package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a sound worker.
type worker struct {
	lb          *lab
	id, service string
	address     string // in its registration
	models      []string
	born        int64
	// events and pause are those of streams, and work is the time of other requests.
	events      int
	pause, work time.Duration
	// answer is the body of other answers.
	answer string
	// unframed says that answers have neither a length nor chunks.
	unframed bool
	// quiet leaves out of the record what is not asked for by kept connections.
	quiet bool

	mu       sync.Mutex
	link     *link
	server   *http.Server
	leaving  bool
	left     bool
	sequence int64
	orders   int64
	runs     map[string]int
	ends     map[string]string
}

// newWorker starts a worker, behind a link if the lab says so. It registers until it has
// left.
func (lb *lab) newWorker(id, service string, models ...string) (*worker, error) {
	wk := &worker{
		lb: lb, id: id, service: service, models: models, born: time.Now().UnixMilli(), events: 73, pause: 25 * time.Millisecond,
		work: 60 * time.Millisecond, answer: strings.Repeat("x", 800), runs: map[string]int{}, ends: map[string]string{},
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wk.server, wk.address = &http.Server{Handler: wk}, ln.Addr().String()
	go func() { _ = wk.server.Serve(ln) }()
	if lb.linked {
		if wk.link, err = lb.newLink(wk.address); err != nil {
			return nil, err
		}
		wk.address = wk.link.address
	}
	go func() {
		for {
			wk.register()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return wk, nil
}

func (wk *worker) described() []map[string]any {
	all := []map[string]any{}
	for _, name := range wk.models {
		all = append(all, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return all
}

func (wk *worker) register() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.left {
		return
	}
	state := "ready"
	if wk.leaving {
		state = "draining"
	}
	wk.sequence++
	text, err := json.Marshal(map[string]any{
		"service": wk.service, "addr": wk.address, "zone": "z1", "version": "1", "slots": 96, "state": state,
		"cold_left_ms": 0, "seq": wk.sequence, "born": wk.born, "models": wk.described(),
	})
	if err == nil {
		wk.lb.store.Put("servers/"+wk.id, text)
	}
}

// ServeHTTP implements http.Handler.
func (wk *worker) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	id := rq.Header.Get("Attempt-Id")
	if id != "" {
		wr.Header().Set("Attempt-Id", id)
	}
	if want := rq.Header.Get("Expect-Instance"); want != "" && want != wk.id {
		wr.Header().Set("Not-Executed", "1")
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch rq.URL.Path {
	case "/healthz":
		wr.Header().Set("Instance-Id", wk.id)
	case "/report":
		wk.mu.Lock()
		defer wk.mu.Unlock()
		wr.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(wr).Encode(map[string]any{
			"stage": "mixed", "models": wk.described(), "busy": false, "seq": wk.orders, "queued": 0, "running": 0,
			"kv_used": 0, "kv_total": 199005, "handles": 0, "born": wk.born,
		})
	case "/order":
		wr.WriteHeader(http.StatusOK) // it holds all models already
	default:
		wk.run(wr, rq, id)
	}
}

// run runs a request of a client.
func (wk *worker) run(wr http.ResponseWriter, rq *http.Request, id string) {
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	wk.mu.Lock()
	wk.runs[id]++
	wk.mu.Unlock()
	if !wk.quiet || strings.HasSuffix(rq.URL.Path, "/slow") {
		wk.lb.note("%s runs %s, a body of %d bytes", wk.id, id, len(body))
	}
	wr.Header().Set("Response-Seal", "seal."+id)
	if wk.isLeaving() {
		wr.Header().Set("Server-Leaving", "1")
	}
	if wk.unframed {
		wr.Header().Set("Transfer-Encoding", "identity")
	}
	if !strings.HasPrefix(rq.URL.Path, "/stream/") {
		work := wk.work
		if strings.HasSuffix(rq.URL.Path, "/slow") {
			work = slowWork
		}
		select {
		case <-time.After(work):
		case <-rq.Context().Done():
			wk.end(id, "broken off by the node")
			return
		}
		text := fmt.Sprintf("%s %d %s", id, len(body), wk.answer)
		if !wk.unframed {
			wr.Header().Set("Content-Length", strconv.Itoa(len(text)))
		}
		if _, err := io.WriteString(wr, text); err != nil {
			wk.end(id, err.Error())
			return
		}
		wk.end(id, "done, all of the answer is written")
		return
	}
	wr.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
	for event := first + 1; event <= wk.events; event++ {
		_, _ = fmt.Fprintf(wr, "id: %d\ndata: %s\n\n", event, id)
		_ = http.NewResponseController(wr).Flush()
		select {
		case <-time.After(wk.pause):
		case <-rq.Context().Done():
			wk.end(id, "broken off by the node after event "+strconv.Itoa(event))
			return
		}
	}
	wk.end(id, "done")
}

func (wk *worker) end(id, how string) {
	wk.mu.Lock()
	wk.ends[id] = how
	wk.mu.Unlock()
	if wk.quiet {
		return
	}
	wk.lb.note("%s ends %s: %s", wk.id, id, how)
}

func (wk *worker) isLeaving() bool {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return wk.leaving
}

// leave drains the worker as before a planned shutdown: it reports that it drains,
// serves for the given time, closes its listener, ends the requests that it runs, and
// exits.
func (wk *worker) leave(serving time.Duration) {
	wk.mu.Lock()
	wk.leaving = true
	wk.mu.Unlock()
	wk.register()
	wk.lb.note("%s reports that it drains", wk.id)
	time.Sleep(serving)
	wk.lb.note("%s closes its listener and ends what it runs", wk.id)
	_ = wk.server.Shutdown(context.Background())
	wk.mu.Lock()
	wk.left = true
	wk.mu.Unlock()
	wk.lb.store.Remove("servers/" + wk.id)
	wk.lb.note("%s has left", wk.id)
}
