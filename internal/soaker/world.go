package soaker

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/runner"
	"github.com/lagoonpass/lagoonpass/internal/standin/connector"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/standin/service"
	"github.com/lagoonpass/lagoonpass/internal/state/identifier"
	"github.com/lagoonpass/lagoonpass/internal/state/vmlister"
)

const (
	engineCount = 5
	// listLag is the age of the VM list that nodes get.
	listLag = 3 * time.Second
	// reportLag is the age of the engines' reports.
	reportLag = 300 * time.Millisecond
	// serviceLatency is the duration of a booking.
	serviceLatency = 20 * time.Millisecond
	// loadTime, tokenGap and prefill are the durations of the engines' work.
	loadTime   = 500 * time.Millisecond
	tokenGap   = 30 * time.Millisecond
	prefill    = 40 * time.Millisecond
	callerHost = "10.9.0.1"
	callerPort = ":80"
	peerPort   = ":81"
)

// node is an entry node on a VM of its own.
type node struct {
	*runner.Node
	id    string
	host  string
	store *nodeStore
	stop  context.CancelFunc
	ended chan struct{} // closed when the node has ended
	seen  int64         // revision of the node at the latest check
}

// cluster holds the nodes, backend servers, store and network of a run.
type cluster struct {
	report   *Report
	network  *connector.Network
	store    *platform.Memory
	engines  []*backend
	services map[string]*service.Service
	servers  []*http.Server // of engines and services
	client   *http.Client   // of the callers
	running  sync.WaitGroup
	// settleTimeout bounds each wait for nodes and jobs after all faults.
	settleTimeout time.Duration

	mu      sync.Mutex
	nodes   []*node  // live nodes
	started int      // number of nodes that were ever started
	vmLists []vmList // all VM lists, the oldest first

	observations
	operations
}

// vmList is the VM list that applies from a time on.
type vmList struct {
	from time.Time
	vms  []vmlister.VM
}

func newCluster(ctx context.Context, nodes int, rp *Report) (*cluster, error) {
	cl := &cluster{
		report:        rp,
		network:       connector.New(),
		store:         platform.NewMemory(),
		services:      map[string]*service.Service{},
		settleTimeout: defaultSettleTimeout,
		observations:  newObservations(),
	}
	tp := &http.Transport{DialContext: cl.network.Host(callerHost).Dial, DisableKeepAlives: true}
	cl.client = &http.Client{Transport: tp}
	if err := cl.startBackends(); err != nil {
		return nil, err
	}
	rv, err := publisher.Apply(ctx, cl.store, settingsFiles(1, ""), "first", 0)
	if err != nil {
		return nil, errors.Wrap(err, "apply settings")
	}
	cl.recordAccepted(rv.Number())
	for range nodes {
		if err := cl.startNode(); err != nil {
			return nil, err
		}
	}
	return cl, nil
}

func (cl *cluster) startBackends() error {
	for ix := range engineCount {
		be := newBackend(cl, ix)
		cl.engines = append(cl.engines, be)
		if err := cl.serve(engineAddress(ix), be); err != nil {
			return err
		}
	}
	cl.services["orders"] = service.New(service.WithLatency(serviceLatency))
	cl.services["ledger"] = service.New(service.WithLatency(serviceLatency), service.WithIdempotency())
	for name, addresses := range serviceAddresses() {
		for _, address := range addresses {
			if err := cl.serve(address, cl.services[name].Handler()); err != nil {
				return err
			}
		}
	}
	return nil
}

func (cl *cluster) serve(address string, hd http.Handler) error {
	ln, err := cl.network.Listen(address)
	if err != nil {
		return err
	}
	sv := &http.Server{Handler: hd, ReadHeaderTimeout: time.Minute}
	cl.servers = append(cl.servers, sv)
	cl.running.Go(func() { _ = sv.Serve(ln) })
	return nil
}

// startNode starts another node on a VM of its own.
func (cl *cluster) startNode() error {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.started++
	nd := &node{
		id:    fmt.Sprintf("entry-%d", cl.started),
		host:  fmt.Sprintf("10.0.0.%d", cl.started),
		ended: make(chan struct{}),
	}
	nd.store = &nodeStore{Store: cl.store, network: cl.network, host: nd.host}
	zone := fmt.Sprintf("zone-%c", 'a'+cl.started%2)
	id := identifier.New(nd.id, zone, "region-1", nd.host+callerPort, nd.host+peerPort, "", "")
	var err error
	nd.Node, err = runner.New(id,
		runner.WithStore(nd.store),
		runner.WithVMList(cl),
		runner.WithNetwork(runner.Network{Listen: cl.network.Listen, Dial: cl.network.Host(nd.host).Dial}))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	nd.stop = cancel
	cl.nodes = append(cl.nodes, nd)
	cl.recordVMList()
	cl.running.Go(func() {
		defer close(nd.ended)
		_ = nd.Run(ctx)
	})
	return nil
}

// recordVMList records the current VM list. The caller holds the lock.
func (cl *cluster) recordVMList() {
	var vms []vmlister.VM
	for _, nd := range cl.nodes {
		vms = append(vms, vmlister.VM{Name: nd.id, Address: nd.host + peerPort, Kind: vmlister.KindEntry, State: vmlister.StateLive})
	}
	cl.vmLists = append(cl.vmLists, vmList{from: time.Now(), vms: vms})
}

// VMs implements prober.VMList. It returns the VM list as it was listLag ago.
func (cl *cluster) VMs(context.Context) ([]vmlister.VM, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	due := time.Now().Add(-listLag)
	for ix := len(cl.vmLists) - 1; ix > 0; ix-- {
		if !cl.vmLists[ix].from.After(due) {
			return cl.vmLists[ix].vms, nil
		}
	}
	return cl.vmLists[0].vms, nil
}

// liveNodes returns the nodes that were neither killed nor stopped.
func (cl *cluster) liveNodes() []*node {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return append([]*node(nil), cl.nodes...)
}

// removeNode removes the node from the live nodes and the VM list. It returns
// false if the node was removed before or fewer than minLeft nodes would stay.
func (cl *cluster) removeNode(nd *node, minLeft int) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.nodes) <= minLeft {
		return false
	}
	for ix, other := range cl.nodes {
		if other == nd {
			cl.nodes = append(cl.nodes[:ix:ix], cl.nodes[ix+1:]...)
			cl.recordVMList()
			return true
		}
	}
	return false
}

// kill ends a node immediately. Nothing that it does afterwards leaves its VM.
func (cl *cluster) kill(nd *node, silent bool) {
	nd.store.cut.Store(true)
	cl.network.Drop(nd.host, silent)
	cl.network.Resume(nd.host)
	nd.Abort()
	nd.stop()
}

// close kills all nodes, stops the servers and waits for linger.
func (cl *cluster) close(linger time.Duration) {
	cl.network.HealAll()
	for _, nd := range cl.liveNodes() {
		cl.kill(nd, false)
	}
	for _, sv := range cl.servers {
		_ = sv.Close()
	}
	cl.running.Wait()
	cl.network.Close()
	time.Sleep(linger)
}
