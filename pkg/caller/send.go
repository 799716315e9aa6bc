package caller

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/waiter"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// Headers of the interface.
const (
	headerClass     = "Lagoonpass-Class"
	headerDeadline  = "Lagoonpass-Deadline"
	headerRevision  = "Lagoonpass-Revision"
	headerRequestID = "Lagoonpass-Request-Id"
	headerResume    = "Lagoonpass-Resume-From"
	headerKey       = "Idempotency-Key"
	headerAttempt   = "Lagoonpass-Attempt"
)

const (
	// maxAnswerBytes bounds an answer that is read as a whole.
	maxAnswerBytes = 64 << 20
	// firstBackoff and lastBackoff bound the wait before a retry.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 5 * time.Second
)

// errBrokenOff means that an answer ended early.
var errBrokenOff = errors.New("the answer broke off")

// errMisnumbered means that a token was repeated or skipped.
var errMisnumbered = errors.New("the answer repeats or skips a token")

// message is one HTTP request that may be sent several times.
type message struct {
	method string
	path   string
	header http.Header
	body   []byte
	// repeatable says that the request may be sent again although it can have
	// run: it is idempotent, or its key makes it run at most once.
	repeatable bool
	// doubts is how many sendings may have run, as far as is known.
	doubts int
	// avoid is the base URL of the node that failed before, or empty.
	avoid string
}

// send sends a message until it is answered or may not be sent again. It also
// returns the base URL of the node that answered.
func (cl *Client) send(ctx context.Context, ms message) (*http.Response, string, error) {
	var tried []string
	if ms.avoid != "" {
		tried = append(tried, ms.avoid)
	}
	for attempt := 1; ; attempt++ {
		base, err := cl.choose(ctx, tried)
		if err != nil {
			return nil, "", err
		}
		rs, err := cl.sendOnce(ctx, base, ms)
		if err == nil {
			return rs, base, nil
		}
		err = doubt(err, ms.doubts)
		if mayHaveRun(err) {
			ms.doubts++
		}
		tried = append(tried, base)
		if isNetwork(err) && ctx.Err() == nil {
			cl.markFailed(base)
		}
		wait, again := cl.again(err, ms, attempt)
		if !again || !waiter.Sleep(ctx, wait) {
			return nil, "", err
		}
	}
}

// mayHaveRun reports whether a request that failed so can have run.
func mayHaveRun(err error) bool {
	var rf *refuser.Refusal
	if errors.As(err, &rf) {
		return rf.Outcome() != refuser.NotRun
	}
	return !neverConnected(err)
}

// doubt takes back what a refusal vouches for if an earlier sending may have
// run. A key that belongs to another request never ran for this one.
func doubt(err error, doubts int) error {
	var rf *refuser.Refusal
	if doubts > 0 && errors.As(err, &rf) && rf.Reason() != refuser.KeyConflict {
		return rf.WithOutcome(refuser.Unknown)
	}
	return err
}

func (cl *Client) sendOnce(ctx context.Context, base string, ms message) (*http.Response, error) {
	// The body cannot be rewound, so that net/http never sends it again.
	rq, err := http.NewRequestWithContext(ctx, ms.method, base+ms.path, io.NopCloser(bytes.NewReader(ms.body)))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	rq.ContentLength = int64(len(ms.body))
	for name, values := range ms.header {
		rq.Header[name] = values
	}
	if ms.doubts > 0 {
		rq.Header.Set(headerAttempt, strconv.Itoa(ms.doubts+1))
	}
	cl.authorize(rq)
	rs, err := cl.http.Do(rq)
	if err != nil {
		return nil, &networkError{cause: err}
	}
	cl.noteRevision(rs.Header)
	if rs.StatusCode < http.StatusBadRequest {
		return rs, nil
	}
	defer func() { _ = rs.Body.Close() }()
	return nil, refusalOf(rs)
}

// authorize adds the key and the highest revision that was seen.
func (cl *Client) authorize(rq *http.Request) {
	rq.Header.Set("Authorization", "Bearer "+cl.key)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.revision > 0 {
		rq.Header.Set(headerRevision, strconv.FormatInt(cl.revision, 10))
	}
}

func (cl *Client) noteRevision(hd http.Header) {
	revision, err := strconv.ParseInt(hd.Get(headerRevision), 10, 64)
	if err != nil {
		return
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.revision = max(cl.revision, revision)
}

// again decides whether a failed message is sent once more, and after how long.
func (cl *Client) again(err error, ms message, attempt int) (time.Duration, bool) {
	if attempt >= cl.attempts {
		return 0, false
	}
	var rf *refuser.Refusal
	if errors.As(err, &rf) {
		helps := rf.RetryAfter() > 0
		safe := rf.Outcome() == refuser.NotRun || ms.repeatable
		return rf.RetryAfter() + cl.upTo(rf.RetryAfter()/2), helps && safe
	}
	if !isNetwork(err) {
		return 0, false
	}
	return cl.upTo(cl.spread) + cl.upTo(backoff(attempt)), ms.repeatable || neverConnected(err)
}

func backoff(attempt int) time.Duration {
	return min(firstBackoff<<min(attempt-1, 10), lastBackoff)
}

// networkError is a failure without an answer.
type networkError struct{ cause error }

// Error implements error.
func (ne *networkError) Error() string { return "call entry node: " + ne.cause.Error() }

// Unwrap returns the cause.
func (ne *networkError) Unwrap() error { return ne.cause }

func isNetwork(err error) bool {
	var ne *networkError
	return errors.As(err, &ne)
}

// neverConnected reports whether not even a connection was opened.
func neverConnected(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// refusalOf reads the refusal of an answer with an error status. A body that is
// none leaves the outcome unknown.
func refusalOf(rs *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(rs.Body, 1<<16))
	if err == nil {
		if rf, decodeErr := refuser.Decode(body); decodeErr == nil {
			return rf
		}
	}
	return refuser.New(refuser.Internal, "status %d without a refusal", rs.StatusCode).WithOutcome(refuser.Unknown)
}
