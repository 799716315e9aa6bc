// Package forwarder sends one request to one backend server and reads its
// answer, with nothing repeated behind the caller's back.
//
// # Usage
//
//	fw := forwarder.New()
//	rs, err := fw.Send(ctx, forwarder.Request{Address: "127.0.0.1:9000", ...})
//	if forwarder.NotSent(err) { ... }
package forwarder

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	dialTimeout     = time.Second
	idleTimeout     = 5 * time.Second
	idleConnections = 256
	headerBytes     = 64 << 10
)

// Request is what goes to the backend server.
type Request struct {
	// Address is the host and port.
	Address string
	// Method is the HTTP method.
	Method string
	// Path is the path with its query.
	Path string
	// Header is sent as it is.
	Header http.Header
	// Body is sent as it is.
	Body []byte
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

// Forwarder holds connections to backend servers, each server's on its own.
type Forwarder struct {
	opts    []Option
	mu      sync.RWMutex
	clients map[string]*http.Client
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option changes a Forwarder that is being made.
type Option func(*http.Transport)

// WithDial replaces the way connections are opened.
func WithDial(dl Dial) Option { return func(tp *http.Transport) { tp.DialContext = dl } }

// New returns a forwarder without connections.
func New(opts ...Option) *Forwarder {
	return &Forwarder{opts: opts, clients: map[string]*http.Client{}}
}

// DropIdle closes the connections to a server that no request uses, after one
// of them failed or fell silent: others that passed through the same place may
// be lost as well without having shown it yet.
func (fw *Forwarder) DropIdle(address string) { fw.client(address).CloseIdleConnections() }

// Close closes all connections that no request uses.
func (fw *Forwarder) Close() {
	fw.mu.RLock()
	defer fw.mu.RUnlock()
	for _, hc := range fw.clients {
		hc.CloseIdleConnections()
	}
}

func (fw *Forwarder) client(address string) *http.Client {
	fw.mu.RLock()
	hc, ok := fw.clients[address]
	fw.mu.RUnlock()
	if ok {
		return hc
	}
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if hc, ok = fw.clients[address]; !ok {
		hc = fw.newClient()
		fw.clients[address] = hc
	}
	return hc
}

func (fw *Forwarder) newClient() *http.Client {
	dl := &net.Dialer{Timeout: dialTimeout}
	tp := &http.Transport{
		DialContext:            dl.DialContext,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerBytes,
		DisableCompression:     true,
	}
	for _, opt := range fw.opts {
		opt(tp)
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: tp, CheckRedirect: noRedirect}
}

// Send sends the request once and returns the answer's head. Its body has to
// be closed. The error is an *Error.
func (fw *Forwarder) Send(ctx context.Context, rq Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	// The body cannot be rewound, so that net/http never sends it again.
	body := io.NopCloser(bytes.NewReader(rq.Body))
	out, err := http.NewRequestWithContext(ctx, rq.Method, "http://"+rq.Address+rq.Path, body)
	if err != nil {
		return nil, &Error{Address: rq.Address, Cause: err}
	}
	out.ContentLength = int64(len(rq.Body))
	if rq.Header != nil {
		out.Header = rq.Header
	}
	rs, err := fw.client(rq.Address).Do(out)
	if err != nil {
		return nil, &Error{Sent: connected.Load(), Address: rq.Address, Cause: err}
	}
	return rs, nil
}
