package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// takenUp is the number of streams in progress at the machine that freezes.
	takenUp = 16
	// abandonAfter is the gap after which clients abandon a stream: eight times the pause
	// of the route.
	abandonAfter = 4 * time.Second
)

// part is what a client got of a stream.
type part struct {
	status int
	// last is the id of the last event, events their number.
	last   string
	events int
	whole  bool
	err    error
}

// readStream sends a request for a stream, and reads its events until its end or a gap.
func readStream(front, id string, headers ...string) part {
	var pt part
	cn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		pt.err = err
		return pt
	}
	defer func() { _ = cn.Close() }()
	text := fmt.Sprintf("GET /slow/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 15000\r\n", host, id)
	for _, line := range headers {
		text += line + "\r\n"
	}
	if _, err := io.WriteString(cn, text+"\r\n"); err != nil {
		pt.err = err
		return pt
	}
	_ = cn.SetReadDeadline(time.Now().Add(abandonAfter))
	rs, err := http.ReadResponse(bufio.NewReader(cn), &http.Request{Method: http.MethodGet})
	if err != nil {
		pt.err = err
		return pt
	}
	pt.status = rs.StatusCode
	if rs.StatusCode != http.StatusOK {
		return pt
	}
	lines := bufio.NewReader(rs.Body)
	for {
		_ = cn.SetReadDeadline(time.Now().Add(abandonAfter))
		line, err := lines.ReadString('\n')
		if err != nil {
			pt.whole, pt.err = err == io.EOF, err
			return pt
		}
		if number, ok := strings.CutPrefix(line, "id: "); ok {
			pt.last = strings.TrimSpace(number)
		}
		if strings.HasPrefix(line, "data: ") {
			pt.events++
		}
	}
}

// String describes the part.
func (pt part) String() string {
	return fmt.Sprintf("status %d, %d events, the last %q, whole %v, %v", pt.status, pt.events, pt.last, pt.whole, pt.err)
}

// frozenRelease freezes a machine while streams go on there. Meanwhile a release begins: a
// worker of the next version registers. The clients abandon the streams and take them up at
// the other machines.
func frozenRelease(lb *lab, trouble bool) error {
	routes := []route{{name: "r-slow", prefix: "/slow/", kind: "stream", service: "contract-llm", timeout: 15000, goal: 600, attempts: 2, resumable: true}}
	lb.configure(7, routes, plainService("contract-llm"))
	if _, err := lb.startWorkers("contract-llm", 4); err != nil {
		return err
	}
	nodes, err := lb.startNodes(3, nil)
	if err != nil {
		return err
	}
	for _, nd := range nodes {
		defer nd.keepLog()
	}
	time.Sleep(8 * time.Second)
	var clients sync.WaitGroup
	var abandoned, wentOn atomic.Int64
	for ix := range takenUp {
		clients.Go(func() {
			id := newID()
			pt := readStream(nodes[0].front, id)
			lb.note("client: stream %s at %s: %v", id, nodes[0].name, pt)
			if pt.whole || pt.last == "" {
				return
			}
			abandoned.Add(1)
			other := nodes[1+ix%2]
			again := readStream(other.front, newID(), "Last-Event-Id: "+pt.last, "Resumes: "+id)
			lb.note("client: takes stream %s up at %s after event %s: %v", id, other.name, pt.last, again)
			if again.events > 0 {
				wentOn.Add(1)
			}
		})
	}
	time.Sleep(700 * time.Millisecond)
	if trouble {
		nodes[0].signal(syscall.SIGSTOP)
		lb.note("%s freezes", nodes[0].name)
	}
	time.Sleep(500 * time.Millisecond)
	if _, err := lb.startVersion("v2", "i-next", "contract-llm", "127.0.0.1:0", ""); err != nil {
		return err
	}
	time.Sleep(3300 * time.Millisecond)
	var begun atomic.Int64
	for ix := range takenUp {
		clients.Go(func() {
			id := newID()
			pt := readStream(nodes[1+ix%2].front, id)
			lb.note("client: new stream %s at %s: %v", id, nodes[1+ix%2].name, pt)
			if pt.events > 0 {
				begun.Add(1)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		nodes[0].signal(syscall.SIGCONT)
		lb.note("%s wakes", nodes[0].name)
	}
	clients.Wait()
	lb.note("%d streams taken up, %d went on; %d of %d new streams began", abandoned.Load(), wentOn.Load(), begun.Load(), takenUp)
	if count := abandoned.Load(); count >= 12 && 2*wentOn.Load()*takenUp < begun.Load()*count {
		lb.violate("LOST: %d of %d streams that were taken up go on; %d of %d new ones began", wentOn.Load(), count, begun.Load(), takenUp)
	}
	return nil
}
