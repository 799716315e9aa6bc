package soaker

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// Headers of the interface for callers.
const (
	headerKey      = "Idempotency-Key"
	headerAttempt  = "Lagoonpass-Attempt"
	headerID       = "Lagoonpass-Request-Id"
	headerRevision = "Lagoonpass-Revision"
)

// request is one request of a caller.
type request struct {
	method  string
	path    string
	body    string
	key     string
	attempt int
}

// answer is what came back: an answer, a refusal or an error.
type answer struct {
	header  http.Header
	body    []byte
	refusal *refuser.Refusal
	err     error
}

func (an answer) id() string { return an.header.Get(headerID) }

// field returns a text of a JSON answer.
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

func completionCall(user, model string, tokens int, stream bool) request {
	body, _ := json.Marshal(completionFields(user, model, tokens, stream))
	return request{method: http.MethodPost, path: "/v1/chat/completions", body: string(body)}
}

// call sends a request once. Each answer is checked for the revision that the
// caller had seen before it asked.
func (wd *world) call(ctx context.Context, nd *node, within time.Duration, rq request) answer {
	ctx, cancel := context.WithTimeout(ctx, within)
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
	seen := wd.seenRevision(0)
	out.Header.Set(headerRevision, strconv.FormatInt(seen, 10))
	an := wd.receive(out)
	wd.checkRevision(an, nd, seen)
	wd.count(an)
	return an
}

func (wd *world) receive(out *http.Request) answer {
	rs, err := wd.client.Do(out)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = rs.Body.Close() }()
	an := answer{header: rs.Header}
	an.body, an.err = io.ReadAll(rs.Body)
	if an.err == nil && rs.StatusCode >= http.StatusBadRequest {
		if an.refusal, an.err = refuser.Decode(an.body); an.err != nil {
			wd.report.find(checker.NotRunCorrect, "status %d without a refusal: %q", rs.StatusCode, an.body)
		}
	}
	return an
}

func (wd *world) count(an answer) {
	switch {
	case an.err != nil:
		wd.report.count("call.lost")
	case an.refusal != nil:
		wd.report.count("refusal." + string(an.refusal.Reason()))
	default:
		wd.report.count("call.answered")
	}
}

// checkRevision checks that an answer was given under no older revision than
// the caller had seen.
func (wd *world) checkRevision(an answer, nd *node, seen int64) {
	number, err := strconv.ParseInt(an.header.Get(headerRevision), 10, 64)
	if err != nil || an.err != nil {
		return
	}
	behind := an.refusal != nil && an.refusal.Reason() == refuser.RevisionBehind
	wd.report.expect(checker.RevisionMonotonic, number >= seen || behind, "%s answered under revision %d after %d", nd.id, number, seen)
	wd.seenRevision(number)
}

// checkText checks a text that was passed off as whole.
func (wd *world) checkText(user, id, text string, tokens int) {
	var whole strings.Builder
	for ix := range tokens {
		whole.WriteString(engine.Token(id, ix))
	}
	wd.report.count("answer.whole")
	wd.report.expect(checker.CompleteAnswer, text == whole.String(), "%s (%s) got %q", user, id, text)
	wd.report.expect(checker.OwnAnswer, wd.owns(id, user), "%s got an answer with the id of another request", user)
}

// readStream returns the text of a stream and whether it is passed off as
// whole.
func readStream(body []byte) (string, bool) {
	var text strings.Builder
	finished := false
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text.String(), finished
		}
		var wire struct {
			Choices []struct {
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
		finished = finished || wire.Choices[0].FinishReason != ""
	}
	return text.String(), false
}
