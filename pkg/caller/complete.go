package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Message is one message of a chat.
type Message struct {
	// Role is "system", "user" or "assistant".
	Role string
	// Content is the text.
	Content string
}

// Completion is a request for a completion.
type Completion struct {
	// Model is the name of a model or of an adapter.
	Model string
	// Messages are the messages of the chat, oldest first.
	Messages []Message
	// MaxTokens limits the answer, in tokens; 0 selects the system's default.
	MaxTokens int
	// Class is the priority class; empty selects the class set by WithClass, or
	// else the system's default for the caller.
	Class string
	// Deadline is the time, counted from the request, after which the answer is
	// of no use; 0 selects the deadline of the class.
	Deadline time.Duration
}

// Complete requests a completion and returns its whole text. It returns an
// error if the answer is incomplete.
func (cl *Client) Complete(ctx context.Context, cn Completion) (string, error) {
	ms, err := cl.completionMessage(cn, false)
	if err != nil {
		return "", err
	}
	rs, _, err := cl.send(ctx, ms)
	if err != nil {
		return "", err
	}
	defer func() { _ = rs.Body.Close() }()
	var wire struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(io.LimitReader(rs.Body, maxAnswerBytes)).Decode(&wire); err != nil {
		return "", errors.Wrap(err, "read completion")
	}
	if len(wire.Choices) == 0 || wire.Choices[0].FinishReason == "" {
		return "", errors.Wrap(errIncomplete, "read completion")
	}
	return wire.Choices[0].Message.Content, nil
}

// Stream requests a streamed completion. The caller must close the stream.
func (cl *Client) Stream(ctx context.Context, cn Completion) (*Stream, error) {
	ms, err := cl.completionMessage(cn, true)
	if err != nil {
		return nil, err
	}
	rs, base, err := cl.send(ctx, ms)
	if err != nil {
		return nil, err
	}
	return newStream(ctx, cl, ms, rs, base), nil
}

func (cl *Client) completionMessage(cn Completion, stream bool) (message, error) {
	messages := make([]map[string]string, 0, len(cn.Messages))
	for _, ms := range cn.Messages {
		messages = append(messages, map[string]string{"role": ms.Role, "content": ms.Content})
	}
	fields := map[string]any{"model": cn.Model, "messages": messages}
	if stream {
		fields["stream"] = true
	}
	if cn.MaxTokens > 0 {
		fields["max_tokens"] = cn.MaxTokens
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return message{}, errors.Wrap(err, "encode completion")
	}
	hd := http.Header{"Content-Type": {"application/json"}}
	cl.setClassHeaders(hd, cn.Class, cn.Deadline)
	return message{method: http.MethodPost, path: "/v1/chat/completions", header: hd, body: body, retryable: true}, nil
}

func (cl *Client) setClassHeaders(hd http.Header, class string, deadline time.Duration) {
	if class == "" {
		class = cl.class
	}
	if class != "" {
		hd.Set(headerClass, class)
	}
	if deadline > 0 {
		hd.Set(headerDeadline, deadline.String())
	}
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	// Service is the service's name.
	Service string
	// Method is the HTTP method.
	Method string
	// Path begins with a slash.
	Path string
	// Body is sent unchanged.
	Body []byte
	// ContentType is the media type of the body.
	ContentType string
	// Key is an idempotency key made by NewKey. The system runs all calls with
	// the same key at most once.
	Key string
	// Repeatable is set if the call may safely run more than once.
	Repeatable bool
	// Repeated is set if an earlier call with the same key ended with an
	// unknown outcome. The outcome of a refusal is then Unknown as well,
	// because the earlier call may have run.
	Repeated bool
}

// CallService calls a plain service and returns the body of its answer.
func (cl *Client) CallService(ctx context.Context, sc ServiceCall) ([]byte, error) {
	hd := http.Header{}
	if sc.ContentType != "" {
		hd.Set("Content-Type", sc.ContentType)
	}
	if sc.Key != "" {
		hd.Set(headerKey, sc.Key)
	}
	ms := message{
		method:    sc.Method,
		path:      "/services/" + sc.Service + sc.Path,
		header:    hd,
		body:      sc.Body,
		retryable: sc.Repeatable || sc.Key != "" || sc.Method == http.MethodGet,
	}
	if sc.Repeated {
		ms.unresolved = 1
	}
	rs, _, err := cl.send(ctx, ms)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrap(&networkError{cause: err}, "read answer")
	}
	return body, nil
}

// resumeHeader returns a copy of the headers that resumes the stream of the
// request after the given number of tokens, which have the fingerprint.
func resumeHeader(hd http.Header, requestID string, tokens int, fingerprint string) http.Header {
	next := hd.Clone()
	next.Set(headerRequestID, requestID)
	next.Set(headerResume, strconv.Itoa(tokens))
	if fingerprint != "" {
		next.Set(headerFingerprint, fingerprint)
	}
	return next
}
