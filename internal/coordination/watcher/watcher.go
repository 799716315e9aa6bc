// Package watcher reads the load reports of backend servers and keeps what
// they serve as a snapshot.
//
// # Usage
//
//	wt := watcher.New()
//	wt.Poll(ctx, settings.BackendServers())
//	replicas := wt.Snapshot().Replicas("route-summary")
package watcher

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// reportTimeout bounds the reading of one report.
const reportTimeout = time.Second

// Report is what a backend server says of itself.
type Report struct {
	// Server is the backend server's name.
	Server string
	// Address is the host and port of the engine.
	Address string
	// BootID changes when the engine's process does.
	BootID string
	// Models are the models that are ready, by name, with their versions.
	Models map[string]string
	// Running and Waiting count requests.
	Running, Waiting int
	// Adapters are the adapters that are ready.
	Adapters []string
	// Loading are the models and adapters that are being loaded.
	Loading []string
	// Leaving says that the server takes no new work.
	Leaving bool
	// Sequence counts the reports of one boot.
	Sequence uint64
	// Taken is when the report was taken, by this node's clock.
	Taken time.Time
	// CacheEvents are the latest changes of the prefix cache, in their order.
	CacheEvents []router.CacheEvent
	// Digested says that Others and Users come from the server's owner.
	Digested bool
	// Others counts the requests of other nodes on the server.
	Others int
	// Users counts the nodes that use the server, this one included.
	Users int
}

// Snapshot is an immutable picture of all reports.
type Snapshot struct {
	reports  map[string]Report
	replicas map[string][]string
}

// Replicas returns the backend servers on which a model is ready.
func (sn *Snapshot) Replicas(model string) []string { return sn.replicas[model] }

// Report returns the last report of a backend server.
func (sn *Snapshot) Report(server string) (Report, bool) {
	rp, ok := sn.reports[server]
	return rp, ok
}

// Watcher polls reports.
type Watcher struct {
	http     *http.Client
	snapshot atomic.Pointer[Snapshot]
	exchange *Exchange
}

// Option changes a Watcher that is being made.
type Option func(*Watcher)

// WithExchange adds what the owners of servers tell to the reports.
func WithExchange(ex *Exchange) Option { return func(wt *Watcher) { wt.exchange = ex } }

// New returns a watcher with an empty snapshot.
func New(opts ...Option) *Watcher {
	wt := &Watcher{http: &http.Client{Timeout: reportTimeout}}
	for _, opt := range opts {
		opt(wt)
	}
	wt.snapshot.Store(&Snapshot{})
	return wt
}

// Snapshot returns the latest snapshot.
func (wt *Watcher) Snapshot() *Snapshot { return wt.snapshot.Load() }

// Poll reads the reports of all servers once, side by side. A server that does
// not answer is absent from the snapshot.
func (wt *Watcher) Poll(ctx context.Context, servers []*configurer.BackendServer) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	sn := &Snapshot{reports: map[string]Report{}, replicas: map[string][]string{}}
	for _, bs := range servers {
		wg.Go(func() {
			rp, err := wt.read(ctx, bs)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sn.reports[bs.Name()] = rp
		})
	}
	wg.Wait()
	if wt.exchange != nil {
		now := time.Now()
		for name, rp := range sn.reports {
			sn.reports[name] = wt.exchange.apply(rp, now)
		}
	}
	for name, rp := range sn.reports {
		for model := range rp.Models {
			sn.replicas[model] = append(sn.replicas[model], name)
		}
	}
	for _, names := range sn.replicas {
		sort.Strings(names)
	}
	wt.snapshot.Store(sn)
}

func (wt *Watcher) read(ctx context.Context, bs *configurer.BackendServer) (Report, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+bs.Address()+"/control/report", http.NoBody)
	if err != nil {
		return Report{}, errors.Wrap(err, "build report call")
	}
	rs, err := wt.http.Do(rq)
	if err != nil {
		return Report{}, errors.Wrapf(err, "read report of %q", bs.Name())
	}
	defer func() { _ = rs.Body.Close() }()
	rp, err := decodeReport(rs.Body, time.Now())
	if err != nil {
		return Report{}, errors.Wrapf(err, "decode report of %q", bs.Name())
	}
	rp.Server = bs.Name()
	rp.Address = bs.Address()
	return rp, nil
}
