package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow-reader"] = playSlowReader }

const (
	// documentBytes is the size of each answer. It exceeds what the kernel holds for a
	// connection whose client has a small receive buffer.
	documentBytes = 5 << 20
	receiveBuffer = 64 << 10
	// readerPause is how long a client stops reading, once an answer.
	readerPause = 1500 * time.Millisecond
	// readers is the number of clients, each of which sends readerRequests.
	readers, readerRequests = 4, 3
)

// playSlowReader has clients read answers that end with the worker's connection. Each
// stops reading for a moment.
func playSlowReader(lb *lab) (bool, error) {
	for ix := range 3 {
		wk, err := lb.newWorker(fmt.Sprintf("w%d", ix+1), "llm")
		if err != nil {
			return false, err
		}
		wk.answer = strings.Repeat("x", documentBytes)
		wk.unframed = os.Getenv("FRAMED") != "1"
	}
	lb.store.Put("op/config", []byte(config))
	if err := lb.startNodes(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var open sync.WaitGroup
	served, lost := 0, 0
	for client := range readers {
		open.Go(func() {
			rd := &reader{lb: lb, nd: lb.nodes[client%len(lb.nodes)]}
			for number := range readerRequests {
				err := rd.get(fmt.Sprintf("doc-%d-%d", client+1, number))
				mu.Lock()
				if err == nil {
					served++
				} else {
					lost++
				}
				mu.Unlock()
			}
		})
	}
	open.Wait()
	lb.note("%d answers complete, %d broken off by the node", served, lost)
	return lost > maxLost, nil
}

// reader is a client that keeps its connection and stops reading once an answer.
type reader struct {
	lb *lab
	nd *node
	cn net.Conn
	in *bufio.Reader
}

// get sends one request and reads its answer. It returns an error if the answer is not
// complete.
func (rd *reader) get(id string) error {
	if rd.cn == nil {
		dl := net.Dialer{Control: func(_, _ string, rc syscall.RawConn) error {
			return rc.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
		}}
		cn, err := dl.DialContext(context.Background(), "tcp", rd.nd.front)
		if err != nil {
			return err
		}
		rd.cn, rd.in = cn, bufio.NewReader(cn)
	}
	began := time.Now()
	rd.lb.note("%s is sent to %s", id, rd.nd.name)
	_, _ = fmt.Fprintf(rd.cn, "POST /order-in/document HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\nContent-Length: 5\r\n\r\norder", id)
	rs, err := http.ReadResponse(rd.in, nil)
	count := int64(0)
	if err == nil {
		if rd.lb.trouble {
			time.Sleep(readerPause)
		}
		count, err = io.Copy(io.Discard, rs.Body)
		if err == nil && rs.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", rs.StatusCode)
		}
	}
	rd.lb.note("%s is answered after %d ms: %d bytes, error %v", id, time.Since(began).Milliseconds(), count, err)
	if err != nil {
		_ = rd.cn.Close()
		rd.cn = nil
	}
	return err
}
