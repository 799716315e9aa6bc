// Package resetdetector tells the end of a stream from a reset of its connection.
//
// The kernel reports a reset once, to a read or to a write. If a write is in progress and
// gets the report, reads return what has arrived and then io.EOF, as if the other end had
// closed its side. An answer without a length ends with its connection, so that one whose
// server resets the connection while the request is still being written looks complete.
//
// A read that gets io.EOF therefore ends the write in progress and returns the error of that
// write if it is the kernel's. It is EPIPE if the other end closed its side before the
// reset: all that it sent has then arrived, and the read returns io.EOF.
//
// # Usage
//
//	raw, err := dialer.DialContext(ctx, "tcp", address)
//	cn := resetdetector.New(raw)
//	go cn.Write(request)
//	answer, err := io.ReadAll(cn) // fails if the connection is reset
package resetdetector

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// pastDeadline is a deadline that ends a blocked write at once.
var pastDeadline = time.Unix(1, 0)

// Conn is a connection whose end can be told from a reset. Nothing can be written once a
// read has returned io.EOF.
type Conn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	// failure is the first error of a write. writing guards it.
	failure error
}

// New returns a Conn over raw. Everything that is written to raw must be written to the
// Conn.
func New(raw net.Conn) *Conn { return &Conn{Conn: raw} }

// Write implements io.Writer.
func (cn *Conn) Write(data []byte) (int, error) {
	cn.writing.Lock()
	defer cn.writing.Unlock()
	count, err := cn.Conn.Write(data)
	if cn.failure == nil {
		cn.failure = err
	}
	return count, err
}

// Read implements io.Reader. It returns io.EOF only if the other end has closed its side.
func (cn *Conn) Read(buf []byte) (int, error) {
	count, err := cn.Conn.Read(buf)
	if err == io.EOF {
		if reset := cn.reset(); reset != nil {
			err = reset
		}
	}
	return count, err
}

// reset returns the error that a write got in place of the reader, or nil. It ends a write
// that is in progress, which could otherwise block for as long as the other end does not
// read.
func (cn *Conn) reset() error {
	_ = cn.SetWriteDeadline(pastDeadline)
	cn.writing.Lock()
	defer cn.writing.Unlock()
	var er syscall.Errno
	if errors.As(cn.failure, &er) && er != syscall.EPIPE {
		return cn.failure
	}
	return nil
}
