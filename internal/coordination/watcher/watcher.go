// Package watcher knows what backend servers serve and how loaded they are.
//
// Each server is polled by its owner alone. What is ready on it, and whether it
// leaves, is spread to all nodes as a versioned entry when it changes; its load
// goes to the nodes that use it, in answers to their digests (Exchange). A node
// polls a server that it does not own only while nothing was spread about it
// yet, or while the owner of a server in use does not answer.
//
// # Usage
//
//	ex := watcher.NewExchange(node)
//	wt := watcher.New(watcher.WithExchange(ex), watcher.WithOwns(owns), watcher.WithSpreader(sp))
//	go wt.Run(ctx, settings)
//	replicas := wt.Snapshot().Replicas("route-summary")
package watcher

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/coordination/spreader"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/lister"
)

// Report is what a backend server says of itself.
type Report struct {
	// Server is the backend server's name.
	Server string
	// Address is the host and port of the engine.
	Address string
	// BootID changes when the engine's process does.
	BootID string
	// Models are the models that are ready, by name, with their versions; only
	// the server's owner knows the versions.
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
	// Backlog is the time in which the prompts of other nodes will be read.
	Backlog time.Duration
	// Unmeasured says that the report came from the server's owner by way of
	// other nodes and tells nothing of load.
	Unmeasured bool
}

// Snapshot is an immutable picture of all reports.
type Snapshot struct {
	reports  map[string]Report
	replicas map[string][]string
}

// Replicas returns the backend servers on which a model is ready.
func (sn *Snapshot) Replicas(model string) []string { return sn.replicas[model] }

// Peers returns, for each model that a backend server holds, the servers on
// which it is ready.
func (sn *Snapshot) Peers(server string) map[string][]string {
	models := sn.reports[server].Models
	peers := make(map[string][]string, len(models))
	for model := range models {
		peers[model] = sn.replicas[model]
	}
	return peers
}

// Report returns the last report of a backend server.
func (sn *Snapshot) Report(server string) (Report, bool) {
	rp, ok := sn.reports[server]
	return rp, ok
}

// Watcher polls the servers that its node owns, and takes in what the owners
// of the others spread.
type Watcher struct {
	read      Read
	owns      func(server string) bool
	spreader  *spreader.Spreader
	departing func() []lister.VM
	readings  func() int64
	exchange  *Exchange
	registry  *counter.Registry
	random    *rand.Rand
	snapshot  atomic.Pointer[Snapshot]
	polls     sync.WaitGroup

	mu         sync.Mutex
	servers    map[string]*tracked
	settings   *configurer.Settings
	names      map[nameHash]string
	began      time.Time
	nextReview time.Time
	changed    bool
}

// Read reads the report of one server.
type Read func(ctx context.Context, bs *configurer.BackendServer) (Report, error)

// Option changes a Watcher that is being made.
type Option func(*Watcher)

// WithExchange adds what the owners of servers tell to the reports.
func WithExchange(ex *Exchange) Option { return func(wt *Watcher) { wt.exchange = ex } }

// WithOwns makes the watcher poll only the servers for which fn is true.
func WithOwns(fn func(server string) bool) Option { return func(wt *Watcher) { wt.owns = fn } }

// WithSpreader makes the watcher spread what the servers of this node hold, and
// take in what was spread of the others.
func WithSpreader(sp *spreader.Spreader) Option { return func(wt *Watcher) { wt.spreader = sp } }

// WithDeparting tells the watcher which VMs the platform's list names as
// leaving.
func WithDeparting(fn func() []lister.VM) Option { return func(wt *Watcher) { wt.departing = fn } }

// WithListReadings tells the watcher how often the list was read, so that a
// server that the list no longer names as leaving gets work again.
func WithListReadings(fn func() int64) Option { return func(wt *Watcher) { wt.readings = fn } }

// WithRegistry counts what the watcher does.
func WithRegistry(rg *counter.Registry) Option { return func(wt *Watcher) { wt.registry = rg } }

// WithRandom replaces the source of the jitter.
func WithRandom(random *rand.Rand) Option { return func(wt *Watcher) { wt.random = random } }

// WithRead replaces the reading of reports over HTTP.
func WithRead(read Read) Option { return func(wt *Watcher) { wt.read = read } }

// New returns a watcher with an empty snapshot.
func New(opts ...Option) *Watcher {
	wt := &Watcher{
		read:    newReader().read,
		owns:    func(string) bool { return true },
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		servers: map[string]*tracked{},
	}
	for _, opt := range opts {
		opt(wt)
	}
	if wt.spreader != nil {
		wt.spreader.Subscribe(wt.hear)
	}
	if wt.exchange != nil {
		wt.exchange.leaving = wt.leaving
	}
	wt.snapshot.Store(&Snapshot{})
	return wt
}

// Snapshot returns the latest snapshot.
func (wt *Watcher) Snapshot() *Snapshot { return wt.snapshot.Load() }

// leaving reports whether a server takes no new work.
func (wt *Watcher) leaving(server string) bool {
	rp, _ := wt.Snapshot().Report(server)
	return rp.Leaving
}

// Poll reads the reports of all servers that this node owns once, side by side,
// and waits for them.
func (wt *Watcher) Poll(ctx context.Context, servers []*configurer.BackendServer) {
	wt.mu.Lock()
	wt.review(time.Now(), servers)
	for _, tr := range wt.servers {
		if tr.owned && !tr.busy {
			wt.begin(ctx, tr)
		}
	}
	wt.mu.Unlock()
	wt.polls.Wait()
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.rebuild(time.Now())
}

// Observe puts a snapshot of the reports in place that servers gave elsewhere,
// where nothing is polled. It may not be mixed with Run and Poll.
func (wt *Watcher) Observe(now time.Time, reports []Report) {
	sn := &Snapshot{reports: make(map[string]Report, len(reports)), replicas: map[string][]string{}}
	for _, rp := range reports {
		if wt.exchange != nil {
			rp = wt.exchange.apply(rp, now)
		}
		sn.reports[rp.Server] = rp
		for model := range rp.Models {
			sn.replicas[model] = append(sn.replicas[model], rp.Server)
		}
	}
	for _, names := range sn.replicas {
		sort.Strings(names)
	}
	wt.snapshot.Store(sn)
}

// rebuild puts a new snapshot in place.
func (wt *Watcher) rebuild(now time.Time) {
	wt.changed = false
	sn := &Snapshot{reports: make(map[string]Report, len(wt.servers)), replicas: map[string][]string{}}
	for name, tr := range wt.servers {
		rp, ok := tr.compose(wt.names)
		if !ok {
			continue
		}
		rp.Leaving = rp.Leaving || tr.leaves(rp.BootID)
		if wt.exchange != nil {
			rp = wt.exchange.apply(rp, now)
		}
		sn.reports[name] = rp
		for model := range rp.Models {
			sn.replicas[model] = append(sn.replicas[model], name)
		}
	}
	for _, names := range sn.replicas {
		sort.Strings(names)
	}
	wt.snapshot.Store(sn)
}
