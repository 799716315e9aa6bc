package messenger

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/transport/framer"
)

// writeTimeout limits the writing of one frame.
const writeTimeout = 2 * time.Second

// Handler answers the calls of peers. It must be safe for concurrent use.
type Handler interface {
	// Handle returns the answer, or an error whose text is sent to the peer.
	Handle(ctx context.Context, call Message) (Message, error)
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, call Message) (Message, error)

// Handle implements Handler.
func (hf HandlerFunc) Handle(ctx context.Context, call Message) (Message, error) {
	return hf(ctx, call)
}

// Server accepts connections of peers and answers their calls.
type Server struct {
	handler Handler
	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	conns   map[net.Conn]bool
	// closed says that Close was called and no connection is accepted.
	closed bool
}

// NewServer returns a server that passes calls to the handler.
func NewServer(hd Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{handler: hd, ctx: ctx, cancel: cancel, conns: map[net.Conn]bool{}}
}

// Serve accepts connections until the listener or the server is closed.
func (sv *Server) Serve(ln net.Listener) error {
	for {
		cn, err := ln.Accept()
		if err != nil {
			if sv.ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept peer connection")
		}
		if sv.track(cn) {
			go sv.serveConn(cn)
		}
	}
}

// Close closes all connections and cancels the handlers' contexts. It does not
// close the listener.
func (sv *Server) Close() {
	sv.cancel()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.closed = true
	for cn := range sv.conns {
		_ = cn.Close()
	}
}

func (sv *Server) track(cn net.Conn) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.closed {
		_ = cn.Close()
		return false
	}
	sv.conns[cn] = true
	return true
}

func (sv *Server) untrack(cn net.Conn) {
	_ = cn.Close()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	delete(sv.conns, cn)
}

func (sv *Server) serveConn(cn net.Conn) {
	defer sv.untrack(cn)
	ctx, cancel := context.WithCancel(sv.ctx)
	defer cancel()
	wr := &frameWriter{conn: cn}
	for {
		payload, err := framer.Read(cn)
		if err != nil {
			return
		}
		ev, err := decodeEnvelope(payload)
		var uk *unknownKindError
		if errors.As(err, &uk) && ev.frameType == frameCall {
			// A later build sent it; its other calls on the connection go on.
			_ = wr.write(&envelope{id: ev.id, frameType: frameReject, text: err.Error()})
			continue
		}
		if err != nil {
			return
		}
		switch ev.frameType {
		case frameHeartbeat:
			_ = wr.write(&envelope{frameType: frameHeartbeat})
		case frameCall:
			go sv.answer(ctx, wr, ev)
		case frameAnswer, frameReject:
			return
		}
	}
}

func (sv *Server) answer(ctx context.Context, wr *frameWriter, ev *envelope) {
	out := &envelope{id: ev.id, frameType: frameAnswer}
	message, err := sv.handler.Handle(ctx, ev.message)
	if err != nil {
		out.frameType = frameReject
		out.text = err.Error()
	} else {
		out.message = message
	}
	err = wr.write(out)
	if errors.Is(err, framer.ErrLength) {
		// The other calls on the connection go on.
		err = wr.write(&envelope{id: ev.id, frameType: frameReject, text: err.Error()})
	}
	if err != nil {
		_ = wr.conn.Close()
	}
}

// frameWriter writes frames to a connection. It is safe for concurrent use.
type frameWriter struct {
	mu   sync.Mutex
	conn net.Conn
}

// write writes the envelope in one frame. It returns framer.ErrLength, and writes nothing, if
// the envelope does not fit.
func (fw *frameWriter) write(ev *envelope) error {
	payload, err := ev.encode()
	if err != nil {
		return err
	}
	if len(payload) > framer.MaxPayloadBytes {
		return framer.ErrLength
	}
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if err := fw.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	return framer.Write(fw.conn, payload)
}
