package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// worker is a worker's process, and its entry in the store.
type worker struct {
	lb          *lab
	id, service string
	address     string
	born        int64
	cmd         *exec.Cmd

	mu    sync.Mutex
	seq   int
	state string
	alive bool
	gone  bool
	// software is the version of the worker's software.
	software string
	// running has the ids of the requests that the worker runs, as its process has said.
	running map[string]bool
}

// startWorker starts the process of a worker of the first version of the software and registers
// it. An address with port 0 gets a free port.
func (lb *lab) startWorker(id, service, address, model string) (*worker, error) {
	return lb.startVersion("v1", id, service, address, model)
}

// startVersion is startWorker for any version of the software.
func (lb *lab) startVersion(software, id, service, address, model string) (*worker, error) {
	wk := &worker{lb: lb, id: id, service: service, born: time.Now().UnixMilli(), state: "ready", alive: true, software: software, running: map[string]bool{}}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, "worker", id, address, strconv.FormatInt(wk.born, 10), model)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = os.Stderr
	wk.cmd = cmd
	if err := lb.start(cmd); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("worker %s does not start", id)
	}
	wk.address = lines.Text()
	go func() {
		for lines.Scan() {
			lb.note("worker %s: %s", id, lines.Text())
			wk.follow(lines.Text())
		}
	}()
	lb.note("worker %s of %s, version %s, starts at %s", id, service, software, wk.address)
	wk.register()
	go wk.beat()
	return wk, nil
}

// follow takes up what the worker's process says.
func (wk *worker) follow(line string) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	words := strings.Fields(line)
	switch {
	case len(words) < 2:
	case words[0] == "runs":
		wk.running[words[1]] = true
	case words[0] == "ends":
		delete(wk.running, words[1])
	}
}

// runs returns the number of requests that the worker runs.
func (wk *worker) runs() int {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return len(wk.running)
}

// busiest returns the index of the worker that runs the most requests.
func busiest(workers []*worker) int {
	best := 0
	for ix, wk := range workers {
		if wk.runs() > workers[best].runs() {
			best = ix
		}
	}
	return best
}

// beat registers the worker at each heartbeat, and has its entry expire after its end.
func (wk *worker) beat() {
	for {
		time.Sleep(heartbeat)
		wk.mu.Lock()
		alive, gone := wk.alive, wk.gone
		wk.mu.Unlock()
		if gone {
			return
		}
		if !alive {
			time.Sleep(expiry - heartbeat)
			wk.remove()
			return
		}
		wk.register()
	}
}

// held returns the models that the worker's process reports.
func (wk *worker) held() json.RawMessage {
	none := json.RawMessage("[]")
	cl := http.Client{Timeout: time.Second}
	rs, err := cl.Get("http://" + wk.address + "/report")
	if err != nil {
		return none
	}
	defer func() { _ = rs.Body.Close() }()
	var report struct {
		Models json.RawMessage `json:"models"`
	}
	if json.NewDecoder(rs.Body).Decode(&report) != nil || len(report.Models) == 0 {
		return none
	}
	return report.Models
}

// register writes the worker's entry.
func (wk *worker) register() {
	models := wk.held()
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if !wk.alive || wk.gone {
		return
	}
	wk.seq++
	text, _ := json.Marshal(map[string]any{
		"service": wk.service, "addr": wk.address, "zone": "nw-a", "version": wk.software, "slots": 96, "state": wk.state,
		"cold_left_ms": 0, "seq": wk.seq, "born": wk.born, "models": models,
	})
	wk.lb.store.Put("servers/"+wk.id, text)
}

// drain has the worker report that it leaves.
func (wk *worker) drain() {
	wk.mu.Lock()
	wk.state = "draining"
	wk.mu.Unlock()
	wk.register()
	wk.lb.note("worker %s reports draining; the store has accepted it", wk.id)
}

// remove removes the worker's entry.
func (wk *worker) remove() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.gone {
		return
	}
	wk.gone = true
	wk.lb.store.Remove("servers/" + wk.id)
	wk.lb.note("the entry of worker %s is removed", wk.id)
}

// crash kills the worker's process.
func (wk *worker) crash() {
	wk.mu.Lock()
	wk.alive = false
	wk.mu.Unlock()
	_ = wk.cmd.Process.Signal(syscall.SIGKILL)
	_ = wk.cmd.Wait()
	wk.lb.note("worker %s crashes", wk.id)
}

// bodyOf returns the pieces of the whole answer to the request with the id.
func bodyOf(id string, stream bool, pieces int) []string {
	var all []string
	for ix := 1; ix <= pieces; ix++ {
		if stream {
			all = append(all, fmt.Sprintf("id: %d\ndata: piece %d of %d for %s\n\n", ix, ix, pieces, id))
			continue
		}
		all = append(all, fmt.Sprintf("line %d of %d for %s\n", ix, pieces, id))
	}
	return all
}

// The pieces of an answer, and the time between two of them.
const (
	pieces   = 20
	pieceGap = 100 * time.Millisecond
	// quickWork is the time for an answer with a length.
	quickWork = 60 * time.Millisecond
)

// serveWorker is the process of a worker: ID ADDRESS BORN MODEL. Its answers have neither a
// length nor chunks and end with their connections, except for the prefix /quick/.
func serveWorker(args []string) int {
	pr := &process{id: args[0], born: args[2], models: map[string]bool{}}
	if args[3] != "" {
		pr.models[args[3]] = true
	}
	ln, err := net.Listen("tcp", args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Println(ln.Addr())
	for {
		cn, err := ln.Accept()
		if err != nil {
			return exitHeld
		}
		go pr.serve(cn)
	}
}

// loadTime is how long a worker takes to load a model.
const loadTime = 1300 * time.Millisecond

// process is the state of a worker's process.
type process struct {
	id, born string

	mu     sync.Mutex
	models map[string]bool
	busy   bool
	orders int
}

// report returns the worker's report as JSON.
func (pr *process) report() string {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	var models []string
	for name := range pr.models {
		models = append(models, `{"name":"`+name+`","version":1,"adapters":[]}`)
	}
	return fmt.Sprintf(`{"stage":"mixed","models":[%s],"busy":%v,"seq":%d,"queued":0,"running":0,"kv_used":0,"kv_total":199005,"handles":0,"born":%s}`,
		strings.Join(models, ","), pr.busy, pr.orders, pr.born)
}

// order carries out an order and returns the status of the answer.
func (pr *process) order(body []byte) int {
	var od struct {
		Op, Model, Holder string
		Expected          *int
		Fence             int64
	}
	if json.Unmarshal(body, &od) != nil || od.Holder == "" || od.Fence == 0 {
		return http.StatusBadRequest
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	switch {
	case pr.busy || od.Expected != nil && *od.Expected != pr.orders:
		return http.StatusConflict
	case (od.Op == "load") == pr.models[od.Model]:
		return http.StatusOK
	}
	pr.orders++
	if od.Op != "load" {
		delete(pr.models, od.Model)
		return http.StatusAccepted
	}
	pr.busy = true
	time.AfterFunc(loadTime, func() {
		pr.mu.Lock()
		defer pr.mu.Unlock()
		pr.models[od.Model], pr.busy = true, false
	})
	return http.StatusAccepted
}

// holds reports whether the worker has the model, or needs none.
func (pr *process) holds(model string) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return model == "" || pr.models[model]
}

// slowEvents and slowGap are the number of events of a stream with the prefix /slow/, and the
// time between two.
const (
	slowEvents = 40
	slowGap    = 250 * time.Millisecond
)

// stream answers with the events after the last one that the client has, in chunks, and
// reports whether the connection may carry another request.
func (pr *process) stream(cn net.Conn, rq *http.Request) bool {
	attempt := rq.Header.Get("Attempt-Id")
	_, err := fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, pr.id)
	first, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
	for ix := first + 1; err == nil && ix <= slowEvents; ix++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", ix, ix)
		_, err = fmt.Fprintf(cn, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(slowGap)
	}
	if err == nil {
		_, err = io.WriteString(cn, "0\r\n\r\n")
	}
	fmt.Printf("ends %s\n", attempt)
	return err == nil
}

func (pr *process) serve(cn net.Conn) {
	id := pr.id
	defer func() { _ = cn.Close() }()
	rd := bufio.NewReader(cn)
	for {
		rq, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		body, err := io.ReadAll(rq.Body)
		if err != nil {
			return
		}
		attempt := rq.Header.Get("Attempt-Id")
		if want := rq.Header.Get("Expect-Instance"); want != "" && want != id {
			_, _ = fmt.Fprintf(cn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		switch rq.URL.Path {
		case "/report":
			text := pr.report()
			_, _ = fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			continue
		case "/order":
			status := pr.order(body)
			fmt.Printf("order %s: %d\n", body, status)
			_, _ = fmt.Fprintf(cn, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
			continue
		case "/healthz":
			_, _ = fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if !pr.holds(rq.Header.Get("Model")) {
			_, _ = fmt.Fprintf(cn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
			continue
		}
		fmt.Printf("runs %s %s %s, body of %d bytes\n", attempt, rq.Method, rq.URL.Path, len(body))
		if strings.HasPrefix(rq.URL.Path, "/quick/") {
			time.Sleep(quickWork)
			text := "done " + attempt
			_, _ = fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", attempt, id, len(text), text)
			fmt.Printf("ends %s\n", attempt)
			continue
		}
		if strings.HasPrefix(rq.URL.Path, "/slow/") {
			if !pr.stream(cn, rq) {
				return
			}
			continue
		}
		stream := strings.HasPrefix(rq.URL.Path, "/stream/")
		kind := "text/plain"
		if stream {
			kind = "text/event-stream"
		}
		_, _ = fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", attempt, id, kind)
		for _, piece := range bodyOf(attempt, stream, pieces) {
			if _, err := io.WriteString(cn, piece); err != nil {
				fmt.Printf("%s broken off by its caller\n", attempt)
				return
			}
			time.Sleep(pieceGap)
		}
		fmt.Printf("ends %s\n", attempt)
		return
	}
}
