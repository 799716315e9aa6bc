package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// defaultMaxTokens is the length of an answer to a request that sets none.
const defaultMaxTokens = 16

// completionCall is the part of a completions request that matters here.
type completionCall struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
	User      string `json:"user"`
}

// Token returns the text of token number ix of the answer to a request, so that
// tests can tell whether an answer is whole and belongs to its request.
func Token(requestID string, ix int) string {
	return fmt.Sprintf("%s.%d ", requestID, ix)
}

func (eg *Engine) serveCompletion(wr http.ResponseWriter, rq *http.Request) {
	var call completionCall
	if err := json.NewDecoder(rq.Body).Decode(&call); err != nil {
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
	if err := eg.queue.enter(rq.Context(), call.Priority); err != nil {
		return
	}
	defer eg.queue.leave()
	id := rq.Header.Get("X-Request-Id")
	eg.countRun(id)
	if !pause(rq, eg.prefill) {
		return
	}
	if call.Stream {
		eg.stream(wr, rq, id, call)
		return
	}
	eg.answer(wr, rq, id, call)
}

func (eg *Engine) stream(wr http.ResponseWriter, rq *http.Request, id string, call completionCall) {
	wr.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(wr)
	for ix := range call.MaxTokens {
		if ix > 0 && !pause(rq, eg.tokenGap) {
			return
		}
		event(wr, chunk(id, call.Model, Token(id, ix), nil))
		_ = flush.Flush()
	}
	event(wr, chunk(id, call.Model, "", "length"))
	_, _ = fmt.Fprint(wr, "data: [DONE]\n\n")
}

func (eg *Engine) answer(wr http.ResponseWriter, rq *http.Request, id string, call completionCall) {
	text := ""
	for ix := range call.MaxTokens {
		if ix > 0 && !pause(rq, eg.tokenGap) {
			return
		}
		text += Token(id, ix)
	}
	writeJSON(wr, http.StatusOK, map[string]any{
		"id":     id,
		"object": "chat.completion",
		"model":  call.Model,
		"choices": []map[string]any{{
			"index":         0,
			"message":       map[string]string{"role": "assistant", "content": text},
			"text":          text,
			"finish_reason": "length",
		}},
		"usage": map[string]int{"completion_tokens": call.MaxTokens},
	})
}

func chunk(id, model, text string, finish any) map[string]any {
	return map[string]any{
		"id":     id,
		"object": "chat.completion.chunk",
		"model":  model,
		"choices": []map[string]any{{
			"index":         0,
			"delta":         map[string]string{"content": text},
			"text":          text,
			"finish_reason": finish,
		}},
	}
}

func event(wr http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(wr, "data: %s\n\n", data)
}

// pause waits and reports whether the caller still does.
func pause(rq *http.Request, dn time.Duration) bool {
	tm := time.NewTimer(dn)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-rq.Context().Done():
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
	return eg.models[model].ready
}

func refuse(wr http.ResponseWriter, status int, code string) {
	writeJSON(wr, status, map[string]any{"error": map[string]string{"code": code}})
}

func writeJSON(wr http.ResponseWriter, status int, body any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(body)
}
