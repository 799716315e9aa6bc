package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
)

// scripted answers each request of each connection with the next text.
type scripted struct {
	ln      net.Listener
	answers chan string
	heads   chan string
}

func newScripted(t *testing.T, answers ...string) *scripted {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	sc := &scripted{ln: ln, answers: make(chan string, len(answers)), heads: make(chan string, 100)}
	for _, text := range answers {
		sc.answers <- text
	}
	go sc.accept()
	return sc
}

func (sc *scripted) accept() {
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

func (sc *scripted) send(t *testing.T, fw *forwarder.Forwarder, id string) (string, error) {
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

func answer(id, body, more string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, more, len(body), body)
}

func TestConnectionIsUsedAgain(t *testing.T) {
	sc := newScripted(t, answer("1", "one", ""), answer("2", "two", "Connection: close\r\n"), answer("3", "three", ""))
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

// TestStrayAnswerIsSkipped has a late answer to the first request come before
// the one to the second.
func TestStrayAnswerIsSkipped(t *testing.T) {
	sc := newScripted(t, answer("1", "one", ""), answer("1", "again", "")+answer("2", "two", ""))
	fw := forwarder.New()
	defer fw.Close()
	_, err := sc.send(t, fw, "1")
	require.NoError(t, err)
	body, err := sc.send(t, fw, "2")
	require.NoError(t, err)
	require.Equal(t, "two", body)
}

// TestForeignAnswerOfANewConnection is no answer.
func TestForeignAnswerOfANewConnection(t *testing.T) {
	sc := newScripted(t, answer("9", "foreign", ""))
	fw := forwarder.New()
	defer fw.Close()
	_, err := sc.send(t, fw, "1")
	require.Error(t, err)
	require.False(t, forwarder.NotSent(err))
}

// TestBytesNobodyAskedFor arrive while a connection is idle.
func TestBytesNobodyAskedFor(t *testing.T) {
	sc := newScripted(t, answer("1", "one", "")+"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nbad", answer("2", "two", ""))
	fw := forwarder.New()
	defer fw.Close()
	_, err := sc.send(t, fw, "1")
	require.NoError(t, err)
	body, err := sc.send(t, fw, "2")
	require.NoError(t, err)
	require.Equal(t, "two", body, "an answer that came before its request is none")
	require.Equal(t, int64(2), fw.Opened())
}

// TestConnectionThatItsServerClosed is not used, so that the request is not
// lost on it.
func TestConnectionThatItsServerClosed(t *testing.T) {
	sc := newScripted(t, answer("1", "one", "")+"|end", answer("2", "two", ""))
	fw := forwarder.New()
	defer fw.Close()
	_, err := sc.send(t, fw, "1")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		body, err := sc.send(t, fw, "2")
		return err == nil && body == "two"
	}, time.Second, time.Millisecond)
}

// TestShortIdleLimitIsKept gives a connection up before its server does.
func TestShortIdleLimitIsKept(t *testing.T) {
	sc := newScripted(t, answer("1", "one", "Keep-Alive: timeout=0\r\n"), answer("2", "two", ""))
	fw := forwarder.New()
	defer fw.Close()
	_, err := sc.send(t, fw, "1")
	require.NoError(t, err)
	_, err = sc.send(t, fw, "2")
	require.NoError(t, err)
	require.Equal(t, int64(2), fw.Opened())
}

// TestAnswerWithoutLength ends with its connection; one that is cut short does
// not look whole.
func TestAnswerWithoutLength(t *testing.T) {
	sc := newScripted(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nuntil the end|end", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 9\r\n\r\nshort|end")
	fw := forwarder.New()
	defer fw.Close()
	body, err := sc.send(t, fw, "1")
	require.NoError(t, err)
	require.Equal(t, "until the end", body)
	_, err = sc.send(t, fw, "2")
	require.Error(t, err)
}

func TestNobodyListens(t *testing.T) {
	_, err := forwarder.New().Send(t.Context(), forwarder.Request{Address: "127.0.0.1:1", Method: http.MethodGet, Path: "/"})
	require.True(t, forwarder.NotSent(err), "%v", err)
}
