package dispatcher_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/delegator"
	"github.com/lagoonpass/lagoonpass/internal/coordination/dispatcher"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// fakeDelegate is the other nodes of a node that is cut off. Each answer is used once.
type fakeDelegate struct {
	answers []any // *http.Response or error
	opened  []delegator.Request
}

func (*fakeDelegate) CutOff(string) bool { return true }

func (*fakeDelegate) Misses(string) bool { return true }

func (fd *fakeDelegate) Open(_ context.Context, rq delegator.Request) (*http.Response, error) {
	if len(fd.opened) >= len(fd.answers) {
		return nil, delegator.ErrNoNode
	}
	fd.opened = append(fd.opened, rq)
	if err, ok := fd.answers[len(fd.opened)-1].(error); ok {
		return nil, err
	}
	return fd.answers[len(fd.opened)-1].(*http.Response), nil
}

// brokenBody is a body that breaks off.
type brokenBody struct{ io.Reader }

func (bb brokenBody) Read(buf []byte) (int, error) {
	count, err := bb.Reader.Read(buf)
	if err == io.EOF {
		err = delegator.ErrBroken
	}
	return count, err
}

func (brokenBody) Close() error { return nil }

func answerOf(status int, contentType, body string, broken bool) *http.Response {
	rs := &http.Response{StatusCode: status, Header: http.Header{"Content-Type": {contentType}, "Seal": {"s"}, "Id": {"id"}}, ContentLength: -1, TransferEncoding: []string{"chunked"}}
	rs.Body = io.NopCloser(strings.NewReader(body))
	if broken {
		rs.Body = brokenBody{strings.NewReader(body)}
	}
	return rs
}

// refusalOf returns the refusal of another node whose own path is lost.
func refusalOf(outcome refuser.Outcome) *http.Response {
	rf := refuser.New(refuser.PathLost, "the path to the servers is lost").WithOutcome(outcome).WithRetryAfter(time.Second)
	return answerOf(http.StatusServiceUnavailable, "application/json", string(refuser.Encode(rf)), false)
}

// A request of a node that is cut off ran twice, was refused though another node took
// it, or lost its place in a stream.
func TestCutOffNodeHasItsRequestsRunElsewhere(t *testing.T) {
	stream := func(body string, broken bool) *http.Response {
		return answerOf(http.StatusOK, "text/event-stream", body, broken)
	}
	large := strings.Repeat("large", 2<<20)
	sized := func(body string, broken bool) *http.Response {
		rs := answerOf(http.StatusOK, "text/plain", body, broken)
		rs.ContentLength, rs.TransferEncoding = int64(len(large)), nil
		return rs
	}
	for name, tc := range map[string]struct {
		route   string
		answers []any
		status  int // 0 for a refusal
		body    string
		outcome refuser.Outcome
		// opened are the last events that the other nodes were told, and direct the
		// number of requests that this node sent itself.
		opened []string
		direct int
	}{
		"an answer":                         {route: "once", answers: []any{answerOf(200, "text/plain", "whole", false)}, status: 200, body: "whole", opened: []string{""}},
		"a large answer":                    {route: "once", answers: []any{sized(large, false)}, status: 200, body: large, opened: []string{""}},
		"a large answer that breaks off":    {route: "safe", answers: []any{sized(large[:9<<20], true)}, status: 200, body: large[:9<<20], outcome: refuser.Unknown, opened: []string{""}},
		"a failure of a server":             {route: "safe", answers: []any{answerOf(500, "text/plain", "failed", false)}, status: 500, body: "failed", opened: []string{""}},
		"a refusal":                         {route: "safe", answers: []any{answerOf(503, "text/plain", "refused", false)}, status: 503, body: "refused", opened: []string{""}},
		"no node takes it":                  {route: "once", status: 200, body: "whole", direct: 1},
		"lost, may run once":                {route: "once", answers: []any{delegator.ErrBroken}, outcome: refuser.Unknown, opened: []string{""}},
		"lost, may be repeated":             {route: "safe", answers: []any{delegator.ErrBroken, answerOf(200, "text/plain", "whole", false)}, status: 200, body: "whole", opened: []string{"", ""}},
		"a stream":                          {route: "stream", answers: []any{stream("id: 1\ndata: x\n\nid: 2\ndata: x\n\n", false)}, status: 200, body: "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", opened: []string{""}},
		"a stream that goes on elsewhere":   {route: "resumable", answers: []any{stream("id: 1\ndata: x\n\nid: 2\nda", true), stream("id: 2\ndata: y\n\n", false)}, status: 200, body: "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", opened: []string{"", "1 id"}},
		"a stream that cannot go on":        {route: "stream", answers: []any{stream("id: 1\ndata: x\n\n", true)}, status: 200, body: "id: 1\ndata: x\n\n", outcome: refuser.Unknown, opened: []string{""}},
		"another node without a path":       {route: "once", answers: []any{refusalOf(refuser.NotRun), answerOf(200, "text/plain", "whole", false)}, status: 200, body: "whole", opened: []string{"", ""}},
		"it loses its path, may be run":     {route: "safe", answers: []any{refusalOf(refuser.Unknown), answerOf(200, "text/plain", "whole", false)}, status: 200, body: "whole", opened: []string{"", ""}},
		"it loses its path, may run once":   {route: "once", answers: []any{refusalOf(refuser.Unknown)}, outcome: refuser.Unknown, opened: []string{""}},
		"a stream's other node does so":     {route: "resumable", answers: []any{stream("id: 1\ndata: x\n\nid: 2\nda", true), refusalOf(refuser.NotRun), stream("id: 2\ndata: y\n\n", false)}, status: 200, body: "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", opened: []string{"", "1 id", "1 id"}},
		"a status that is none":             {route: "once", answers: []any{answerOf(0, "text/plain", "whole", false)}, outcome: refuser.Unknown, opened: []string{""}},
		"a status that is none, may be":     {route: "safe", answers: []any{answerOf(600, "text/plain", "failed", false), answerOf(200, "text/plain", "whole", false)}, status: 200, body: "whole", opened: []string{"", ""}},
		"an answer that breaks off, may be": {route: "once", answers: []any{answerOf(200, "text/plain", "ha", true)}, outcome: refuser.Unknown, opened: []string{""}},
	} {
		t.Run(name, func(t *testing.T) {
			fd := &fakeDelegate{answers: tc.answers}
			pr, _ := runProxyWith(t, tc.route, nil, []dispatcher.Option{dispatcher.WithDelegate(fd)}, whole)
			var opened []string
			for _, rq := range fd.opened {
				require.Equal(t, "c", rq.Caller, "the other node can't tell whose request it is")
				opened = append(opened, strings.TrimSpace(rq.Header.Get("After")+" "+rq.Header.Get("Resumes")))
			}
			require.Equal(t, tc.opened, opened)
			require.Len(t, pr.received(), tc.direct)
			require.Equal(t, tc.body, pr.Body.String())
			if tc.outcome != "" {
				require.Equal(t, tc.outcome, pr.refusal.Outcome())
				return
			}
			require.Nil(t, pr.refusal)
			require.Equal(t, tc.status, pr.Code)
		})
	}
}
