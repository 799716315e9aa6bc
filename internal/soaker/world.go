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
	"github.com/lagoonpass/lagoonpass/internal/state/lister"
)

const (
	enginesTotal = 5
	// listLag is how old the list of VMs is that nodes are shown.
	listLag = 3 * time.Second
	// reportLag is how old the engines' reports are.
	reportLag = 300 * time.Millisecond
	// serviceLatency is the time that a booking takes.
	serviceLatency = 20 * time.Millisecond
	loadTime       = 500 * time.Millisecond
	tokenGap       = 30 * time.Millisecond
	prefill        = 40 * time.Millisecond
	callerHost     = "10.9.0.1"
	callerPort     = ":80"
	peerPort       = ":81"
)

// node is an entry node with what surrounds it.
type node struct {
	*runner.Node
	id    string
	host  string
	store *nodeStore
	stop  context.CancelFunc
	ended chan struct{}
	seen  int64
}

// world is everything that a run takes place in.
type world struct {
	report   *Report
	network  *connector.Network
	store    *platform.Memory
	engines  []*backend
	services map[string]*service.Service
	servers  []*http.Server
	client   *http.Client
	running  sync.WaitGroup
	// patience is how long the world waits for nodes and jobs after all faults.
	patience time.Duration

	mu      sync.Mutex
	nodes   []*node
	started int
	lists   []vmList

	ledger
	operations
}

// vmList is the list of VMs from a time on.
type vmList struct {
	from time.Time
	vms  []lister.VM
}

func newWorld(ctx context.Context, nodes int, rp *Report) (*world, error) {
	wd := &world{
		report:   rp,
		network:  connector.New(),
		store:    platform.NewMemory(),
		services: map[string]*service.Service{},
		patience: settleTime,
		ledger:   newLedger(),
	}
	tp := &http.Transport{DialContext: wd.network.Host(callerHost).Dial, DisableKeepAlives: true}
	wd.client = &http.Client{Transport: tp}
	if err := wd.startBackends(); err != nil {
		return nil, err
	}
	rv, err := publisher.Apply(ctx, wd.store, settingsFiles(1, ""), "first", 0)
	if err != nil {
		return nil, errors.Wrap(err, "apply settings")
	}
	wd.accepted(rv.Number())
	for range nodes {
		if err := wd.startNode(); err != nil {
			return nil, err
		}
	}
	return wd, nil
}

func (wd *world) startBackends() error {
	for ix := range enginesTotal {
		be := newBackend(wd, ix)
		wd.engines = append(wd.engines, be)
		if err := wd.serve(engineAddress(ix), be); err != nil {
			return err
		}
	}
	wd.services["orders"] = service.New(service.WithLatency(serviceLatency))
	wd.services["ledger"] = service.New(service.WithLatency(serviceLatency), service.WithIdempotency())
	for name, addresses := range serviceAddresses() {
		for _, address := range addresses {
			if err := wd.serve(address, wd.services[name].Handler()); err != nil {
				return err
			}
		}
	}
	return nil
}

func (wd *world) serve(address string, hd http.Handler) error {
	ln, err := wd.network.Listen(address)
	if err != nil {
		return err
	}
	sv := &http.Server{Handler: hd, ReadHeaderTimeout: time.Minute}
	wd.servers = append(wd.servers, sv)
	wd.running.Go(func() { _ = sv.Serve(ln) })
	return nil
}

// startNode starts another node on a VM of its own.
func (wd *world) startNode() error {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.started++
	nd := &node{
		id:    fmt.Sprintf("entry-%d", wd.started),
		host:  fmt.Sprintf("10.0.0.%d", wd.started),
		ended: make(chan struct{}),
	}
	nd.store = &nodeStore{Store: wd.store, network: wd.network, host: nd.host}
	zone := fmt.Sprintf("zone-%c", 'a'+wd.started%2)
	id := identifier.New(nd.id, zone, "region-1", nd.host+callerPort, nd.host+peerPort, "", "")
	var err error
	nd.Node, err = runner.New(id,
		runner.WithStore(nd.store),
		runner.WithVMList(wd),
		runner.WithNetwork(runner.Network{Listen: wd.network.Listen, Dial: wd.network.Host(nd.host).Dial}))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	nd.stop = cancel
	wd.nodes = append(wd.nodes, nd)
	wd.relist()
	wd.running.Go(func() {
		defer close(nd.ended)
		_ = nd.Run(ctx)
	})
	return nil
}

// relist notes the list of VMs as it is now; the lock is held.
func (wd *world) relist() {
	var vms []lister.VM
	for _, nd := range wd.nodes {
		vms = append(vms, lister.VM{Name: nd.id, Address: nd.host + peerPort, Kind: lister.KindEntry, State: lister.StateLive})
	}
	wd.lists = append(wd.lists, vmList{from: time.Now(), vms: vms})
}

// VMs implements prober.VMList with a list that lags.
func (wd *world) VMs(context.Context) ([]lister.VM, error) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	due := time.Now().Add(-listLag)
	for ix := len(wd.lists) - 1; ix > 0; ix-- {
		if !wd.lists[ix].from.After(due) {
			return wd.lists[ix].vms, nil
		}
	}
	return wd.lists[0].vms, nil
}

// live returns the nodes that were neither killed nor stopped.
func (wd *world) live() []*node {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return append([]*node(nil), wd.nodes...)
}

// forget takes the node off the list. It reports false if it was gone already
// or too few would stay.
func (wd *world) forget(nd *node, least int) bool {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if len(wd.nodes) <= least {
		return false
	}
	for ix, other := range wd.nodes {
		if other == nd {
			wd.nodes = append(wd.nodes[:ix:ix], wd.nodes[ix+1:]...)
			wd.relist()
			return true
		}
	}
	return false
}

// kill ends a node at once; nothing it does afterwards leaves its VM.
func (wd *world) kill(nd *node, silent bool) {
	nd.store.cut.Store(true)
	wd.network.Drop(nd.host, silent)
	wd.network.Resume(nd.host)
	nd.Abort()
	nd.stop()
}

// close ends everything.
func (wd *world) close(linger time.Duration) {
	wd.network.HealAll()
	for _, nd := range wd.live() {
		wd.kill(nd, false)
	}
	for _, sv := range wd.servers {
		_ = sv.Close()
	}
	wd.running.Wait()
	wd.network.Close()
	time.Sleep(linger)
}
