package dispatcher_test

import (
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// The error of the worker that was to go on with a stream stood in the middle of it, at
// times with its head, or the stream ended as if it were complete.
func TestErrorOfTheNextServerIsNoPartOfAStream(t *testing.T) {
	const (
		first    = "id: 1\ndata: x\n\n"
		second   = "id: 2\ndata: x\n\n"
		failure  = "HTTP/1.1 500 Internal Server Error\r\nId: 1\r\nSeal: s\r\nContent-Type: text/plain\r\n\r\noops\r\n\r\n"
		unframed = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"
	)
	chunked := func(text string) string {
		return fmt.Sprintf(streamHead, "1") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	}
	status := func(code int, header, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d Status\r\nId: 1\r\nSeal: s\r\n%sContent-Length: %d\r\n\r\n%s", code, header, len(body), body)
	}
	for name, ts := range map[string]struct {
		next string // all that the second server sends
		want string // what the caller gets
	}{
		"500":                                 {status(500, "", "oops"), first},
		"404":                                 {status(404, "", "oops"), first},
		"500 as events":                       {status(500, "Content-Type: text/event-stream\r\n", second), first},
		"503 that says nothing of its run":    {status(503, "", "oops"), first},
		"503 that was not run":                {status(503, "Not-Run: 1\r\n", "oops"), first},
		"a success that is no stream":         {status(200, "Content-Type: text/plain\r\n", "oops"), first},
		"an event without an id":              {chunked("data: oops\n\n"), first},
		"an event without an id after one":    {chunked(second + "event: error\ndata: oops\n\n"), first + second},
		"text that is no event":               {chunked("oops\n\n"), first},
		"another head in the body":            {unframed + second + failure, first + second},
		"another head in place of the body":   {unframed + failure, first},
		"an end without events or length":     {unframed, first},
		"a head that is cut off":              {"HTTP/1.1 200 OK\r\nId: 1\r\nSe", first},
		"an answer to another request":        {strings.ReplaceAll(chunked(second), "Id: 1", "Id: 7"), first},
		"a success of nobody":                 {strings.ReplaceAll(chunked(second), "Seal: s\r\n", ""), first},
		"a second head after a broken chunk":  {fmt.Sprintf(streamHead, "1") + "f\r\nid: 2\ndata: x\n" + failure, first},
		"an answer with the events once more": {status(200, "Content-Type: text/event-stream\r\n", first+"data: oops\n\n"), first},
	} {
		t.Run(name, func(t *testing.T) {
			attempts := 0
			rs := newRawServer(t, func(cn net.Conn, _ int, id string) {
				if attempts++; attempts == 1 {
					_, _ = fmt.Fprintf(cn, streamHead, id)
					chunk(cn, first)
				} else {
					_, _ = io.WriteString(cn, ts.next)
				}
				_ = cn.Close()
			})
			cl, wr := newClient(t, rs.address), httptest.NewRecorder()
			rf, begun := cl.proxy("resumable", "1", wr)
			require.Equal(t, ts.want, wr.Body.String())
			require.True(t, begun)
			require.NotNil(t, rf, "the stream is not complete")
			require.Equal(t, refuser.Unknown, rf.Outcome())
		})
	}
}
