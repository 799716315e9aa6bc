package recorder

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	benchNodes   = 4
	benchRate    = 2000
	benchLatency = 5 * time.Millisecond
)

// benchCluster returns recorders that are connected by TCP on loopback, and
// their store.
func benchCluster(b *testing.B, st *configurer.Records) ([]*Recorder, *platform.Memory) {
	store := platform.NewMemory()
	store.SetLatency(benchLatency)
	var members []prober.Member
	var listeners []net.Listener
	for ix := range benchNodes {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		listeners = append(listeners, ln)
		members = append(members, prober.Member{ID: fmt.Sprintf("n%d", ix), PeerAddress: ln.Addr().String(), State: prober.Alive})
	}
	var nodes []*Recorder
	for ix, ln := range listeners {
		view := prober.NewView(members[ix].ID, members)
		pool := messenger.NewPool()
		rc := New(members[ix].ID, store, func() *prober.View { return view }, pool, func() *configurer.Records { return st })
		sv := messenger.NewServer(messenger.HandlerFunc(rc.Handle))
		go func() { _ = sv.Serve(ln) }()
		b.Cleanup(func() {
			rc.Close()
			pool.Close()
			sv.Close()
			_ = ln.Close()
		})
		nodes = append(nodes, rc)
	}
	return nodes, store
}

// BenchmarkKeyedRequests runs b.N keyed requests at 2,000 a second on 4 nodes,
// with a store that answers in 5 ms, and reports the latency that the record
// adds before a request may be sent.
func BenchmarkKeyedRequests(b *testing.B) {
	text := os.Getenv("LAGOONPASS_BENCH_RECORDS")
	if text == "" {
		text = "shard-bytes = 256MiB"
	}
	nodes, store := benchCluster(b, recordsOf(b, "[records]\n"+text+"\n"))
	for ix, rc := range nodes {
		an := rc.Begin(b.Context(), keyAt(fmt.Sprint("warm", ix)))
		require.NotNil(b, an.Grant, "%v", an.Refusal)
	}
	_, before := store.Calls()
	histogram := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	refused := 0
	since := time.Now()
	for ix := range b.N {
		time.Sleep(time.Until(since.Add(time.Duration(ix) * time.Second / benchRate)))
		wg.Go(func() {
			begun := time.Now()
			an := nodes[ix%benchNodes].Begin(context.Background(), keyAt(fmt.Sprint("key", ix)))
			added := time.Since(begun)
			mu.Lock()
			defer mu.Unlock()
			if an.Grant == nil {
				refused++
				return
			}
			_ = histogram.RecordValue(added.Microseconds())
			an.Grant.Finish(result(`{"booked":"ice","number":17}`))
		})
	}
	wg.Wait()
	for _, rc := range nodes {
		require.NoError(b, rc.Flush(b.Context()))
	}
	elapsed := time.Since(since).Seconds()
	_, after := store.Calls()
	b.ReportMetric(float64(after-before)/elapsed, "writes/s")
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, "ms-median")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, "ms-p99")
	b.ReportMetric(float64(b.N)/elapsed, "requests/s")
	b.ReportMetric(float64(refused), "refused")
}
