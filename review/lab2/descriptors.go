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
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

func init() { cases["descriptors"] = playDescriptors }

const (
	// maxDescriptors is max_fds of the smallest machines of the site.
	maxDescriptors = 3075
	// requestsPerSecond is the requests of all clients; the site has 368.
	requestsPerSecond = 360
	// idleTime is how long clients keep a connection: four fifths of idle_timeout_ms.
	idleTime = 12 * time.Second
	// darkTime is how long the machines that go down stay down.
	darkTime = 14 * time.Second
	// slowWork is how long a worker works on the requests of the kept connections.
	slowWork    = 2 * time.Second
	keptClients = 20
	// machines is the number of machines, all but one of which go down.
	machines = 7
)

// crowd is the clients and the nodes that the directory last named.
type crowd struct {
	lb   *lab
	stop chan struct{}

	mu    sync.Mutex
	nodes []*node
	lost  []string // requests over kept connections that had no answer
	sent  int
}

// playDescriptors kills all machines but one. The clients turn to that one; then the others
// come back.
func playDescriptors(lb *lab) (bool, error) {
	var workers []*worker
	for ix := range 3 {
		wk, err := lb.newWorker(fmt.Sprintf("w%d", ix+1), "llm")
		if err != nil {
			return false, err
		}
		wk.quiet, wk.work = true, 10*time.Millisecond
		workers = append(workers, wk)
	}
	lb.store.Put("op/config", []byte(config))
	if err := lb.startNodes(machines); err != nil {
		return false, err
	}
	for _, nd := range lb.nodes {
		if err := nd.limitDescriptors(); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	cr := &crowd{lb: lb, stop: make(chan struct{}), nodes: lb.nodes}
	last := lb.nodes[machines-1]
	var open sync.WaitGroup
	open.Go(cr.follow)
	open.Go(cr.send)
	open.Go(func() { cr.noteDescriptors(last) })
	for client := range keptClients {
		open.Go(func() { cr.keep(last, client) })
	}
	time.Sleep(3 * time.Second)
	if lb.trouble {
		for _, nd := range lb.nodes[:machines-1] {
			nd.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(darkTime)
	for _, nd := range lb.nodes[:machines-1] {
		if !lb.trouble {
			break
		}
		if err := nd.start(); err != nil {
			return false, err
		}
		if err := nd.limitDescriptors(); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second)
	ended := false
	select {
	case <-last.ended:
		ended = true
	default:
	}
	close(cr.stop)
	open.Wait()
	passed := 0
	for _, id := range cr.lost {
		for _, wk := range workers {
			wk.mu.Lock()
			passed += min(wk.runs[id], 1)
			wk.mu.Unlock()
		}
	}
	lb.note("%s ended by itself: %v; of %d requests over kept connections %d had no answer, of which %d had been passed on to a worker", last.name, ended, cr.sent, len(cr.lost), passed)
	return ended && passed > maxLost, nil
}

// noteDescriptors writes the number of the process's descriptors into the record.
func (cr *crowd) noteDescriptors(nd *node) {
	for !cr.stopped(time.Second) {
		if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", nd.process.Process.Pid)); err == nil {
			cr.lb.note("%s has %d descriptors", nd.name, len(files))
		}
	}
}

// limitDescriptors sets the process's limit of descriptors, as the platform does.
func (nd *node) limitDescriptors() error {
	limit := unix.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}
	return unix.Prlimit(nd.process.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil)
}

// follow asks the directory of each node every second. Clients keep an answer if they get
// no new one.
func (cr *crowd) follow() {
	for !cr.stopped(time.Second) {
		var named []*node
		for _, nd := range cr.lb.nodes {
			addresses, _, err := nd.resolve()
			if err != nil {
				continue
			}
			for _, other := range cr.lb.nodes {
				if slices.Contains(addresses, other.front) && !slices.Contains(named, other) {
					named = append(named, other)
				}
			}
		}
		if len(named) > 0 {
			cr.mu.Lock()
			cr.nodes = named
			cr.mu.Unlock()
		}
	}
}

// stopped waits, and reports whether the case is over.
func (cr *crowd) stopped(wait time.Duration) bool {
	select {
	case <-cr.stop:
		return true
	case <-time.After(wait):
		return false
	}
}

// send opens a connection for each request and keeps it for idleTime.
func (cr *crowd) send() {
	began, opened := time.Now(), 0
	var open sync.WaitGroup
	defer open.Wait()
	for !cr.stopped(10 * time.Millisecond) {
		for ; opened < int(requestsPerSecond*time.Since(began).Seconds()); opened++ {
			number := opened
			open.Go(func() {
				cn, err := cr.dial()
				if err != nil {
					return
				}
				defer func() { _ = cn.Close() }()
				_, _, _ = ask(cn, bufio.NewReaderSize(cn, 512), "/read/a", fmt.Sprintf("read-%d", number), 2500*time.Millisecond)
				cr.stopped(idleTime)
			})
		}
	}
}

// dial connects to one of the nodes at random, and to another one if that fails.
func (cr *crowd) dial() (net.Conn, error) {
	cr.mu.Lock()
	nodes := slices.Clone(cr.nodes)
	cr.mu.Unlock()
	rand.Shuffle(len(nodes), func(ix, jx int) { nodes[ix], nodes[jx] = nodes[jx], nodes[ix] })
	err := errNoAnswer
	for _, nd := range nodes {
		var cn net.Conn
		if cn, err = net.DialTimeout("tcp", nd.front, time.Second); err == nil {
			return cn, nil
		}
	}
	return nil, err
}

// keep sends one request after the other over a kept connection.
func (cr *crowd) keep(nd *node, client int) {
	var cn net.Conn
	var in *bufio.Reader
	for number := 0; !cr.stopped(5 * time.Millisecond); number++ {
		if cn == nil {
			var err error
			if cn, err = net.DialTimeout("tcp", nd.front, time.Second); err != nil {
				cn = nil
				continue
			}
			in = bufio.NewReaderSize(cn, 512)
		}
		id := fmt.Sprintf("kept-%d-%d", client+1, number)
		status, count, err := ask(cn, in, "/order-in/slow", id, 4*time.Second)
		cr.lb.note("%s over a kept connection to %s: status %d, %d bytes, error %v", id, nd.name, status, count, err)
		cr.mu.Lock()
		cr.sent++
		if err != nil && status == 0 {
			cr.lost = append(cr.lost, id)
		}
		cr.mu.Unlock()
		if err != nil {
			_ = cn.Close()
			cn = nil
		}
	}
}

var errNoAnswer = errors.New("no answer")

// ask sends a request over a connection and reads its answer.
func ask(cn net.Conn, in *bufio.Reader, path, id string, limit time.Duration) (status int, count int64, err error) {
	_ = cn.SetDeadline(time.Now().Add(limit + time.Second))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 3\r\n\r\nask", path, id, limit.Milliseconds())
	if _, err := io.Copy(cn, strings.NewReader(head)); err != nil {
		return 0, 0, err
	}
	rs, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, 0, errors.Join(errNoAnswer, err)
	}
	count, err = io.Copy(io.Discard, rs.Body)
	return rs.StatusCode, count, err
}
