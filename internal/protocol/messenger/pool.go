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
	defaultSilence = 1500 * time.Millisecond
	dialTimeout    = time.Second
	// heartbeatsInSilence is how many heartbeats fit in the silence time.
	heartbeatsInSilence = 3
	// idleTimeout is how long a connection without calls is kept.
	idleTimeout = 10 * time.Minute
	// linkAttempts bounds how often a call looks for a connection that is not
	// closed before the call was sent.
	linkAttempts = 3
)

var (
	errSilent = errors.New("connection fell silent")
	errIdle   = errors.New("connection was idle")
	// errUnsent means that the connection was closed before the call was sent.
	errUnsent = errors.New("connection was closed before the call")
)

// DialFunc opens a connection to a peer.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Pool holds one connection to each peer that was called lately.
type Pool struct {
	dial    DialFunc
	silence time.Duration
	mu      sync.Mutex
	links   map[string]*link
	closed  bool
}

// PoolOption changes a Pool that is being made.
type PoolOption func(*Pool)

// WithSilence sets the time without a frame after which a connection on which
// an answer is awaited is given up.
func WithSilence(dn time.Duration) PoolOption {
	return func(pl *Pool) { pl.silence = dn }
}

// WithDial makes the pool open its connections with fn.
func WithDial(fn DialFunc) PoolOption {
	return func(pl *Pool) { pl.dial = fn }
}

// NewPool returns an empty pool.
func NewPool(opts ...PoolOption) *Pool {
	dl := &net.Dialer{Timeout: dialTimeout}
	pl := &Pool{
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dl.DialContext(ctx, "tcp", address)
		},
		silence: defaultSilence,
		links:   map[string]*link{},
	}
	for _, opt := range opts {
		opt(pl)
	}
	return pl
}

// Call sends a message to the peer at the address and returns its answer. The
// error is an *Error.
func (pl *Pool) Call(ctx context.Context, address string, call Message) (Message, error) {
	for range linkAttempts {
		lk, err := pl.link(ctx, address)
		if err != nil {
			return nil, &Error{Failure: Unreachable, Address: address, Cause: err}
		}
		answer, err := lk.call(ctx, call)
		if !errors.Is(err, errUnsent) {
			return answer, err
		}
	}
	return nil, &Error{Failure: Unreachable, Address: address, Cause: errUnsent}
}

// Close closes all connections.
func (pl *Pool) Close() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.closed = true
	for _, lk := range pl.links {
		lk.fail(net.ErrClosed)
	}
}

func (pl *Pool) link(ctx context.Context, address string) (*link, error) {
	if lk := pl.open(address); lk != nil {
		return lk, nil
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
	if lk := pl.links[address]; lk != nil && !lk.broken() {
		_ = cn.Close()
		return lk, nil
	}
	lk := newLink(address, cn, pl.silence)
	pl.links[address] = lk
	return lk, nil
}

func (pl *Pool) open(address string) *link {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	lk := pl.links[address]
	if lk == nil || lk.broken() {
		return nil
	}
	return lk
}

// link is one connection with its outstanding calls.
type link struct {
	address string
	writer  *frameWriter
	silence time.Duration
	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan *envelope
	// heard is when a frame came last, or when the first call was sent that
	// no frame has come after.
	heard time.Time
	// owed says that no frame has come since a call was sent, also if the
	// call was given up meanwhile.
	owed bool
	used time.Time
	done chan struct{}
	err  error
}

func newLink(address string, cn net.Conn, silence time.Duration) *link {
	lk := &link{
		address: address,
		writer:  &frameWriter{conn: cn},
		silence: silence,
		waiting: map[uint64]chan *envelope{},
		heard:   time.Now(),
		used:    time.Now(),
		done:    make(chan struct{}),
	}
	go lk.read()
	go lk.watch()
	return lk
}

func (lk *link) call(ctx context.Context, call Message) (Message, error) {
	id, answers, ok := lk.register()
	if !ok {
		return nil, errUnsent
	}
	defer lk.forget(id)
	if err := lk.writer.write(&envelope{id: id, phase: phaseCall, message: call}); err != nil {
		lk.fail(err)
		return nil, &Error{Failure: Lost, Address: lk.address, Cause: err}
	}
	select {
	case ev := <-answers:
		if ev.phase == phaseReject {
			return nil, &Error{Failure: Rejected, Address: lk.address, Text: ev.text}
		}
		return ev.message, nil
	case <-lk.done:
		return nil, &Error{Failure: Lost, Address: lk.address, Cause: lk.err}
	case <-ctx.Done():
		return nil, &Error{Failure: Lost, Address: lk.address, Cause: ctx.Err()}
	}
}

// register gives a call its number. It reports false if the connection was
// closed meanwhile.
func (lk *link) register() (id uint64, answers chan *envelope, ok bool) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.broken() {
		return 0, nil, false
	}
	lk.used = time.Now()
	if len(lk.waiting) == 0 && !lk.owed {
		lk.heard = lk.used
	}
	lk.owed = true
	lk.nextID++
	answers = make(chan *envelope, 1)
	lk.waiting[lk.nextID] = answers
	return lk.nextID, answers, true
}

func (lk *link) forget(id uint64) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	delete(lk.waiting, id)
}

func (lk *link) read() {
	for {
		payload, err := framer.Read(lk.writer.conn)
		if err != nil {
			lk.fail(err)
			return
		}
		ev, err := decodeEnvelope(payload)
		if err != nil {
			lk.fail(err)
			return
		}
		lk.deliver(ev)
	}
}

// deliver hands an answer to its call; an answer that nobody awaits any more
// is dropped, since numbers are never used again on a connection.
func (lk *link) deliver(ev *envelope) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.heard = time.Now()
	lk.owed = false
	if answers, ok := lk.waiting[ev.id]; ok {
		delete(lk.waiting, ev.id)
		answers <- ev
	}
}

// watch sends heartbeats while the peer owes a frame, notices silence, and
// closes an idle connection.
func (lk *link) watch() {
	tk := time.NewTicker(lk.silence / heartbeatsInSilence)
	defer tk.Stop()
	for {
		select {
		case <-lk.done:
			return
		case <-tk.C:
		}
		waiting, quiet := lk.quiet()
		if !waiting {
			lk.closeIdle()
			continue
		}
		if quiet >= lk.silence {
			lk.fail(errSilent)
			return
		}
		if err := lk.writer.write(&envelope{phase: phaseHeartbeat}); err != nil {
			lk.fail(err)
			return
		}
	}
}

func (lk *link) quiet() (waiting bool, quiet time.Duration) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	return len(lk.waiting) > 0 || lk.owed, time.Since(lk.heard)
}

func (lk *link) closeIdle() {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if len(lk.waiting) == 0 && time.Since(lk.used) >= idleTimeout {
		lk.failLocked(errIdle)
	}
}

func (lk *link) broken() bool {
	select {
	case <-lk.done:
		return true
	default:
		return false
	}
}

func (lk *link) fail(err error) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.failLocked(err)
}

func (lk *link) failLocked(err error) {
	if lk.broken() {
		return
	}
	lk.err = err
	close(lk.done)
	_ = lk.writer.conn.Close()
}
