// Package keyspacerunner assembles an entry node that reads its configuration, its
// backend servers and its peers from a keyspace.
//
// The keyspace stores all state that must be durable or agreed on: the
// operator's configuration, the registrations of backend servers and of nodes,
// and the current leader. Only the leader plans and sends orders. It keeps the
// state of its orders in memory only: an engine counts the orders that it
// accepts and refuses an order that was sent for another count.
//
// # Usage
//
//	cd := keyspacerunner.New(identity, binding, keyspacerunner.WithRegistry(registry))
//	go cd.Run(ctx, peerListener)
//	rf, begun := cd.Dispatcher().Proxy(ctx, cd.Settings(), request, writer)
package keyspacerunner

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"github.com/lagoonpass/lagoonpass/internal/coordination/adapterkeeper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/dispatcher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/ejector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/orderregistrar"
	"github.com/lagoonpass/lagoonpass/internal/coordination/placer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/registrar"
	"github.com/lagoonpass/lagoonpass/internal/coordination/retrier"
	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/coordination/tracker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/watcher"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

const (
	// ownPrefix is the prefix of the system's own keys.
	ownPrefix = "lagoonpass/"
	// orderRecordKey is the key of the record of the servers to which orders were
	// sent. Nodes do not watch it.
	orderRecordKey = "lagoonpass-holders"
	// adapterLease is how long an adapter stays loaded after the last report
	// that a node uses it.
	adapterLease = 1200 * time.Millisecond
	// adapterWaitTimeout bounds how long a request waits for an adapter on one
	// server. It covers several orders of some ten milliseconds each.
	adapterWaitTimeout = 250 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if its server
	// announces no idle timeout. Servers announce it in whole seconds, so a
	// server without an announcement may use less than one second.
	defaultIdleTimeout = 800 * time.Millisecond
	// connectionShare is the fraction of a server's connections that all nodes
	// together open. The rest is for probes and for nodes that not all peers
	// know yet.
	connectionShare = 0.9
	// refreshInterval is the time between two refreshes of the admitter.
	refreshInterval = 50 * time.Millisecond
)

// Identity identifies a node and sets its limits.
type Identity struct {
	// ID is unique among all processes, including earlier ones.
	ID string
	// Zone and Region are the node's location.
	Zone, Region string
	// PeerAddress is the host and port for peers.
	PeerAddress string
	// CallerAddress is the host and port for callers.
	CallerAddress string
	// OrderGap is the minimum time between the orders of two VMs to one server.
	OrderGap time.Duration
	// Retries bounds the retries of all nodes together.
	Retries retrier.Bound
}

// Binding connects a Conductor to the store and the protocols of a platform.
type Binding struct {
	// Store is the platform's store.
	Store storer.Keyspace
	// ConfigKey is the key of the operator's configuration. ConfigPrefix is a
	// prefix of it.
	ConfigPrefix, ConfigKey string
	// DecodeConfig decodes a configuration into its version and its settings
	// files.
	DecodeConfig func(value []byte) (int64, []configurer.File, error)
	// ServerPrefix is the prefix of the registrations of backend servers.
	ServerPrefix string
	// DecodeServer decodes a registration. It returns an error if the
	// registration describes no backend server.
	DecodeServer func(key string, value []byte) (tracker.Server, error)
	// ServerID returns the server's id from the key of its registration.
	ServerID func(key string) string
	// EngineClient sends orders to the engines.
	EngineClient orderer.EngineClient
}

// Runner is one entry node.
type Runner struct {
	identity       Identity
	binding        Binding
	registry       *counter.Registry
	holder         *publisher.Holder // the configuration in force
	registrar      *registrar.Registrar
	orderRegistrar *orderregistrar.Record // the record of the servers to which orders were sent
	pool           *messenger.Pool        // connections to peers
	exchange       *watcher.Exchange      // exchanges loads with peers
	watcher        *watcher.Watcher
	ejector        *ejector.Ejector
	admitter       *admitter.Admitter
	adapters       *adapterkeeper.Keeper
	forwarder      *forwarder.Forwarder
	budget         *retrier.SharedBudget // retries of all nodes together
	dispatch       *dispatcher.Dispatcher
	demands        *placer.Collector // demand reports of all nodes, for the leader's plan
	// snapshot is nil until both configuration and servers are known.
	snapshot atomic.Pointer[snapshot]
	// leaving is set when a planned stop has begun.
	leaving atomic.Bool
	// termState is nil unless the node leads.
	termState atomic.Pointer[termState]

	mu      sync.Mutex
	tracker *tracker.Tracker
	// synced is set when the registrations were read for the first time.
	synced bool
	// faulty has the keys of registrations whose faults were logged.
	faulty map[string]bool
}

// Option configures a Conductor in New.
type Option func(*Runner)

// WithRegistry sets the registry for the node's metrics.
func WithRegistry(rg *counter.Registry) Option { return func(cd *Runner) { cd.registry = rg } }

// New returns a node that serves no callers until Run has read the
// configuration and the backend servers.
func New(id Identity, bd Binding, opts ...Option) *Runner {
	cd := &Runner{
		identity: id,
		binding:  bd,
		holder:   publisher.NewHolder(),
		pool:     messenger.NewPool(),
		exchange: watcher.NewExchange(id.ID, watcher.WithByteBudget(exchangeBytesPerSecond)),
		budget:   retrier.NewSharedBudget(id.Retries, time.Now()),
		demands:  placer.NewCollector(),
		tracker:  tracker.New(),
		faulty:   map[string]bool{},
	}
	for _, opt := range opts {
		opt(cd)
	}
	cd.registry.OnRead(cd.setGauges)
	cd.forwarder = forwarder.New(forwarder.WithIdleTimeout(defaultIdleTimeout), forwarder.WithLimit(cd.connections))
	cd.registrar = registrar.New(bd.Store, ownPrefix, cd.presence,
		registrar.WithReady(cd.Ready), registrar.WithRegistry(cd.registry))
	cd.orderRegistrar = orderregistrar.New(bd.Store, orderRecordKey, hostOf(id.PeerAddress), ownPrefix+registrar.LeaderKey, id.OrderGap)
	cd.watcher = watcher.New(watcher.WithExchange(cd.exchange), watcher.WithRegistry(cd.registry))
	cd.ejector = ejector.New(ejector.WithReplicas(cd.replicas), ejector.WithRegistry(cd.registry))
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	cd.admitter = admitter.New(cd.watcher, cd.ejector, random,
		admitter.WithNodes(cd.nodes), admitter.WithCounters(cd.registry),
		admitter.WithScheduler(admitter.WithLocation(id.ID, id.Zone, id.Region), admitter.WithPolicy(router.NewQuickest(random))))
	cd.adapters = adapterkeeper.New(cd, cd.Settings, cd.leaderView, cd.pool,
		adapterkeeper.WithEngines(cd), adapterkeeper.WithTokens(cd), adapterkeeper.WithBatchedLeases(adapterLease), adapterkeeper.WithWaitTimeout(adapterWaitTimeout),
		adapterkeeper.WithReportedAdapters(cd.reportsAdapter), adapterkeeper.WithRegistry(cd.registry))
	cd.dispatch = dispatcher.New(cd.admitter, cd.forwarder, cd.adapters,
		dispatcher.WithRegistry(cd.registry), dispatcher.WithEjector(cd.ejector), dispatcher.WithSharedBudget(cd.budget))
	return cd
}

// Dispatcher returns the dispatcher that runs requests.
func (cd *Runner) Dispatcher() *dispatcher.Dispatcher { return cd.dispatch }

// View returns the registered nodes and this node.
func (cd *Runner) View() *prober.View { return cd.registrar.View() }

// Ready reports whether the node can serve callers.
func (cd *Runner) Ready() bool { return cd.snapshot.Load() != nil && !cd.leaving.Load() }

// SetRetries sets the bound on the retries of all nodes together.
func (cd *Runner) SetRetries(bound retrier.Bound) { cd.budget.SetBound(bound) }

// Leave tells the peers that the node accepts no new callers, and releases the
// leadership. Requests are still served.
func (cd *Runner) Leave(ctx context.Context) {
	cd.leaving.Store(true)
	cd.registrar.Notify()
	cd.registrar.Resign(ctx)
}

// Run follows the keyspace and the peers, serves peers on the listener, and
// plans while the node leads. It returns when the context ends or a loop fails.
func (cd *Runner) Run(ctx context.Context, peers net.Listener) error {
	var gr run.Group
	server := messenger.NewServer(messenger.HandlerFunc(cd.handlePeer))
	gr.Add(func() error { return server.Serve(peers) }, func(error) {
		server.Close()
		_ = peers.Close()
		cd.pool.Close()
	})
	for _, loop := range []func(context.Context) error{
		cd.registrar.Run, cd.followConfiguration, cd.followServers, cd.refreshAdmitter,
		cd.exchangeLoads, cd.reportDemand, cd.runLeader, cd.adapters.Run,
	} {
		loopCtx, cancel := context.WithCancel(ctx)
		gr.Add(func() error { return loop(loopCtx) }, func(error) { cancel() })
	}
	defer cd.forwarder.Close()
	return gr.Run()
}

// refreshAdmitter applies new load and the current time to queued requests.
func (cd *Runner) refreshAdmitter(ctx context.Context) error {
	waiter.Every(ctx, refreshInterval, func() {
		if sn := cd.snapshot.Load(); sn != nil {
			cd.admitter.Refresh(sn.settings)
		}
	})
	return nil
}

// setGauges sets the gauges that are computed only when metrics are read.
func (cd *Runner) setGauges() {
	sn := cd.snapshot.Load()
	if sn == nil {
		return
	}
	now := time.Now()
	cd.registry.Set(cd.forwarder.Opened(), "backend-connections", "opened")
	cd.registry.Set(int64(len(sn.servers)), "backend-servers", "registered")
	cd.registry.Set(int64(now.Sub(sn.since).Seconds()), "configuration", "age-s")
	for _, po := range sn.settings.Pools() {
		cd.registry.Set(int64(cd.budget.Remaining(po.Name(), now)), "retry-budget", po.Name(), "left")
	}
}

func (cd *Runner) presence() messenger.Presence {
	return messenger.Presence{
		ID:            cd.identity.ID,
		Zone:          cd.identity.Zone,
		Region:        cd.identity.Region,
		PeerAddress:   cd.identity.PeerAddress,
		CallerAddress: cd.identity.CallerAddress,
		Leaving:       cd.leaving.Load(),
	}
}

func (cd *Runner) nodes() int { return max(len(cd.registrar.View().Members()), 1) }

// connections returns how many connections this node may have to a server. It
// is the node's share of the number that the operator configured for the
// server, at least 1, or 0 if the server is unknown.
func (cd *Runner) connections(address string) int {
	sn := cd.snapshot.Load()
	if sn == nil {
		return 0
	}
	total, ok := sn.connections[address]
	if !ok {
		return 0
	}
	return max(int(connectionShare*float64(total))/cd.nodes(), 1)
}

// hostOf returns the host of an address, which identifies the VM.
func hostOf(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// replicas returns the servers that share each of a server's models.
func (cd *Runner) replicas(name string) map[string][]string {
	return cd.watcher.Snapshot().ReplicasByModel(name)
}
