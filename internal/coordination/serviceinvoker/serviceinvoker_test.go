package serviceinvoker_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/recorder"
	"github.com/lagoonpass/lagoonpass/internal/coordination/serviceinvoker"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/standin/service"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const keyPrefix = "019b7b00-0000-7000-8000-0000000000"

// fixture is an Invoker on real connections with a record in a memory store.
type fixture struct {
	store    *platform.Memory
	record   *recorder.Recorder
	invoker  *serviceinvoker.Invoker
	settings *configurer.Settings
	service  *configurer.Service
}

func newFixture(t *testing.T, honours string, addresses ...string) *fixture {
	checker.Reset()
	text := fmt.Sprintf("[service.orders]\naddresses = %s\nnon-repeatable = POST /book, POST /pay/*\nhonours-key = %s\ntimeout = 2s\n[records]\ninterval = 1ms\n", strings.Join(addresses, ", "), honours)
	st, faults := configurer.Parse([]configurer.File{{Name: "a.ini", Text: text}})
	require.Empty(t, faults)
	fx := &fixture{store: platform.NewMemory(), settings: st}
	fx.service, _ = st.Service("orders")
	view := prober.NewView("n1", []prober.Member{{ID: "n1", State: prober.Alive}})
	fx.record = recorder.New("n1", fx.store, func() *prober.View { return view }, nil, st.Records)
	fx.invoker = serviceinvoker.New(fx.record, forwarder.New(), forwarder.New())
	t.Cleanup(func() {
		fx.record.Close()
		require.Empty(t, checker.Violations())
	})
	return fx
}

func (fx *fixture) book(t *testing.T, key, body string) (*serviceinvoker.Answer, *refuser.Refusal) {
	return fx.invoker.Invoke(t.Context(), fx.settings, serviceinvoker.Call{
		Caller: "desk", Service: fx.service, Method: http.MethodPost, Path: "/book", Key: key, Body: []byte(body),
	})
}

func serve(t *testing.T, hd http.Handler) string {
	sv := httptest.NewServer(hd)
	t.Cleanup(sv.Close)
	return sv.Listener.Addr().String()
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// rawServer counts requests and answers those of each connection with given raw
// texts, in order. It then closes the connection.
type rawServer struct {
	address string
	arrived atomic.Int32
}

func newRawServer(t *testing.T, answers ...string) *rawServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	raw := &rawServer{address: ln.Addr().String()}
	go func() {
		for {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			go raw.serve(cn, answers)
		}
	}()
	return raw
}

func (raw *rawServer) serve(cn net.Conn, answers []string) {
	defer func() { _ = cn.Close() }()
	rd := bufio.NewReader(cn)
	for _, answer := range answers {
		rq, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, rq.Body)
		raw.arrived.Add(1)
		_, _ = io.WriteString(cn, answer)
	}
}

func TestRepeatedKeyReplaysAnswer(t *testing.T) {
	book := service.New()
	fx := newFixture(t, "no", serve(t, book.Handler()))
	first, rf := fx.book(t, keyPrefix+"01", "ice")
	require.Nil(t, rf)
	require.False(t, first.Replayed)
	again, rf := fx.book(t, keyPrefix+"01", "ice")
	require.Nil(t, rf)
	require.True(t, again.Replayed)
	require.Equal(t, first.Body, again.Body)
	require.Equal(t, 1, book.Runs("ice"))
}

// TestNonRepeatableCallIsNotRetriedAfterBrokenConnection breaks the connection
// after the service ran the call. The outcome is unknown, also when the caller
// sends the key again.
func TestNonRepeatableCallIsNotRetriedAfterBrokenConnection(t *testing.T) {
	book := service.New()
	fx := newFixture(t, "no", serve(t, book.Handler()))
	book.LoseAnswers(1)
	for range 2 {
		_, rf := fx.invoker.Invoke(withTimeout(t, time.Second), fx.settings, serviceinvoker.Call{
			Caller: "desk", Service: fx.service, Method: http.MethodPost, Path: "/book", Key: keyPrefix + "02", Body: []byte("ice"),
		})
		require.NotNil(t, rf)
		require.Equal(t, refuser.Unknown, rf.Outcome())
	}
	require.Equal(t, 1, book.Runs("ice"))
}

// TestKeyOfLostCallIsUnresolvedAtOnce breaks the connection after the service
// ran the call. The node lives but can never learn the outcome, so a second
// request with the key is refused at once as unresolved, not as in progress.
func TestKeyOfLostCallIsUnresolvedAtOnce(t *testing.T) {
	book := service.New()
	fx := newFixture(t, "no", serve(t, book.Handler()))
	book.LoseAnswers(1)
	_, rf := fx.book(t, keyPrefix+"07", "ice")
	require.Equal(t, refuser.BackendFailed, rf.Reason())
	require.NoError(t, fx.record.Flush(withTimeout(t, 5*time.Second)))
	_, rf = fx.book(t, keyPrefix+"07", "ice")
	require.Equal(t, refuser.KeyUnresolved, rf.Reason())
	require.Equal(t, refuser.Unknown, rf.Outcome())
	require.Equal(t, 1, book.Runs("ice"))
}

// withTimeout returns the context of a test with a timeout.
func withTimeout(t *testing.T, within time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), within)
	t.Cleanup(cancel)
	return ctx
}

func TestCallIsRetriedWhenServiceHonoursKeys(t *testing.T) {
	book := service.New(service.WithIdempotency())
	fx := newFixture(t, "yes", serve(t, book.Handler()))
	book.LoseAnswers(2)
	fx.store.SetDown(true)
	an, rf := fx.book(t, "order-17", "ice")
	require.Nil(t, rf, "the record is not needed")
	require.Equal(t, http.StatusOK, an.Status)
	require.Equal(t, 1, book.Runs("ice"))
}

func TestKeyStaysFreeWhenInstanceIsUnreachable(t *testing.T) {
	book := service.New()
	fx := newFixture(t, "no", closedAddress(t))
	_, rf := fx.book(t, keyPrefix+"03", "ice")
	require.Equal(t, refuser.BackendUnreachable, rf.Reason())
	require.Equal(t, refuser.NotRun, rf.Outcome())
	require.NoError(t, fx.record.Flush(t.Context()))
	fx.service = serviceAt(t, serve(t, book.Handler()))
	_, rf = fx.book(t, keyPrefix+"03", "ice")
	require.Nil(t, rf)
	require.Equal(t, 1, book.Runs("ice"))
}

// serviceAt returns a service with one address.
func serviceAt(t *testing.T, address string) *configurer.Service {
	text := "[service.orders]\naddresses = " + address + "\nnon-repeatable = POST /book\n"
	st, faults := configurer.Parse([]configurer.File{{Name: "a.ini", Text: text}})
	require.Empty(t, faults)
	sv, _ := st.Service("orders")
	return sv
}

func TestUnsentCallGoesToNextInstance(t *testing.T) {
	book := service.New()
	fx := newFixture(t, "no", closedAddress(t), serve(t, book.Handler()))
	for ix := range 4 {
		_, rf := fx.book(t, fmt.Sprintf("%s1%d", keyPrefix, ix), fmt.Sprint("ice", ix))
		require.Nil(t, rf)
	}
	require.Zero(t, book.Duplicates())
}

// TestSendIsNotRetriedWhenReusedConnectionCloses guards against hazard 17: a
// server closes a kept connection when the next request arrives, and the HTTP
// library sends the request again.
func TestSendIsNotRetriedWhenReusedConnectionCloses(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	raw := newRawServer(t, ok, "")
	fw := forwarder.New()
	send := func() error {
		hd := http.Header{"Idempotency-Key": {"k"}}
		rs, err := fw.Send(t.Context(), forwarder.Request{Address: raw.address, Method: http.MethodPost, Path: "/book", Header: hd, Body: []byte("ice")})
		if err != nil {
			return err
		}
		_, err = io.ReadAll(rs.Body)
		_ = rs.Body.Close()
		return err
	}
	require.NoError(t, send())
	err := send()
	require.Error(t, err)
	require.False(t, forwarder.NotSent(err))
	require.EqualValues(t, 2, raw.arrived.Load())
}

func TestTruncatedAnswerIsRefusedAsUnknown(t *testing.T) {
	answers := map[string]string{
		"short length":  "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart",
		"open chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"no length":     "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
		"broken header": "HTTP/1.1 200 OK\r\nContent-Le",
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			raw := newRawServer(t, answer)
			fx := newFixture(t, "no", raw.address)
			_, rf := fx.book(t, keyPrefix+"04", "ice")
			require.NotNil(t, rf)
			require.Equal(t, refuser.Unknown, rf.Outcome())
			require.EqualValues(t, 1, raw.arrived.Load())
		})
	}
}

func TestOnlyKeyedCallsFailDuringStoreOutage(t *testing.T) {
	book := service.New()
	fx := newFixture(t, "no", serve(t, book.Handler()))
	fx.store.SetDown(true)
	_, rf := fx.book(t, keyPrefix+"05", "ice")
	require.Equal(t, refuser.StoreUnavailable, rf.Reason())
	require.Equal(t, refuser.NotRun, rf.Outcome())
	require.Positive(t, rf.RetryAfter())
	_, rf = fx.book(t, "", "unkeyed")
	require.Nil(t, rf, "a call without a key needs no record")
	an, rf := fx.invoker.Invoke(t.Context(), fx.settings, serviceinvoker.Call{Service: fx.service, Method: http.MethodGet, Path: "/status"})
	require.Nil(t, rf)
	require.Equal(t, http.StatusOK, an.Status)
	require.Zero(t, book.Runs("ice"))
}

func TestRefusalOfRepeatedKeyIsNeverNotRun(t *testing.T) {
	fx := newFixture(t, "no", closedAddress(t))
	fx.store.SetDown(true)
	_, rf := fx.invoker.Invoke(t.Context(), fx.settings, serviceinvoker.Call{
		Caller: "desk", Service: fx.service, Method: http.MethodPost, Path: "/book", Key: keyPrefix + "06", KeyResent: true,
	})
	require.Equal(t, refuser.Unknown, rf.Outcome())
}

func TestKeyWithoutTimeIsRefused(t *testing.T) {
	fx := newFixture(t, "no", closedAddress(t))
	_, rf := fx.book(t, "order-17", "ice")
	require.Equal(t, refuser.KeyUntimed, rf.Reason())
}

// TestCallIsNotSentAfterItsDeadline guards against hazard 16: the process is
// paused beyond the deadline after the record granted the key.
func TestCallIsNotSentAfterItsDeadline(t *testing.T) {
	book := service.New()
	fx := newFixture(t, "no", serve(t, book.Handler()))
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	_, rf := fx.invoker.Invoke(ctx, fx.settings, serviceinvoker.Call{Service: fx.service, Method: http.MethodPost, Path: "/book", Body: []byte("ice")})
	require.Equal(t, refuser.DeadlinePassed, rf.Reason())
	require.Equal(t, refuser.NotRun, rf.Outcome())
	require.Zero(t, book.Runs("ice"))
}

func TestRepeatableMatchesNormalisedPaths(t *testing.T) {
	fx := newFixture(t, "no", closedAddress(t))
	for call, wanted := range map[string]bool{
		"POST /book": false, "POST /book?x=1": false, "POST /%62ook": false, "POST /a/../book": false, "POST /book/": false,
		"GET /book": true, "POST /status": true, "POST /pay/17": false, "GET /pay/17": true,
	} {
		method, path, _ := strings.Cut(call, " ")
		require.Equal(t, wanted, serviceinvoker.Repeatable(fx.service, method, path), call)
	}
}
