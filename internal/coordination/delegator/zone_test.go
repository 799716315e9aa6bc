package delegator_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/delegator"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
)

// The sizes of three availability zones.
const (
	zoneCount = 3
	zoneNodes = 11
)

// newZonedFleet starts nodes in three zones. Those for which cut returns true take no
// requests; their registrations do not show it, as while the store is out of reach.
func newZonedFleet(cut func(zone, node int) bool, hd http.Handler) (fl *fleet, own string) {
	fl = &fleet{nodes: map[string]*delegator.Delegator{}, lost: map[string]bool{}, serves: map[string]bool{}, ended: map[string]chan struct{}{}}
	var all []prober.Member
	for zone := range zoneCount {
		for node := range zoneNodes {
			id := fmt.Sprintf("n%d-%d", zone, node)
			all = append(all, prober.Member{ID: id, PeerAddress: id, Zone: fmt.Sprint("z", zone), State: prober.Alive})
			fl.serves[id], fl.ended[id] = !cut(zone, node), make(chan struct{})
			if own == "" && cut(zone, node) {
				own = id
			}
		}
	}
	for _, mb := range all {
		dg := delegator.New(fl, mb.ID, mb.Zone, func() []prober.Member { return all }, func(int64, string) bool { return fl.serves[mb.ID] })
		dg.Serve(hd)
		fl.nodes[mb.ID] = dg
	}
	return fl, own
}

// All nodes that a cut node asked were cut off as well, and each request asked the same
// ones again.
func TestRequestIsTakenWhileAWholeZoneIsCutOff(t *testing.T) {
	for name, cut := range map[string]func(zone, node int) bool{
		"a zone":               func(zone, _ int) bool { return zone == 0 },
		"most of a zone":       func(zone, node int) bool { return zone == 0 && node < zoneNodes-2 },
		"two zones":            func(zone, _ int) bool { return zone < 2 },
		"all but two machines": func(zone, node int) bool { return zone < 2 || node < zoneNodes-2 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl, own := newZonedFleet(cut, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(50 * time.Millisecond) }))
				var mu sync.Mutex
				var open sync.WaitGroup
				taken := 0
				for range 200 {
					time.Sleep(20 * time.Millisecond)
					open.Go(func() {
						rs, err := fl.nodes[own].Open(t.Context(), delegator.Request{Method: http.MethodGet, Host: "h", Target: "/"})
						if err != nil {
							return
						}
						_ = rs.Body.Close()
						mu.Lock()
						defer mu.Unlock()
						taken++
					})
				}
				open.Wait()
				require.Equal(t, 200, taken)
				synctest.Wait()
				for _, dg := range fl.nodes {
					dg.AwaitIdle(t.Context())
				}
			})
		})
	}
}

// A node without power, which is registered as ready while the store is out of reach, held
// up requests for the time of a dial in every second.
func TestLostNodeDelaysFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cut := func(zone, _ int) bool { return zone == 0 }
		fl, own := newZonedFleet(cut, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(500 * time.Millisecond) }))
		fl.dial = time.Second
		for node := range 3 {
			fl.lose(fmt.Sprintf("n1-%d", node))
		}
		var mu sync.Mutex
		var open sync.WaitGroup
		delayed := 0
		for range 1000 {
			time.Sleep(20 * time.Millisecond)
			open.Go(func() {
				began := time.Now()
				rs, err := fl.nodes[own].Open(t.Context(), delegator.Request{Method: http.MethodGet, Host: "h", Target: "/"})
				require.NoError(t, err)
				_ = rs.Body.Close()
				mu.Lock()
				defer mu.Unlock()
				if time.Since(began) >= fl.dial {
					delayed++
				}
			})
		}
		open.Wait()
		t.Logf("%d of 1,000 requests delayed", delayed)
		require.LessOrEqual(t, delayed, 20, "1 in 50")
		for _, dg := range fl.nodes {
			dg.AwaitIdle(t.Context())
		}
	})
}
