package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
)

// closingServer answers the first request of a connection and closes the
// connection after the second request arrives.
type closingServer struct{ arrived int }

func (cs *closingServer) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		rd := bufio.NewReader(server)
		for ix := range 2 {
			rq, err := http.ReadRequest(rd)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, rq.Body)
			cs.arrived++
			if ix == 0 {
				_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	}()
	return client, nil
}

// TestRequestIsNotRetriedWhenReusedConnectionCloses covers hazard 17: a reused
// connection closes after a request, and no layer may retry the request by
// itself.
func TestRequestIsNotRetriedWhenReusedConnectionCloses(t *testing.T) {
	for name, rq := range map[string]forwarder.Request{
		"post with key":     {Method: http.MethodPost, Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("order")},
		"post without key":  {Method: http.MethodPost, Body: []byte("order")},
		"post with no body": {Method: http.MethodPost, Header: http.Header{"Idempotency-Key": {"k"}}},
		"get":               {Method: http.MethodGet},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cs := &closingServer{}
				fw := forwarder.New(forwarder.WithDial(cs.dial))
				defer fw.Close()
				rq.Address, rq.Path = "backend:80", "/"
				rs, err := fw.Send(t.Context(), rq)
				require.NoError(t, err)
				_, _ = io.Copy(io.Discard, rs.Body)
				_ = rs.Body.Close()
				synctest.Wait()
				_, err = fw.Send(t.Context(), rq)
				require.Error(t, err)
				require.False(t, forwarder.NotSent(err))
				require.Equal(t, 2, cs.arrived, "each request arrives once")
			})
		})
	}
}

// TestDropIdleClosesOnlyConnectionsToThatServer counts the dials to two
// servers, which show the connections that were closed.
func TestDropIdleClosesOnlyConnectionsToThatServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := map[string]int{}
		fw := forwarder.New(forwarder.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			dials[address]++
			return (&closingServer{}).dial(ctx, network, address)
		}))
		defer fw.Close()
		get := func(address string) {
			rs, err := fw.Send(t.Context(), forwarder.Request{Address: address, Method: http.MethodGet, Path: "/"})
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, rs.Body)
			_ = rs.Body.Close()
			synctest.Wait()
		}
		get("a:80")
		get("b:80")
		fw.DropIdle("a:80")
		get("a:80")
		get("b:80")
		require.Equal(t, map[string]int{"a:80": 2, "b:80": 1}, dials)
	})
}

// TestSendRefusesAtConnectionLimit sends more requests at once than the limit
// allows. The excess requests are not sent, and a connection that becomes idle
// carries the next request.
func TestSendRefusesAtConnectionLimit(t *testing.T) {
	hold := make(chan struct{})
	var open, maxOpen atomic.Int64
	web := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold }))
	web.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		switch st {
		case http.StateNew:
			maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
		case http.StateClosed:
			open.Add(-1)
		default:
		}
	}
	web.Start()
	defer web.Close()
	address := strings.TrimPrefix(web.URL, "http://")
	fw := forwarder.New(forwarder.WithLimit(func(string) int { return 3 }))
	defer fw.Close()
	send := func() error {
		rs, err := fw.Send(t.Context(), forwarder.Request{Address: address, Host: "h", Method: http.MethodGet, Path: "/"})
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, rs.Body)
		return errors.Join(err, rs.Body.Close())
	}
	results := make(chan error, 5)
	for range 5 {
		go func() { results <- send() }()
	}
	for range 2 {
		err := <-results
		require.ErrorIs(t, err, forwarder.ErrConnectionLimit)
		require.True(t, forwarder.NotSent(err))
	}
	close(hold)
	for range 3 {
		require.NoError(t, <-results)
	}
	require.NoError(t, send())
	require.LessOrEqual(t, maxOpen.Load(), int64(3))
	_, err := fw.Send(t.Context(), forwarder.Request{Address: "127.0.0.1:1", Host: "h", Method: http.MethodGet, Path: "/"})
	require.Error(t, err)
	for range 5 {
		_, err = fw.Send(t.Context(), forwarder.Request{Address: "127.0.0.1:1", Host: "h", Method: http.MethodGet, Path: "/"})
		require.NotErrorIs(t, err, forwarder.ErrConnectionLimit, "a connection that never opened counts for nothing")
	}
}

// Hung requests held all connections to a server, so that nothing could be learned of it,
// and did not tell that they got no byte.
func TestServerIsProbedWhileRequestsHoldAllConnections(t *testing.T) {
	hold := make(chan struct{})
	web := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == "/hang" {
			<-hold
		}
	}))
	defer web.Close()
	defer close(hold)
	address := strings.TrimPrefix(web.URL, "http://")
	silent := make(chan string, 2)
	fw := forwarder.New(forwarder.WithLimit(func(string) int { return 1 }), forwarder.WithProbeLimit(func(string) int { return 2 }),
		forwarder.WithOnSilence(func(address string) { silent <- address }))
	defer fw.Close()
	request := func(path string) forwarder.Request {
		return forwarder.Request{Address: address, Host: "h", Method: http.MethodGet, Path: path}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	ended := make(chan error, 1)
	began := make(chan struct{})
	go func() {
		rq := request("/hang")
		rq.Begin = func() bool { close(began); return true }
		_, err := fw.Send(ctx, rq)
		ended <- err
	}()
	<-began
	_, err := fw.Send(t.Context(), request("/"))
	require.ErrorIs(t, err, forwarder.ErrConnectionLimit)
	require.Equal(t, int64(1), fw.InUse(address))
	err = <-ended
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Equal(t, address, <-silent)
	require.True(t, fw.LastHeard(address).IsZero())
	go func() { _, _ = fw.Send(t.Context(), request("/hang")) }()
	for fw.InUse(address) == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		require.NoError(t, fw.Ping(t.Context(), request("/")), "a connection is left to probes, which keep none")
	}
	require.False(t, fw.LastHeard(address).IsZero())
	require.Empty(t, silent)
}
