// Package conductor puts the parts of an entry node together that takes its
// configuration, its backend servers and its peers from a keyspace.
//
// What has to last or to be agreed stands in the keyspace: the operator's
// configuration, the registrations of backend servers and of nodes, and which
// node leads. The leader alone plans and sends orders. What it knows of orders
// need not outlast it, since engines count the orders that they accept.
//
// # Usage
//
//	cd := conductor.New(conductor.Identity{...}, conductor.Binding{...}, conductor.WithRegistry(registry))
//	go cd.Run(ctx)
//	rf, begun := cd.Dispatcher().Pass(ctx, cd.Settings(), passage, writer)
package conductor

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
	"github.com/lagoonpass/lagoonpass/internal/coordination/custodian"
	"github.com/lagoonpass/lagoonpass/internal/coordination/dispatcher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/ejector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
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
	// ownPrefix is where the system keeps its own keys.
	ownPrefix = "lagoonpass/"
	// holdersKey is the record of the servers to which orders were sent. Nodes
	// do not watch it.
	holdersKey = "lagoonpass-holders"
	// adapterLease is how long an adapter stays that no node says it uses.
	adapterLease = 1200 * time.Millisecond
	// adapterPatience is how long a request waits for an adapter on one server:
	// several orders, each of which takes some ten milliseconds.
	adapterPatience = 250 * time.Millisecond
	// silentIdle is how long a connection is kept whose server does not say how
	// long it may be idle: the announcement is in whole seconds, and a server
	// that makes none may mean less than one.
	silentIdle = 800 * time.Millisecond
	// connectionShare is the part of the connections that a server accepts which
	// all nodes together open: probes and nodes that only some know of need the
	// rest.
	connectionShare = 0.9
	// passInterval is the time between two looks at what waits.
	passInterval = 50 * time.Millisecond
)

// Identity says which node this is.
type Identity struct {
	// ID differs from that of any other process, earlier ones included.
	ID string
	// Zone and Region are where the node is.
	Zone, Region string
	// PeerAddress is where peers call the node.
	PeerAddress string
	// CallerAddress is where callers reach the node.
	CallerAddress string
	// OrderGap is how far apart the orders of two VMs to a server have to be.
	OrderGap time.Duration
	// Retries is what all nodes together may repeat.
	Retries retrier.Bound
}

// Binding is how a platform's protocols are met.
type Binding struct {
	// Store is the platform's store.
	Store storer.Keyspace
	// ConfigPrefix is the prefix under which ConfigKey, the key of the
	// operator's configuration, stands.
	ConfigPrefix, ConfigKey string
	// DecodeConfig reads a configuration: its version and the settings files
	// that it stands for.
	DecodeConfig func(value []byte) (int64, []configurer.File, error)
	// ServerPrefix is where backend servers register.
	ServerPrefix string
	// DecodeServer reads a registration. An error means that it names none.
	DecodeServer func(key string, value []byte) (tracker.Server, error)
	// ServerID returns the id in the key of a registration.
	ServerID func(key string) string
	// EngineClient reaches the engines.
	EngineClient orderer.EngineClient
}

// Conductor is one entry node.
type Conductor struct {
	identity  Identity
	binding   Binding
	registry  *counter.Registry
	holder    *publisher.Holder
	registrar *registrar.Registrar
	custodian *custodian.Custodian
	pool      *messenger.Pool
	exchange  *watcher.Exchange
	watcher   *watcher.Watcher
	ejector   *ejector.Ejector
	admitter  *admitter.Admitter
	adapters  *adapterkeeper.Keeper
	forwarder *forwarder.Forwarder
	budget    *retrier.SharedBudget
	dispatch  *dispatcher.Dispatcher
	demands   *placer.Collector
	inForce   atomic.Pointer[inForce]
	leaving   atomic.Bool
	steward   atomic.Pointer[steward]

	mu      sync.Mutex
	tracker *tracker.Tracker
	synced  bool
	faulty  map[string]bool
}

// Option changes a Conductor that is being made.
type Option func(*Conductor)

// WithRegistry counts what the node does.
func WithRegistry(rg *counter.Registry) Option { return func(cd *Conductor) { cd.registry = rg } }

// New returns a node that knows nothing yet.
func New(id Identity, bd Binding, opts ...Option) *Conductor {
	cd := &Conductor{
		identity: id,
		binding:  bd,
		holder:   publisher.NewHolder(),
		pool:     messenger.NewPool(),
		exchange: watcher.NewExchange(id.ID, watcher.WithByteBudget(exchangeBytes)),
		budget:   retrier.NewSharedBudget(id.Retries, time.Now()),
		demands:  placer.NewCollector(),
		tracker:  tracker.New(),
		faulty:   map[string]bool{},
	}
	for _, opt := range opts {
		opt(cd)
	}
	cd.registry.OnRead(cd.setGauges)
	cd.forwarder = forwarder.New(forwarder.WithIdleTimeout(silentIdle), forwarder.WithLimit(cd.connections))
	cd.registrar = registrar.New(bd.Store, ownPrefix, cd.presence,
		registrar.WithReady(cd.Ready), registrar.WithRegistry(cd.registry))
	cd.custodian = custodian.New(bd.Store, holdersKey, hostOf(id.PeerAddress), ownPrefix+registrar.LeaderKey, id.OrderGap)
	cd.watcher = watcher.New(watcher.WithExchange(cd.exchange), watcher.WithRegistry(cd.registry))
	cd.ejector = ejector.New(ejector.WithReplicas(cd.replicas), ejector.WithRegistry(cd.registry))
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	cd.admitter = admitter.New(cd.watcher, cd.ejector, random,
		admitter.WithNodes(cd.nodes), admitter.WithCounters(cd.registry),
		admitter.WithScheduler(admitter.WithLocation(id.ID, id.Zone, id.Region), admitter.WithPolicy(router.NewQuickest(random))))
	cd.adapters = adapterkeeper.New(cd, cd.Settings, cd.leaderView, cd.pool,
		adapterkeeper.WithEngines(cd), adapterkeeper.WithTokens(cd), adapterkeeper.WithBatchedLeases(adapterLease), adapterkeeper.WithWaitTimeout(adapterPatience),
		adapterkeeper.WithReportedAdapters(cd.reportsAdapter), adapterkeeper.WithRegistry(cd.registry))
	cd.dispatch = dispatcher.New(cd.admitter, cd.forwarder, cd.adapters,
		dispatcher.WithRegistry(cd.registry), dispatcher.WithEjector(cd.ejector), dispatcher.WithSharedBudget(cd.budget))
	return cd
}

// Dispatcher returns what runs requests.
func (cd *Conductor) Dispatcher() *dispatcher.Dispatcher { return cd.dispatch }

// View returns the nodes that are registered, and this one.
func (cd *Conductor) View() *prober.View { return cd.registrar.View() }

// Ready reports whether the node can serve callers.
func (cd *Conductor) Ready() bool { return cd.inForce.Load() != nil && !cd.leaving.Load() }

// SetRetries sets what all nodes together may repeat.
func (cd *Conductor) SetRetries(bound retrier.Bound) { cd.budget.SetBound(bound) }

// Leave tells the peers that the node takes no new callers, and gives up what
// only one node may do. Requests are still served.
func (cd *Conductor) Leave(ctx context.Context) {
	cd.leaving.Store(true)
	cd.registrar.Notify()
	cd.registrar.Resign(ctx)
}

// Run keeps the node's knowledge up to date until the context ends.
func (cd *Conductor) Run(ctx context.Context, peers net.Listener) error {
	var gr run.Group
	server := messenger.NewServer(messenger.HandlerFunc(cd.handlePeer))
	gr.Add(func() error { return server.Serve(peers) }, func(error) {
		server.Close()
		_ = peers.Close()
		cd.pool.Close()
	})
	for _, loop := range []func(context.Context) error{
		cd.registrar.Run, cd.followConfiguration, cd.followServers, cd.pass,
		cd.exchangeLoads, cd.reportDemand, cd.steer, cd.adapters.Run,
	} {
		loopCtx, cancel := context.WithCancel(ctx)
		gr.Add(func() error { return loop(loopCtx) }, func(error) { cancel() })
	}
	defer cd.forwarder.Close()
	return gr.Run()
}

// pass lets what waits learn of new load and of the time.
func (cd *Conductor) pass(ctx context.Context) error {
	waiter.Every(ctx, passInterval, func() {
		if inf := cd.inForce.Load(); inf != nil {
			cd.admitter.Refresh(inf.settings)
		}
	})
	return nil
}

// setGauges sets what only a reader of the metrics wants to know.
func (cd *Conductor) setGauges() {
	inf := cd.inForce.Load()
	if inf == nil {
		return
	}
	now := time.Now()
	cd.registry.Set(cd.forwarder.Opened(), "backend-connections", "opened")
	cd.registry.Set(int64(len(inf.servers)), "backend-servers", "registered")
	cd.registry.Set(int64(now.Sub(inf.since).Seconds()), "configuration", "age-s")
	for _, po := range inf.settings.Pools() {
		cd.registry.Set(int64(cd.budget.Remaining(po.Name(), now)), "retry-budget", po.Name(), "left")
	}
}

func (cd *Conductor) presence() messenger.Presence {
	return messenger.Presence{
		ID:            cd.identity.ID,
		Zone:          cd.identity.Zone,
		Region:        cd.identity.Region,
		PeerAddress:   cd.identity.PeerAddress,
		CallerAddress: cd.identity.CallerAddress,
		Leaving:       cd.leaving.Load(),
	}
}

func (cd *Conductor) nodes() int { return max(len(cd.registrar.View().Members()), 1) }

// connections returns how many connections this node may have to a server: its
// part of what the operator says that the server accepts.
func (cd *Conductor) connections(address string) int {
	inf := cd.inForce.Load()
	if inf == nil {
		return 0
	}
	total, ok := inf.connections[address]
	if !ok {
		return 0
	}
	return max(int(connectionShare*float64(total))/cd.nodes(), 1)
}

// hostOf returns the VM's part of an address.
func hostOf(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// replicas tells the ejector which servers share a server's models.
func (cd *Conductor) replicas(name string) map[string][]string {
	return cd.watcher.Snapshot().Peers(name)
}
