package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a TCP proxy before a worker. It can cut nodes off from the worker: their
// connections hang, open ones and new ones.
type link struct {
	lb      *lab
	address string
	target  string

	mu       sync.Mutex
	listener net.Listener
	cut      map[*node]bool
}

func (lb *lab) newLink(target string) (*link, error) {
	lk := &link{lb: lb, address: "127.0.0.1:0", target: target, cut: map[*node]bool{}}
	return lk, lk.accept()
}

// accept accepts connections.
func (lk *link) accept() error {
	ln, err := net.Listen("tcp", lk.address)
	if err != nil {
		return err
	}
	lk.mu.Lock()
	lk.listener, lk.address = ln, ln.Addr().String()
	lk.mu.Unlock()
	go func() {
		for {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			go lk.pass(cn)
		}
	}()
	return nil
}

// refuse refuses new connections, as the address of a process that has ended.
func (lk *link) refuse() {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	_ = lk.listener.Close()
}

// setCut cuts the node off from the worker, or ends that.
func (lk *link) setCut(nd *node, cut bool) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.cut[nd] = cut
}

func (lk *link) isCut(nd *node) bool {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	return lk.cut[nd]
}

// pass copies the bytes of a connection. Bytes of a node that is cut off wait.
func (lk *link) pass(cn net.Conn) {
	defer reset(cn)
	var from *node
	for _, nd := range lk.lb.nodes {
		if nd.owns(cn) {
			from = nd
		}
	}
	lk.await(from)
	to, err := net.Dial("tcp", lk.target)
	if err != nil {
		return
	}
	defer reset(to)
	go lk.copy(from, to, cn)
	lk.copy(from, cn, to)
}

func (lk *link) await(from *node) {
	for lk.isCut(from) {
		time.Sleep(10 * time.Millisecond)
	}
}

func (lk *link) copy(from *node, to, source net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		count, err := source.Read(buf)
		lk.await(from)
		if count > 0 {
			if _, err := to.Write(buf[:count]); err != nil {
				reset(source)
				return
			}
		}
		if err == io.EOF {
			if tc, ok := to.(*net.TCPConn); ok {
				_ = tc.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// reset closes a connection.
func reset(cn net.Conn) { _ = cn.Close() }
