package counter

import (
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramResolution is the unit of the recorded values.
	histogramResolution = 100 * time.Microsecond
	// maxTime is the longest time that a histogram holds; longer times are
	// recorded as maxTime.
	maxTime = 10 * time.Minute
	// histogramDigits is the precision of a histogram, in significant decimal
	// digits.
	histogramDigits = 2
	// maxHistograms limits the memory, at about 20 kB for each histogram. The
	// names contain priority classes, of which an operator may configure any
	// number.
	maxHistograms = 100
)

// percentiles maps the suffixes of the names in Values to percentiles.
var percentiles = map[string]float64{"p50-ms": 50, "p95-ms": 95, "p99-ms": 99}

// histograms holds the histograms of durations.
type histograms struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

// Observe adds a duration to the histogram whose name has these parts. Above
// maxHistograms it counts observations under new names in "histograms.omitted"
// and drops them. It records a duration beyond the limits as the nearest limit.
func (rg *Registry) Observe(dn time.Duration, parts ...string) {
	if rg == nil {
		return
	}
	if !rg.histograms.observe(dn, strings.Join(parts, ".")) {
		rg.Inc("histograms", "omitted")
	}
}

func (hs *histograms) observe(dn time.Duration, name string) bool {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hg, ok := hs.byName[name]
	if !ok {
		if len(hs.byName) >= maxHistograms {
			return false
		}
		hg = hdrhistogram.New(1, int64(maxTime/histogramResolution), histogramDigits)
		if hs.byName == nil {
			hs.byName = map[string]*hdrhistogram.Histogram{}
		}
		hs.byName[name] = hg
	}
	units := min(max(int64(dn/histogramResolution), 1), int64(maxTime/histogramResolution))
	return hg.RecordValue(units) == nil
}

// addTo adds the number of observations of each histogram, and its percentiles
// and maximum in milliseconds.
func (hs *histograms) addTo(values map[string]int64) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	for name, hg := range hs.byName {
		values[name+".count"] = hg.TotalCount()
		values[name+".max-ms"] = toMillis(hg.Max())
		for suffix, percentile := range percentiles {
			values[name+"."+suffix] = toMillis(hg.ValueAtQuantile(percentile))
		}
	}
}

func toMillis(units int64) int64 { return (time.Duration(units) * histogramResolution).Milliseconds() }
