// Package forwarder sends one request to one backend server and reads its
// answer. It never retries a request.
//
// Idle connections are reused until shortly before the server's idle timeout. A
// connection that the server closed, or that has unsolicited input, is not
// reused.
//
// # Usage
//
//	fw := forwarder.New()
//	rq := forwarder.Request{
//		Address: "127.0.0.1:9000",
//		Method:  http.MethodGet,
//		Path:    "/v1/models",
//	}
//	rs, err := fw.Send(ctx, rq)
//	if forwarder.NotSent(err) {
//		rs, err = fw.Send(ctx, rq)
//	}
package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/protocol/headchecker"
)

const (
	// dialTimeout is the timeout for opening a connection. It allows for
	// several round trips within a region and a lost packet.
	dialTimeout = time.Second
	// idleTimeout is the default idle limit of a connection whose server sends
	// no Keep-Alive header.
	idleTimeout = 5 * time.Second
	// maxIdleConnections bounds the idle connections to one server.
	maxIdleConnections = 256
	// silenceTime is how long a request waits without a byte of the server before its end
	// says something of the server. Callers that leave early say nothing.
	silenceTime = 250 * time.Millisecond
	// maxSkipped bounds the answers to earlier requests that one request skips.
	maxSkipped = 2
)

// Request is a request to a backend server.
type Request struct {
	// ID names the request in answers; empty if answers name none. A request is not sent
	// over a connection on which one with its ID was refused: a second copy of that
	// refusal could not be told from the answer.
	ID string
	// Address is the host and port of the server.
	Address string
	// Host is the Host header; empty means Address.
	Host string
	// Method is the HTTP method.
	Method string
	// Path is the escaped path with its query.
	Path string
	// Header is sent unchanged.
	Header http.Header
	// Body is sent unchanged.
	Body []byte
	// Connected is called with the connection before Begin; nil means no call.
	Connected func(*Link)
	// Begin is called before the first byte is sent; nil means no call. If it returns
	// false, the request is not sent.
	Begin func() bool
	// Owns reports whether an answer belongs to this request; nil accepts the
	// first answer. On a reused connection, Send skips late answers to earlier
	// requests.
	Owns func(*http.Response) bool
	// Reusable reports whether the connection may carry another request after the
	// answer; nil means that it may after a success. A second copy of a refusal that
	// names no request could be taken for the answer to the next one.
	Reusable func(*http.Response) bool
}

// mayReuse reports whether the connection may carry another request after the answer.
func (rq Request) mayReuse(rs *http.Response) bool {
	if rq.Reusable == nil {
		return rs.StatusCode < http.StatusMultipleChoices
	}
	return rq.Reusable(rs)
}

// Link is a connection as its users see it. All requests on it reach one process.
type Link struct {
	opened    time.Time
	confirmed atomic.Bool
}

// Opened returns when the connection was opened.
func (lk *Link) Opened() time.Time { return lk.opened }

// Confirm records that it is known which process the connection reaches.
func (lk *Link) Confirm() { lk.confirmed.Store(true) }

// Confirmed reports whether Confirm was called.
func (lk *Link) Confirmed() bool { return lk.confirmed.Load() }

// Error means that a request got no answer.
type Error struct {
	// Sent is set if a byte of the request may have reached the server.
	Sent bool
	// Address is the server's address.
	Address string
	// Cause is the underlying error.
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

// NotSent reports whether err guarantees that no byte of the request reached
// the server.
func NotSent(err error) bool {
	var fe *Error
	return errors.As(err, &fe) && !fe.Sent
}

// errOtherRequest means that a server sent an answer to another request.
var errOtherRequest = errors.New("answer belongs to another request")

// errGivenUp means that the request was given up before it was sent.
var errGivenUp = errors.New("given up before it was sent")

// ErrConnectionLimit means that the limit of open connections to the server is
// reached and that all of them are in use.
var ErrConnectionLimit = errors.New("no connection to the server is free")

// Forwarder sends requests to backend servers and has a pool of connections for
// each server. It is safe for use by several goroutines.
type Forwarder struct {
	dial Dial
	// idleTimeout is the idle limit of a connection whose server sets none.
	idleTimeout time.Duration
	// limit returns the most open connections to a server; zero means no limit.
	limit func(address string) int
	// probeLimit is that limit for connections that are opened to learn whether the server
	// answers.
	probeLimit func(address string) int
	// onConnect is called with the result of the first exchange on each connection.
	onConnect func(address string, err error)
	// onSilence is called when a request ended without a byte of the server.
	onSilence func(address string)
	// created is when the forwarder was created. Times are kept as durations since then,
	// so that steps of the clock do not count.
	created time.Time
	mu      sync.Mutex
	// activities has what is known of the servers by address.
	activities map[string]*activity
	// idle has the idle connections by address, the one idle longest first.
	idle map[string][]*connection
	// open counts the connections by address, including those in use and those
	// being opened.
	open map[string]int
	// opened counts the connections opened since New.
	opened int64
}

// Dial opens a connection. net.Dialer.DialContext is one.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures a new Forwarder.
type Option func(*Forwarder)

// WithDial sets the function that opens connections.
func WithDial(dl Dial) Option { return func(fw *Forwarder) { fw.dial = dl } }

// WithIdleTimeout sets the idle limit of a connection whose server sends no
// Keep-Alive header. The default is 5 s.
func WithIdleTimeout(dn time.Duration) Option { return func(fw *Forwarder) { fw.idleTimeout = dn } }

// WithLimit limits the open connections to each server. Zero, the default,
// means no limit.
func WithLimit(limit func(address string) int) Option {
	return func(fw *Forwarder) { fw.limit = limit }
}

// WithProbeLimit sets the limit for Ping and TryConnect. One that exceeds that of WithLimit
// lets a node learn whether a server answers while requests hold all other connections.
// Without it the limit is that of WithLimit.
func WithProbeLimit(limit func(address string) int) Option {
	return func(fw *Forwarder) { fw.probeLimit = limit }
}

// WithOnSilence sets a function that is called when the context of a request ended at least
// silenceTime after it was sent, and the server sent nothing meanwhile on any connection.
func WithOnSilence(fn func(address string)) Option {
	return func(fw *Forwarder) { fw.onSilence = fn }
}

// WithOnConnect sets a function that is called with the result of the first exchange
// on each connection: nil when the head of an answer has come, or why the connection
// could not be opened or broke off. It is not called if the context ended before.
func WithOnConnect(fn func(address string, err error)) Option {
	return func(fw *Forwarder) { fw.onConnect = fn }
}

// New returns a forwarder without connections.
func New(opts ...Option) *Forwarder {
	fw := &Forwarder{
		dial:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		idleTimeout: idleTimeout,
		limit:       func(string) int { return 0 },
		onConnect:   func(string, error) {},
		onSilence:   func(string) {},
		created:     time.Now(),
		activities:  map[string]*activity{},
		idle:        map[string][]*connection{},
		open:        map[string]int{},
	}
	for _, opt := range opts {
		opt(fw)
	}
	if fw.probeLimit == nil {
		fw.probeLimit = fw.limit
	}
	return fw
}

// Opened returns the number of connections opened since New.
func (fw *Forwarder) Opened() int64 {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.opened
}

// InUse returns the number of requests in progress at the server.
func (fw *Forwarder) InUse(address string) int64 {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if ac, ok := fw.activities[address]; ok {
		return ac.inUse.Load()
	}
	return 0
}

// LastHeard returns when the server last sent something. It returns the zero time if
// that is not known, since it never did or did long ago.
func (fw *Forwarder) LastHeard(address string) time.Time {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	ac, ok := fw.activities[address]
	if !ok || ac.heardAfter.Load() == 0 {
		return time.Time{}
	}
	return fw.created.Add(time.Duration(ac.heardAfter.Load()))
}

// DropIdle closes the idle connections to a server. Call it after a connection
// to the server failed or fell silent: other connections on the same network
// path may be broken as well without an error yet.
func (fw *Forwarder) DropIdle(address string) {
	fw.mu.Lock()
	conns := fw.idle[address]
	delete(fw.idle, address)
	fw.mu.Unlock()
	for _, cn := range conns {
		cn.close()
	}
}

// Close closes all idle connections.
func (fw *Forwarder) Close() {
	fw.mu.Lock()
	all := fw.idle
	fw.idle = map[string][]*connection{}
	fw.mu.Unlock()
	for _, conns := range all {
		for _, cn := range conns {
			cn.close()
		}
	}
}

// Send sends the request once and returns the answer as soon as its head is
// read. The caller must close the body. Errors have type *Error.
func (fw *Forwarder) Send(ctx context.Context, rq Request) (*http.Response, error) {
	ac := fw.activityOf(rq.Address)
	ac.inUse.Add(1)
	began := time.Now()
	cn, err := fw.connect(ctx, rq.Address, rq.ID)
	if err != nil {
		ac.inUse.Add(-1)
		fw.noteSilence(ctx, rq.Address, began)
		return nil, &Error{Address: rq.Address, Cause: err}
	}
	if rq.Connected != nil {
		rq.Connected(&cn.Link)
	}
	if ctx.Err() != nil || rq.Begin != nil && !rq.Begin() {
		ac.inUse.Add(-1)
		cn.close()
		return nil, &Error{Address: rq.Address, Cause: errGivenUp}
	}
	rs, err := cn.roundTrip(ctx, rq)
	if !cn.reused && ctx.Err() == nil {
		fw.onConnect(rq.Address, exchangeError(err))
	}
	if err != nil {
		fw.noteSilence(ctx, rq.Address, began)
		ac.inUse.Add(-1)
		cn.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: true, Address: rq.Address, Cause: err}
	}
	return rs, nil
}

// exchangeError returns err unless the server has answered with a malformed head. The server
// is then at fault, and not the path to it.
func exchangeError(err error) error {
	if errors.Is(err, headchecker.ErrMalformed) {
		return nil
	}
	return err
}

// noteSilence calls onSilence if the context of a request that began at the given time has
// ended, and the server has sent nothing since.
func (fw *Forwarder) noteSilence(ctx context.Context, address string, began time.Time) {
	if ctx.Err() != nil && time.Since(began) >= silenceTime && fw.LastHeard(address).Before(began) {
		fw.onSilence(address)
	}
}

// Refuses reports whether the server refuses connections, as after the end of its
// process. A connection that it accepts is kept for a later request.
func (fw *Forwarder) Refuses(ctx context.Context, address string) bool {
	return Refused(fw.TryConnect(ctx, address))
}

// Refused reports whether err says that the address refused a connection.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// TryConnect opens a connection to the server and keeps it for a later request. It
// returns ErrConnectionLimit if the limit doesn't allow another connection.
func (fw *Forwarder) TryConnect(ctx context.Context, address string) error {
	if !fw.reserveSlot(address, fw.probeLimit) {
		return ErrConnectionLimit
	}
	raw, err := fw.dial(ctx, "tcp", address)
	if err != nil {
		fw.releaseSlot(address)
		return err
	}
	fw.mu.Lock()
	fw.opened++
	fw.mu.Unlock()
	fw.putIdle(newConnection(fw, address, raw))
	return nil
}

// connect returns an idle connection on which no request with the id was refused, or
// opens one. It returns ErrConnectionLimit if the limit doesn't allow another connection.
func (fw *Forwarder) connect(ctx context.Context, address, id string) (*connection, error) {
	for cn := fw.popIdle(address, id); cn != nil; cn = fw.popIdle(address, id) {
		if cn.usable(time.Now()) {
			cn.reused = true
			return cn, nil
		}
		cn.close()
	}
	if !fw.reserveSlot(address, fw.limit) && !fw.replaceIdle(address, fw.limit) {
		return nil, ErrConnectionLimit
	}
	return fw.openReserved(ctx, address)
}

// replaceIdle closes an idle connection that can't be used and reserves its slot. It
// returns false if there is none.
func (fw *Forwarder) replaceIdle(address string, limitOf func(address string) int) bool {
	cn := fw.popIdle(address, "")
	if cn == nil {
		return false
	}
	cn.close()
	return fw.reserveSlot(address, limitOf)
}

// openReserved opens a connection for which a slot is reserved.
func (fw *Forwarder) openReserved(ctx context.Context, address string) (*connection, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := fw.dial(dialCtx, "tcp", address)
	if err != nil {
		if ctx.Err() == nil {
			fw.onConnect(address, err)
		}
		fw.releaseSlot(address)
		return nil, err
	}
	fw.mu.Lock()
	fw.opened++
	fw.mu.Unlock()
	return newConnection(fw, address, raw), nil
}

// Ping sends the request over a new connection and reads the answer, whatever it is.
// It returns ErrConnectionLimit if the limit doesn't allow another connection. The
// connection is kept for a later request.
func (fw *Forwarder) Ping(ctx context.Context, rq Request) error {
	if !fw.reserveSlot(rq.Address, fw.probeLimit) && !fw.replaceIdle(rq.Address, fw.probeLimit) {
		return ErrConnectionLimit
	}
	cn, err := fw.openReserved(ctx, rq.Address)
	if err != nil {
		return err
	}
	rs, err := cn.roundTrip(ctx, rq)
	if err != nil {
		cn.abort()
		return exchangeError(err)
	}
	cn.activity.inUse.Add(1) // until the end of the body
	defer func() { _ = rs.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(rs.Body, maxSkippedBytes))
	return err
}

// reserveSlot counts one more open connection. It returns false at the limit.
func (fw *Forwarder) reserveSlot(address string, limitOf func(address string) int) bool {
	limit := limitOf(address)
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if limit > 0 && fw.open[address] >= limit {
		return false
	}
	fw.open[address]++
	return true
}

// releaseSlot counts one open connection less.
func (fw *Forwarder) releaseSlot(address string) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if fw.open[address]--; fw.open[address] <= 0 {
		delete(fw.open, address)
	}
}

// popIdle removes and returns the most recently used idle connection on which no request
// with the id was refused, or nil.
func (fw *Forwarder) popIdle(address, id string) *connection {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	conns := fw.idle[address]
	for ix, cn := range slices.Backward(conns) {
		if id == "" || !slices.Contains(cn.refused, id) {
			fw.idle[address] = slices.Delete(conns, ix, ix+1)
			return cn
		}
	}
	return nil
}

// putIdle makes a connection idle after a complete answer, or closes it if the
// server has maxIdleConnections already, or more open ones than requests may use.
func (fw *Forwarder) putIdle(cn *connection) {
	cn.idleSince = time.Now()
	limit := fw.limit(cn.address)
	fw.mu.Lock()
	conns := fw.idle[cn.address]
	full := len(conns) >= maxIdleConnections || limit > 0 && fw.open[cn.address] > limit
	var expired []*connection
	if !full {
		conns, expired = splitExpired(append(conns, cn), cn.idleSince)
		fw.idle[cn.address] = conns
	}
	fw.mu.Unlock()
	if full {
		cn.close()
	}
	for _, old := range expired {
		old.close()
	}
}

// splitExpired splits off the connections at the front that have reached their
// idle limit.
func splitExpired(conns []*connection, now time.Time) (remaining, expired []*connection) {
	ix := 0
	for ix < len(conns) && conns[ix].expired(now) {
		ix++
	}
	if ix == 0 {
		return conns, nil
	}
	return append([]*connection(nil), conns[ix:]...), conns[:ix]
}
