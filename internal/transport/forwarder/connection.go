package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/lagoonpass/lagoonpass/internal/protocol/headchecker"
	"github.com/lagoonpass/lagoonpass/internal/transport/resetdetector"
)

const (
	// readBytes is the size of a connection's read buffer.
	readBytes = 4 << 10
	// maxSyncBodyBytes is the size of the longest body that is written before
	// the answer is read. A longer body is written in the background, since a
	// server may answer before it has read all of it.
	maxSyncBodyBytes = 8 << 10
	// maxHeadBytes bounds the head of an answer, with interim answers before it, and
	// maxSkippedBytes a late answer to an earlier request.
	maxHeadBytes    = 64 << 10
	maxSkippedBytes = 1 << 20
	// maxRefused bounds the ids of refused requests that a connection remembers.
	maxRefused = 16
	// maxIdleLimit bounds the idle limit that a server can set.
	maxIdleLimit = time.Minute
	// idleMargin is how long before the server's idle timeout a connection is
	// no longer used.
	idleMargin = 500 * time.Millisecond
)

// pastDeadline is a deadline that ends a blocked read or write at once.
var pastDeadline = time.Unix(1, 0)

// errHeadTooLarge means that the head of an answer exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("head of the answer is too large")

// headReader reads a connection and bounds what is read for a head. A server may
// send bytes without end.
type headReader struct {
	io.Reader
	// lines scans what is read while bounded is set.
	lines    headchecker.Scanner
	owner    *Forwarder
	activity *activity
	// bounded says that at most left bytes may be read.
	bounded bool
	left    int
}

// Read implements io.Reader.
func (hr *headReader) Read(buf []byte) (int, error) {
	if hr.bounded && hr.left <= 0 {
		return 0, errHeadTooLarge
	}
	if hr.bounded {
		buf = buf[:min(len(buf), hr.left)]
	}
	count, err := hr.Reader.Read(buf)
	if hr.bounded {
		hr.lines.Scan(buf[:count])
	}
	if count > 0 {
		hr.left -= count
		hr.activity.heardAfter.Store(int64(time.Since(hr.owner.created)))
	}
	return count, err
}

// errStillWriting means that the answer ended before the request was written.
var errStillWriting = errors.New("request is not written yet")

// connection is one connection to a server. It carries one request at a time.
type connection struct {
	Link
	owner    *Forwarder
	address  string
	activity *activity
	raw      net.Conn
	stream   *resetdetector.Conn // reads and writes raw
	head     *headReader         // bounds what reader reads
	reader   *bufio.Reader
	// reused is set once the connection carries a second request.
	reused bool
	// refused has the ids of the last requests that got an answer other than a success.
	refused []string
	// idleLimit is how long the connection may be idle.
	idleLimit time.Duration
	// idleSince is when the last answer ended.
	idleSince time.Time
	closeOnce sync.Once // guards close
}

func newConnection(fw *Forwarder, address string, raw net.Conn) *connection {
	ac := fw.activityOf(address)
	stream := resetdetector.New(raw)
	hr := &headReader{Reader: stream, owner: fw, activity: ac}
	return &connection{
		Link:      Link{opened: time.Now()},
		owner:     fw,
		address:   address,
		activity:  ac,
		raw:       raw,
		stream:    stream,
		head:      hr,
		reader:    bufio.NewReaderSize(hr, readBytes),
		idleLimit: fw.idleTimeout,
	}
}

func (cn *connection) close() {
	cn.closeOnce.Do(func() {
		_ = cn.raw.Close()
		cn.owner.releaseSlot(cn.address)
	})
}

// abort closes the connection after a request without an answer. If the server has not
// acknowledged all of the request, the rest is discarded: the kernel would deliver it
// when a path that hangs is back, long after the request was sent elsewhere.
func (cn *connection) abort() {
	if lg, ok := cn.raw.(interface{ SetLinger(sec int) error }); ok && unacknowledged(cn.raw) {
		_ = lg.SetLinger(0)
	}
	cn.close()
}

// unacknowledged reports whether the other end has not acknowledged all bytes that were
// written. It returns true if the kernel does not tell.
func unacknowledged(raw net.Conn) bool {
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	left := 0
	var askErr error
	err = rc.Control(func(fd uintptr) { left, askErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err != nil || askErr != nil || left > 0
}

func (cn *connection) expired(now time.Time) bool { return now.Sub(cn.idleSince) >= cn.idleLimit }

// usable reports whether the connection may carry another request. It may not
// if it has reached its idle limit, is closed, or has unsolicited input.
func (cn *connection) usable(now time.Time) bool {
	return !cn.expired(now) && cn.reader.Buffered() == 0 && noInput(cn.raw)
}

// noInput reports whether neither data nor the end of the stream is ready to be
// read. It returns true if raw isn't a syscall.Conn. It consumes a ready byte,
// so the connection must not be used after it returns false.
func noInput(raw net.Conn) bool {
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		wouldBlock = err == syscall.EAGAIN
		return true
	})
	return err == nil && wouldBlock
}

// roundTrip writes the request and reads the head of the answer. The end of ctx
// interrupts it and the reading of the body.
func (cn *connection) roundTrip(ctx context.Context, rq Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = cn.raw.SetDeadline(pastDeadline) })
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
	cn.updateIdleLimit(rs.Header)
	reusable := !rs.Close && hasLength(rs) && rq.mayReuse(rs)
	if rq.ID != "" && rs.StatusCode >= http.StatusMultipleChoices {
		cn.noteRefused(rq.ID)
	}
	rs.Body = &body{ReadCloser: rs.Body, cn: cn, written: written, stop: stop, reusable: reusable}
	return rs, nil
}

// noteRefused records that the request with the id got an answer other than a success.
func (cn *connection) noteRefused(id string) {
	if len(cn.refused) >= maxRefused {
		cn.refused = slices.Delete(cn.refused, 0, 1)
	}
	cn.refused = append(cn.refused, id)
}

// hasLength reports whether the answer has a length or is chunked, so that it
// does not end only with the connection.
func hasLength(rs *http.Response) bool {
	return rs.ContentLength >= 0 || len(rs.TransferEncoding) > 0
}

// write writes the request, one with a long body in the background. The channel
// delivers the result of the writing.
func (cn *connection) write(rq Request) (<-chan error, error) {
	head := appendHead(make([]byte, 0, 1024), rq)
	written := make(chan error, 1)
	if len(rq.Body) <= maxSyncBodyBytes {
		_, err := cn.stream.Write(append(head, rq.Body...))
		written <- err
		return written, err
	}
	go func() {
		buffers := net.Buffers{head, rq.Body}
		_, err := buffers.WriteTo(cn.stream)
		written <- err
	}()
	return written, nil
}

// appendHead appends the request line and the header to out.
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

// readHead reads the head of the answer to the request. On a reused connection
// it skips late answers to earlier requests, at most maxSkipped of them.
func (cn *connection) readHead(rq Request) (*http.Response, error) {
	request := &http.Request{Method: rq.Method}
	cn.head.bounded, cn.head.left = true, maxHeadBytes
	defer func() { cn.head.bounded = false }()
	for skipped := 0; ; {
		rs, err := cn.readOneHead(request)
		if err != nil {
			return nil, err
		}
		if rs.StatusCode >= 100 && rs.StatusCode < 200 {
			continue
		}
		if rq.Owns == nil || rq.Owns(rs) {
			return rs, nil
		}
		skipped++
		if !cn.reused || skipped > maxSkipped || rs.Close || !hasLength(rs) {
			return nil, errOtherRequest
		}
		cn.head.left = maxSkippedBytes
		if _, err := io.Copy(io.Discard, rs.Body); err != nil {
			return nil, errors.Wrap(err, "skip an answer to another request")
		}
		cn.head.left = maxHeadBytes
	}
}

// readOneHead reads the next head, which may be that of an interim answer.
func (cn *connection) readOneHead(request *http.Request) (*http.Response, error) {
	// The end of the previous read may be the start of this head.
	buffered, _ := cn.reader.Peek(cn.reader.Buffered())
	cn.head.lines = headchecker.Scanner{}
	cn.head.lines.Scan(buffered)
	rs, err := http.ReadResponse(cn.reader, request)
	if err == nil {
		err = cn.head.lines.Check(cn.reader.Buffered())
	}
	if err == nil {
		err = headchecker.Check(rs)
	}
	return rs, err
}

// updateIdleLimit sets the idle limit from the timeout in the Keep-Alive
// header.
func (cn *connection) updateIdleLimit(hd http.Header) {
	for _, part := range strings.Split(hd.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if !strings.EqualFold(name, "timeout") || err != nil {
			continue
		}
		limit := time.Duration(seconds) * time.Second
		cn.idleLimit = min(max(limit-idleMargin, limit/2), maxIdleLimit)
	}
}

// body is the body of an answer. Reading it to the end makes the connection
// idle for reuse; closing it earlier closes the connection.
type body struct {
	io.ReadCloser
	cn       *connection
	written  <-chan error // result of writing the request
	stop     func() bool  // stops watching the context; false if the context ended
	reusable bool         // the connection may outlast the answer
	done     bool         // finish was called
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

// finish releases the connection. It keeps the connection for reuse only if the
// answer is complete, the request is written and no input is left.
func (bd *body) finish(complete bool) {
	if bd.done {
		return
	}
	bd.done = true
	bd.cn.activity.inUse.Add(-1)
	notCancelled := bd.stop()
	if complete && bd.reusable && notCancelled && bd.writeResult() == nil && bd.cn.reader.Buffered() == 0 {
		bd.cn.owner.putIdle(bd.cn)
		return
	}
	bd.cn.close()
}

// writeResult returns the result of writing the request, or errStillWriting.
func (bd *body) writeResult() error {
	select {
	case err := <-bd.written:
		return err
	default:
		return errStillWriting
	}
}
