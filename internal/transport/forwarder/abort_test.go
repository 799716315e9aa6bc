package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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

// With its only connection kept for others, a request that was refused there could not be
// sent to the server again.
func TestRefusedRequestReplacesTheOnlyConnection(t *testing.T) {
	sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		wr.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer sv.Close()
	fw := forwarder.New(forwarder.WithLimit(func(string) int { return 1 }))
	defer fw.Close()
	for ix, id := range []string{"1", "1", "2"} {
		rs, err := fw.Send(t.Context(), forwarder.Request{
			ID: id, Address: sv.Listener.Addr().String(), Method: http.MethodGet, Path: "/",
			Reusable: func(*http.Response) bool { return true },
		})
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, rs.Body)
		require.NoError(t, err)
		require.EqualValues(t, []int{1, 2, 2}[ix], fw.Opened())
	}
}
