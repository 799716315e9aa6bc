package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/pkg/caller"
)

// newScriptedNode starts a node that answers service calls with what the script writes. It
// returns a client that sends each call once.
func newScriptedNode(t *testing.T, script func(cn *net.TCPConn)) *caller.Client {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = cn.Close() }()
				rq, err := http.ReadRequest(bufio.NewReader(cn))
				switch {
				case err != nil:
				case rq.URL.Path == "/v1/addresses":
					_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+`{"addresses":["`+ln.Addr().String()+`"],"lifetime-ms":60000}`)
				default:
					script(cn.(*net.TCPConn))
				}
			}()
		}
	}()
	return caller.New([]string{"http://" + ln.Addr().String()}, caller.WithAttempts(1), caller.WithSpread(0))
}

// A node that reset the connection during an upload had the part of its answer that had
// come returned as all of it.
func TestAnswerThatIsResetDuringTheUploadFails(t *testing.T) {
	cl := newScriptedNode(t, func(cn *net.TCPConn) {
		_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = cn.SetLinger(0)
	})
	const tries = 100
	upload, passed := []byte(strings.Repeat("u", 3<<20)), 0
	for range tries {
		if _, err := cl.CallService(t.Context(), caller.ServiceCall{Service: "s", Method: http.MethodPost, Path: "/x", Body: upload}); err == nil {
			passed++
		}
	}
	require.Zero(t, passed, "of %d answers", tries)
}

// A call whose answer had the status 000 ended as a success.
func TestAnswerWithoutAValidStatusFails(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		cl := newScriptedNode(t, func(cn *net.TCPConn) {
			_, _ = io.WriteString(cn, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 5\r\n\r\nwhole")
		})
		body, err := cl.CallService(t.Context(), caller.ServiceCall{Service: "s", Method: http.MethodPost, Path: "/x"})
		require.Error(t, err, "%s: %q", status, body)
	}
}

// A field whose name had a blank was not understood, so that the sizes of chunks, or what
// came after the body, were returned as a part of it.
func TestAnswerWithABlankInAFieldNameFails(t *testing.T) {
	for _, line := range []string{"Transfer-Encoding : chunked", "Content-Length : 5", "No te: x"} {
		cl := newScriptedNode(t, func(cn *net.TCPConn) {
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
		})
		body, err := cl.CallService(t.Context(), caller.ServiceCall{Service: "s", Method: http.MethodPost, Path: "/x"})
		require.Error(t, err, "%s: %q", line, body)
	}
}
