package soaker

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// Headers of the callers' interface.
const (
	headerKey      = "Idempotency-Key"
	headerAttempt  = "Lagoonpass-Attempt"
	headerID       = "Lagoonpass-Request-Id"
	headerRevision = "Lagoonpass-Revision"
)

// request is a request of a caller.
type request struct {
	method  string
	path    string
	body    string
	key     string
	attempt int // number of this attempt; the header is sent from 2 on
}

// answer is the result of a request: an answer, a refusal or an error.
type answer struct {
	header  http.Header
	body    []byte
	refusal *refuser.Refusal
	err     error
}

func (an answer) id() string { return an.header.Get(headerID) }

// field returns a text field of a JSON answer, or "" if it has none.
func (an answer) field(name string) string {
	fields := map[string]any{}
	_ = json.Unmarshal(an.body, &fields)
	text, _ := fields[name].(string)
	return text
}

func completionFields(user, model string, tokens int, stream bool) map[string]any {
	return map[string]any{
		"model":      model,
		"user":       user,
		"max_tokens": tokens,
		"stream":     stream,
		"messages":   []map[string]string{{"role": "user", "content": "hello " + user}},
	}
}

func newCompletion(user, model string, tokens int, stream bool) request {
	body, _ := json.Marshal(completionFields(user, model, tokens, stream))
	return request{method: http.MethodPost, path: "/v1/chat/completions", body: string(body)}
}

// call sends a request once and returns the result. It checks that the answer's
// revision is no older than the newest one that callers had seen before.
func (cl *cluster) call(ctx context.Context, nd *node, timeout time.Duration, rq request) answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body := io.NopCloser(strings.NewReader(rq.body))
	out, err := http.NewRequestWithContext(ctx, rq.method, "http://"+nd.CallerAddress()+rq.path, body)
	if err != nil {
		return answer{err: err}
	}
	out.ContentLength = int64(len(rq.body))
	out.Header.Set("Authorization", "Bearer "+callerKey)
	out.Header.Set("Content-Type", "application/json")
	if rq.key != "" {
		out.Header.Set(headerKey, rq.key)
	}
	if rq.attempt > 1 {
		out.Header.Set(headerAttempt, strconv.Itoa(rq.attempt))
	}
	seen := cl.recordSeenRevision(0)
	out.Header.Set(headerRevision, strconv.FormatInt(seen, 10))
	an := cl.receive(out)
	cl.checkRevision(an, nd, seen)
	cl.count(an)
	return an
}

func (cl *cluster) receive(out *http.Request) answer {
	rs, err := cl.client.Do(out)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = rs.Body.Close() }()
	an := answer{header: rs.Header}
	an.body, an.err = io.ReadAll(rs.Body)
	if an.err == nil && rs.StatusCode >= http.StatusBadRequest {
		if an.refusal, an.err = refuser.Decode(an.body); an.err != nil {
			cl.report.addFinding(checker.NotRunCorrect, "status %d without a refusal: %q", rs.StatusCode, an.body)
		}
	}
	return an
}

func (cl *cluster) count(an answer) {
	switch {
	case an.err != nil:
		cl.report.count("call.lost")
	case an.refusal != nil:
		cl.report.count("refusal." + string(an.refusal.Reason()))
	default:
		cl.report.count("call.answered")
	}
}

// checkRevision checks that the revision of an answer is no older than seen. A
// refusal with the reason revision-behind may have an older one.
func (cl *cluster) checkRevision(an answer, nd *node, seen int64) {
	number, err := strconv.ParseInt(an.header.Get(headerRevision), 10, 64)
	if err != nil || an.err != nil {
		return
	}
	behind := an.refusal != nil && an.refusal.Reason() == refuser.RevisionBehind
	cl.report.expect(checker.RevisionMonotonic, number >= seen || behind, "%s answered under revision %d after %d", nd.id, number, seen)
	cl.recordSeenRevision(number)
}

// checkCompletion checks that the text of a complete answer has the tokens of
// the request with that id, and that the id belongs to the user.
func (cl *cluster) checkCompletion(user, id, text string, tokens int) {
	var whole strings.Builder
	for ix := range tokens {
		whole.WriteString(engine.Token(id, ix))
	}
	cl.report.count("answer.whole")
	cl.report.expect(checker.CompleteAnswer, text == whole.String(), "%s (%s) got %q", user, id, text)
	cl.report.expect(checker.OwnAnswer, cl.recordOwner(id, user), "%s got an answer with the id of another request", user)
}

// readStream returns the text of a stream, the versions of the weights that made it,
// and whether the stream ended as complete, with a finish reason and [DONE].
func readStream(body []byte) (tokens string, versions []string, complete bool) {
	var text strings.Builder
	finished := false
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text.String(), versions, finished
		}
		var wire struct {
			Fingerprint string `json:"system_fingerprint"`
			Choices     []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
				FinishReason string `json:"finish_reason"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &wire) != nil || len(wire.Choices) == 0 {
			continue
		}
		text.WriteString(wire.Choices[0].Delta.Content)
		if wire.Fingerprint != "" && !slices.Contains(versions, wire.Fingerprint) {
			versions = append(versions, wire.Fingerprint)
		}
		finished = finished || wire.Choices[0].FinishReason != ""
	}
	return text.String(), versions, false
}
