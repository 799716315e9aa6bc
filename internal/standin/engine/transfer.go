package engine

import (
	"encoding/json"
	"net/http"
)

// headerCacheHandle names an exported KV cache.
const headerCacheHandle = "Lagoonpass-Cache-Handle"

// transfers counts exports and imports of KV cache.
type transfers struct {
	exports     int
	imports     int
	failImports bool
}

// Transfers returns how often the engine exported and imported a KV cache.
func (eg *Engine) Transfers() (exports, imports int) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.transfers.exports, eg.transfers.imports
}

// FailImports makes imports fail, so that the engine reads prompts itself.
func (eg *Engine) FailImports(fail bool) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.transfers.failImports = fail
}

// serveExport reads the prompt and answers with the handle of its KV cache.
func (eg *Engine) serveExport(wr http.ResponseWriter, rq *http.Request) {
	var call completionCall
	if err := json.NewDecoder(rq.Body).Decode(&call); err != nil {
		refuse(wr, http.StatusBadRequest, "malformed")
		return
	}
	if !eg.serves(call.Model) {
		refuse(wr, http.StatusNotFound, "model-not-loaded")
		return
	}
	if !eg.pause(rq, eg.prefillTime(&call)) {
		return
	}
	eg.mu.Lock()
	eg.transfers.exports++
	eg.mu.Unlock()
	writeJSON(wr, http.StatusOK, map[string]string{"handle": eg.name + "/" + rq.Header.Get("X-Request-Id")})
}

// imports reports whether a request's prompt came as KV cache.
func (eg *Engine) imports(rq *http.Request) bool {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	if rq.Header.Get(headerCacheHandle) == "" || eg.transfers.failImports {
		return false
	}
	eg.transfers.imports++
	return true
}
