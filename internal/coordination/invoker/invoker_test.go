package invoker_test

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
	"github.com/lagoonpass/lagoonpass/internal/coordination/invoker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/recorder"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/standin/service"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const keyPrefix = "019b7b00-0000-7000-8000-0000000000"

// bench is an invoker over real connections and a record in memory.
type bench struct {
	store    *platform.Memory
	record   *recorder.Recorder
	invoker  *invoker.Invoker
	settings *configurer.Settings
	service  *configurer.Service
}

func newBench(t *testing.T, honours string, addresses ...string) *bench {
	checker.Reset()
	text := fmt.Sprintf("[service.orders]\naddresses = %s\nnon-repeatable = POST /book, POST /pay/*\nhonours-key = %s\ntimeout = 2s\n[records]\ninterval = 1ms\n", strings.Join(addresses, ", "), honours)
	st, faults := configurer.Parse([]configurer.File{{Name: "a.ini", Text: text}})
	require.Empty(t, faults)
	bn := &bench{store: platform.NewMemory(), settings: st}
	bn.service, _ = st.Service("orders")
	view := prober.NewView("n1", []prober.Member{{ID: "n1", State: prober.Alive}})
	bn.record = recorder.New("n1", bn.store, func() *prober.View { return view }, nil, st.Records)
	bn.invoker = invoker.New(bn.record, forwarder.New(), forwarder.New())
	t.Cleanup(func() {
		bn.record.Close()
		require.Empty(t, checker.Violations())
	})
	return bn
}

func (bn *bench) book(t *testing.T, key, body string) (*invoker.Answer, *refuser.Refusal) {
	return bn.invoker.Invoke(t.Context(), bn.settings, invoker.Call{
		Caller: "desk", Service: bn.service, Method: http.MethodPost, Path: "/book", Key: key, Body: []byte(body),
	})
}

func serve(t *testing.T, hd http.Handler) string {
	sv := httptest.NewServer(hd)
	t.Cleanup(sv.Close)
	return sv.Listener.Addr().String()
}

// closedAddress is an address on which nothing listens.
func closedAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// breaker counts the requests that arrive and answers each with raw text.
type breaker struct {
	address string
	arrived atomic.Int32
}

func newBreaker(t *testing.T, answers ...string) *breaker {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	br := &breaker{address: ln.Addr().String()}
	go func() {
		for {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			go br.serve(cn, answers)
		}
	}()
	return br
}

func (br *breaker) serve(cn net.Conn, answers []string) {
	defer func() { _ = cn.Close() }()
	rd := bufio.NewReader(cn)
	for _, answer := range answers {
		rq, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, rq.Body)
		br.arrived.Add(1)
		_, _ = io.WriteString(cn, answer)
	}
}

func TestRepeatedKeyGetsTheSameAnswer(t *testing.T) {
	book := service.New()
	bn := newBench(t, "no", serve(t, book.Handler()))
	first, rf := bn.book(t, keyPrefix+"01", "ice")
	require.Nil(t, rf)
	require.False(t, first.Replayed)
	again, rf := bn.book(t, keyPrefix+"01", "ice")
	require.Nil(t, rf)
	require.True(t, again.Replayed)
	require.Equal(t, first.Body, again.Body)
	require.Equal(t, 1, book.Runs("ice"))
}

// The connection breaks after the booking ran: unknown, now and later.
func TestBrokenNonRepeatableCallIsUnknownAndNotRepeated(t *testing.T) {
	book := service.New()
	bn := newBench(t, "no", serve(t, book.Handler()))
	book.LoseAnswers(1)
	for range 2 {
		_, rf := bn.invoker.Invoke(contextOf(t, time.Second), bn.settings, invoker.Call{
			Caller: "desk", Service: bn.service, Method: http.MethodPost, Path: "/book", Key: keyPrefix + "02", Body: []byte("ice"),
		})
		require.NotNil(t, rf)
		require.Equal(t, refuser.Unknown, rf.Outcome())
	}
	require.Equal(t, 1, book.Runs("ice"))
}

// TestKeyOfALostCallIsNotInProgress breaks the connection after the booking ran:
// the node lives, but knows that it will never learn more. Whoever asks again is
// told so at once and not to ask on.
func TestKeyOfALostCallIsNotInProgress(t *testing.T) {
	book := service.New()
	bn := newBench(t, "no", serve(t, book.Handler()))
	book.LoseAnswers(1)
	_, rf := bn.book(t, keyPrefix+"07", "ice")
	require.Equal(t, refuser.BackendFailed, rf.Reason())
	require.NoError(t, bn.record.Flush(contextOf(t, 5*time.Second)))
	_, rf = bn.book(t, keyPrefix+"07", "ice")
	require.Equal(t, refuser.KeyUnresolved, rf.Reason())
	require.Equal(t, refuser.Unknown, rf.Outcome())
	require.Equal(t, 1, book.Runs("ice"))
}

func contextOf(t *testing.T, within time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), within)
	t.Cleanup(cancel)
	return ctx
}

func TestServiceThatHonoursKeysIsRepeatedAndBooksOnce(t *testing.T) {
	book := service.New(service.WithHonoursKey())
	bn := newBench(t, "yes", serve(t, book.Handler()))
	book.LoseAnswers(2)
	bn.store.SetDown(true)
	an, rf := bn.book(t, "order-17", "ice")
	require.Nil(t, rf, "the record is not needed")
	require.Equal(t, http.StatusOK, an.Status)
	require.Equal(t, 1, book.Runs("ice"))
}

func TestUnreachableInstanceLeavesTheKeyFree(t *testing.T) {
	book := service.New()
	bn := newBench(t, "no", closedAddress(t))
	_, rf := bn.book(t, keyPrefix+"03", "ice")
	require.Equal(t, refuser.BackendUnreachable, rf.Reason())
	require.Equal(t, refuser.NotRun, rf.Outcome())
	require.NoError(t, bn.record.Flush(t.Context()))
	bn.service = serviceAt(t, serve(t, book.Handler()))
	_, rf = bn.book(t, keyPrefix+"03", "ice")
	require.Nil(t, rf)
	require.Equal(t, 1, book.Runs("ice"))
}

func serviceAt(t *testing.T, address string) *configurer.Service {
	text := "[service.orders]\naddresses = " + address + "\nnon-repeatable = POST /book\n"
	st, faults := configurer.Parse([]configurer.File{{Name: "a.ini", Text: text}})
	require.Empty(t, faults)
	sv, _ := st.Service("orders")
	return sv
}

func TestNothingSentGoesToTheNextInstance(t *testing.T) {
	book := service.New()
	bn := newBench(t, "no", closedAddress(t), serve(t, book.Handler()))
	for ix := range 4 {
		_, rf := bn.book(t, fmt.Sprintf("%s1%d", keyPrefix, ix), fmt.Sprint("ice", ix))
		require.Nil(t, rf)
	}
	require.Zero(t, book.Doubles())
}

// Hazard 17: a server closes a kept connection as the next request arrives.
func TestReusedConnectionThatClosesIsNotRepeatedByTheLibrary(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	br := newBreaker(t, ok, "")
	fw := forwarder.New()
	send := func() error {
		hd := http.Header{"Idempotency-Key": {"k"}}
		rs, err := fw.Send(t.Context(), forwarder.Request{Address: br.address, Method: http.MethodPost, Path: "/book", Header: hd, Body: []byte("ice")})
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
	require.EqualValues(t, 2, br.arrived.Load())
}

func TestAnswerThatBreaksOffIsNotWhole(t *testing.T) {
	answers := map[string]string{
		"short length":  "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart",
		"open chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"no length":     "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
		"broken header": "HTTP/1.1 200 OK\r\nContent-Le",
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			br := newBreaker(t, answer)
			bn := newBench(t, "no", br.address)
			_, rf := bn.book(t, keyPrefix+"04", "ice")
			require.NotNil(t, rf)
			require.Equal(t, refuser.Unknown, rf.Outcome())
			require.EqualValues(t, 1, br.arrived.Load())
		})
	}
}

func TestOutcomesWhileTheStoreIsDown(t *testing.T) {
	book := service.New()
	bn := newBench(t, "no", serve(t, book.Handler()))
	bn.store.SetDown(true)
	_, rf := bn.book(t, keyPrefix+"05", "ice")
	require.Equal(t, refuser.StoreUnavailable, rf.Reason())
	require.Equal(t, refuser.NotRun, rf.Outcome())
	require.Positive(t, rf.RetryAfter())
	_, rf = bn.book(t, "", "unkeyed")
	require.Nil(t, rf, "a call without a key needs no record")
	an, rf := bn.invoker.Invoke(t.Context(), bn.settings, invoker.Call{Service: bn.service, Method: http.MethodGet, Path: "/status"})
	require.Nil(t, rf)
	require.Equal(t, http.StatusOK, an.Status)
	require.Zero(t, book.Runs("ice"))
}

func TestRepeatedAttemptIsNeverToldNotRun(t *testing.T) {
	bn := newBench(t, "no", closedAddress(t))
	bn.store.SetDown(true)
	_, rf := bn.invoker.Invoke(t.Context(), bn.settings, invoker.Call{
		Caller: "desk", Service: bn.service, Method: http.MethodPost, Path: "/book", Key: keyPrefix + "06", Repeated: true,
	})
	require.Equal(t, refuser.Unknown, rf.Outcome())
}

func TestUntimedKeyIsRefused(t *testing.T) {
	bn := newBench(t, "no", closedAddress(t))
	_, rf := bn.book(t, "order-17", "ice")
	require.Equal(t, refuser.KeyUntimed, rf.Reason())
}

// Hazard 16: the process was paused beyond the deadline after the grant.
func TestDeadlinePassedBeforeSendingSendsNothing(t *testing.T) {
	book := service.New()
	bn := newBench(t, "no", serve(t, book.Handler()))
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	_, rf := bn.invoker.Invoke(ctx, bn.settings, invoker.Call{Service: bn.service, Method: http.MethodPost, Path: "/book", Body: []byte("ice")})
	require.Equal(t, refuser.DeadlinePassed, rf.Reason())
	require.Equal(t, refuser.NotRun, rf.Outcome())
	require.Zero(t, book.Runs("ice"))
}

func TestRepeatablePatterns(t *testing.T) {
	bn := newBench(t, "no", closedAddress(t))
	for call, wanted := range map[string]bool{
		"POST /book": false, "POST /book?x=1": false, "POST /%62ook": false, "POST /a/../book": false, "POST /book/": false,
		"GET /book": true, "POST /status": true, "POST /pay/17": false, "GET /pay/17": true,
	} {
		method, path, _ := strings.Cut(call, " ")
		require.Equal(t, wanted, invoker.Repeatable(bn.service, method, path), call)
	}
}
