// Package watcher tracks the models and the load of backend servers.
//
// Only the owner of a server polls it. The owner gossips the server's ready
// models, and whether it is leaving, to all nodes as a versioned entry when
// they change. It sends the server's load only to the nodes that use the
// server, in answers to their digests (Exchange). A node polls a server that it
// does not own only while no entry about the server is known, or while the
// owner of a server in use does not answer.
//
// # Usage
//
//	ex := watcher.NewExchange(node)
//	wt := watcher.New(watcher.WithExchange(ex), watcher.WithOwns(owns),
//		watcher.WithGossiper(gp))
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

	"github.com/lagoonpass/lagoonpass/internal/coordination/gossiper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/vmlister"
)

// Report is the state of a backend server, as the server or its owner reports
// it.
type Report struct {
	// Server is the backend server's name.
	Server string
	// Address is the host and port of the engine.
	Address string
	// BootID changes when the engine's process restarts.
	BootID string
	// Software is the version of the server's software; empty if unknown.
	Software string
	// Unsettled says that other nodes may not know of this version yet.
	Unsettled bool
	// Unlisted says that the server's registration is missing.
	Unlisted bool
	// Models maps the names of the ready models to their versions. Only the
	// server's owner knows the versions; for other nodes they are empty.
	Models map[string]string
	// Running and Waiting are the numbers of running and waiting requests.
	Running, Waiting int
	// Adapters are the names of the ready adapters.
	Adapters []string
	// Loading are the names of the models and adapters being loaded.
	Loading []string
	// Leaving says that the server takes no new requests.
	Leaving bool
	// Sequence numbers the reports of one boot.
	Sequence uint64
	// Taken is when the report was taken, by this node's clock.
	Taken time.Time
	// CacheEvents are the latest changes of the prefix cache, oldest first.
	CacheEvents []router.CacheEvent
	// FromOwner says that Others, Users and Backlog come from the server's
	// owner.
	FromOwner bool
	// Others is the number of requests of other nodes on the server.
	Others int
	// Users is the number of nodes that use the server, including this one.
	Users int
	// Backlog is the time until the prompts of other nodes' requests are read.
	Backlog time.Duration
	// Prefill is the fraction of its time that the server spends on them.
	Prefill float64
	// Slowness is the mean of what other nodes learned of the server's times to
	// the first token, relative to those expected; zero if they learned nothing.
	Slowness float64
	// WithoutLoad says that the report comes from the owner's gossip and
	// contains no load.
	WithoutLoad bool
}

// Snapshot is an immutable set of the latest reports.
type Snapshot struct {
	reports  map[string]Report
	replicas map[string][]string
}

// Replicas returns the sorted names of the backend servers on which a model is
// ready.
func (sn *Snapshot) Replicas(model string) []string { return sn.replicas[model] }

// ReplicasByModel returns, for each model that is ready on a backend server,
// the sorted names of all servers on which it is ready.
func (sn *Snapshot) ReplicasByModel(server string) map[string][]string {
	models := sn.reports[server].Models
	peers := make(map[string][]string, len(models))
	for model := range models {
		peers[model] = sn.replicas[model]
	}
	return peers
}

// Report returns the last report of a backend server, and whether there is one.
func (sn *Snapshot) Report(server string) (Report, bool) {
	rp, ok := sn.reports[server]
	return rp, ok
}

// Watcher polls the servers of its node and applies the gossip about all
// others.
type Watcher struct {
	read   Read
	owns   func(server string) bool
	gossip *gossiper.Gossiper // nil if the node does not gossip
	// listedLeaving returns the VMs that the platform's list names as leaving.
	listedLeaving func() []vmlister.VM
	// listReadCount returns how often the list has been read.
	listReadCount func() int64
	exchange      *Exchange
	registry      *counter.Registry
	random        *rand.Rand
	snapshot      atomic.Pointer[Snapshot]
	// polls tracks the goroutines of polls and publications.
	polls sync.WaitGroup

	mu       sync.Mutex
	servers  map[string]*trackedServer
	settings *configurer.Settings
	// names maps the hashes in gossip to the names in the settings.
	names map[nameHash]string
	// startedAt is the time of the first tick.
	startedAt time.Time
	// nextReview is when the ownership of the servers is next reviewed.
	nextReview time.Time
	// changed says that the snapshot is outdated.
	changed bool
}

// Read reads the report of one backend server.
type Read func(ctx context.Context, bs *configurer.BackendServer) (Report, error)

// Option configures a Watcher.
type Option func(*Watcher)

// WithExchange adds the load that owners report to the reports.
func WithExchange(ex *Exchange) Option { return func(wt *Watcher) { wt.exchange = ex } }

// WithOwns sets the function that reports whether this node owns a server. By
// default it owns all.
func WithOwns(fn func(server string) bool) Option { return func(wt *Watcher) { wt.owns = fn } }

// WithGossiper makes the watcher gossip the state of the servers that this node
// owns, and apply what other owners gossip.
func WithGossiper(gp *gossiper.Gossiper) Option { return func(wt *Watcher) { wt.gossip = gp } }

// WithListedLeaving sets the function that returns the VMs that the platform's
// list names as leaving.
func WithListedLeaving(fn func() []vmlister.VM) Option {
	return func(wt *Watcher) { wt.listedLeaving = fn }
}

// WithListReadCount sets the function that returns how often the platform's
// list has been read. Without it, a server that was listed as leaving stays so
// even when the list no longer names it as leaving.
func WithListReadCount(fn func() int64) Option { return func(wt *Watcher) { wt.listReadCount = fn } }

// WithRegistry sets the registry that counts polls and gossip.
func WithRegistry(rg *counter.Registry) Option { return func(wt *Watcher) { wt.registry = rg } }

// WithRandom sets the source of randomness for the jitter of polls.
func WithRandom(random *rand.Rand) Option { return func(wt *Watcher) { wt.random = random } }

// WithRead replaces the function that reads reports over HTTP.
func WithRead(read Read) Option { return func(wt *Watcher) { wt.read = read } }

// New returns a watcher with an empty snapshot.
func New(opts ...Option) *Watcher {
	wt := &Watcher{
		read:    newReader().read,
		owns:    func(string) bool { return true },
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		servers: map[string]*trackedServer{},
	}
	for _, opt := range opts {
		opt(wt)
	}
	if wt.gossip != nil {
		wt.gossip.Subscribe(wt.applyEntry)
	}
	if wt.exchange != nil {
		wt.exchange.leaving = wt.leaving
	}
	wt.snapshot.Store(&Snapshot{})
	return wt
}

// Snapshot returns the current snapshot.
func (wt *Watcher) Snapshot() *Snapshot { return wt.snapshot.Load() }

// leaving reports whether a server takes no new requests.
func (wt *Watcher) leaving(server string) bool {
	rp, _ := wt.Snapshot().Report(server)
	return rp.Leaving
}

// Poll polls all servers that this node owns once, concurrently, and waits for
// the answers.
func (wt *Watcher) Poll(ctx context.Context, servers []*configurer.BackendServer) {
	wt.mu.Lock()
	wt.review(time.Now(), servers)
	for _, tr := range wt.servers {
		if tr.owned && !tr.polling {
			wt.startPoll(ctx, tr)
		}
	}
	wt.mu.Unlock()
	wt.polls.Wait()
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.rebuildSnapshot(time.Now())
}

// SetReports replaces the snapshot with reports that were obtained elsewhere.
// It must not be mixed with Run and Poll.
func (wt *Watcher) SetReports(now time.Time, reports []Report) {
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

// rebuildSnapshot stores a new snapshot.
func (wt *Watcher) rebuildSnapshot(now time.Time) {
	wt.changed = false
	sn := &Snapshot{reports: make(map[string]Report, len(wt.servers)), replicas: map[string][]string{}}
	for name, tr := range wt.servers {
		rp, ok := tr.effectiveReport(wt.names)
		if !ok {
			continue
		}
		rp.Leaving = rp.Leaving || tr.bootIsLeaving(rp.BootID)
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
