// Package keyspacerunner assembles and runs an entry node that reads its
// configuration, its backend servers and its peers from a keyspace.
//
// The keyspace stores all state that must be durable or agreed on: the
// operator's configuration, the registrations of backend servers and of nodes,
// and the current leader. Only the leader plans and sends orders. It keeps the
// state of its orders in memory only: an engine counts the orders that it
// accepts and refuses an order that was sent for another count.
//
// # Usage
//
//	rn := keyspacerunner.New(identity, binding, keyspacerunner.WithRegistry(registry))
//	go rn.Run(ctx, peerListener)
//	rf, begun := rn.Dispatcher().Proxy(ctx, rn.Settings(), request, writer)
package keyspacerunner

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"github.com/lagoonpass/lagoonpass/internal/coordination/adapterkeeper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/crashdetector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/delegator"
	"github.com/lagoonpass/lagoonpass/internal/coordination/dispatcher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/downlister"
	"github.com/lagoonpass/lagoonpass/internal/coordination/ejector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/isolator"
	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/orderregistrar"
	"github.com/lagoonpass/lagoonpass/internal/coordination/pathwatcher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/placer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/postponer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/quotakeeper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/registrar"
	"github.com/lagoonpass/lagoonpass/internal/coordination/relayer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/retrier"
	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/coordination/tallier"
	"github.com/lagoonpass/lagoonpass/internal/coordination/throttler"
	"github.com/lagoonpass/lagoonpass/internal/coordination/tracker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/truncationdetector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/versionkeeper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/watcher"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/internal/stopwatch"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

const (
	// ownPrefix is the prefix of the system's own keys.
	ownPrefix = "lagoonpass/"
	// excludedPrefix precedes the contents that are kept from servers,
	// under ownPrefix.
	excludedPrefix = "excluded/"
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
	// memberPause, configurationPause and serverPause are the times in which
	// changes of one kind are taken together. With the time until a lost source of
	// changes is replaced they stay within the bounds on leaving servers and on new
	// configurations.
	memberPause        = 300 * time.Millisecond
	configurationPause = 200 * time.Millisecond
	serverPause        = 400 * time.Millisecond
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
	// QuotaSlack is the number of tokens by which the use of a caller's quota may
	// exceed it in the operator's window.
	QuotaSlack float64
	// Capacity is how many requests a second the node bears, or 0 if that is not
	// known; see SetCapacity.
	Capacity int64
	// Seeds are peer addresses of nodes to ask if the store does not answer a
	// node that starts.
	Seeds []string
}

// Binding connects a Runner to the store and the protocols of a platform.
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
	// Ping returns a request that a server answers at once, whatever its load. Without
	// it the node does not watch its path to the servers.
	Ping func(server, address string) forwarder.Request
}

// Runner is one entry node.
type Runner struct {
	identity       Identity
	binding        Binding
	registry       *counter.Registry
	holder         *publisher.Holder // the configuration in force
	registrar      *registrar.Registrar
	leadership     leadership             // the registrar; tests replace it
	relayer        *relayer.Relayer       // copies the store's keys
	orderRegistrar *orderregistrar.Record // the record of the servers to which orders were sent
	pool           *messenger.Pool        // connections to peers
	quotaPool      *messenger.Pool        // those for reports of quotas
	uploadPool     *messenger.Pool        // those for long bodies of delegated requests
	exchange       *watcher.Exchange      // exchanges loads with peers
	watcher        *watcher.Watcher
	ejector        *ejector.Ejector
	downs          *downlister.Lister // backend servers that are down
	admitter       *admitter.Admitter
	adapters       *adapterkeeper.Keeper
	forwarder      *forwarder.Forwarder
	delegator      *delegator.Delegator  // has other nodes run requests
	quotas         *quotakeeper.Keeper   // charges requests to the quotas of callers
	path           *pathwatcher.Watcher  // whether the node reaches the servers
	pathPeers      map[string]*pathPeers // whom watchPaths asks, by pool
	pathBack       map[string]time.Time  // since when watchPaths has paths back, by pool
	budget         *retrier.SharedBudget // retries of all nodes together
	dispatch       *dispatcher.Dispatcher
	crashes        *crashdetector.Detector // tells crashes of backend servers from other losses
	isolator       *isolator.Isolator      // keeps requests from servers that they would crash
	versions       *versionkeeper.Keeper   // where streams began
	tally          *tallier.Tally          // results of this node's requests by model and adapter
	demands        *placer.Collector       // demand reports of all nodes, for the leader's plan
	// snapshot is nil until both configuration and servers are known.
	snapshot atomic.Pointer[snapshot]
	// cutOff has the pools whose servers other nodes reach and this one does not.
	cutOff cutOff
	// rejected is set while the node's copy of the configuration is a later one than
	// that in force and cannot be put in force.
	rejected atomic.Bool
	// unread is set while the store does not answer reads of the configuration, and
	// restored from its return from an older copy to the next read of all keys.
	unread, restored atomic.Bool
	// document is the configuration in force as the operator wrote it. copied is the
	// number of the one that the node's copy of the store's keys has, or 0 if it has none
	// that can be put in force, and untakable that of one which another node sent and
	// which can't.
	document          atomic.Pointer[document]
	copied, untakable atomic.Int64
	takeMu            sync.Mutex // held while a configuration of another node is taken
	// started is when the node was made, by a clock that runs while it is suspended.
	started time.Duration
	// startedAt is the same by the clock of the VM.
	startedAt time.Time
	// capacity is how many requests a second the node bears; 0 means unknown.
	capacity atomic.Int64
	// postponer holds the requests that arrive before the first snapshot.
	postponer *postponer.Postponer
	// leaving is set when a planned stop has begun.
	leaving atomic.Bool
	// termState is nil unless the node leads.
	termState atomic.Pointer[termState]
	// serverLost tells the leader's loop that a server leaves or is gone.
	serverLost chan struct{}

	signalsMu sync.Mutex
	// signals has the last signals of each server that gave some.
	signals map[string]throttler.Signals

	mu      sync.Mutex
	tracker *tracker.Tracker
	// synced is set when the registrations were read for the first time.
	synced bool
	// faulty has the keys of registrations whose faults were logged.
	faulty map[string]bool
}

// Option configures a Runner in New.
type Option func(*Runner)

// WithRegistry sets the registry for the node's metrics.
func WithRegistry(rg *counter.Registry) Option { return func(rn *Runner) { rn.registry = rg } }

// New returns a node that serves no callers until Run has read the
// configuration and the backend servers.
func New(id Identity, bd Binding, opts ...Option) *Runner {
	rn := &Runner{
		identity: id,
		binding:  bd,
		holder:   publisher.NewHolder(),
		pool:     messenger.NewPool(),
		// A leader of an earlier build closes the connection on which it gets a
		// message that it does not know, with all other calls on it.
		quotaPool:  messenger.NewPool(),
		uploadPool: messenger.NewPool(),
		exchange:   watcher.NewExchange(id.ID, watcher.WithByteBudget(exchangeBytesPerSecond)),
		budget:     retrier.NewSharedBudget(id.Retries, time.Now(), retrier.WithPredecessor()),
		demands:    placer.NewCollector(),
		tally:      tallier.New(),
		signals:    map[string]throttler.Signals{},
		pathPeers:  map[string]*pathPeers{},
		pathBack:   map[string]time.Time{},
		tracker:    tracker.New(),
		faulty:     map[string]bool{},
		started:    stopwatch.Now(),
		startedAt:  time.Now(),
		serverLost: make(chan struct{}, 1),
		postponer:  postponer.New(),
	}
	for _, opt := range opts {
		opt(rn)
	}
	rn.capacity.Store(id.Capacity)
	rn.registry.OnRead(rn.setGauges)
	rn.forwarder = forwarder.New(forwarder.WithIdleTimeout(defaultIdleTimeout), forwarder.WithLimit(rn.connections), forwarder.WithProbeLimit(rn.probedConnections),
		forwarder.WithOnSilence(func(address string) { rn.path.Silent(address) }),
		forwarder.WithOnConnect(func(address string, err error) { rn.path.Connected(address, err) }))
	rn.path = pathwatcher.New(rn.pathServers, rn.pingServer, rn.forwarder, pathwatcher.WithRegistry(rn.registry), pathwatcher.WithOnChange(rn.pathChanged))
	rn.registrar = registrar.New(bd.Store, ownPrefix, rn.presence,
		registrar.WithReady(rn.isReady), registrar.WithFitness(rn.mayLead), registrar.WithLostPools(rn.lostPools), registrar.WithRegistry(rn.registry),
		registrar.WithoutReplication(), registrar.WithCapacity(rn.capacity.Load), registrar.WithCheck(rn.checkPeer))
	rn.leadership = rn.registrar
	rn.relayer = relayer.New(bd.Store, rn.registrar.View, rn.registrar.LeaderID, rn.pool, []relayer.Prefix{
		relayer.NewPrefix(ownPrefix, ownSink{rn.registrar, rn}, memberPause),
		relayer.NewPrefix(bd.ConfigPrefix, configSink{rn}, configurationPause),
		relayer.NewPrefix(bd.ServerPrefix, serverSink{rn}, serverPause),
	}, relayer.WithConfirmation(rn.registrar.RenewedAt), relayer.WithSeeds(id.Seeds), relayer.WithConfiguration(configSink{rn}), relayer.WithRegistry(rn.registry))
	rn.orderRegistrar = orderregistrar.New(bd.Store, orderRecordKey, hostOf(id.PeerAddress), ownPrefix+registrar.LeaderKey, id.OrderGap)
	rn.watcher = watcher.New(watcher.WithExchange(rn.exchange), watcher.WithRegistry(rn.registry))
	rn.ejector = ejector.New(ejector.WithReplicas(rn.replicas), ejector.WithRegistry(rn.registry))
	rn.downs = downlister.New(id.ID, rn.forwarder.TryConnect, downlister.WithPeers(rn.pool, rn.otherNodes),
		downlister.WithDoubt(rn.path.Doubtful), downlister.WithRegistry(rn.registry))
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	rn.admitter = admitter.New(rn.watcher, rn.ejector, random,
		admitter.WithNodes(rn.nodes), admitter.WithCounters(rn.registry),
		admitter.WithScheduler(admitter.WithReachability(rn.downs), admitter.WithAdapterStandings(adapterStandings{rn}), admitter.WithLocation(id.ID, id.Zone, id.Region), admitter.WithMembers(rn.memberIDs), admitter.WithConnections(rn.connections), admitter.WithSignals(), admitter.WithPolicy(router.NewQuickest(random))))
	rn.adapters = adapterkeeper.New(rn, rn.Settings, rn.leaderView, rn.pool,
		adapterkeeper.WithEngines(rn), adapterkeeper.WithTokens(rn), adapterkeeper.WithBatchedLeases(adapterLease), adapterkeeper.WithWaitTimeout(adapterWaitTimeout),
		adapterkeeper.WithReportedAdapters(rn.reportsAdapter), adapterkeeper.WithReplicas(rn.usableReplicas), adapterkeeper.WithRegistry(rn.registry))
	rn.delegator = delegator.New(rn.pool, id.ID, id.Zone, func() []prober.Member { return rn.registrar.View().Members() },
		rn.servesOthers, delegator.WithUploads(rn.uploadPool), delegator.WithRegistry(rn.registry))
	rn.isolator = isolator.New(rn.pool, rn.peerAddresses, rn.leaderAddress,
		isolator.WithStore(bd.Store, ownPrefix+excludedPrefix), isolator.WithRegistry(rn.registry))
	rn.versions = versionkeeper.New(rn.pool, id.ID, func() []prober.Member { return rn.registrar.View().Members() },
		versionkeeper.WithAge(rn.relayer.Age), versionkeeper.WithRegistry(rn.registry),
		versionkeeper.WithStore(bd.Store, ownPrefix, rn.leads))
	rn.quotas = quotakeeper.New(id.ID, quotaLeadership{rn}, rn.quotaPool, quotakeeper.WithMachine(hostOf(id.PeerAddress)), quotakeeper.WithSlack(id.QuotaSlack), quotakeeper.WithRegistry(rn.registry))
	rn.crashes = crashdetector.New(rn.forwarder.Refuses, crashdetector.WithLeaving(rn.hasLeft), crashdetector.WithPath(rn.lostPath), crashdetector.WithRegistry(rn.registry),
		crashdetector.WithOnCrash(rn.noteCrash))
	truncation := truncationdetector.New(rn.forwarder.Refuses, truncationdetector.WithState(rn.processState), truncationdetector.WithRegistry(rn.registry))
	rn.dispatch = dispatcher.New(rn.admitter, rn.forwarder, rn.adapters,
		dispatcher.WithRegistry(rn.registry), dispatcher.WithEjector(rn.ejector), dispatcher.WithSharedBudget(rn.budget), dispatcher.WithTally(rn.tally), dispatcher.WithSignals(rn.noteSignals), dispatcher.WithVersions(serverVersions{rn.versions, rn}),
		dispatcher.WithCrashes(rn.crashes), dispatcher.WithTruncation(truncation), dispatcher.WithQuarantine(rn.isolator), dispatcher.WithDelegate(pathDelegate{rn}), dispatcher.WithOutages(rn.downs), dispatcher.WithQuota(rn.quotas))
	return rn
}

// Dispatcher returns the dispatcher that runs requests.
func (rn *Runner) Dispatcher() *dispatcher.Dispatcher { return rn.dispatch }

// View returns the registered nodes and this node.
func (rn *Runner) View() *prober.View { return rn.registrar.View() }

// Ready reports whether the node can serve callers.
func (rn *Runner) Ready() bool { return rn.snapshot.Load() != nil && !rn.leaving.Load() }

// SetRetries sets the bound on the retries of all nodes together.
func (rn *Runner) SetRetries(bound retrier.Bound) { rn.budget.SetBound(bound) }

// SetCapacity sets how many requests a second the node bears; 0 means unknown. Callers
// get the node's address in proportion to it.
func (rn *Runner) SetCapacity(capacity int64) {
	if rn.capacity.Swap(capacity) != capacity {
		rn.registrar.Notify()
	}
}

// Leave tells the peers that the node accepts no new callers, and releases the
// leadership. Requests are still served.
func (rn *Runner) Leave(ctx context.Context) {
	rn.leaving.Store(true)
	rn.registrar.Notify()
	rn.registrar.Resign(ctx)
}

// Run follows the keyspace and the peers, serves peers on the listener, and
// plans while the node leads. It returns when the context ends or a loop fails.
func (rn *Runner) Run(ctx context.Context, peers net.Listener) error {
	var gr run.Group
	server := messenger.NewServer(messenger.HandlerFunc(rn.handlePeer))
	gr.Add(func() error { return server.Serve(peers) }, func(error) {
		server.Close()
		_ = peers.Close()
		rn.pool.Close()
		rn.quotaPool.Close()
		rn.uploadPool.Close()
	})
	for _, loop := range []func(context.Context) error{
		rn.registrar.Run, rn.relayer.Run, rn.expireServers, rn.refreshAdmitter,
		rn.exchangeLoads, rn.reportDemand, rn.reportUnserved, rn.runLeader, rn.adapters.Run, rn.isolator.Run, rn.versions.Run, rn.path.Run, rn.watchPaths, rn.downs.Run, rn.quotas.Run,
	} {
		loopCtx, cancel := context.WithCancel(ctx)
		gr.Add(func() error { return loop(loopCtx) }, func(error) { cancel() })
	}
	defer rn.forwarder.Close()
	return gr.Run()
}

// refreshAdmitter applies new load and the current time to queued requests.
func (rn *Runner) refreshAdmitter(ctx context.Context) error {
	waiter.Every(ctx, refreshInterval, func() {
		if sn := rn.snapshot.Load(); sn != nil {
			rn.admitter.Refresh(sn.settings)
			return
		}
		rn.refresh()
	})
	return nil
}

// setGauges sets the gauges that are computed only when metrics are read.
func (rn *Runner) setGauges() {
	sn := rn.snapshot.Load()
	if sn == nil {
		return
	}
	now := time.Now()
	rn.registry.Set(rn.forwarder.Opened(), "backend-connections", "opened")
	rn.registry.Set(int64(len(rn.path.Lost())), "path", "detached")
	down, suspected := rn.downs.Outages()
	rn.registry.Set(int64(down), "backend-servers", "down")
	rn.registry.Set(int64(suspected), "backend-servers", "suspected")
	if age, ok := rn.quotas.Age(); ok {
		rn.registry.Set(age.Milliseconds(), "quota", "ledger-age-ms")
	}
	rn.registry.Set(rn.capacity.Load(), "node", "capacity-requests-per-s")
	rn.registry.Set(rn.relayer.Age().Milliseconds(), "feed", "age-ms")
	rn.registry.Set(int64(len(sn.servers)), "backend-servers", "registered")
	rn.registry.Set(int64(now.Sub(sn.since).Seconds()), "configuration", "age-s")
	for _, po := range sn.settings.Pools() {
		rn.registry.Set(int64(rn.budget.Remaining(po.Name(), now)), "retry-budget", po.Name(), "left")
	}
}

func (rn *Runner) presence() messenger.Presence {
	return messenger.Presence{
		ID:            rn.identity.ID,
		Zone:          rn.identity.Zone,
		Region:        rn.identity.Region,
		PeerAddress:   rn.identity.PeerAddress,
		CallerAddress: rn.identity.CallerAddress,
		Leaving:       rn.leaving.Load(),
		Started:       rn.startedAt.UnixMilli(),
	}
}

func (rn *Runner) nodes() int { return max(len(rn.registrar.View().Members()), 1) }

// memberIDs returns the ids of the registered nodes that reach the servers of the pool.
func (rn *Runner) memberIDs(pool string) []string {
	members := rn.registrar.View().Members()
	ids := make([]string, 0, len(members))
	for _, mb := range members {
		if !slices.Contains(mb.LostPools, pool) {
			ids = append(ids, mb.ID)
		}
	}
	return ids
}

// connections returns how many connections to a server this node's requests may have, at
// least 1, or 0 if the server is unknown. It is the node's share of the number that the
// operator configured for the server, and leaves one to probes if the share allows.
func (rn *Runner) connections(address string) int {
	total, ok := rn.configuredConnections(address)
	if !ok {
		return 0
	}
	return max(min(int(connectionShare*float64(total))/rn.nodes(), total/rn.nodes()-1), 1)
}

// probedConnections returns how many connections this node may have to a server with those
// that only show whether it answers, at least 1, or 0 if the server is unknown.
func (rn *Runner) probedConnections(address string) int {
	total, ok := rn.configuredConnections(address)
	if !ok {
		return 0
	}
	return max(total/rn.nodes(), 1)
}

// configuredConnections returns how many connections the server accepts, or false if it is
// unknown.
func (rn *Runner) configuredConnections(address string) (int, bool) {
	sn := rn.snapshot.Load()
	if sn == nil {
		return 0, false
	}
	total, ok := sn.connections[address]
	return total, ok
}

// hostOf returns the host of an address, which identifies the VM.
func hostOf(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// replicas returns the servers that share each of a server's models.
func (rn *Runner) replicas(name string) map[string][]string {
	return rn.watcher.Snapshot().ReplicasByModel(name)
}
