package engine

import (
	"net/http"
	"sort"
	"time"
)

// reportsKept bounds the reports that wait until their lag is over.
const reportsKept = 256

// report is what the engine says of itself at one time.
type report struct {
	taken    time.Time
	sequence uint64
	body     map[string]any
}

// reporter keeps reports back for the lag.
type reporter struct {
	lag      time.Duration
	leaving  bool
	sequence uint64
	kept     []report
}

// WithReportLag makes load reports as old as dn.
func WithReportLag(dn time.Duration) Option { return func(eg *Engine) { eg.reports.lag = dn } }

// SetLeaving makes the reports say that the engine's VM is leaving.
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
	rp := eg.reports.pass(report{taken: now, body: eg.describe(free, waiting)})
	rp.body["sequence"] = rp.sequence
	rp.body["age-ms"] = now.Sub(rp.taken).Milliseconds()
	writeJSON(wr, http.StatusOK, rp.body)
}

// pass takes in the latest report and returns the latest one that is as old as
// the lag, or the oldest.
func (rt *reporter) pass(latest report) report {
	rt.sequence++
	latest.sequence = rt.sequence
	rt.kept = append(rt.kept, latest)
	due := latest.taken.Add(-rt.lag)
	for len(rt.kept) > 1 && (!rt.kept[1].taken.After(due) || len(rt.kept) > reportsKept) {
		rt.kept = rt.kept[1:]
	}
	return rt.kept[0]
}

// describe is called with the lock held.
func (eg *Engine) describe(free, waiting int) map[string]any {
	models := []map[string]string{}
	loading := []string{}
	for name, ld := range eg.models {
		models = append(models, map[string]string{"name": name, "version": ld.version})
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
