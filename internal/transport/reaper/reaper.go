// Package reaper closes connections of callers that are idle for longer than a
// limit that may change while they are open.
//
// # Usage
//
//	rp := reaper.New(func() time.Duration { return settings().Limits().IdleTimeout() })
//	server := &http.Server{ConnState: rp.Track, IdleTimeout: -1}
//
// The server's own limit is fixed when it starts, so that it is switched off.
package reaper

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Reaper knows the connections that are idle.
type Reaper struct {
	limit func() time.Duration
	mu    sync.Mutex
	idle  map[net.Conn]*rest
}

// rest is one connection's idle time.
type rest struct {
	since time.Time
	timer *time.Timer
}

// New returns a reaper whose limit is asked for when a connection becomes idle,
// and again before it is closed. Zero stands for no limit.
func New(limit func() time.Duration) *Reaper {
	return &Reaper{limit: limit, idle: map[net.Conn]*rest{}}
}

// Track is a http.Server's ConnState. A request that arrives while its
// connection is closed was not read, and its caller sends it again.
func (rp *Reaper) Track(cn net.Conn, st http.ConnState) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	if rs, ok := rp.idle[cn]; ok {
		rs.timer.Stop()
		delete(rp.idle, cn)
	}
	if st != http.StateIdle && st != http.StateNew {
		return
	}
	if limit := rp.limit(); limit > 0 {
		rs := &rest{since: time.Now()}
		rs.timer = time.AfterFunc(limit, func() { rp.reap(cn, rs) })
		rp.idle[cn] = rs
	}
}

// reap closes a connection unless it left the idle state or the limit grew
// meanwhile.
func (rp *Reaper) reap(cn net.Conn, rs *rest) {
	if rp.over(cn, rs) {
		_ = cn.Close()
	}
}

// over reports whether a connection is to be closed, or else waits on.
func (rp *Reaper) over(cn net.Conn, rs *rest) bool {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	if rp.idle[cn] != rs {
		return false
	}
	limit := rp.limit()
	if left := limit - time.Since(rs.since); left > 0 {
		rs.timer.Reset(left)
		return false
	}
	delete(rp.idle, cn)
	return limit > 0
}

// Idle returns the number of connections that are idle.
func (rp *Reaper) Idle() int {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return len(rp.idle)
}
