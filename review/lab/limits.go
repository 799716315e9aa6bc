package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// plainWorkers returns workers of a service without models.
func plainWorkers(service string, count, slots int, work time.Duration) []*worker {
	var all []*worker
	for ix := range count {
		all = append(all, &worker{id: "i-" + service + "-" + strconv.Itoa(ix), service: service, zone: zones[ix%len(zones)], slots: slots, work: work, software: "v1"})
	}
	return all
}

// orderRoute returns the route of requests that may run once at most.
func orderRoute(prefix, service string) map[string]any {
	return map[string]any{
		"name": "r-" + service, "host": host, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 2500, "goal_ms": 300,
		"prio": 2, "attempts": 1, "service": service,
	}
}

// kept is a client's connection that it keeps open.
type kept struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(nd *node) (*kept, error) {
	cn, err := net.DialTimeout("tcp", nd.front, connectTime)
	if err != nil {
		return nil, err
	}
	return &kept{conn: cn, reader: bufio.NewReaderSize(cn, 512)}, nil
}

// send sends a request over the connection and returns the status of its whole answer. An
// error says that the answer is missing or incomplete, and size how much of it came.
func (kp *kept) send(path, header, id string, deadline time.Duration) (status, size int, err error) {
	body := `{"tokens":1}`
	head := "POST " + path + "2f HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + strconv.FormatInt(deadline.Milliseconds(), 10) +
		"\r\n" + header + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	_ = kp.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err := io.WriteString(kp.conn, head+body); err != nil {
		return 0, 0, err
	}
	rs, err := http.ReadResponse(kp.reader, nil)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = rs.Body.Close() }()
	read, err := io.Copy(io.Discard, rs.Body)
	return rs.StatusCode, int(read) + 1, err
}

const (
	// openPerSecond is the number of connections a second that the clients of the burst
	// open, and idleTime how long they keep one: four fifths of idle_timeout_ms.
	openPerSecond = 800
	idleTime      = 12 * time.Second
	// keptClients is the number of clients that send one request after the other over a
	// connection of their own.
	keptClients = 40
	// keptFirst is how long they wait for the first event of a stream.
	keptFirst = 4 * time.Second
	// burstPath is the prefix of the route of the burst.
	burstPath     = "/purchase/"
	burstWork     = 30 * time.Millisecond
	burstDeadline = 2500 * time.Millisecond
)

// loss counts the requests that were passed on to a worker and had no answer.
type loss struct {
	mu   sync.Mutex
	lost []string
	sent int
}

// playDescriptors kills three of four machines during a burst. All clients turn to the
// fourth one and open as many connections as it has descriptors; then the others come back
// one after the other.
func playDescriptors(lb *lab) (verdict, error) {
	if err := lb.startLedger(); err != nil {
		return verdict{}, err
	}
	var ls loss
	var open sync.WaitGroup
	last := lb.nodes[3]
	stop := make(chan struct{})
	for range keptClients {
		open.Go(func() { ls.send(lb, last, stop) })
	}
	open.Go(func() { lb.storm(stop) })
	open.Go(func() { last.noteDescriptors(stop) })
	time.Sleep(3 * time.Second)
	if lb.trouble {
		var kills sync.WaitGroup
		for _, nd := range lb.nodes[:3] {
			kills.Go(nd.kill)
		}
		kills.Wait()
	}
	time.Sleep(darkTime)
	for _, nd := range lb.nodes[:3] {
		if lb.trouble {
			if err := nd.start(); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(time.Second)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	open.Wait()
	return lb.judgeLoss(&ls), nil
}

// judgeLoss checks the rule LOST on the requests over kept connections.
func (lb *lab) judgeLoss(ls *loss) verdict {
	passed := 0
	for _, id := range ls.lost {
		for _, wk := range lb.workers {
			wk.mu.Lock()
			passed += wk.runs[id]
			wk.mu.Unlock()
		}
	}
	exits := 0
	for _, nd := range lb.nodes {
		exits += nd.exitCount()
	}
	text := fmt.Sprintf(": %d processes ended by themselves; of %d requests over kept connections %d had no answer, of which %d had been passed on to a worker", exits, ls.sent, len(ls.lost), passed)
	if exits > 0 && passed > 3 {
		return verdict{broken: true, text: "LOST broken" + text}
	}
	return verdict{text: "LOST held" + text}
}

// darkTime is how long the machines that are lost stay dark. They come back one after the
// other.
const darkTime = 9 * time.Second

// startLedger starts four machines and the workers of a service without models.
func (lb *lab) startLedger() error {
	var err error
	if lb.store, err = newStore(); err != nil {
		return err
	}
	ledger := service("token-ledger", false)
	ledger["max_conns"] = 100
	letter := streamRoute()
	letter["service"] = "kiosk-llm"
	if err := lb.publish(7, []map[string]any{orderRoute(burstPath, "token-ledger"), letter}, []map[string]any{ledger, service("kiosk-llm", true)}); err != nil {
		return err
	}
	letters := modelWorkers("kiosk-llm", "v1", 3, 8, 100*time.Millisecond)
	for _, wk := range letters {
		wk.first, wk.slots = keptFirst, 24
	}
	for _, wk := range append(plainWorkers("token-ledger", 3, 6, burstWork), letters...) {
		if err := lb.addWorker(wk); err != nil {
			return err
		}
	}
	for _, zone := range machineZones {
		if err := lb.addNode(zone); err != nil {
			return err
		}
	}
	return lb.startNodes()
}

// send sends requests over a kept connection until stop is closed.
func (ls *loss) send(lb *lab, nd *node, stop chan struct{}) {
	var kp *kept
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		if kp == nil {
			if kp, _ = dial(nd); kp == nil {
				continue
			}
		}
		id := identifier()
		status, size, err := kp.send(letterPath, "Model: "+model+"\r\nToken-Count: 715,80\r\n", id, letterDeadline)
		ls.mu.Lock()
		ls.sent++
		if err != nil && size == 0 {
			ls.lost = append(ls.lost, id)
		}
		ls.mu.Unlock()
		lb.note("client: %s at %s over a kept connection: status %d, %d bytes, %v", id, nd.name, status, max(size-1, 0), err)
		if err != nil {
			_ = kp.conn.Close()
			kp = nil
		}
	}
}

// addresses are the nodes that the directory last named.
type addresses struct {
	mu    sync.Mutex
	nodes []*node
}

// follow asks the directory every second. Clients keep an answer if they get no new one.
func (ad *addresses) follow(lb *lab, stop chan struct{}) {
	for {
		var found []*node
		for _, zone := range zones {
			for _, nd := range lb.resolve(zone) {
				if !slices.Contains(found, nd) {
					found = append(found, nd)
				}
			}
		}
		if len(found) > 0 {
			ad.mu.Lock()
			ad.nodes = found
			ad.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// dial connects to a node at random, and to another one if that fails.
func (ad *addresses) dial() (*kept, error) {
	ad.mu.Lock()
	nodes := slices.Clone(ad.nodes)
	ad.mu.Unlock()
	rand.Shuffle(len(nodes), func(ix, jx int) { nodes[ix], nodes[jx] = nodes[jx], nodes[ix] })
	err := errNoNode
	for _, nd := range nodes {
		var kp *kept
		if kp, err = dial(nd); err == nil {
			return kp, nil
		}
	}
	return nil, err
}

var errNoNode = errors.New("no node is known")

// storm opens connections, sends one request over each and keeps it open.
func (lb *lab) storm(stop chan struct{}) {
	var open sync.WaitGroup
	ad := &addresses{nodes: lb.nodes}
	open.Go(func() { ad.follow(lb, stop) })
	tk := time.NewTicker(10 * time.Millisecond)
	defer tk.Stop()
	counts := map[string]int{}
	var mu sync.Mutex
	opened, began := 0, time.Now()
	for {
		if opened >= int(openPerSecond*time.Since(began).Seconds()) {
			select {
			case <-stop:
				open.Wait()
				lb.note("clients of the burst: %v", counts)
				return
			case <-tk.C:
			}
			continue
		}
		opened++
		open.Go(func() {
			result := "no connection"
			if kp, err := ad.dial(); err == nil {
				status, _, err := kp.send(burstPath, "", identifier(), burstDeadline)
				if result = strconv.Itoa(status); err != nil {
					result = strings.TrimSpace(lastWords(err.Error()))
				}
				select {
				case <-stop:
				case <-time.After(idleTime):
				}
				_ = kp.conn.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			counts[result]++
		})
	}
}

// lastWords returns the part of an error after the last colon.
func lastWords(text string) string { return text[strings.LastIndex(text, ":")+1:] }

// playPlain has the operator split a route of streams over a service with engines and one
// without, as in the example of the wire.
func playPlain(lb *lab) (verdict, error) {
	const events, gap = 5, 20 * time.Millisecond
	route := streamRoute()
	route["service"] = "kiosk-llm"
	plain := plainWorkers("kiosk-rules", 3, 24, 60*time.Millisecond)
	for _, wk := range plain {
		wk.events, wk.gap = events, gap
	}
	services := []map[string]any{service("kiosk-llm", true), service("kiosk-rules", false)}
	if err := lb.start([]map[string]any{route}, services, append(modelWorkers("kiosk-llm", "v1", 3, events, gap), plain...)); err != nil {
		return verdict{}, err
	}
	if lb.trouble {
		delete(route, "service")
		route["split"] = []map[string]any{{"service": "kiosk-llm", "weight": 90}, {"service": "kiosk-rules", "weight": 10}}
		if err := lb.publish(9, []map[string]any{route}, services); err != nil {
			return verdict{}, err
		}
	}
	sp := streamPlan{path: letterPath + "2f", model: model, deadline: letterDeadline, events: events}
	all := lb.send(sp, lettersPerSecond, 30*time.Second)
	denied, statuses := 0, map[int]int{}
	for _, st := range all {
		for _, ty := range st.tries {
			statuses[ty.status]++
			if ty.inTouch && ty.status >= 300 && ty.status < 500 && ty.status != 408 && ty.status != 421 && ty.status != 429 {
				denied++
			}
		}
	}
	text := fmt.Sprintf(": %d of %d proper requests were ended with a 3xx or 4xx of the system's own; statuses %v", denied, len(all), statuses)
	if denied > 5+len(all)/500 {
		return verdict{broken: true, text: "DENIED broken" + text}, nil
	}
	return verdict{text: "DENIED held" + text}, nil
}

// noteDescriptors writes how many descriptors the process has, once a second.
func (nd *node) noteDescriptors(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		nd.mu.Lock()
		cmd := nd.process
		nd.mu.Unlock()
		open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
		nd.lab.note("%s: process %d has %d descriptors, the limit is %d", nd.name, cmd.Process.Pid, len(open), maxFDs)
	}
}
