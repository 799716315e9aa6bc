package watcher_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/watcher"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

func TestControlTrafficStaysBelow3000BytesPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, loaded := controlBytes(t, 4, 18, time.Minute)
		require.Less(t, loaded, int64(3000))
	})
}

// BenchmarkControlBytes measures, in virtual time, the bytes per second that a
// node sends and receives on the network between nodes, including membership:
// without requests, and with 20 requests per second from each node.
func BenchmarkControlBytes(bm *testing.B) {
	for _, size := range []struct{ nodes, servers int }{{4, 18}, {16, 72}, {64, 260}} {
		bm.Run(fmt.Sprintf("nodes=%d", size.nodes), func(bm *testing.B) {
			for bm.Loop() {
				synctest.Test(&testing.T{}, func(t *testing.T) {
					idle, loaded := controlBytes(t, size.nodes, size.servers, 5*time.Minute)
					bm.ReportMetric(float64(idle), "B/s-idle")
					bm.ReportMetric(float64(loaded), "B/s-loaded")
				})
			}
		})
	}
}

func controlBytes(t *testing.T, nodes, servers int, settle time.Duration) (idle, loaded int64) {
	const measured = 30
	fl := newFleet(t, nodes, servers)
	defer fl.end()
	fl.await(2*time.Minute, fl.allKnown)
	time.Sleep(settle)
	rate := func() int64 {
		before := fl.Bytes(fl.nodes[0].Address)
		time.Sleep(measured * time.Second)
		return (fl.Bytes(fl.nodes[0].Address) - before) / measured
	}
	idle = rate()
	for _, nd := range fl.nodes {
		fl.work(nd, 50*time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	return idle, rate()
}

// BenchmarkPoll measures one poll of a stand-in engine with ten models over
// loopback, and its bytes without TCP and IP headers.
func BenchmarkPoll(bm *testing.B) {
	eg := engine.New("w1")
	order := func(ix int) {
		text := fmt.Sprintf(`{"id":"o","fence":1,"action":"load-model","model":"route-summary-%03d","version":"2026-10","memory":1}`, ix)
		eg.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/control/orders", strings.NewReader(text)))
	}
	for ix := range 10 {
		order(ix)
	}
	sv := httptest.NewServer(eg.Handler())
	defer sv.Close()
	text := "[engine-kind.k]\nchecks-fencing = yes\n[backend-server.w1]\nkind = k\naddress = " + strings.TrimPrefix(sv.URL, "http://") +
		"\nzone = zone-a\nmemory = 80GiB\nslots = 16\n"
	st, faults := configurer.Parse([]configurer.File{{Name: "1.ini", Text: text}})
	require.Empty(bm, faults)
	wt := watcher.New()
	bm.ReportAllocs()
	for bm.Loop() {
		wt.Poll(bm.Context(), st.BackendServers())
	}
	wr := httptest.NewRecorder()
	eg.Handler().ServeHTTP(wr, httptest.NewRequest(http.MethodGet, "/control/report", http.NoBody))
	bm.ReportMetric(float64(wr.Body.Len()), "B/report")
}
