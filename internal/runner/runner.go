// Package runner assembles an entry node and runs it until a planned stop.
//
// # Usage
//
//	nd, err := runner.New(identity)
//	err = nd.Run(ctx) // until ctx ends, then a graceful shutdown
//
// One goroutine, the control loop, owns the control state. Requests read
// immutable snapshots.
package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/oklog/run"

	"github.com/lagoonpass/lagoonpass/internal/coordination/adapterkeeper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/claimer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/dispatcher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/downlister"
	"github.com/lagoonpass/lagoonpass/internal/coordination/ejector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/isolator"
	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/placer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/watcher"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/server"
	"github.com/lagoonpass/lagoonpass/internal/state/identifier"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/internal/state/vmlister"
	"github.com/lagoonpass/lagoonpass/internal/transport/connectiondrainer"
)

const (
	// headerTimeout bounds the time in which a caller sends a request's headers.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 64 << 10
)

// Node is one entry node.
type Node struct {
	identity *identifier.Node
	security *security
	registry *counter.Registry
	store    storer.Store
	// meter counts and limits the calls of store.
	meter *storer.Meter
	// callBudget is this node's share of the store calls of all nodes.
	callBudget *storer.CallBudget
	// holder has the configuration in force.
	holder  *publisher.Holder
	network Network
	vmList  prober.VMList
	// pool keeps connections to peers.
	pool     *messenger.Pool
	prober   *prober.Prober
	claimer  *claimer.Claimer
	follower *publisher.Follower
	watcher  *watcher.Watcher
	// exchange exchanges loads with peers.
	exchange *watcher.Exchange
	orderer  *orderer.Orderer
	// goals caches the goals of the settings in force.
	goals    *orderer.Goals
	adapters *adapterkeeper.Keeper
	downs    *downlister.Lister // backend servers that are down
	placer   *placer.Placer
	backends *backends
	admitter *admitter.Admitter
	isolator *isolator.Isolator
	// peers serves peers on peerListener, and web serves callers on
	// callerListener.
	peers          *messenger.Server
	web            *http.Server
	callerListener net.Listener
	callers        *connectiondrainer.Listener // accepts the connections of callerListener
	peerListener   net.Listener
	// leaving is set when a planned stop has begun.
	leaving atomic.Bool
	server  *server.Server
	// after times the pauses of a planned stop.
	after Timer
	// drained is closed when a planned stop has ended.
	drained chan struct{}
	// aborted is closed when Abort cuts a planned stop short.
	aborted   chan struct{}
	abortOnce sync.Once
	records
	limits
	*drainer
}

// Option configures a Node in New.
type Option func(*Node)

// WithStore replaces the store that the node's settings name with st.
func WithStore(st storer.Store) Option { return func(nd *Node) { nd.store = st } }

// Timer returns a channel that receives once the time has passed, as time.After
// does.
type Timer func(time.Duration) <-chan time.Time

// WithTimer replaces the timer of a planned stop.
func WithTimer(tm Timer) Option { return func(nd *Node) { nd.after = tm } }

// New opens the node's listeners and returns the node. It fails if a
// certificate cannot be read or an address cannot be listened on.
func New(id *identifier.Node, opts ...Option) (*Node, error) {
	sc, err := newSecurity(id, time.Now)
	if err != nil {
		return nil, err
	}
	nd := &Node{
		identity: id,
		security: sc,
		registry: counter.NewRegistry(),
		store:    storer.NewClient(id.Store()),
		holder:   publisher.NewHolder(),
		network:  Network{Listen: listenTCP},
		vmList:   vmlister.New(id.VMList()),
		exchange: watcher.NewExchange(id.ID()),
		after:    time.After,
		drained:  make(chan struct{}),
		aborted:  make(chan struct{}),
		drainer:  newDrainer(),
	}
	for _, opt := range opts {
		opt(nd)
	}
	nd.pool = nd.newPool()
	nd.callBudget = storer.NewCallBudget(minStoreReads, minStoreWrites)
	nd.meter = storer.NewMeter(nd.store, nd.registry, storer.WithCallBudget(nd.callBudget), storer.WithCircuitBreaker(rand.Float64))
	if err := nd.listen(); err != nil {
		return nil, err
	}
	nd.prober = prober.New(nd.presence, nd.vmList, nd.pool, prober.WithRegistry(nd.registry))
	nd.buildLimits()
	nd.orderer = orderer.New(id.ID(), nd.meter.For(storer.PurposeOrder),
		orderer.WithCounters(nd.registry),
		orderer.WithEngines(nd.engines()),
		orderer.WithTokens(sharedTokens{&nd.limits}),
		orderer.WithServing(nd.serving))
	nd.watcher = nd.newWatcher()
	nd.buildAdapters()
	nd.claimer = claimer.New(nd.meter.For(storer.PurposeOwnership), nd.prober.View, nd.pool, claimer.WithRegistry(nd.registry))
	nd.follower = publisher.NewFollower(nd.holder, nd.meter.For(storer.PurposeConfiguration),
		nd.prober.View, nd.pool, nd.prober.Gossiper(), publisher.WithRegistry(nd.registry))
	nd.buildPlacer()
	nd.buildRecords()
	nd.peers = messenger.NewServer(messenger.HandlerFunc(nd.handlePeer))
	nd.web = &http.Server{Handler: nd.buildServer(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: nd.callers.Track, ConnContext: nd.callers.Context}
	return nd, nil
}

// PeerAddress returns the host and port on which the node listens for peers.
func (nd *Node) PeerAddress() string { return nd.peerListener.Addr().String() }

// CallerAddress returns the host and port on which the node listens for
// callers.
func (nd *Node) CallerAddress() string { return nd.callerListener.Addr().String() }

// Values returns the node's metrics by name.
func (nd *Node) Values() map[string]int64 { return nd.registry.Values() }

func (nd *Node) buildServer() http.Handler {
	fw := nd.newForwarder()
	ej := ejector.New(ejector.WithReplicas(nd.replicas), ejector.WithRegistry(nd.registry))
	nd.downs = downlister.New(nd.identity.ID(), fw.TryConnect, downlister.WithRegistry(nd.registry))
	nd.admitter = nd.newAdmitter(ej)
	opts := append(nd.quarantine(fw), dispatcher.WithRegistry(nd.registry), dispatcher.WithEjector(ej), dispatcher.WithOutages(nd.downs), dispatcher.WithQuota(callerQuota{&nd.limits}))
	ds := dispatcher.New(nd.admitter, fw, nd.adapters, opts...)
	iv := nd.buildInvoker(fw)
	nd.server = server.New(server.Components{
		Holder:      nd.holder,
		Dispatcher:  ds,
		Invoker:     iv,
		Jobs:        nd.buildJobs(ds, iv),
		View:        nd.prober.View,
		LatestKnown: nd.follower.LatestKnown,
		Zone:        nd.identity.Zone(),
		Registry:    nd.registry,
		Leaving:     nd.leaving.Load,
		Drain:       nd.Drain,
	})
	return nd.server
}

// replicas returns the servers that share each of a server's models.
func (nd *Node) replicas(name string) map[string][]string {
	return nd.watcher.Snapshot().ReplicasByModel(name)
}

func (nd *Node) listen() error {
	var err error
	if nd.callerListener, err = nd.network.Listen(nd.identity.CallerAddress()); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if nd.peerListener, err = nd.network.Listen(nd.identity.PeerAddress()); err != nil {
		_ = nd.callerListener.Close()
		return errors.Wrap(err, "listen for peers")
	}
	nd.callers = connectiondrainer.New(nd.callerListener)
	nd.callerListener = wrapTLS(nd.callers, nd.security.callers)
	nd.peerListener = wrapTLS(nd.peerListener, nd.security.peers)
	return nil
}

// presence describes the node to its peers.
func (nd *Node) presence() messenger.Presence {
	return messenger.Presence{
		ID:            nd.identity.ID(),
		Zone:          nd.identity.Zone(),
		Region:        nd.identity.Region(),
		PeerAddress:   nd.PeerAddress(),
		CallerAddress: nd.CallerAddress(),
		Leaving:       nd.leaving.Load(),
		Revision:      nd.holder.Number(),
	}
}

func (nd *Node) handlePeer(ctx context.Context, call messenger.Message) (messenger.Message, error) {
	switch tc := call.(type) {
	case *messenger.JobNotice:
		return nd.jobs.Handle(tc), nil
	case *messenger.Begin, *messenger.Finish:
		return nd.recorder.Handle(ctx, call)
	case *messenger.LoadDigest:
		return nd.exchange.Answer(time.Now(), tc), nil
	case *messenger.AdapterLoad:
		return nd.adapters.Handle(ctx, tc), nil
	case *messenger.ShareRequest:
		return nd.limiter.Answer(tc, time.Now()), nil
	case *messenger.DemandReport, *messenger.PlanFetch:
		return nd.placer.Handle(call)
	default:
		if answer := nd.isolator.Handle(call); answer != nil {
			return answer, nil
		}
		return nd.handleMembership(ctx, call)
	}
}

// Run serves callers and peers until the context ends or Drain is called, then
// finishes the requests in flight. It returns early if a listener or a loop
// fails.
func (nd *Node) Run(ctx context.Context) error {
	var gr run.Group
	nd.addShutdown(ctx, &gr)
	nd.addLoop(&gr, nd.prober.Run)
	nd.addLoop(&gr, nd.follower.Run)
	nd.addLoop(&gr, nd.watch)
	nd.addLoop(&gr, nd.exchangeLoads)
	nd.addLoop(&gr, nd.control)
	nd.addLoop(&gr, nd.borrow)
	nd.addLoop(&gr, nd.adapters.Run)
	nd.addLoop(&gr, nd.downs.Run)
	nd.addLoop(&gr, nd.maintainSlots)
	nd.addLoop(&gr, nd.placement)
	nd.startJobs()
	nd.addWeb(&gr)
	nd.addPeers(&gr)
	log.WithField("node", nd.identity.ID()).Info("node started")
	return gr.Run()
}

// addShutdown adds the planned stop, which begins when ctx ends or Drain is
// called.
func (nd *Node) addShutdown(ctx context.Context, gr *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	gr.Add(func() error {
		select {
		case <-ctx.Done():
		case <-nd.requested:
		}
		nd.leaving.Store(true)
		nd.leaveMembership()
		nd.shutdown()
		return nil
	}, func(error) { cancel() })
}

func (nd *Node) addLoop(gr *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	gr.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

func (nd *Node) addWeb(gr *run.Group) {
	gr.Add(func() error {
		if err := nd.web.Serve(nd.callerListener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve callers")
		}
		<-nd.drained
		return nil
	}, func(error) {
		<-nd.drained
		_ = nd.web.Close()
	})
}

func (nd *Node) addPeers(gr *run.Group) {
	gr.Add(func() error { return nd.peers.Serve(nd.peerListener) }, func(error) {
		nd.peers.Close()
		_ = nd.peerListener.Close()
		nd.pool.Close()
	})
}
