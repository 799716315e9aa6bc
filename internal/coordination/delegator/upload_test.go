package delegator_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/delegator"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// newPair returns a delegator whose only other node runs requests with the handler. They are
// connected over the loopback network.
func newPair(t *testing.T, hd http.Handler) *delegator.Delegator {
	members := func() []prober.Member { return nil }
	serves := func(int64, string) bool { return true }
	other := delegator.New(nil, "b", "z", members, serves)
	other.Serve(hd)
	server := messenger.NewServer(messenger.HandlerFunc(func(ctx context.Context, call messenger.Message) (messenger.Message, error) {
		return other.Handle(ctx, call), nil
	}))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(ln) }()
	calls := messenger.NewPool()
	uploads := messenger.NewPool()
	t.Cleanup(func() {
		calls.Close()
		uploads.Close()
		server.Close()
		_ = ln.Close()
	})
	return delegator.New(calls, "a", "z", func() []prober.Member {
		return []prober.Member{{ID: "b", PeerAddress: ln.Addr().String(), Zone: "z", State: prober.Alive}}
	}, serves, delegator.WithUploads(uploads))
}

// A body that did not fit into one message closed the connection to the other node, which
// broke off all requests that it ran for this one. The request itself passed for one that may
// have run.
func TestLongBodyIsDelegatedAndBreaksNothingOff(t *testing.T) {
	end := make(chan struct{})
	dg := newPair(t, http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if rq.Header.Get("Kind") == "stream" {
			_, _ = io.WriteString(wr, "first ")
			_ = http.NewResponseController(wr).Flush()
			select {
			case <-end:
			case <-rq.Context().Done():
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(wr, "last")
			return
		}
		body, _ := io.ReadAll(rq.Body)
		_, _ = fmt.Fprintf(wr, "%d %t", len(body), bytes.Equal(body, longBody(len(body))))
	}))
	open := func(kind string, body []byte) *http.Response {
		rs, err := dg.Open(t.Context(), delegator.Request{Method: http.MethodPost, Host: "h", Target: "/p", Header: http.Header{"Kind": {kind}}, Body: body})
		require.NoError(t, err)
		return rs
	}
	readAll := func(rs *http.Response) string {
		text, err := io.ReadAll(rs.Body)
		require.NoError(t, err)
		_ = rs.Body.Close()
		return string(text)
	}
	stream := open("stream", nil)
	for _, length := range []int{0, 1, 1 << 20, 15 << 18, 15<<18 + 1, 4 << 20, 4<<20 + 1, 5 << 20, 9_999_999} {
		require.Equal(t, strconv.Itoa(length)+" true", readAll(open("length", longBody(length))))
	}
	close(end)
	require.Equal(t, "first last", readAll(stream))
}

// longBody returns a body whose parts differ.
func longBody(length int) []byte {
	body := make([]byte, length)
	for ix := range body {
		body[ix] = byte(ix>>16 + ix)
	}
	return body
}

// A node held bodies of requests that never came, or more of them than its memory allows.
func TestBodiesInPartsAreBounded(t *testing.T) {
	const length = 5 << 20
	part := func(id uint64, offset int) *messenger.DelegatePart {
		return &messenger.DelegatePart{ID: id, Length: length, Offset: int64(offset), Data: make([]byte, 1<<20)}
	}
	last := func(id uint64, size int) *messenger.DelegateLast {
		return &messenger.DelegateLast{Delegate: messenger.Delegate{ID: id, Method: http.MethodPost, Host: "h", Target: "/p", Body: make([]byte, size)}}
	}
	var runs atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
		declined := func(call messenger.Message) bool {
			page, ok := fl.nodes["b"].Handle(t.Context(), call).(*messenger.DelegatePage)
			require.True(t, ok)
			return page.Declined
		}
		require.False(t, declined(part(200, 0)), "a sum with the greatest length overflows while a body is held")
		for _, invalid := range []int64{math.MinInt64, -1, 0, 1, 64<<20 + 1, math.MaxInt64} {
			require.True(t, declined(&messenger.DelegatePart{ID: 1, Length: invalid, Data: make([]byte, 1)}), "length %d", invalid)
		}
		require.False(t, declined(&messenger.DelegateCancel{ID: 200}))
		accepted := uint64(0)
		for !declined(part(accepted+1, 0)) {
			accepted++
		}
		require.EqualValues(t, 64<<20/length, accepted)
		time.Sleep(6 * time.Second)
		synctest.Wait()
		require.False(t, declined(part(100, 0)), "bodies without further parts are forgotten")
		require.True(t, declined(last(1, 4<<20)), "parts are missing")
		require.True(t, declined(part(100, 3<<20)), "a part is missing")
		require.True(t, declined(last(100, 4<<20)), "the body was given up")
		require.False(t, declined(part(101, 0)))
		require.True(t, declined(last(101, 1)), "the body is not complete")
		fl.serves["b"] = false
		require.True(t, declined(part(102, 0)), "the node serves no others")
		fl.serves["b"] = true
		require.Zero(t, runs.Load())
		for id := range uint64(100) {
			require.False(t, declined(part(1000+id, 0)))
			if id%2 == 0 {
				require.False(t, declined(last(1000+id, 4<<20)))
			} else {
				require.False(t, declined(&messenger.DelegateCancel{ID: 1000 + id}))
			}
		}
		require.EqualValues(t, 50, runs.Load())
		fl.nodes["b"].AwaitIdle(t.Context())
	})
}

// A request whose body was lost on its way passed for one that may have run.
func TestRequestWhoseBodyIsLostIsOfferedToAnotherNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		fl := newFleet(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs++ }))
		parts := 0
		fl.asked = func(address string) {
			if parts++; parts == 2 {
				fl.lose(address)
			}
		}
		status, _, err := fl.open(t.Context(), delegator.Request{Body: longBody(5 << 20)})
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, 1, runs)
	})
}
