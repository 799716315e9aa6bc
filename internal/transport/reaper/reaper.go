// Package reaper closes callers' connections that are idle for longer than a
// limit. The limit may change while the connections are open.
//
// # Usage
//
//	limit := func() time.Duration { return settings().Limits().IdleTimeout() }
//	rp := reaper.New(limit)
//	server := &http.Server{ConnState: rp.Track, IdleTimeout: -1}
//
// An http.Server's IdleTimeout is fixed when the server starts, so the negative
// value turns it off.
package reaper

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Reaper closes connections at the idle limit.
type Reaper struct {
	limit func() time.Duration // current idle limit; zero means no limit
	mu    sync.Mutex
	idle  map[net.Conn]*idleState // idle connections with a running timer
}

// idleState is the state of one idle connection.
type idleState struct {
	since time.Time   // when the connection became idle
	timer *time.Timer // calls reap
	// extended says that a part of a request had arrived when the limit was reached.
	extended bool
}

// New returns a reaper. It calls limit when a connection becomes idle and again
// before it closes the connection. A limit of zero means no limit.
func New(limit func() time.Duration) *Reaper {
	return &Reaper{limit: limit, idle: map[net.Conn]*idleState{}}
}

// Track is the ConnState hook of an http.Server. A request that arrives while
// the reaper closes its connection is not read, and its caller has to send it
// again.
func (rp *Reaper) Track(cn net.Conn, st http.ConnState) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	if is, ok := rp.idle[cn]; ok {
		is.timer.Stop()
		delete(rp.idle, cn)
	}
	if st != http.StateIdle && st != http.StateNew {
		return
	}
	if limit := rp.limit(); limit > 0 {
		is := &idleState{since: time.Now()}
		is.timer = time.AfterFunc(limit, func() { rp.reap(cn, is) })
		rp.idle[cn] = is
	}
}

// reap closes the connection unless it is no longer idle or the limit has
// increased.
func (rp *Reaper) reap(cn net.Conn, is *idleState) {
	if rp.shouldClose(cn, is) {
		_ = cn.Close()
	}
}

// shouldClose reports whether the connection has reached the limit. If the
// limit has increased, it restarts the timer; if there is no limit any more, it
// stops tracking the connection.
func (rp *Reaper) shouldClose(cn net.Conn, is *idleState) bool {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	if rp.idle[cn] != is {
		return false
	}
	limit := rp.limit()
	if remaining := limit - time.Since(is.since); remaining > 0 {
		is.timer.Reset(remaining)
		return false
	}
	if qt, ok := cn.(quiet); ok && limit > 0 && !is.extended && !qt.Quiet() {
		is.extended = true
		is.timer.Reset(limit)
		return false
	}
	delete(rp.idle, cn)
	return limit > 0
}

// quiet is implemented by connections that know whether a part of a request has arrived.
// Such a connection gets the limit once more for the rest of the head.
type quiet interface{ Quiet() bool }

// Idle returns the number of idle connections that the reaper may close.
func (rp *Reaper) Idle() int {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return len(rp.idle)
}
