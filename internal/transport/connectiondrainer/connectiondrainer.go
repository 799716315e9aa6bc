// Package connectiondrainer ends the connections of an http.Server in a graceful shutdown
// without cutting off requests that have arrived.
//
// http.Server.Shutdown closes a connection that it takes for idle, even if part of the
// next request was received there, and resets connections that wait to be accepted.
// A Listener accepts these, and closes a connection only if no byte of a request has
// arrived. Handlers answer with Connection: close meanwhile, so that connections end,
// unless the next request has arrived (Pending): the server would not answer that one.
//
// # Usage
//
//	ln := connectiondrainer.New(listener)
//	sv := &http.Server{Handler: handler, ConnState: ln.Track, ConnContext: ln.Context}
//	go sv.Serve(ln)
//	ln.Leave()
//	err := ln.Shutdown(ctx, sv)
package connectiondrainer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// pollInterval is the time between two checks for idle connections.
	pollInterval = 5 * time.Millisecond
	// acceptTime is how long connections that wait to be accepted are accepted.
	acceptTime = 20 * time.Millisecond
	// firstByteTime is how long a new connection may take to send its first byte.
	firstByteTime = time.Second
	// quietTime is how long a connection must be idle before it is closed. Part of a
	// request that came together with the one before it is not seen.
	quietTime = 100 * time.Millisecond
)

// Listener is a net.Listener that knows which of its connections wait for a request.
type Listener struct {
	net.Listener
	rawOnce   sync.Once     // guards the closing of the Listener
	closeOnce sync.Once     // guards closed
	closed    chan struct{} // closed by Close

	// leaving says that Leave was called.
	leaving atomic.Bool

	mu    sync.Mutex
	conns map[*conn]bool
	// stopped is when Shutdown was called, or zero.
	stopped time.Time
}

// New returns a listener that accepts the connections of ln.
func New(ln net.Listener) *Listener {
	return &Listener{Listener: ln, closed: make(chan struct{}), conns: map[*conn]bool{}}
}

// Accept implements net.Listener. After Shutdown it returns an error only once the
// listener is closed, since http.Server.Serve would return before its shutdown.
func (ln *Listener) Accept() (net.Conn, error) {
	raw, err := ln.Listener.Accept()
	if err != nil {
		ln.mu.Lock()
		stopping := !ln.stopped.IsZero()
		ln.mu.Unlock()
		if stopping {
			_ = ln.closeRaw()
			<-ln.closed
			return nil, net.ErrClosed
		}
		return nil, err
	}
	cn := &conn{Conn: raw, leaving: &ln.leaving}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.conns[cn] = true
	return cn, nil
}

// Close implements net.Listener.
func (ln *Listener) Close() error {
	ln.closeOnce.Do(func() { close(ln.closed) })
	return ln.closeRaw()
}

func (ln *Listener) closeRaw() (err error) {
	ln.rawOnce.Do(func() { err = ln.Listener.Close() })
	return err
}

// Leave makes the listener watch for requests that arrive before the one before them is
// answered.
func (ln *Listener) Leave() { ln.leaving.Store(true) }

type connKey struct{}

// Context is the ConnContext hook of the http.Server.
func (ln *Listener) Context(ctx context.Context, of net.Conn) context.Context {
	if cn := connOf(of); cn != nil {
		return context.WithValue(ctx, connKey{}, cn)
	}
	return ctx
}

// Pending reports whether a part of the next request has arrived on the connection of
// the request with the context.
func Pending(ctx context.Context) bool {
	cn, ok := ctx.Value(connKey{}).(*conn)
	return ok && cn.pending()
}

// connOf returns the connection that the listener accepted, or nil.
func connOf(of net.Conn) *conn {
	if tc, ok := of.(*tls.Conn); ok {
		of = tc.NetConn()
	}
	cn, _ := of.(*conn)
	return cn
}

// Track is the ConnState hook of the http.Server.
func (ln *Listener) Track(of net.Conn, st http.ConnState) {
	cn := connOf(of)
	if cn == nil {
		return
	}
	cn.update(st)
	if st == http.StateClosed || st == http.StateHijacked {
		ln.mu.Lock()
		defer ln.mu.Unlock()
		delete(ln.conns, cn)
	}
}

// Shutdown accepts the connections that wait to be accepted, closes the listener,
// and waits until all connections have ended. When ctx ends it returns the result of
// http.Server.Shutdown, which is the error of ctx if requests are in progress.
func (ln *Listener) Shutdown(ctx context.Context, sv *http.Server) error {
	now := time.Now()
	ln.mu.Lock()
	ln.stopped = now
	ln.mu.Unlock()
	if dl, ok := ln.Listener.(interface{ SetDeadline(time.Time) error }); !ok || dl.SetDeadline(now.Add(acceptTime)) != nil {
		_ = ln.closeRaw()
	}
	tk := time.NewTicker(pollInterval)
	defer tk.Stop()
	for time.Since(now) <= acceptTime || ln.closeIdle() > 0 {
		select {
		case <-tk.C:
		case <-ctx.Done():
			return sv.Shutdown(ctx)
		}
	}
	return sv.Shutdown(ctx)
}

// closeIdle closes the connections on which no byte of a request has arrived, and
// returns the number of the others.
func (ln *Listener) closeIdle() int {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	left := 0
	for cn := range ln.conns {
		if cn.idle(ln.stopped) {
			_ = cn.Close()
		}
		left++
	}
	return left
}

// conn is a connection that knows whether bytes of its next request have arrived.
type conn struct {
	net.Conn
	leaving *atomic.Bool // of the listener
	splitter

	mu    sync.Mutex
	state http.ConnState
	since time.Time // when the state began
	// received says that bytes have arrived since the latest request was answered,
	// and ahead that bytes of the next request arrived before that.
	received, ahead bool
}

// Read implements net.Conn.
func (cn *conn) Read(buf []byte) (int, error) {
	count, err := cn.next(buf)
	if count == 0 {
		return count, err
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.leaving.Load() && cn.state != http.StateActive && !cn.received {
		cn.begin()
	}
	cn.received = true
	// While a handler runs, an http.Server reads a single byte to notice that the
	// client leaves.
	cn.ahead = cn.ahead || cn.state == http.StateActive && len(buf) == 1
	return cn.split(buf[:count]), err
}

// next returns what was held back, or reads.
func (cn *conn) next(buf []byte) (int, error) {
	cn.mu.Lock()
	count := copy(buf, cn.held)
	cn.held = cn.held[count:]
	cn.mu.Unlock()
	if count > 0 {
		return count, nil
	}
	return cn.Conn.Read(buf)
}

// pending reports whether a part of the next request has arrived. It is called by a
// handler.
func (cn *conn) pending() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.ahead || len(cn.held) > 0 || cn.complete() && hasInput(cn.Conn)
}

func (cn *conn) update(st http.ConnState) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if st == http.StateIdle {
		cn.received = cn.ahead
	}
	cn.ahead = false
	cn.state, cn.since = st, time.Now()
}

// Quiet reports whether nothing of a request has arrived. A package reaper asks before
// it closes the connection.
func (cn *conn) Quiet() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.quietLocked()
}

func (cn *conn) quietLocked() bool {
	return !cn.received && len(cn.held) == 0 && !hasInput(cn.Conn)
}

// idle reports whether the connection waits for a request of which nothing has
// arrived. A new connection counts as idle some time after the shutdown began.
func (cn *conn) idle(stopped time.Time) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	waits := cn.state == http.StateIdle && min(time.Since(cn.since), time.Since(stopped)) >= quietTime ||
		cn.state == http.StateNew && time.Since(stopped) >= firstByteTime
	return waits && cn.quietLocked()
}

// hasInput reports whether bytes wait to be read.
func hasInput(raw net.Conn) bool {
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	// Control, unlike Read, does not wait for the goroutine that reads.
	err = rc.Control(func(fd uintptr) {
		var one [1]byte
		count, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = err == nil && count > 0
	})
	return err == nil && waiting
}
