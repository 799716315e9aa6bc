// Package counter holds the metrics of one node: counters, gauges and
// histograms. Names are in kebab case, with dots between the parts:
// refusal.queue-full, retry.backend-silent, store-read.configuration.
//
// # Usage
//
//	rg := counter.NewRegistry()
//	rg.Inc("refusal", string(refuser.QueueFull))
//	rg.Observe(time.Since(began), "queue-wait", "urgent")
//	for name, value := range rg.Values() { fmt.Println(name, value) }
//
// The zero Registry is not usable. A nil *Registry records nothing.
package counter

import (
	"slices"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Registry holds the metrics of one node. It is safe for concurrent use.
type Registry struct {
	metrics    metrics.Registry // counters and gauges
	histograms histograms

	mu     sync.Mutex
	onRead []func() // called by Values
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{metrics: metrics.NewRegistry()}
}

// Inc adds 1 to the counter whose name has these parts.
func (rg *Registry) Inc(parts ...string) { rg.Add(1, parts...) }

// Add adds delta to the counter whose name has these parts.
func (rg *Registry) Add(delta int64, parts ...string) {
	if rg == nil {
		return
	}
	metrics.GetOrRegisterCounter(strings.Join(parts, "."), rg.metrics).Inc(delta)
}

// Set sets the gauge whose name has these parts.
func (rg *Registry) Set(value int64, parts ...string) {
	if rg == nil {
		return
	}
	metrics.GetOrRegisterGauge(strings.Join(parts, "."), rg.metrics).Update(value)
}

// OnRead registers fn, which Values calls before it reads the metrics. Use it
// for gauges that are needed only then.
func (rg *Registry) OnRead(fn func()) {
	if rg == nil {
		return
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.onRead = append(rg.onRead, fn)
}

// Values returns all counters and gauges by name, and for each histogram the
// number of observations (.count) and, in milliseconds, percentiles (.p50-ms,
// .p95-ms, .p99-ms) and the maximum (.max-ms).
func (rg *Registry) Values() map[string]int64 {
	values := map[string]int64{}
	if rg == nil {
		return values
	}
	rg.mu.Lock()
	onRead := slices.Clone(rg.onRead)
	rg.mu.Unlock()
	for _, fn := range onRead {
		fn()
	}
	rg.metrics.Each(func(name string, metric any) {
		switch mt := metric.(type) {
		case metrics.Counter:
			values[name] = mt.Count()
		case metrics.Gauge:
			values[name] = mt.Value()
		}
	})
	rg.histograms.addTo(values)
	return values
}
