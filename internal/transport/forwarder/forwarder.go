// Package forwarder sends one request to one backend server and reads its
// answer, with nothing repeated behind the caller's back.
//
// Connections are kept for further requests while the server lets them be
// idle. One that was closed, or that holds bytes nobody asked for, is not used
// again.
//
// # Usage
//
//	fw := forwarder.New()
//	rs, err := fw.Send(ctx, forwarder.Request{Address: "127.0.0.1:9000", ...})
//	if forwarder.NotSent(err) { ... }
package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// dialTimeout bounds the opening of a connection: several round trips of a
	// region and a lost packet.
	dialTimeout = time.Second
	// idleTimeout is how long a connection is kept that its server says
	// nothing of.
	idleTimeout = 5 * time.Second
	// idleConnections bounds the connections kept to one server.
	idleConnections = 256
	// maxStrays bounds the answers to other requests that are skipped.
	maxStrays = 2
)

// Request is what goes to the backend server.
type Request struct {
	// Address is the host and port.
	Address string
	// Host is the Host header; empty stands for the address.
	Host string
	// Method is the HTTP method.
	Method string
	// Path is the path with its query.
	Path string
	// Header is sent as it is.
	Header http.Header
	// Body is sent as it is.
	Body []byte
	// Owns reports whether an answer is that of this request; nil takes the
	// first one. Strays on a kept connection are skipped.
	Owns func(*http.Response) bool
}

// Error is a call without an answer.
type Error struct {
	// Sent says that a byte of the request may have reached the server.
	Sent bool
	// Address is the server's address.
	Address string
	// Cause is the error from below.
	Cause error
}

// Error implements error.
func (er *Error) Error() string {
	state := "not sent"
	if er.Sent {
		state = "sent"
	}
	return "forward to " + er.Address + ": " + state + ": " + er.Cause.Error()
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Cause }

// NotSent reports whether err vouches that no byte reached the server.
func NotSent(err error) bool {
	var fe *Error
	return errors.As(err, &fe) && !fe.Sent
}

// errForeign means that a server answered another request than was sent.
var errForeign = errors.New("answer belongs to another request")

// ErrFull means that as many connections to the server are open as may be, and
// that all of them carry a request.
var ErrFull = errors.New("no connection to the server is free")

// Forwarder holds connections to backend servers, each server's on its own.
type Forwarder struct {
	dial        Dial
	idleTimeout time.Duration
	limit       func(address string) int
	mu          sync.Mutex
	idle        map[string][]*connection
	// open counts the connections to each server, those in use included.
	open   map[string]int
	opened int64
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option changes a Forwarder that is being made.
type Option func(*Forwarder)

// WithDial replaces the way connections are opened.
func WithDial(dl Dial) Option { return func(fw *Forwarder) { fw.dial = dl } }

// WithIdleTimeout sets how long a connection is kept that its server says
// nothing of.
func WithIdleTimeout(dn time.Duration) Option { return func(fw *Forwarder) { fw.idleTimeout = dn } }

// WithLimit bounds the connections that are open to a server at a time. Zero
// stands for no bound.
func WithLimit(limit func(address string) int) Option {
	return func(fw *Forwarder) { fw.limit = limit }
}

// New returns a forwarder without connections.
func New(opts ...Option) *Forwarder {
	fw := &Forwarder{
		dial:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		idleTimeout: idleTimeout,
		limit:       func(string) int { return 0 },
		idle:        map[string][]*connection{},
		open:        map[string]int{},
	}
	for _, opt := range opts {
		opt(fw)
	}
	return fw
}

// Opened returns the number of connections opened so far.
func (fw *Forwarder) Opened() int64 {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.opened
}

// DropIdle closes the connections to a server that no request uses, after one
// of them failed or fell silent: others that passed through the same place may
// be lost as well without having shown it yet.
func (fw *Forwarder) DropIdle(address string) {
	fw.mu.Lock()
	kept := fw.idle[address]
	delete(fw.idle, address)
	fw.mu.Unlock()
	for _, cn := range kept {
		cn.close()
	}
}

// Close closes all connections that no request uses.
func (fw *Forwarder) Close() {
	fw.mu.Lock()
	all := fw.idle
	fw.idle = map[string][]*connection{}
	fw.mu.Unlock()
	for _, kept := range all {
		for _, cn := range kept {
			cn.close()
		}
	}
}

// Send sends the request once and returns the answer's head. Its body has to
// be closed. The error is an *Error.
func (fw *Forwarder) Send(ctx context.Context, rq Request) (*http.Response, error) {
	cn, err := fw.connect(ctx, rq.Address)
	if err != nil {
		return nil, &Error{Address: rq.Address, Cause: err}
	}
	rs, err := cn.roundTrip(ctx, rq)
	if err != nil {
		cn.close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: true, Address: rq.Address, Cause: err}
	}
	return rs, nil
}

// connect returns a kept connection or a new one.
func (fw *Forwarder) connect(ctx context.Context, address string) (*connection, error) {
	for cn := fw.take(address); cn != nil; cn = fw.take(address) {
		if cn.usable(time.Now()) {
			cn.used = true
			return cn, nil
		}
		cn.close()
	}
	if !fw.reserve(address) {
		return nil, ErrFull
	}
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := fw.dial(bounded, "tcp", address)
	if err != nil {
		fw.closed(address)
		return nil, err
	}
	fw.mu.Lock()
	fw.opened++
	fw.mu.Unlock()
	return newConnection(fw, address, raw), nil
}

// reserve counts one more connection, if there may be one.
func (fw *Forwarder) reserve(address string) bool {
	limit := fw.limit(address)
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if limit > 0 && fw.open[address] >= limit {
		return false
	}
	fw.open[address]++
	return true
}

// closed counts one connection less.
func (fw *Forwarder) closed(address string) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if fw.open[address]--; fw.open[address] <= 0 {
		delete(fw.open, address)
	}
}

// take removes the connection that was used last from those kept.
func (fw *Forwarder) take(address string) *connection {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	kept := fw.idle[address]
	if len(kept) == 0 {
		return nil
	}
	last := len(kept) - 1
	cn := kept[last]
	kept[last] = nil
	fw.idle[address] = kept[:last]
	return cn
}

// keep puts a connection back whose last answer is whole.
func (fw *Forwarder) keep(cn *connection) {
	cn.idleSince = time.Now()
	fw.mu.Lock()
	kept := fw.idle[cn.address]
	full := len(kept) >= idleConnections
	var expired []*connection
	if !full {
		kept, expired = prune(append(kept, cn), cn.idleSince)
		fw.idle[cn.address] = kept
	}
	fw.mu.Unlock()
	if full {
		cn.close()
	}
	for _, old := range expired {
		old.close()
	}
}

// prune splits off the connections that have been idle for too long, which
// stand first.
func prune(kept []*connection, now time.Time) (left, expired []*connection) {
	ix := 0
	for ix < len(kept) && kept[ix].expired(now) {
		ix++
	}
	if ix == 0 {
		return kept, nil
	}
	return append([]*connection(nil), kept[ix:]...), kept[:ix]
}
