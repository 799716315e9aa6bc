package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/waiter"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 1 << 20
	// maxResumes limits how often one stream is resumed.
	maxResumes = 2
)

var (
	dataPrefix = []byte("data: ")
	doneData   = []byte("[DONE]")
)

// Stream is the answer to a streamed completion. It is not safe for concurrent
// use.
type Stream struct {
	ctx      context.Context
	client   *Client
	request  message
	id       string // id of the request, or empty if the node named none
	base     string // base URL of the node that sends the stream
	body     io.ReadCloser
	lines    *bufio.Scanner
	tokens   int // tokens read
	resumes  int
	finished bool // set once an event had a finish reason
	// fingerprint is the system_fingerprint of the first event that had one.
	fingerprint string
}

func newStream(ctx context.Context, cl *Client, ms message, rs *http.Response, base string) *Stream {
	sm := &Stream{ctx: ctx, client: cl, request: ms, base: base, id: rs.Header.Get(headerRequestID)}
	sm.setResponse(rs)
	return sm
}

func (sm *Stream) setResponse(rs *http.Response) {
	sm.body = rs.Body
	sm.lines = bufio.NewScanner(rs.Body)
	sm.lines.Buffer(nil, maxEventBytes)
}

// Next returns the text of the next token. It returns io.EOF only at the end of
// a complete answer; any other error means that the answer is incomplete. If
// the connection is lost or a refusal permits a retry, Next resumes the stream
// after its last token, preferably at another entry node.
func (sm *Stream) Next() (string, error) {
	for {
		text, err := sm.nextText()
		if err == nil || errors.Is(err, io.EOF) {
			return text, err
		}
		if resumeErr := sm.resume(err); resumeErr != nil {
			return "", resumeErr
		}
	}
}

// nextText returns the text of the next event that has one.
func (sm *Stream) nextText() (string, error) {
	for sm.lines.Scan() {
		data, found := bytes.CutPrefix(sm.lines.Bytes(), dataPrefix)
		if !found {
			continue
		}
		if bytes.Equal(data, doneData) {
			if !sm.finished {
				return "", errIncomplete
			}
			return "", io.EOF
		}
		text, err := sm.parseEvent(data)
		if err != nil || text != "" {
			return text, err
		}
	}
	return "", errIncomplete
}

func (sm *Stream) parseEvent(data []byte) (string, error) {
	if rf, err := refuser.Decode(data); err == nil {
		return "", rf
	}
	var wire struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
		TokenIndex  *int   `json:"token_index"`
		Fingerprint string `json:"system_fingerprint"`
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return "", errors.Wrap(err, "decode event")
	}
	if sm.fingerprint == "" {
		sm.fingerprint = wire.Fingerprint
	}
	if len(wire.Choices) == 0 {
		return "", nil
	}
	if wire.Choices[0].FinishReason != "" {
		sm.finished = true
	}
	text := wire.Choices[0].Delta.Content
	if text == "" {
		return "", nil
	}
	if wire.TokenIndex != nil && *wire.TokenIndex != sm.tokens {
		return "", errors.Wrapf(errTokenIndex, "got token %d, want token %d", *wire.TokenIndex, sm.tokens)
	}
	sm.tokens++
	return text, nil
}

// resume resumes the stream, at another node if there is one. It returns cause
// if the stream may not be resumed, or the error of the new request.
func (sm *Stream) resume(cause error) error {
	wait, ok := sm.resumeDelay(cause)
	if !ok || sm.resumes >= maxResumes || sm.id == "" || !waiter.Sleep(sm.ctx, wait) {
		return cause
	}
	sm.resumes++
	_ = sm.body.Close()
	next := sm.request
	next.header = resumeHeader(next.header, sm.id, sm.tokens, sm.fingerprint)
	next.avoid = sm.base
	rs, base, err := sm.client.send(sm.ctx, next)
	if err != nil {
		return errors.Wrap(err, "resume stream")
	}
	sm.finished, sm.base = false, base
	sm.setResponse(rs)
	return nil
}

// resumeDelay returns how long to wait before the stream is resumed, and
// whether the error allows that. It marks the node as failed if the stream
// ended without a refusal.
func (sm *Stream) resumeDelay(cause error) (time.Duration, bool) {
	var rf *refuser.Refusal
	switch {
	case errors.As(cause, &rf):
		return rf.RetryAfter() + sm.client.randomBelow(rf.RetryAfter()/2), rf.RetryAfter() > 0
	case errors.Is(cause, errTokenIndex):
		return 0, false
	}
	if sm.ctx.Err() == nil {
		sm.client.markFailed(sm.base)
	}
	return sm.client.randomBelow(sm.client.maxReconnectDelay), true
}

// Tokens returns the number of tokens read so far.
func (sm *Stream) Tokens() int { return sm.tokens }

// Close closes the connection of the stream.
func (sm *Stream) Close() error {
	if err := sm.body.Close(); err != nil {
		return errors.Wrap(err, "close stream")
	}
	return nil
}
