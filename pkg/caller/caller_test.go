package caller_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/pkg/caller"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

var errLost = errors.New("connection lost")

// network is an http.RoundTripper that answers as the entry nodes a, b and c.
// It uses no sockets, so that the clock of synctest applies.
type network struct {
	addressRequests int
	lifetime        time.Duration
	calls           []call
	// answer handles all requests but those for addresses; count starts at 1.
	answer func(count int, cl call, wr http.ResponseWriter) error
}

// call is a received request.
type call struct {
	host   string
	at     time.Time
	header http.Header
}

// RoundTrip implements http.RoundTripper.
func (nw *network) RoundTrip(rq *http.Request) (*http.Response, error) {
	wr := httptest.NewRecorder()
	if rq.URL.Path == "/v1/addresses" {
		nw.addressRequests++
		_, _ = fmt.Fprintf(wr, `{"addresses":["a","b","c"],"lifetime-ms":%d}`, nw.lifetime.Milliseconds())
		return wr.Result(), nil
	}
	cl := call{rq.URL.Host, time.Now(), rq.Header.Clone()}
	nw.calls = append(nw.calls, cl)
	if err := nw.answer(len(nw.calls), cl, wr); err != nil {
		return nil, err
	}
	return wr.Result(), nil
}

func (nw *network) client(seed uint64, opts ...caller.Option) *caller.Client {
	if nw.lifetime == 0 {
		nw.lifetime = time.Hour
	}
	opts = append([]caller.Option{
		caller.WithKey("secret"), caller.WithHTTPClient(&http.Client{Transport: nw}),
		caller.WithRandom(rand.New(rand.NewPCG(seed, 1))),
	}, opts...)
	return caller.New([]string{"http://seed"}, opts...)
}

func (nw *network) hosts() string {
	var hosts strings.Builder
	for _, cl := range nw.calls {
		hosts.WriteString(cl.host)
	}
	return hosts.String()
}

func refuse(wr http.ResponseWriter, rf *refuser.Refusal) error {
	wr.WriteHeader(rf.Status())
	_, _ = wr.Write(refuser.Encode(rf))
	return nil
}

func booking() caller.ServiceCall {
	return caller.ServiceCall{Service: "s", Method: http.MethodPost, Path: "/book", Key: "k"}
}

func TestAddressesAreCachedForTheirLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := &network{lifetime: 30 * time.Second, answer: func(int, call, http.ResponseWriter) error { return nil }}
		cl := nw.client(1)
		for range 3 {
			_, err := cl.CallService(t.Context(), booking())
			require.NoError(t, err)
			time.Sleep(9 * time.Second)
		}
		require.Equal(t, 1, nw.addressRequests)
		time.Sleep(4 * time.Second)
		_, err := cl.CallService(t.Context(), booking())
		require.NoError(t, err)
		require.Equal(t, 2, nw.addressRequests)
	})
}

// An entry VM fails, and all its callers reconnect (hazard 27).
func TestFailedNodeIsAvoidedAndReconnectsAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const clients, spread = 200, time.Second
		began := time.Now()
		early := 0
		for seed := range uint64(clients) {
			nw := &network{answer: func(_ int, cl call, _ http.ResponseWriter) error {
				if cl.host == "a" {
					return errLost
				}
				return nil
			}}
			cl := nw.client(seed, caller.WithSpread(spread))
			start := time.Now()
			for range 2 {
				_, err := cl.CallService(t.Context(), booking())
				require.NoError(t, err)
			}
			require.Equal(t, "abb", nw.hosts())
			waited := nw.calls[1].at.Sub(start)
			require.Less(t, waited, spread+50*time.Millisecond)
			if waited < spread/2 {
				early++
			}
		}
		require.InDelta(t, clients/2, early, clients/8, "spread evenly")
		require.Positive(t, time.Since(began))
	})
}

func TestRetriesOnlyRetryableFailures(t *testing.T) {
	keyed, plain, idempotent := booking(), booking(), booking()
	plain.Key, idempotent.Key, idempotent.Repeatable = "", "", true
	later := func(rn refuser.Reason) *refuser.Refusal { return refuser.New(rn, "").WithRetryAfter(time.Second) }
	dial := &net.OpError{Op: "dial", Err: errLost}
	for _, tc := range []struct {
		name                     string
		failure                  error
		keyed, plain, idempotent bool
	}{
		{"not run, later", later(refuser.QueueFull), true, true, true},
		{"not run, for good", refuser.New(refuser.Forbidden, ""), false, false, false},
		{"unknown, later", later(refuser.BackendFailed).WithOutcome(refuser.Unknown), true, false, true},
		{"unknown, for good", refuser.New(refuser.KeyUnresolved, "").WithOutcome(refuser.Unknown), false, false, false},
		{"never connected", dial, true, true, true},
		{"connection lost", errLost, true, false, true},
	} {
		for kind, sc := range map[string]caller.ServiceCall{"keyed": keyed, "plain": plain, "idempotent": idempotent} {
			synctest.Test(t, func(t *testing.T) {
				nw := &network{answer: func(count int, _ call, wr http.ResponseWriter) error {
					var rf *refuser.Refusal
					if count == 1 && errors.As(tc.failure, &rf) {
						return refuse(wr, rf)
					}
					if count == 1 {
						return tc.failure
					}
					return nil
				}}
				_, err := nw.client(1).CallService(t.Context(), sc)
				retried := map[string]bool{"keyed": tc.keyed, "plain": tc.plain, "idempotent": tc.idempotent}[kind]
				require.Equal(t, retried, err == nil, "%s, %s: %v", tc.name, kind, err)
				require.Equal(t, retried, nw.hosts() == "ab", "%s, %s", tc.name, kind)
			})
		}
	}
}

// The answer to the first attempt is lost. A later refusal covers only the
// later attempt, so the outcome of the request stays unknown (hazard 18).
func TestRefusalAfterUnresolvedAttemptHasUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := &network{answer: func(count int, _ call, wr http.ResponseWriter) error {
			switch count {
			case 1:
				return refuse(wr, refuser.New(refuser.QueueFull, "").WithRetryAfter(time.Second))
			case 2, 3:
				return errLost
			default:
				return refuse(wr, refuser.New(refuser.Forbidden, ""))
			}
		}}
		cl := nw.client(1)
		_, err := cl.CallService(t.Context(), booking())
		var rf *refuser.Refusal
		require.ErrorAs(t, err, &rf)
		require.Equal(t, refuser.Unknown, rf.Outcome())
		sc := booking()
		sc.Repeated = true
		_, err = cl.CallService(t.Context(), sc)
		require.ErrorAs(t, err, &rf)
		require.Equal(t, refuser.Unknown, rf.Outcome())
		var attempts []string
		for _, cl := range nw.calls {
			attempts = append(attempts, cl.header.Get("Lagoonpass-Attempt"))
		}
		require.Equal(t, []string{"", "", "2", "3", "2"}, attempts)
	})
}

func TestRequestsCarryHighestRevisionSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := &network{answer: func(count int, _ call, wr http.ResponseWriter) error {
			wr.Header().Set("Lagoonpass-Revision", []string{"7", "5", "9"}[count-1])
			return nil
		}}
		cl := nw.client(1)
		for range 3 {
			_, err := cl.CallService(t.Context(), booking())
			require.NoError(t, err)
		}
		require.Empty(t, nw.calls[0].header.Get("Lagoonpass-Revision"))
		require.Equal(t, "7", nw.calls[1].header.Get("Lagoonpass-Revision"))
		require.Equal(t, "7", nw.calls[2].header.Get("Lagoonpass-Revision"))
	})
}

// events writes the tokens in [from, to), and the end of the stream if
// complete.
func events(wr http.ResponseWriter, from, to int, complete bool) {
	wr.Header().Set("Lagoonpass-Request-Id", "R")
	for ix := from; ix < to; ix++ {
		_, _ = fmt.Fprintf(wr, "data: {\"token_index\":%d,\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", ix, ix)
	}
	if complete {
		_, _ = io.WriteString(wr, "data: {\"choices\":[{\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n")
	}
}

func readAll(sm *caller.Stream) (string, error) {
	var all strings.Builder
	for {
		text, err := sm.Next()
		if errors.Is(err, io.EOF) {
			return all.String(), nil
		}
		if err != nil {
			return all.String(), err
		}
		all.WriteString(text)
	}
}

// A connection closes cleanly before the end of its stream, or a resumed stream
// repeats or skips a token (hazard 19).
func TestStreamIsCompleteOrFails(t *testing.T) {
	for _, tc := range []struct {
		name, text, hosts string
		complete          bool
		answer            func(count int, cl call, wr http.ResponseWriter) error
	}{
		{"resumed at another node", "t0 t1 t2 ", "ab", true, func(count int, cl call, wr http.ResponseWriter) error {
			if count == 2 && (cl.header.Get("Lagoonpass-Resume-From") != "2" || cl.header.Get("Lagoonpass-Request-Id") != "R") {
				return errLost
			}
			events(wr, 2*(count-1), count+1, count == 2)
			return nil
		}},
		{"ends early each time", "t0 ", "abc", false, func(count int, _ call, wr http.ResponseWriter) error {
			events(wr, 0, min(1, 2-count), false)
			return nil
		}},
		{"skips a token", "t0 ", "ab", false, func(count int, _ call, wr http.ResponseWriter) error {
			events(wr, 2*(count-1), 2*count-1, count == 2)
			return nil
		}},
		{"repeats a token", "t0 ", "ab", false, func(_ int, _ call, wr http.ResponseWriter) error {
			events(wr, 0, 1, false)
			return nil
		}},
		{"refused for good", "t0 ", "a", false, func(_ int, _ call, wr http.ResponseWriter) error {
			events(wr, 0, 1, false)
			_, _ = fmt.Fprintf(wr, "event: error\ndata: %s\n\n", refuser.Encode(refuser.New(refuser.Removed, "")))
			return nil
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			nw := &network{answer: tc.answer}
			sm, err := nw.client(1).Stream(t.Context(), caller.Completion{Model: "m"})
			require.NoError(t, err, tc.name)
			text, err := readAll(sm)
			require.Equal(t, tc.complete, err == nil, "%s: %v", tc.name, err)
			require.Equal(t, tc.text, text, tc.name)
			require.Equal(t, tc.hosts, nw.hosts(), tc.name)
			require.NoError(t, sm.Close())
		})
	}
}

// serveExample starts a server that answers as one entry node.
func serveExample() *httptest.Server {
	mux := http.NewServeMux()
	web := httptest.NewServer(mux)
	mux.HandleFunc("GET /v1/addresses", func(wr http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(wr, `{"addresses":[%q],"lifetime-ms":30000}`, web.Listener.Addr().String())
	})
	mux.HandleFunc("POST /v1/chat/completions", func(wr http.ResponseWriter, _ *http.Request) { events(wr, 0, 3, true) })
	mux.HandleFunc("POST /services/dispatch/book", func(wr http.ResponseWriter, _ *http.Request) {
		_ = refuse(wr, refuser.New(refuser.RecordFull, "the record takes no new key"))
	})
	return web
}

func ExampleClient_Stream() {
	web := serveExample()
	defer web.Close()
	cl := caller.New([]string{web.URL}, caller.WithKey("secret"))
	sm, err := cl.Stream(context.Background(), caller.Completion{
		Model:    "route-summary",
		Messages: []caller.Message{{Role: "user", Content: "Which way to Sohar?"}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = sm.Close() }()
	text, err := readAll(sm)
	fmt.Println(text, sm.Tokens(), err)
	// Output: t0 t1 t2  3 <nil>
}

func ExampleClient_CallService() {
	web := serveExample()
	defer web.Close()
	cl := caller.New([]string{web.URL}, caller.WithKey("secret"))
	_, err := cl.CallService(context.Background(), caller.ServiceCall{
		Service: "dispatch", Method: http.MethodPost, Path: "/book", Key: caller.NewKey(),
	})
	var rf *refuser.Refusal
	if errors.As(err, &rf) {
		fmt.Println(rf.Reason(), rf.Outcome())
	}
	// Output: record-full not-run
}
