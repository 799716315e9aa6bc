// Package engine is a stand-in for a model engine: it serves the completions
// API with continuous batching, runs orders to load and unload, keeps its own
// count of accelerator memory and reports its load with a lag.
//
// # Usage
//
//	eg := engine.New("w1", engine.WithMemory(80<<30), engine.WithSlots(16))
//	srv := httptest.NewServer(eg.Handler())
//	...
//	if eg.Overcommits() > 0 { t.Error("memory was overcommitted") }
package engine

import (
	"net/http"
	"sync"
	"time"
)

// Defaults of an engine.
const (
	defaultMemory   int64 = 80 << 30 // bytes
	defaultAdapters int64 = 8 << 30  // bytes
	defaultSlots          = 16
	defaultTokenGap       = 20 * time.Millisecond
	defaultPrefill        = 50 * time.Millisecond
)

// Engine is one stand-in engine.
type Engine struct {
	name     string
	memory   int64         // bytes for weights
	adapters int64         // bytes for adapters
	slots    int           // requests in the batch at once
	tokenGap time.Duration // time between two tokens
	prefill  time.Duration // time before the first token without a prefix hit
	loadTime time.Duration // duration of a model load, added to that of store
	store    WeightStore   // nil for none
	fencing  bool          // refuses orders with an old fencing number or boot id

	mu          sync.Mutex
	bootID      string // NAME-COUNT; Restart increments the count
	models      map[string]servedModel
	highFence   int64 // greatest fencing number of an accepted order since the start
	usage       memory
	orderFaults []OrderFault   // faults of the next orders, one each
	held        []order        // orders held back by OrderHeld, oldest first
	down        bool           // aborts the connection of every call
	runs        map[string]int // request id to the number of times it started

	faults
	queue     queue
	reports   reporter
	cache     prefixCache
	transfers transfers
}

// servedModel is the version of a model that answers requests.
type servedModel struct {
	version string
	memory  int64 // bytes
	ready   bool
}

// Option configures an Engine in New.
type Option func(*Engine)

// WithMemory sets the memory for weights, in bytes.
func WithMemory(count int64) Option { return func(eg *Engine) { eg.memory = count } }

// WithAdapterMemory sets the memory for adapters, in bytes.
func WithAdapterMemory(count int64) Option { return func(eg *Engine) { eg.adapters = count } }

// WithSlots sets how many requests run at once; others wait in the queue.
func WithSlots(count int) Option { return func(eg *Engine) { eg.slots = count } }

// WithTokenGap sets the time between two tokens.
func WithTokenGap(dn time.Duration) Option { return func(eg *Engine) { eg.tokenGap = dn } }

// WithPrefill sets the time before the first token for a prompt without a prefix
// hit.
func WithPrefill(dn time.Duration) Option { return func(eg *Engine) { eg.prefill = dn } }

// WithLoadTime sets the time that a model load takes.
func WithLoadTime(dn time.Duration) Option { return func(eg *Engine) { eg.loadTime = dn } }

// WithFencing makes the engine refuse orders with an old fencing number or with
// the id of another boot.
func WithFencing(on bool) Option { return func(eg *Engine) { eg.fencing = on } }

// New returns an engine without models.
func New(name string, opts ...Option) *Engine {
	eg := &Engine{
		name:     name,
		memory:   defaultMemory,
		adapters: defaultAdapters,
		slots:    defaultSlots,
		tokenGap: defaultTokenGap,
		prefill:  defaultPrefill,
		bootID:   name + "-1",
		models:   map[string]servedModel{},
		runs:     map[string]int{},
		cache:    prefixCache{limit: defaultCacheBlocks, lastUsed: map[uint64]uint64{}},
	}
	for _, opt := range opts {
		opt(eg)
	}
	eg.queue.free = eg.slots
	eg.usage = newMemory(eg.memory, eg.adapters)
	return eg
}

// Handler serves the engine's HTTP interface.
func (eg *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", eg.serveCompletion)
	mux.HandleFunc("POST /v1/completions", eg.serveCompletion)
	mux.HandleFunc("POST /control/orders", eg.serveOrder)
	mux.HandleFunc("POST /control/export", eg.serveExport)
	mux.HandleFunc("GET /control/report", eg.serveReport)
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if eg.isDown() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(wr, rq)
	})
}

// SetDown makes the handler abort the connection of every call while down is set.
func (eg *Engine) SetDown(down bool) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.down = down
}

// Overcommits returns how many orders left more memory in use than a limit
// allows.
func (eg *Engine) Overcommits() int {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.usage.overcommits
}

// Runs returns how often a request with the id was started.
func (eg *Engine) Runs(requestID string) int {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.runs[requestID]
}

func (eg *Engine) isDown() bool {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.down
}
