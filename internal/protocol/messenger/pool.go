package messenger

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/transport/framer"
)

// Defaults of a Pool.
const (
	defaultSilenceTimeout = 1500 * time.Millisecond
	dialTimeout           = time.Second
	// heartbeatsPerTimeout is the number of heartbeats per silence timeout.
	heartbeatsPerTimeout = 3
	// idleTimeout is how long a connection without calls stays open.
	idleTimeout = 10 * time.Minute
	// connAttempts limits how many connections a call tries if each is closed
	// before the call is sent.
	connAttempts = 3
)

var (
	// errSilent means that no frame arrived within the silence timeout.
	errSilent = errors.New("connection fell silent")
	// errIdle means that the idle timeout passed without a call.
	errIdle = errors.New("connection was idle")
	// errUnsent means that the peer can't have received the call.
	errUnsent = errors.New("connection was closed before the call")
)

// DialFunc opens a connection to a peer.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Pool keeps one connection to each recently called peer. It is safe for
// concurrent use.
type Pool struct {
	dial           DialFunc
	silenceTimeout time.Duration
	mu             sync.Mutex
	// conns are the connections by peer address; some may be closed.
	conns map[string]*peerConn
	// closed says that Close was called and no new connection may be opened.
	closed bool
}

// PoolOption configures a Pool.
type PoolOption func(*Pool)

// WithSilenceTimeout sets the time after which a connection with a pending call
// is closed if it receives no frame. The default is 1.5 s.
func WithSilenceTimeout(dn time.Duration) PoolOption {
	return func(pl *Pool) { pl.silenceTimeout = dn }
}

// WithDial sets the function that opens connections. The default dials TCP.
func WithDial(fn DialFunc) PoolOption {
	return func(pl *Pool) { pl.dial = fn }
}

// NewPool returns a pool without connections.
func NewPool(opts ...PoolOption) *Pool {
	dl := &net.Dialer{Timeout: dialTimeout}
	pl := &Pool{
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dl.DialContext(ctx, "tcp", address)
		},
		silenceTimeout: defaultSilenceTimeout,
		conns:          map[string]*peerConn{},
	}
	for _, opt := range opts {
		opt(pl)
	}
	return pl
}

// Call sends a message to the peer at the address and returns its answer. It
// opens a connection if there is none. The error is an *Error.
func (pl *Pool) Call(ctx context.Context, address string, call Message) (Message, error) {
	for range connAttempts {
		pc, err := pl.peerConn(ctx, address)
		if err != nil {
			return nil, &Error{Failure: Unreachable, Address: address, Cause: err}
		}
		answer, err := pc.call(ctx, call)
		if !errors.Is(err, errUnsent) {
			return answer, err
		}
	}
	return nil, &Error{Failure: Unreachable, Address: address, Cause: errUnsent}
}

// Close closes all connections. Pending calls fail as Lost.
func (pl *Pool) Close() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.closed = true
	for _, pc := range pl.conns {
		pc.fail(net.ErrClosed)
	}
}

func (pl *Pool) peerConn(ctx context.Context, address string) (*peerConn, error) {
	if pc := pl.existing(address); pc != nil {
		return pc, nil
	}
	cn, err := pl.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.closed {
		_ = cn.Close()
		return nil, net.ErrClosed
	}
	if pc := pl.conns[address]; pc != nil && !pc.isClosed() {
		_ = cn.Close()
		return pc, nil
	}
	pc := newPeerConn(address, cn, pl.silenceTimeout)
	pl.conns[address] = pc
	return pc, nil
}

func (pl *Pool) existing(address string) *peerConn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pc := pl.conns[address]
	if pc == nil || pc.isClosed() {
		return nil
	}
	return pc
}

// peerConn is one connection to a peer with its pending calls.
type peerConn struct {
	address        string
	writer         *frameWriter
	silenceTimeout time.Duration
	mu             sync.Mutex
	// lastID is the id of the latest call.
	lastID uint64
	// pending are the calls without an answer, by id.
	pending map[uint64]chan *envelope
	// lastReceived is when the latest frame arrived, or when the first call
	// after that frame was sent.
	lastReceived time.Time
	// awaitingFrame says that no frame has arrived since the latest call was
	// sent, even if its caller no longer waits for the answer.
	awaitingFrame bool
	// lastUsed is when the latest call was sent.
	lastUsed time.Time
	// done is closed together with the connection; err is valid afterwards.
	done chan struct{}
	err  error
}

func newPeerConn(address string, cn net.Conn, silenceTimeout time.Duration) *peerConn {
	pc := &peerConn{
		address:        address,
		writer:         &frameWriter{conn: cn},
		silenceTimeout: silenceTimeout,
		pending:        map[uint64]chan *envelope{},
		lastReceived:   time.Now(),
		lastUsed:       time.Now(),
		done:           make(chan struct{}),
	}
	go pc.read()
	go pc.monitor()
	return pc
}

func (pc *peerConn) call(ctx context.Context, call Message) (Message, error) {
	id, answers, ok := pc.register()
	if !ok {
		return nil, errUnsent
	}
	defer pc.unregister(id)
	err := pc.writer.write(&envelope{id: id, frameType: frameCall, message: call})
	if errors.Is(err, framer.ErrLength) {
		return nil, &Error{Failure: TooLarge, Address: pc.address, Cause: err}
	}
	if err != nil {
		pc.fail(err)
		return nil, &Error{Failure: Lost, Address: pc.address, Cause: err}
	}
	select {
	case ev := <-answers:
		if ev.frameType == frameReject {
			return nil, &Error{Failure: Rejected, Address: pc.address, Text: ev.text}
		}
		return ev.message, nil
	case <-pc.done:
		return nil, &Error{Failure: Lost, Address: pc.address, Cause: pc.err}
	case <-ctx.Done():
		return nil, &Error{Failure: Lost, Address: pc.address, Cause: ctx.Err()}
	}
}

// register assigns an id to a call. It reports false if the connection is
// closed.
func (pc *peerConn) register() (id uint64, answers chan *envelope, ok bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.isClosed() {
		return 0, nil, false
	}
	pc.lastUsed = time.Now()
	if len(pc.pending) == 0 && !pc.awaitingFrame {
		pc.lastReceived = pc.lastUsed
	}
	pc.awaitingFrame = true
	pc.lastID++
	answers = make(chan *envelope, 1)
	pc.pending[pc.lastID] = answers
	return pc.lastID, answers, true
}

func (pc *peerConn) unregister(id uint64) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	delete(pc.pending, id)
}

func (pc *peerConn) read() {
	for {
		payload, err := framer.Read(pc.writer.conn)
		if err != nil {
			pc.fail(err)
			return
		}
		ev, err := decodeEnvelope(payload)
		if err != nil {
			pc.fail(err)
			return
		}
		pc.deliver(ev)
	}
}

// deliver passes an answer to its call. It drops an answer whose call has
// ended; ids are never reused on a connection, so no other call can get it.
func (pc *peerConn) deliver(ev *envelope) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.lastReceived = time.Now()
	pc.awaitingFrame = false
	if answers, ok := pc.pending[ev.id]; ok {
		delete(pc.pending, ev.id)
		answers <- ev
	}
}

// monitor sends heartbeats while a frame is awaited, and closes the connection
// after the silence timeout or, without calls, after the idle timeout.
func (pc *peerConn) monitor() {
	tk := time.NewTicker(pc.silenceTimeout / heartbeatsPerTimeout)
	defer tk.Stop()
	for {
		select {
		case <-pc.done:
			return
		case <-tk.C:
		}
		pending, silence := pc.silence()
		if !pending {
			pc.closeIdle()
			continue
		}
		if silence >= pc.silenceTimeout {
			pc.fail(errSilent)
			return
		}
		if err := pc.writer.write(&envelope{frameType: frameHeartbeat}); err != nil {
			pc.fail(err)
			return
		}
	}
}

// silence returns whether a frame is awaited, and the time since lastReceived.
func (pc *peerConn) silence() (pending bool, silence time.Duration) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	return len(pc.pending) > 0 || pc.awaitingFrame, time.Since(pc.lastReceived)
}

func (pc *peerConn) closeIdle() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if len(pc.pending) == 0 && time.Since(pc.lastUsed) >= idleTimeout {
		pc.failLocked(errIdle)
	}
}

func (pc *peerConn) isClosed() bool {
	select {
	case <-pc.done:
		return true
	default:
		return false
	}
}

func (pc *peerConn) fail(err error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.failLocked(err)
}

func (pc *peerConn) failLocked(err error) {
	if pc.isClosed() {
		return
	}
	pc.err = err
	close(pc.done)
	_ = pc.writer.conn.Close()
}
