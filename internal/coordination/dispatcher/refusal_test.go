package dispatcher_test

import (
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A refusal that came twice on a connection refused the second attempt of the same
// request as not run while the server ran it, and the request ran at another one.
func TestSecondCopyOfARefusalDoesNotRefuseTheNextAttempt(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno"
	refused := false
	rs := newRawServer(t, func(cn net.Conn, number int, id string) {
		if number > 1 {
			_, _ = fmt.Fprintf(cn, refusal, id)
			time.Sleep(20 * time.Millisecond)
		}
		if !refused {
			refused = true
			_, _ = fmt.Fprintf(cn, refusal, id)
			return
		}
		_, _ = io.WriteString(cn, completion(id))
	})
	cl := newClient(t, rs.address)
	wr := httptest.NewRecorder()
	rf, _ := cl.proxy("safe", "1", wr)
	require.Nil(t, rf)
	require.Contains(t, wr.Body.String(), "finish_reason")
	require.Equal(t, []string{"1", "1"}, rs.arrived(), "one refused, one run")
}
