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

	"github.com/lagoonpass/lagoonpass/internal/protocol/headchecker"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// Headers of requests and answers.
const (
	headerClass     = "Lagoonpass-Class"
	headerDeadline  = "Lagoonpass-Deadline"
	headerRevision  = "Lagoonpass-Revision"
	headerRequestID = "Lagoonpass-Request-Id"
	headerResume    = "Lagoonpass-Resume-From"
	// headerFingerprint is the fingerprint of the tokens that the caller has.
	headerFingerprint = "Lagoonpass-Resume-Fingerprint"
	headerKey         = "Idempotency-Key"
	headerAttempt     = "Lagoonpass-Attempt"
)

const (
	// maxAnswerBytes limits an answer that is not streamed.
	maxAnswerBytes = 64 << 20
	// minBackoff and maxBackoff bound the exponential backoff before a retry.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// errIncomplete means that an answer ended before its last token.
var errIncomplete = errors.New("answer ended before it was complete")

// errTokenIndex means that a stream repeated or skipped a token.
var errTokenIndex = errors.New("answer repeats or skips a token")

// message is an HTTP request with the state of its attempts.
type message struct {
	method string
	path   string
	header http.Header
	body   []byte
	// retryable is set if the request may be retried although it may have run:
	// it is idempotent, or its key makes it run at most once.
	retryable bool
	// unresolved is the number of earlier attempts that may have run.
	unresolved int
	// avoid is the base URL of the node that failed earlier, or empty.
	avoid string
}

// send sends a message, with retries, until it is answered or may not be
// retried. It returns the answer and the base URL of the node that gave it.
func (cl *Client) send(ctx context.Context, ms message) (*http.Response, string, error) {
	var tried []string
	if ms.avoid != "" {
		tried = append(tried, ms.avoid)
	}
	for attempt := 1; ; attempt++ {
		base, err := cl.chooseAddress(ctx, tried)
		if err != nil {
			return nil, "", err
		}
		rs, err := cl.sendOnce(ctx, base, ms)
		if err == nil {
			return rs, base, nil
		}
		err = withUnresolved(err, ms.unresolved)
		if mayHaveRun(err) {
			ms.unresolved++
		}
		tried = append(tried, base)
		if isNetworkError(err) && ctx.Err() == nil {
			cl.markFailed(base)
		}
		wait, retry := cl.retry(err, ms, attempt)
		if !retry || !waiter.Sleep(ctx, wait) {
			return nil, "", err
		}
	}
}

// mayHaveRun reports whether a request that failed with err may have run.
func mayHaveRun(err error) bool {
	var rf *refuser.Refusal
	if errors.As(err, &rf) {
		return rf.Outcome() != refuser.NotRun
	}
	return !dialFailed(err)
}

// withUnresolved changes the outcome of a refusal to Unknown if earlier
// attempts may have run. It leaves KeyConflict alone: the key belongs to
// another request, so no attempt of this one ran.
func withUnresolved(err error, unresolved int) error {
	var rf *refuser.Refusal
	if unresolved > 0 && errors.As(err, &rf) && rf.Reason() != refuser.KeyConflict {
		return rf.WithOutcome(refuser.Unknown)
	}
	return err
}

func (cl *Client) sendOnce(ctx context.Context, base string, ms message) (*http.Response, error) {
	// NopCloser hides the type of the body, so that net/http can't rewind it
	// and never retries by itself.
	rq, err := http.NewRequestWithContext(ctx, ms.method, base+ms.path, io.NopCloser(bytes.NewReader(ms.body)))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	rq.ContentLength = int64(len(ms.body))
	for name, values := range ms.header {
		rq.Header[name] = values
	}
	if ms.unresolved > 0 {
		rq.Header.Set(headerAttempt, strconv.Itoa(ms.unresolved+1))
	}
	cl.authorize(rq)
	rs, err := cl.http.Do(rq)
	if err != nil {
		return nil, &networkError{cause: err}
	}
	if err := headchecker.Check(rs); err != nil {
		_ = rs.Body.Close()
		return nil, &networkError{cause: err}
	}
	cl.observeRevision(rs.Header)
	if rs.StatusCode < http.StatusBadRequest {
		return rs, nil
	}
	defer func() { _ = rs.Body.Close() }()
	return nil, readRefusal(rs)
}

// authorize sets the headers of the API key and of the highest revision seen.
func (cl *Client) authorize(rq *http.Request) {
	rq.Header.Set("Authorization", "Bearer "+cl.key)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.revision > 0 {
		rq.Header.Set(headerRevision, strconv.FormatInt(cl.revision, 10))
	}
}

func (cl *Client) observeRevision(hd http.Header) {
	revision, err := strconv.ParseInt(hd.Get(headerRevision), 10, 64)
	if err != nil {
		return
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.revision = max(cl.revision, revision)
}

// retry reports whether a failed message may be retried, and returns the time
// to wait before that.
func (cl *Client) retry(err error, ms message, attempt int) (time.Duration, bool) {
	if attempt >= cl.attemptLimit {
		return 0, false
	}
	var rf *refuser.Refusal
	if errors.As(err, &rf) {
		hasRetryAfter := rf.RetryAfter() > 0
		safe := rf.Outcome() == refuser.NotRun || ms.retryable
		return rf.RetryAfter() + cl.randomBelow(rf.RetryAfter()/2), hasRetryAfter && safe
	}
	if !isNetworkError(err) {
		return 0, false
	}
	return cl.randomBelow(cl.maxReconnectDelay) + cl.randomBelow(backoff(attempt)), ms.retryable || dialFailed(err)
}

func backoff(attempt int) time.Duration {
	return min(minBackoff<<min(attempt-1, 10), maxBackoff)
}

// networkError is the failure of an attempt that got no answer.
type networkError struct{ cause error }

// Error implements error.
func (ne *networkError) Error() string { return "call entry node: " + ne.cause.Error() }

// Unwrap returns the cause.
func (ne *networkError) Unwrap() error { return ne.cause }

func isNetworkError(err error) bool {
	var ne *networkError
	return errors.As(err, &ne)
}

// dialFailed reports whether the connection was never opened.
func dialFailed(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// readRefusal returns the refusal in the body of an answer with an error
// status. If the body is not a refusal, it returns Internal with an unknown
// outcome.
func readRefusal(rs *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(rs.Body, 1<<16))
	if err == nil {
		if rf, decodeErr := refuser.Decode(body); decodeErr == nil {
			return rf
		}
	}
	return refuser.New(refuser.Internal, "status %d without a refusal", rs.StatusCode).WithOutcome(refuser.Unknown)
}
