package counter

import (
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramUnit is the least time that a histogram tells apart.
	histogramUnit = 100 * time.Microsecond
	// longestTime is the longest time that a histogram holds; what takes longer
	// counts as that.
	longestTime = 10 * time.Minute
	// histogramDigits is the precision of a histogram, in decimal digits.
	histogramDigits = 2
	// maxHistograms bounds the histograms, each of which takes some 20 kB: names
	// hold classes, of which an operator may configure any number.
	maxHistograms = 100
)

// quantiles are the parts of the observations that Values tells.
var quantiles = map[string]float64{"p50-ms": 50, "p95-ms": 95, "p99-ms": 99}

// histograms hold how long things took, by name.
type histograms struct {
	mu  sync.Mutex
	all map[string]*hdrhistogram.Histogram
}

// Observe adds a time to the histogram whose name has these parts. Beyond a
// number of histograms new names are counted under "histograms.omitted".
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
	hg, ok := hs.all[name]
	if !ok {
		if len(hs.all) >= maxHistograms {
			return false
		}
		hg = hdrhistogram.New(1, int64(longestTime/histogramUnit), histogramDigits)
		if hs.all == nil {
			hs.all = map[string]*hdrhistogram.Histogram{}
		}
		hs.all[name] = hg
	}
	units := min(max(int64(dn/histogramUnit), 1), int64(longestTime/histogramUnit))
	return hg.RecordValue(units) == nil
}

// addTo adds each histogram's number of observations, its quantiles and its
// maximum, in milliseconds.
func (hs *histograms) addTo(values map[string]int64) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	for name, hg := range hs.all {
		values[name+".count"] = hg.TotalCount()
		values[name+".max-ms"] = millis(hg.Max())
		for suffix, quantile := range quantiles {
			values[name+"."+suffix] = millis(hg.ValueAtQuantile(quantile))
		}
	}
}

func millis(units int64) int64 { return (time.Duration(units) * histogramUnit).Milliseconds() }
