package engine

import (
	"net/http"
	"sort"
	"time"
)

// maxReports bounds the reports that are stored until they are as old as the lag.
const maxReports = 256

// report is the state of the engine at one time.
type report struct {
	taken    time.Time
	sequence uint64 // counts reports from one
	body     map[string]any
}

// reporter delays reports by a lag.
type reporter struct {
	lag      time.Duration
	leaving  bool     // reports say that the VM is leaving
	sequence uint64   // of the latest report
	stored   []report // oldest first; the first one is sent
}

// WithReportLag delays the contents of load reports by dn.
func WithReportLag(dn time.Duration) Option { return func(eg *Engine) { eg.reports.lag = dn } }

// SetLeaving sets whether reports say that the engine's VM is leaving.
func (eg *Engine) SetLeaving(leaving bool) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.reports.leaving = leaving
}

func (eg *Engine) serveReport(wr http.ResponseWriter, _ *http.Request) {
	free, waiting := eg.queue.lengths()
	now := time.Now()
	eg.mu.Lock()
	defer eg.mu.Unlock()
	rp := eg.reports.delay(report{taken: now, body: eg.describe(free, waiting)})
	rp.body["sequence"] = rp.sequence
	rp.body["age-ms"] = now.Sub(rp.taken).Milliseconds()
	writeJSON(wr, http.StatusOK, rp.body)
}

// delay stores the latest report and returns the newest one that is at least as
// old as the lag, or the oldest one if none is.
func (rt *reporter) delay(latest report) report {
	rt.sequence++
	latest.sequence = rt.sequence
	rt.stored = append(rt.stored, latest)
	due := latest.taken.Add(-rt.lag)
	for len(rt.stored) > 1 && (!rt.stored[1].taken.After(due) || len(rt.stored) > maxReports) {
		rt.stored = rt.stored[1:]
	}
	return rt.stored[0]
}

// describe returns the body of a report. The caller holds eg.mu.
func (eg *Engine) describe(free, waiting int) map[string]any {
	models := []map[string]string{}
	loading := []string{}
	for name, sm := range eg.models {
		models = append(models, map[string]string{"name": name, "version": sm.version})
	}
	for wt := range eg.usage.weights {
		if !eg.usage.ready[wt] {
			loading = append(loading, wt.model)
		}
	}
	sort.Strings(loading)
	adapters := make([]string, 0, len(eg.usage.adapters))
	for name := range eg.usage.adapters {
		adapters = append(adapters, name)
	}
	sort.Strings(adapters)
	events := make([]map[string]any, 0, len(eg.cache.events))
	for _, ev := range eg.cache.events {
		events = append(events, map[string]any{"sequence": ev.Sequence, "hash": ev.Hash, "evicted": ev.Evicted})
	}
	return map[string]any{
		"boot-id":      eg.bootID,
		"models":       models,
		"loading":      loading,
		"adapters":     adapters,
		"running":      eg.slots - free,
		"waiting":      waiting,
		"leaving":      eg.reports.leaving,
		"cache-events": events,
	}
}
