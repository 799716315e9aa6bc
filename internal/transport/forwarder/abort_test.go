package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
)

// The kernel delivered the rest of a request that had been given up, on a path that hung
// and came back, and the server ran it later than the repeat at another server.
func TestRequestThatWasGivenUpIsNotDeliveredLater(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	fw := forwarder.New()
	defer fw.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	// More than the kernel holds for a connection whose other end reads nothing.
	body := make([]byte, 16<<20)
	_, err = fw.Send(ctx, forwarder.Request{Address: ln.Addr().String(), Method: http.MethodPost, Path: "/", Body: body})
	require.Error(t, err)
	require.False(t, forwarder.NotSent(err))
	cn, err := ln.Accept()
	require.NoError(t, err)
	defer func() { _ = cn.Close() }()
	require.NoError(t, cn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.Copy(io.Discard, cn)
	require.ErrorContains(t, err, "reset")
}
