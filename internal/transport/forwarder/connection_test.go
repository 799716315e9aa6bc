package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/protocol/headchecker"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
)

// scriptedServer answers each request with the next text. It closes the
// connection after a text that ends in "|end".
type scriptedServer struct {
	ln      net.Listener
	answers chan string
	heads   chan string
}

func newScriptedServer(t *testing.T, answers ...string) *scriptedServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	sc := &scriptedServer{ln: ln, answers: make(chan string, len(answers)), heads: make(chan string, 100)}
	for _, text := range answers {
		sc.answers <- text
	}
	go sc.accept()
	return sc
}

func (sc *scriptedServer) accept() {
	for {
		cn, err := sc.ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = cn.Close() }()
			rd := bufio.NewReader(cn)
			for {
				rq, err := http.ReadRequest(rd)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(rq.Body)
				sc.heads <- fmt.Sprintf("%s %s %s %d", rq.Method, rq.RequestURI, rq.Host, len(body))
				text := <-sc.answers
				_, _ = io.WriteString(cn, strings.TrimSuffix(text, "|end"))
				if strings.HasSuffix(text, "|end") {
					return
				}
			}
		}()
	}
}

func (sc *scriptedServer) send(t *testing.T, fw *forwarder.Forwarder, id string) (string, error) {
	t.Helper()
	rs, err := fw.Send(t.Context(), forwarder.Request{
		Address: sc.ln.Addr().String(), Host: "h.example", Method: http.MethodPost, Path: "/p?q=%2F", Body: []byte("body"),
		Owns: func(rs *http.Response) bool { return rs.Header.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(rs.Body)
	return string(body), err
}

func answerText(id, body, extraHeader string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, extraHeader, len(body), body)
}

func TestConnectionIsReusedUnlessServerClosesIt(t *testing.T) {
	sc := newScriptedServer(t, answerText("1", "one", ""), answerText("2", "two", "Connection: close\r\n"), answerText("3", "three", ""))
	fw := forwarder.New()
	defer fw.Close()
	for ix, want := range []string{"one", "two", "three"} {
		body, err := sc.send(t, fw, fmt.Sprint(ix+1))
		require.NoError(t, err)
		require.Equal(t, want, body)
	}
	require.Equal(t, int64(2), fw.Opened(), "the second answer ended its connection")
	require.Equal(t, "POST /p?q=%2F h.example 4", <-sc.heads)
}

// TestLateAnswerToEarlierRequestIsSkipped has a second answer to the first
// request arrive before the answer to the second request.
func TestLateAnswerToEarlierRequestIsSkipped(t *testing.T) {
	sc := newScriptedServer(t, answerText("1", "one", ""), answerText("1", "again", "")+answerText("2", "two", ""))
	fw := forwarder.New()
	defer fw.Close()
	_, err := sc.send(t, fw, "1")
	require.NoError(t, err)
	body, err := sc.send(t, fw, "2")
	require.NoError(t, err)
	require.Equal(t, "two", body)
}

// TestOtherRequestsAnswerOnNewConnectionFails guards against the delivery of an
// answer with another request's id.
func TestOtherRequestsAnswerOnNewConnectionFails(t *testing.T) {
	sc := newScriptedServer(t, answerText("9", "foreign", ""))
	fw := forwarder.New()
	defer fw.Close()
	_, err := sc.send(t, fw, "1")
	require.Error(t, err)
	require.False(t, forwarder.NotSent(err))
}

// TestConnectionWithUnsolicitedInputIsNotReused guards against taking bytes
// that arrived on an idle connection for the next answer.
func TestConnectionWithUnsolicitedInputIsNotReused(t *testing.T) {
	sc := newScriptedServer(t, answerText("1", "one", "")+"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nbad", answerText("2", "two", ""))
	fw := forwarder.New()
	defer fw.Close()
	_, err := sc.send(t, fw, "1")
	require.NoError(t, err)
	body, err := sc.send(t, fw, "2")
	require.NoError(t, err)
	require.Equal(t, "two", body, "an answer that came before its request is none")
	require.Equal(t, int64(2), fw.Opened())
}

// TestConnectionClosedByServerIsNotReused guards against the loss of a request
// on a connection that the server has closed.
func TestConnectionClosedByServerIsNotReused(t *testing.T) {
	sc := newScriptedServer(t, answerText("1", "one", "")+"|end", answerText("2", "two", ""))
	fw := forwarder.New()
	defer fw.Close()
	_, err := sc.send(t, fw, "1")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		body, err := sc.send(t, fw, "2")
		return err == nil && body == "two"
	}, time.Second, time.Millisecond)
}

// TestConnectionIsNotReusedAfterServersIdleTimeout has a server that sets an
// idle timeout of 0 s.
func TestConnectionIsNotReusedAfterServersIdleTimeout(t *testing.T) {
	sc := newScriptedServer(t, answerText("1", "one", "Keep-Alive: timeout=0\r\n"), answerText("2", "two", ""))
	fw := forwarder.New()
	defer fw.Close()
	_, err := sc.send(t, fw, "1")
	require.NoError(t, err)
	_, err = sc.send(t, fw, "2")
	require.NoError(t, err)
	require.Equal(t, int64(2), fw.Opened())
}

// TestAnswerEndsWithConnectionOnlyWithoutLength guards against taking a
// truncated answer for a complete one.
func TestAnswerEndsWithConnectionOnlyWithoutLength(t *testing.T) {
	sc := newScriptedServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nuntil the end|end", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 9\r\n\r\nshort|end")
	fw := forwarder.New()
	defer fw.Close()
	body, err := sc.send(t, fw, "1")
	require.NoError(t, err)
	require.Equal(t, "until the end", body)
	_, err = sc.send(t, fw, "2")
	require.Error(t, err)
}

func TestRefusedConnectionIsReportedAsNotSent(t *testing.T) {
	_, err := forwarder.New().Send(t.Context(), forwarder.Request{Address: "127.0.0.1:1", Method: http.MethodGet, Path: "/"})
	require.True(t, forwarder.NotSent(err), "%v", err)
}

// A head without end filled the memory of the node.
func TestHeadWithoutEndFails(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 200 OK\r\nId: 1\r\nLong: ", "HTTP/1.1 200 ", "HTTP/1.1 100 Continue\r\n\r\n"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		sent, ended := 0, make(chan struct{})
		go func() {
			defer close(ended)
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			defer func() { _ = cn.Close() }()
			for text := start; err == nil; {
				var count int
				count, err = io.WriteString(cn, text)
				sent += count
				if !strings.HasPrefix(start, "HTTP/1.1 100") {
					text = strings.Repeat("a", 1000)
				}
			}
		}()
		fw := forwarder.New()
		_, err = fw.Send(t.Context(), forwarder.Request{Address: ln.Addr().String(), Method: http.MethodGet, Path: "/"})
		require.Error(t, err, start)
		require.False(t, forwarder.NotSent(err))
		<-ended
		require.Less(t, sent, 32<<20, "the connection is closed")
		fw.Close()
		_ = ln.Close()
	}
}

func TestOnlyAddressWithoutListenerRefuses(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	fw := forwarder.New()
	defer fw.Close()
	require.False(t, fw.Refuses(t.Context(), ln.Addr().String()))
	require.NoError(t, ln.Close())
	require.True(t, fw.Refuses(t.Context(), ln.Addr().String()))
}

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

// A server that closed in the middle of its answer's head passed for one that had
// answered with an empty or short body.
func TestAnswerWhoseHeadIsCutOffFails(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n"
	for cut := range len(head) {
		sc := newScriptedServer(t, head[:cut]+"|end")
		fw := forwarder.New()
		_, err := sc.send(t, fw, "1")
		require.Error(t, err, "%q", head[:cut])
		require.False(t, forwarder.NotSent(err), "the request may have run")
		fw.Close()
	}
}

// The path to a server that answers with a malformed head passed for lost, as if the server
// was not reached.
func TestMalformedHeadShowsThatTheServerIsReached(t *testing.T) {
	malformed := "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n"
	sc := newScriptedServer(t, malformed, malformed)
	var results []error
	fw := forwarder.New(forwarder.WithOnConnect(func(_ string, err error) { results = append(results, err) }))
	defer fw.Close()
	_, err := sc.send(t, fw, "1")
	require.ErrorIs(t, err, headchecker.ErrMalformed)
	require.Equal(t, []error{nil}, results)
	require.NoError(t, fw.Ping(t.Context(), forwarder.Request{Address: sc.ln.Addr().String(), Method: http.MethodGet, Path: "/"}))
}

// The head of an answer that was skipped, or came before the answer, was read with less care
// than that of the answer.
func TestEachHeadIsChecked(t *testing.T) {
	for name, head := range map[string]string{
		"interim":          "HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\n",
		"interim, a line":  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n y: z\r\n\r\n",
		"another's":        strings.Replace(answerText("1", "again", ""), "Id: ", "Note : x\r\nId: ", 1),
		"another's status": strings.Replace(answerText("1", "again", ""), "200", "000", 1),
	} {
		sc := newScriptedServer(t, answerText("1", "one", ""), head+answerText("2", "two", ""))
		fw := forwarder.New()
		_, err := sc.send(t, fw, "1")
		require.NoError(t, err)
		body, err := sc.send(t, fw, "2")
		require.Error(t, err, "%s: %q", name, body)
		require.False(t, forwarder.NotSent(err), "the request may have run")
		fw.Close()
	}
}

// A line of the body that begins with a blank was read with the head.
func TestBlankInTheBodyIsNoneInTheHead(t *testing.T) {
	for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
		sc := newScriptedServer(t, interim+answerText("1", " body\r\n of lines", "Note: x y\r\n"))
		fw := forwarder.New()
		body, err := sc.send(t, fw, "1")
		require.NoError(t, err)
		require.Equal(t, " body\r\n of lines", body)
		fw.Close()
	}
}
