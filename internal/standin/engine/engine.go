// Package engine is a stand-in for a model engine: it serves the completions
// API with continuous batching, takes orders to load and unload, counts its
// accelerator memory by itself and reports its load with a lag.
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
	defaultMemory   int64 = 80 << 30
	defaultAdapters int64 = 8 << 30
	defaultSlots          = 16
	defaultTokenGap       = 20 * time.Millisecond
	defaultPrefill        = 50 * time.Millisecond
)

// Engine is one stand-in engine.
type Engine struct {
	name     string
	memory   int64
	adapters int64
	slots    int
	tokenGap time.Duration
	prefill  time.Duration
	loadTime time.Duration
	store    WeightStore
	fencing  bool

	mu          sync.Mutex
	bootID      string
	models      map[string]loaded
	highFence   int64
	usage       memory
	orderFaults []OrderFault
	held        []order
	down        bool
	runs        map[string]int

	faults
	queue     queue
	reports   reporter
	cache     prefixCache
	transfers transfers
}

// loaded is a model that holds memory.
type loaded struct {
	version string
	memory  int64
	ready   bool
}

// Option changes an Engine that is being made.
type Option func(*Engine)

// WithMemory sets the bytes that may hold weights.
func WithMemory(count int64) Option { return func(eg *Engine) { eg.memory = count } }

// WithAdapterMemory sets the bytes that may hold adapters.
func WithAdapterMemory(count int64) Option { return func(eg *Engine) { eg.adapters = count } }

// WithSlots sets the requests that run at once at full speed.
func WithSlots(count int) Option { return func(eg *Engine) { eg.slots = count } }

// WithTokenGap sets the time between two tokens.
func WithTokenGap(dn time.Duration) Option { return func(eg *Engine) { eg.tokenGap = dn } }

// WithPrefill sets the time before the first token.
func WithPrefill(dn time.Duration) Option { return func(eg *Engine) { eg.prefill = dn } }

// WithLoadTime sets the time that a model load takes.
func WithLoadTime(dn time.Duration) Option { return func(eg *Engine) { eg.loadTime = dn } }

// WithFencing makes the engine refuse orders with an old fencing number.
func WithFencing(on bool) Option { return func(eg *Engine) { eg.fencing = on } }

// New returns an engine without any model.
func New(name string, opts ...Option) *Engine {
	eg := &Engine{
		name:     name,
		memory:   defaultMemory,
		adapters: defaultAdapters,
		slots:    defaultSlots,
		tokenGap: defaultTokenGap,
		prefill:  defaultPrefill,
		bootID:   name + "-1",
		models:   map[string]loaded{},
		runs:     map[string]int{},
		cache:    prefixCache{limit: defaultCacheBlocks, used: map[uint64]uint64{}},
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

// SetDown makes every call lose its connection, or ends that.
func (eg *Engine) SetDown(down bool) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.down = down
}

// Overcommits returns how often more memory was wanted than there is.
func (eg *Engine) Overcommits() int {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.usage.overcommits
}

// Runs returns how often a request with that id was started.
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
