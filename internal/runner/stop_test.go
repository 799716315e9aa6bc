package runner_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
)

// longStream is a request whose answer ends only after the rig's gate is
// opened.
const longStream = `{"model":"m","stream":true,"max_tokens":40}`

func readLine(t *testing.T, rd *bufio.Reader) string {
	line, err := rd.ReadString('\n')
	require.NoError(t, err)
	return line
}

// A planned stop begins while a stream is open, and requests arrive on a
// kept-alive and on a new connection (hazard 22).
func TestPlannedStopBreaksNoRequests(t *testing.T) {
	rg := newRig(t, engine.WithTokenGap(0), engine.WithPrefill(0))
	stream := bufio.NewReader(rg.call(&http.Client{Transport: &http.Transport{}}, 0, "/v1/completions", longStream).Body)
	require.Contains(t, readLine(t, stream), "data: ")
	kept := &http.Client{Transport: &http.Transport{}}
	rs := rg.call(kept, 0, "/v1/models", "")
	_, _ = io.Copy(io.Discard, rs.Body)
	require.False(t, rs.Close)

	rg.stops[0]()
	require.Equal(t, 61500*time.Millisecond, <-rg.pauses, "the lifetime of an answer and the time until peers notice")
	rs = rg.call(kept, 0, "/v1/addresses", "")
	addresses, err := io.ReadAll(rs.Body)
	require.NoError(t, err)
	require.True(t, rs.Close, "the caller is told to use the connection no more")
	require.NotContains(t, string(addresses), rg.nodes[0].CallerAddress())
	require.Contains(t, string(addresses), rg.nodes[1].CallerAddress())
	rs = rg.call(&http.Client{Transport: &http.Transport{}}, 0, "/v1/completions", `{"model":"m","max_tokens":2}`)
	require.Equal(t, http.StatusOK, rs.StatusCode, "an older answer is still good")
	rg.requirePeerSeesLeaving()

	rg.endPause <- time.Time{}
	require.Eventually(t, func() bool {
		cn, err := net.Dial("tcp", rg.nodes[0].CallerAddress())
		if err == nil {
			_ = cn.Close()
		}
		return err != nil
	}, readyTimeout, pollInterval, "no new connection after the last answer has run out")
	rg.requirePeerSeesLeaving()
	rg.open()
	rest, err := io.ReadAll(stream)
	require.NoError(t, err)
	require.Contains(t, string(rest), "data: [DONE]")
	require.Equal(t, 39, strings.Count(string(rest), "token_index")-1)
	require.NoError(t, <-rg.ended[0])
	rg.ended[0] <- nil
	require.Empty(t, checker.Violations())
}

// requirePeerSeesLeaving requires that the node tells peers that it is leaving.
func (rg *rig) requirePeerSeesLeaving() {
	pool := messenger.NewPool()
	defer pool.Close()
	answer, err := pool.Call(rg.t.Context(), rg.nodes[0].PeerAddress(), &messenger.Ping{})
	require.NoError(rg.t, err)
	require.True(rg.t, answer.(*messenger.Pong).Sender.Leaving)
}

// The stop deliberately breaks off a request, which violates GracefulStop.
func TestStreamBreaksOffWhenDrainTimeoutPasses(t *testing.T) {
	rg := newRig(t, engine.WithTokenGap(0))
	stream := bufio.NewReader(rg.call(&http.Client{Transport: &http.Transport{}}, 0, "/v1/completions", longStream).Body)
	require.Contains(t, readLine(t, stream), "data: ")
	rg.stops[0]()
	rg.endPause <- time.Time{}
	<-rg.pauses
	require.Equal(t, 2*time.Minute, <-rg.pauses)
	rg.endPause <- time.Time{}
	_, err := io.Copy(io.Discard, stream)
	require.Error(t, err, "the caller sees that the stream is incomplete")
	require.NoError(t, <-rg.ended[0])
	rg.ended[0] <- nil
	require.Len(t, checker.Violations(), 1)
	require.Equal(t, checker.GracefulStop, checker.Violations()[0].Invariant)
}
