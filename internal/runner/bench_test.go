package runner_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
)

const (
	benchRate     = 2000
	benchDuration = 5 * time.Second
	benchWarmUp   = time.Second
	benchStreams  = 2000
	benchBody     = `{"model":"m","stream":true,"max_tokens":8}`
)

// timing collects the durations of streamed answers in nanoseconds.
type timing struct {
	mu sync.Mutex
	// answer is the time until the end of the answer.
	answer *hdrhistogram.Histogram
	// first is the time until the first line.
	first *hdrhistogram.Histogram
	// failures counts the incomplete answers by status or error.
	failures map[string]int
}

func newTiming() *timing {
	return &timing{answer: hdrhistogram.New(1, int64(time.Minute), 3), first: hdrhistogram.New(1, int64(time.Minute), 3), failures: map[string]int{}}
}

// request sends one request and records its durations if keep is set.
func (tm *timing) request(hc *http.Client, address string, keep bool) {
	began := time.Now()
	rq, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(benchBody))
	rq.Header.Set("Authorization", "Bearer test")
	rs, err := hc.Do(rq)
	complete, cause := false, ""
	if err != nil {
		cause = err.Error()
	}
	var first time.Duration
	if err == nil {
		rd := bufio.NewReader(rs.Body)
		_, _ = rd.ReadString('\n')
		first = time.Since(began)
		rest, _ := io.ReadAll(rd)
		complete = strings.HasSuffix(string(rest), "[DONE]\n\n")
		cause = rs.Status
		_ = rs.Body.Close()
	}
	took := time.Since(began)
	if !keep {
		return
	}
	tm.mu.Lock()
	defer tm.mu.Unlock()
	if !complete {
		tm.failures[cause]++
		return
	}
	_ = tm.answer.RecordValue(int64(took))
	_ = tm.first.RecordValue(int64(first))
}

// BenchmarkAddedTime sends 2,000 requests a second to an entry node and, at the
// same time, 2,000 to the stand-in engine. It reports quantiles of the
// durations in milliseconds.
func BenchmarkAddedTime(b *testing.B) {
	rg := newRig(b, engine.WithTokenGap(0), engine.WithPrefill(0), engine.WithSlots(100000))
	direct, through := newTiming(), newTiming()
	client := func() *http.Client {
		return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchRate}}
	}
	directClient, throughClient := client(), client()
	for b.Loop() {
		var wg sync.WaitGroup
		began := time.Now()
		for ix := 0; time.Since(began) < benchDuration; ix++ {
			keep := time.Since(began) > benchWarmUp
			wg.Go(func() { direct.request(directClient, rg.backend, keep) })
			wg.Go(func() { through.request(throughClient, rg.nodes[0].CallerAddress(), keep) })
			time.Sleep(time.Until(began.Add(time.Duration(ix+1) * time.Second / benchRate)))
		}
		wg.Wait()
	}
	report := func(name string, quantile float64) {
		for part, pair := range map[string][2]*hdrhistogram.Histogram{"answer": {direct.answer, through.answer}, "first": {direct.first, through.first}} {
			directValue, throughValue := pair[0].ValueAtQuantile(quantile), pair[1].ValueAtQuantile(quantile)
			b.ReportMetric(float64(directValue)/1e6, "ms-direct-"+part+"-"+name)
			b.ReportMetric(float64(throughValue)/1e6, "ms-through-"+part+"-"+name)
			b.ReportMetric(float64(throughValue-directValue)/1e6, "ms-added-"+part+"-"+name)
		}
	}
	report("p50", 50)
	report("p99", 99)
	b.ReportMetric(float64(through.answer.TotalCount()), "answers")
	b.Log("incomplete answers, direct and through the node:", direct.failures, through.failures)
	for name, value := range rg.nodes[0].Values() {
		if strings.HasPrefix(name, "refusal.") || strings.HasPrefix(name, "retry.") {
			b.Log(name, value)
		}
	}
}

// BenchmarkOpenStreams opens 2,000 streams to the stand-in engine and then
// 2,000 through an entry node, and reports the memory of each. Everything runs
// in one process, so the difference is the entry node's memory.
func BenchmarkOpenStreams(b *testing.B) {
	rg := newRig(b, engine.WithTokenGap(0), engine.WithPrefill(0), engine.WithSlots(100000))
	for b.Loop() {
		direct := rg.openStreams(b, rg.backend)
		through := rg.openStreams(b, rg.nodes[0].CallerAddress())
		b.ReportMetric(direct/(1<<20), "MiB-direct")
		b.ReportMetric(through/(1<<20), "MiB-through")
		b.ReportMetric((through-direct)/(1<<20), "MiB-entry-node")
		b.ReportMetric((through-direct)/benchStreams/1024, "KiB/stream-entry-node")
	}
}

// openStreams returns the memory in bytes that open streams to the address use.
func (rg *rig) openStreams(b *testing.B, address string) float64 {
	tp := &http.Transport{}
	defer tp.CloseIdleConnections()
	before := memoryInUse()
	for range benchStreams {
		rq, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(longStream))
		require.NoError(b, err)
		rq.Header.Set("Authorization", "Bearer test")
		rs, err := tp.RoundTrip(rq)
		require.NoError(b, err)
		defer func() { _ = rs.Body.Close() }()
		var first [1]byte
		_, err = io.ReadFull(rs.Body, first[:])
		require.NoError(b, err)
	}
	return memoryInUse() - before
}

func memoryInUse() float64 {
	debug.FreeOSMemory()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapInuse + ms.StackInuse)
}
