package engine

import (
	"encoding/json"
	"net/http"
)

// headerCacheHandle carries the handle of an exported KV cache.
const headerCacheHandle = "Lagoonpass-Cache-Handle"

// transfers counts exports and imports of KV cache.
type transfers struct {
	exports     int
	imports     int
	failImports bool // imports fail and requests run their own prefill
}

// Transfers returns how often the engine exported and imported a KV cache.
func (eg *Engine) Transfers() (exports, imports int) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.transfers.exports, eg.transfers.imports
}

// FailImports makes imports fail while fail is set, so that the engine runs the
// prefill itself.
func (eg *Engine) FailImports(fail bool) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.transfers.failImports = fail
}

// serveExport runs the prefill of a prompt and answers with the handle of its KV
// cache.
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

// imports reports whether the engine imports the KV cache that the request names,
// and counts the import.
func (eg *Engine) imports(rq *http.Request) bool {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	if rq.Header.Get(headerCacheHandle) == "" || eg.transfers.failImports {
		return false
	}
	eg.transfers.imports++
	return true
}
