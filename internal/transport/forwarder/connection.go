package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// readBytes is the size of a connection's read buffer.
	readBytes = 4 << 10
	// aheadBytes is the size from which a body is written while the answer is
	// awaited: a server may answer before it has read a long one.
	aheadBytes = 8 << 10
	// longestIdle bounds how long a connection is kept whatever its server says.
	longestIdle = time.Minute
	// keepMargin is how much sooner than its server a connection is given up.
	keepMargin = 500 * time.Millisecond
)

// aLongTimeAgo is a deadline that ends a blocked call at once.
var aLongTimeAgo = time.Unix(1, 0)

// errUnwritten means that an answer ended before its request was written.
var errUnwritten = errors.New("request is not written yet")

// connection is one connection to a server, used by one request at a time.
type connection struct {
	owner   *Forwarder
	address string
	raw     net.Conn
	reader  *bufio.Reader
	// used says that the connection served a request before.
	used bool
	// idleLimit is how long the connection may be idle.
	idleLimit time.Duration
	idleSince time.Time
	once      sync.Once
}

func newConnection(fw *Forwarder, address string, raw net.Conn) *connection {
	return &connection{
		owner:     fw,
		address:   address,
		raw:       raw,
		reader:    bufio.NewReaderSize(raw, readBytes),
		idleLimit: fw.idleTimeout,
	}
}

func (cn *connection) close() {
	cn.once.Do(func() {
		_ = cn.raw.Close()
		cn.owner.closed(cn.address)
	})
}

func (cn *connection) expired(now time.Time) bool { return now.Sub(cn.idleSince) >= cn.idleLimit }

// usable reports whether the connection may carry another request: it is not
// idle for too long, not closed, and holds no bytes that nobody asked for.
func (cn *connection) usable(now time.Time) bool {
	return !cn.expired(now) && cn.reader.Buffered() == 0 && quiet(cn.raw)
}

// quiet reports whether nothing, not even an end, arrived on the connection.
// Where that cannot be seen it is taken to be so. What did arrive is lost, as
// the connection is not used again then.
func quiet(raw net.Conn) bool {
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		silent = err == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}

// roundTrip writes the request and reads the head of its answer.
func (cn *connection) roundTrip(ctx context.Context, rq Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = cn.raw.SetDeadline(aLongTimeAgo) })
	written, err := cn.write(rq)
	if err != nil {
		stop()
		return nil, err
	}
	rs, err := cn.readHead(rq)
	if err != nil {
		stop()
		return nil, err
	}
	cn.noteIdleLimit(rs.Header)
	rs.Body = &body{ReadCloser: rs.Body, cn: cn, written: written, stop: stop, reusable: !rs.Close && framed(rs)}
	return rs, nil
}

// framed reports whether the end of an answer shows without the connection's.
func framed(rs *http.Response) bool {
	return rs.ContentLength >= 0 || len(rs.TransferEncoding) > 0
}

// write writes the request, a long one in the background. The channel delivers
// how that ended.
func (cn *connection) write(rq Request) (<-chan error, error) {
	head := appendHead(make([]byte, 0, 1024), rq)
	written := make(chan error, 1)
	if len(rq.Body) <= aheadBytes {
		_, err := cn.raw.Write(append(head, rq.Body...))
		written <- err
		return written, err
	}
	go func() {
		buffers := net.Buffers{head, rq.Body}
		_, err := buffers.WriteTo(cn.raw)
		written <- err
	}()
	return written, nil
}

func appendHead(out []byte, rq Request) []byte {
	host := rq.Host
	if host == "" {
		host = rq.Address
	}
	out = append(out, rq.Method...)
	out = append(out, ' ')
	out = append(out, rq.Path...)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, host...)
	out = append(out, "\r\n"...)
	for name, values := range rq.Header {
		for _, value := range values {
			out = append(out, name...)
			out = append(out, ": "...)
			out = append(out, value...)
			out = append(out, "\r\n"...)
		}
	}
	if len(rq.Body) > 0 || rq.Method != http.MethodGet && rq.Method != http.MethodHead {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(rq.Body)), 10)
		out = append(out, "\r\n"...)
	}
	return append(out, "\r\n"...)
}

// readHead reads the head of the answer to the request. On a kept connection
// late answers to earlier requests may come first.
func (cn *connection) readHead(rq Request) (*http.Response, error) {
	ask := &http.Request{Method: rq.Method}
	for strays := 0; ; {
		rs, err := http.ReadResponse(cn.reader, ask)
		if err != nil {
			return nil, err
		}
		if rs.StatusCode >= 100 && rs.StatusCode < 200 {
			continue
		}
		if rq.Owns == nil || rq.Owns(rs) {
			return rs, nil
		}
		strays++
		if !cn.used || strays > maxStrays || rs.Close || !framed(rs) {
			return nil, errForeign
		}
		if _, err := io.Copy(io.Discard, rs.Body); err != nil {
			return nil, errors.Wrap(err, "skip an answer to another request")
		}
	}
}

// noteIdleLimit takes in how long the server lets the connection be idle.
func (cn *connection) noteIdleLimit(hd http.Header) {
	for _, part := range strings.Split(hd.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if !strings.EqualFold(name, "timeout") || err != nil {
			continue
		}
		limit := time.Duration(seconds) * time.Second
		cn.idleLimit = min(max(limit-keepMargin, limit/2), longestIdle)
	}
}

// body is the body of an answer. Once it was read to its end its connection is
// kept; closed before, the connection is closed.
type body struct {
	io.ReadCloser
	cn       *connection
	written  <-chan error
	stop     func() bool
	reusable bool
	done     bool
}

// Read implements io.Reader.
func (bd *body) Read(buf []byte) (int, error) {
	count, err := bd.ReadCloser.Read(buf)
	if err != nil {
		bd.finish(err == io.EOF)
	}
	return count, err
}

// Close implements io.Closer.
func (bd *body) Close() error {
	bd.finish(false)
	return nil
}

func (bd *body) finish(whole bool) {
	if bd.done {
		return
	}
	bd.done = true
	undisturbed := bd.stop()
	if whole && bd.reusable && undisturbed && bd.wrote() == nil && bd.cn.reader.Buffered() == 0 {
		bd.cn.owner.keep(bd.cn)
		return
	}
	bd.cn.close()
}

// wrote returns how the writing of the request ended.
func (bd *body) wrote() error {
	select {
	case err := <-bd.written:
		return err
	default:
		return errUnwritten
	}
}
