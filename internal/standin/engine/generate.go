package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/protocol/prefixer"
)

// defaultMaxTokens is the length of an answer if the request sets none.
const defaultMaxTokens = 16

// completionCall holds the fields of a completions request that the engine uses.
type completionCall struct {
	Model     string             `json:"model"`
	Prompt    json.RawMessage    `json:"prompt"`
	Messages  []prefixer.Message `json:"messages"`
	MaxTokens int                `json:"max_tokens"`
	Stream    bool               `json:"stream"`
	Priority  int                `json:"priority"`
	User      string             `json:"user"`
}

// Token returns the text of token ix, from zero, of the answer to a request. Tests
// use it to check that an answer is complete and belongs to its request.
func Token(requestID string, ix int) string {
	return fmt.Sprintf("%s.%d ", requestID, ix)
}

func (eg *Engine) serveCompletion(wr http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	var call completionCall
	if err := json.Unmarshal(body, &call); err != nil {
		refuse(wr, http.StatusBadRequest, "malformed")
		return
	}
	if call.MaxTokens <= 0 {
		call.MaxTokens = defaultMaxTokens
	}
	if !eg.serves(call.Model) {
		refuse(wr, http.StatusNotFound, "model-not-loaded")
		return
	}
	if priority, err := strconv.Atoi(rq.Header.Get(headerPriority)); err == nil {
		call.Priority = priority
	}
	if err := eg.queue.acquire(rq.Context(), call.Priority); err != nil {
		return
	}
	defer eg.queue.release()
	gn := &generation{Engine: eg, call: call, version: eg.servedVersion(call.Model), id: rq.Header.Get("X-Request-Id"), fault: eg.nextFault()}
	gn.from, _ = strconv.Atoi(rq.Header.Get(headerResumeFrom))
	if gn.fault.Kind == FaultRefuse {
		refuse(wr, http.StatusServiceUnavailable, "overloaded")
		return
	}
	eg.countRun(gn.id)
	if gn.fault.Kind == FaultRunAndRefuse {
		refuse(wr, http.StatusServiceUnavailable, "overloaded")
		return
	}
	eg.crashIfMarked(string(body))
	if !eg.imports(rq) && !eg.pause(rq, eg.prefillTime(&call)) {
		return
	}
	if call.Stream {
		gn.stream(wr, rq)
		return
	}
	gn.answer(wr, rq)
}

// headerPriority carries the request's priority; zero is the most urgent.
const headerPriority = "X-Priority"

// headerResumeFrom carries the number of tokens of a stream that the receiver
// already has.
const headerResumeFrom = "Lagoonpass-Resume-From"

// generation is an answer in progress.
type generation struct {
	*Engine
	call completionCall
	// version is that of the weights, or empty for an adapter.
	version string
	id      string // request id
	from    int    // index of the first token to send
	fault   Fault
}

func (gn *generation) stream(wr http.ResponseWriter, rq *http.Request) {
	wr.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(wr)
	for ix := gn.from; ix < gn.call.MaxTokens; ix++ {
		if ix > gn.from && !gn.pause(rq, gn.tokenGap) {
			return
		}
		if !gn.fault.apply(rq, ix) {
			return
		}
		gn.sendToken(wr, ix)
		_ = flush.Flush()
	}
	if !gn.fault.apply(rq, gn.call.MaxTokens) {
		return
	}
	if gn.fault.Kind != FaultUnfinished {
		writeEvent(wr, gn.chunk(gn.call.MaxTokens, "", "length"))
	}
	_, _ = fmt.Fprint(wr, "data: [DONE]\n\n")
	if gn.fault.Kind == FaultLate {
		writeEvent(wr, gn.chunk(0, Token(gn.id, 0), nil))
	}
}

func (gn *generation) sendToken(wr http.ResponseWriter, ix int) {
	if gn.fault.Kind == FaultSkip && ix == gn.fault.At {
		return
	}
	writeEvent(wr, gn.chunk(ix, Token(gn.id, ix), nil))
	if gn.fault.Kind == FaultRepeat && ix == gn.fault.At {
		writeEvent(wr, gn.chunk(ix, Token(gn.id, ix), nil))
	}
}

func (gn *generation) answer(wr http.ResponseWriter, rq *http.Request) {
	text := ""
	for ix := range gn.call.MaxTokens {
		if ix > 0 && !gn.pause(rq, gn.tokenGap) {
			return
		}
		if !gn.fault.apply(rq, ix) {
			break
		}
		if gn.fault.Kind != FaultShort || ix < gn.call.MaxTokens-1 {
			text += Token(gn.id, ix)
		}
	}
	finish := any("length")
	if gn.fault.Kind == FaultEnd {
		finish = nil
	}
	writeJSON(wr, http.StatusOK, map[string]any{
		"id":     gn.answerID(0),
		"object": "chat.completion",
		"model":  gn.call.Model,
		"choices": []map[string]any{{
			"index":         0,
			"message":       map[string]string{"role": "assistant", "content": text},
			"text":          text,
			"finish_reason": finish,
		}},
		"usage": map[string]int{"completion_tokens": gn.call.MaxTokens},
	})
}

// answerID returns the id in chunk ix of the answer.
func (gn *generation) answerID(ix int) string {
	if gn.fault.Kind == FaultForeign && ix >= gn.fault.At {
		return "another-request"
	}
	return gn.id
}

func (gn *generation) chunk(ix int, text string, finish any) map[string]any {
	return map[string]any{
		"id":          gn.answerID(ix),
		"object":      "chat.completion.chunk",
		"model":       gn.call.Model,
		"token_index": ix,

		"system_fingerprint": gn.version,
		"choices": []map[string]any{{
			"index":         0,
			"delta":         map[string]string{"content": text},
			"text":          text,
			"finish_reason": finish,
		}},
	}
}

func writeEvent(wr http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(wr, "data: %s\n\n", data)
}

// pause waits for dn. It returns false, and counts a cancellation, if the request
// is cancelled before.
func (eg *Engine) pause(rq *http.Request, dn time.Duration) bool {
	tm := time.NewTimer(dn)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-rq.Context().Done():
		eg.countCancelled()
		return false
	}
}

func (eg *Engine) countRun(id string) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.runs[id]++
}

func (eg *Engine) serves(model string) bool {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	_, isAdapter := eg.usage.adapters[model]
	return isAdapter || eg.models[model].ready
}

// servedVersion returns the version of the model that answers requests, or "".
func (eg *Engine) servedVersion(model string) string {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.models[model].version
}

func refuse(wr http.ResponseWriter, status int, code string) {
	writeJSON(wr, status, map[string]any{"error": map[string]string{"code": code}})
}

func writeJSON(wr http.ResponseWriter, status int, body any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(body)
}
