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
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxResumes bounds how often one stream is continued.
	maxResumes = 2
)

var (
	dataPrefix = []byte("data: ")
	doneData   = []byte("[DONE]")
)

// Stream is the answer to a streamed completion. It belongs to one goroutine.
type Stream struct {
	ctx      context.Context
	client   *Client
	request  message
	id       string
	base     string
	body     io.ReadCloser
	lines    *bufio.Scanner
	tokens   int
	resumes  int
	finished bool
}

func newStream(ctx context.Context, cl *Client, ms message, rs *http.Response, base string) *Stream {
	sm := &Stream{ctx: ctx, client: cl, request: ms, base: base, id: rs.Header.Get(headerRequestID)}
	sm.attach(rs)
	return sm
}

func (sm *Stream) attach(rs *http.Response) {
	sm.body = rs.Body
	sm.lines = bufio.NewScanner(rs.Body)
	sm.lines.Buffer(nil, maxEventBytes)
}

// Next returns the text of the next token. It returns io.EOF only if the answer
// is whole; any other error means that it is not. A stream that breaks off is
// continued from its last token, at another entry node if need be.
func (sm *Stream) Next() (string, error) {
	for {
		text, err := sm.read()
		if err == nil || errors.Is(err, io.EOF) {
			return text, err
		}
		if resumeErr := sm.resume(err); resumeErr != nil {
			return "", resumeErr
		}
	}
}

// read returns the text of the next event with any.
func (sm *Stream) read() (string, error) {
	for sm.lines.Scan() {
		data, found := bytes.CutPrefix(sm.lines.Bytes(), dataPrefix)
		if !found {
			continue
		}
		if bytes.Equal(data, doneData) {
			if !sm.finished {
				return "", errBrokenOff
			}
			return "", io.EOF
		}
		text, err := sm.event(data)
		if err != nil || text != "" {
			return text, err
		}
	}
	return "", errBrokenOff
}

func (sm *Stream) event(data []byte) (string, error) {
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
		TokenIndex *int `json:"token_index"`
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return "", errors.Wrap(err, "decode event")
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
		return "", errors.Wrapf(errMisnumbered, "token %d in place of %d", *wire.TokenIndex, sm.tokens)
	}
	sm.tokens++
	return text, nil
}

// resume continues the stream at another node if there is one, or returns the
// error that ends it.
func (sm *Stream) resume(cause error) error {
	wait, helps := sm.resumable(cause)
	if !helps || sm.resumes >= maxResumes || sm.id == "" || !waiter.Sleep(sm.ctx, wait) {
		return cause
	}
	sm.resumes++
	_ = sm.body.Close()
	next := sm.request
	next.header = resumeHeader(next.header, sm.id, sm.tokens)
	next.avoid = sm.base
	rs, base, err := sm.client.send(sm.ctx, next)
	if err != nil {
		return errors.Wrap(err, "resume stream")
	}
	sm.finished, sm.base = false, base
	sm.attach(rs)
	return nil
}

// resumable reports whether it helps to continue after the error, and when. A
// stream that broke off without a refusal has lost its node.
func (sm *Stream) resumable(cause error) (time.Duration, bool) {
	var rf *refuser.Refusal
	switch {
	case errors.As(cause, &rf):
		return rf.RetryAfter() + sm.client.upTo(rf.RetryAfter()/2), rf.RetryAfter() > 0
	case errors.Is(cause, errMisnumbered):
		return 0, false
	}
	if sm.ctx.Err() == nil {
		sm.client.markFailed(sm.base)
	}
	return sm.client.upTo(sm.client.spread), true
}

// Tokens returns the number of tokens read.
func (sm *Stream) Tokens() int { return sm.tokens }

// Close ends the stream.
func (sm *Stream) Close() error {
	if err := sm.body.Close(); err != nil {
		return errors.Wrap(err, "close stream")
	}
	return nil
}
