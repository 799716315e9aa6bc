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

// Forwarder holds connections to backend servers.
type Forwarder struct {
	http *http.Client
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option changes a Forwarder that is being made.
type Option func(*http.Transport)

// WithDial replaces the way connections are opened.
func WithDial(dl Dial) Option { return func(tp *http.Transport) { tp.DialContext = dl } }

// New returns a forwarder without connections.
func New(opts ...Option) *Forwarder {
	dl := &net.Dialer{Timeout: dialTimeout}
	tp := &http.Transport{
		DialContext:            dl.DialContext,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerBytes,
		DisableCompression:     true,
	}
	for _, opt := range opts {
		opt(tp)
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Forwarder{http: &http.Client{Transport: tp, CheckRedirect: noRedirect}}
}

// DropIdle closes the connections that no request uses, after one of them
// failed or fell silent: others that passed through the same place may be lost
// as well without having shown it yet.
func (fw *Forwarder) DropIdle() { fw.http.CloseIdleConnections() }

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
	rs, err := fw.http.Do(out)
	if err != nil {
		return nil, &Error{Sent: connected.Load(), Address: rq.Address, Cause: err}
	}
	return rs, nil
}
