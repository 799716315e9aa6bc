package resetdetector_test

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/transport/resetdetector"
)

// tries is how often a test plays a reset, which can come before, during or after the
// system calls of the reader and the writer.
const tries = 50

// exchange opens a connection and writes more to it than the other end takes. It returns
// what it reads meanwhile. end writes the answer and ends the connection at the other end,
// and its result is called when the answer has been read.
func exchange(t *testing.T, end func(*net.TCPConn) (after func())) (string, error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	raw, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer func() { _ = raw.Close() }()
	other, err := ln.Accept()
	require.NoError(t, err)
	cn := resetdetector.New(raw)
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = cn.Write(make([]byte, 16<<20))
	}()
	defer func() { <-written }()
	defer end(other.(*net.TCPConn))()
	text, err := io.ReadAll(cn)
	return string(text), err
}

func reset(cn *net.TCPConn) {
	_ = cn.SetLinger(0)
	_ = cn.Close()
}

// A reset that the kernel reported to a write was an ordinary end to reads.
func TestResetDuringAWriteIsNoEnd(t *testing.T) {
	for range tries {
		_, err := exchange(t, func(cn *net.TCPConn) func() {
			_, _ = io.WriteString(cn, "part")
			reset(cn)
			return func() {}
		})
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// The other end reads nothing more, and the write would block for good.
func TestEndOfOneSideEndsTheWrite(t *testing.T) {
	text, err := exchange(t, func(cn *net.TCPConn) func() {
		_, _ = io.WriteString(cn, "whole")
		_ = cn.CloseWrite()
		return func() { _ = cn.Close() }
	})
	require.NoError(t, err)
	require.Equal(t, "whole", text)
}

func TestResetAfterTheEndLeavesTheEnd(t *testing.T) {
	for range tries {
		text, err := exchange(t, func(cn *net.TCPConn) func() {
			_, _ = io.WriteString(cn, "whole")
			_ = cn.CloseWrite()
			reset(cn)
			return func() {}
		})
		require.NoError(t, err)
		require.Equal(t, "whole", text)
	}
}
