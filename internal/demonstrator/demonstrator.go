// Package demonstrator runs a whole deployment in one process, on loopback:
// stand-ins of the platform, the backend servers and the plain services, entry
// nodes, and traffic over real TCP and HTTP.
//
// # Usage
//
//	dm, err := demonstrator.Start(ctx, "qurum", demonstrator.WithNodes(4))
//	defer dm.Stop()
//	err = dm.AwaitReady(ctx, progress)
//	result, err := dm.Drive(ctx, bencher.WithRate(100))
//	result.WriteTable(os.Stdout)
package demonstrator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/examples"
	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/runner"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/standin/service"
	"github.com/lagoonpass/lagoonpass/internal/standin/weightstore"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/identifier"
)

const (
	defaultNodes = 4
	loopback     = "127.0.0.1:0"
	// overrideFile sorts after every file of the examples.
	overrideFile = "99-demo.ini"
)

// Demo is a running deployment.
type Demo struct {
	deployment   string
	nodeCount    int
	instantLoads bool // loads of models take no time
	// settings are those of the example with the addresses of the stand-ins.
	settings *configurer.Settings
	store    *platform.Memory
	weights  *weightstore.Store
	// engines and services are the stand-ins by the names in the settings.
	engines  map[string]*engine.Engine
	services map[string]*service.Service
	// servers serve the stand-ins.
	servers []*http.Server
	// mu guards nodes during the start, when the platform's list reads them.
	mu    sync.Mutex
	nodes []*entryNode
	// running counts the goroutines of the servers and the nodes.
	running sync.WaitGroup
}

// entryNode is an entry node with the function that stops it.
type entryNode struct {
	identity *identifier.Node
	node     *runner.Node
	stop     context.CancelFunc
}

// Option configures a Demo in Start.
type Option func(*Demo)

// WithNodes sets the number of entry nodes.
func WithNodes(count int) Option { return func(dm *Demo) { dm.nodeCount = count } }

// instantLimits allows all loads of the start at the same time.
const instantLimits = "weight-loads-per-second = 1000\nweight-loads-at-once = 16\n"

// WithInstantLoads makes loads of models take no time and lifts the weight
// store's limits.
func WithInstantLoads() Option { return func(dm *Demo) { dm.instantLoads = true } }

// Start starts the example deployment of that name. The caller must stop the
// returned Demo; Start itself stops all that it began if it fails.
func Start(ctx context.Context, deployment string, opts ...Option) (*Demo, error) {
	dm := &Demo{
		deployment: deployment,
		nodeCount:  defaultNodes,
		store:      platform.NewMemory(),
		engines:    map[string]*engine.Engine{},
		services:   map[string]*service.Service{},
	}
	for _, opt := range opts {
		opt(dm)
	}
	if err := dm.start(ctx); err != nil {
		dm.Stop()
		return nil, err
	}
	return dm, nil
}

func (dm *Demo) start(ctx context.Context) error {
	files, err := dm.startBackends()
	if err != nil {
		return err
	}
	if _, err := publisher.Apply(ctx, dm.store, files, "demo", 0); err != nil {
		return errors.Wrap(err, "apply settings")
	}
	return dm.startNodes(ctx)
}

// startBackends starts the stand-ins of the backend servers and services. It
// returns the settings files, including one with the stand-ins' addresses.
func (dm *Demo) startBackends() ([]configurer.File, error) {
	files, err := examples.Files(dm.deployment)
	if err != nil {
		return nil, err
	}
	st, faults := configurer.Parse(files)
	if len(faults) > 0 {
		return nil, errors.Wrap(faults[0], "read settings")
	}
	dm.weights = dm.newWeightStore(st.Limits())
	var override strings.Builder
	fmt.Fprintf(&override, "[limits]\nentry-nodes = %d\n", dm.nodeCount)
	if dm.instantLoads {
		override.WriteString(instantLimits)
	}
	for _, bs := range st.BackendServers() {
		address, err := dm.startEngine(st, bs)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(&override, "[backend-server.%s]\naddress = %s\n", bs.Name(), address)
	}
	for _, sv := range st.Services() {
		addresses, err := dm.startService(sv)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(&override, "[service.%s]\naddresses = %s\n", sv.Name(), strings.Join(addresses, ", "))
	}
	files = append(files, configurer.File{Name: overrideFile, Text: override.String()})
	dm.settings, faults = configurer.Parse(files)
	if len(faults) > 0 {
		return nil, errors.Wrap(faults[0], "read settings with addresses")
	}
	return files, nil
}

// newWeightStore returns a weight store with the limits of the settings, or
// without delay for instant loads.
func (dm *Demo) newWeightStore(lm *configurer.Limits) *weightstore.Store {
	perSecond := lm.WeightLoadsPerSecond()
	if dm.instantLoads {
		perSecond = 0
	}
	return weightstore.New(perSecond, lm.WeightLoadsAtOnce(), lm.AdaptersInTransit())
}

func (dm *Demo) startEngine(st *configurer.Settings, bs *configurer.BackendServer) (string, error) {
	ek, _ := st.EngineKind(bs.Kind())
	eg := engine.New(bs.Name(),
		engine.WithMemory(bs.WeightMemory()+bs.CacheReserve()),
		engine.WithAdapterMemory(bs.AdapterReserve()),
		engine.WithSlots(bs.Slots()),
		engine.WithWeightStore(dm.weights),
		engine.WithFencing(ek.ChecksFencing()))
	dm.engines[bs.Name()] = eg
	return dm.listenAndServe(eg.Handler())
}

func (dm *Demo) startService(sv *configurer.Service) ([]string, error) {
	var opts []service.Option
	if sv.HonoursKey() {
		opts = append(opts, service.WithIdempotency())
	}
	si := service.New(opts...)
	dm.services[sv.Name()] = si
	addresses := make([]string, 0, len(sv.Addresses()))
	for range sv.Addresses() {
		address, err := dm.listenAndServe(si.Handler())
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// listenAndServe serves a stand-in in the background and returns its address.
func (dm *Demo) listenAndServe(hd http.Handler) (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	sv := &http.Server{Handler: hd, ReadHeaderTimeout: time.Minute}
	dm.servers = append(dm.servers, sv)
	dm.running.Go(func() { _ = sv.Serve(ln) })
	return ln.Addr().String(), nil
}

func (dm *Demo) startNodes(ctx context.Context) error {
	address, err := dm.listenAndServe(platform.Handler(dm.store, dm.vms))
	if err != nil {
		return err
	}
	base := "http://" + address
	for ix := range dm.nodeCount {
		zone := fmt.Sprintf("zone-%c", 'a'+ix%3)
		id := identifier.New(fmt.Sprintf("entry-%d", ix+1), zone, "region-1", loopback, loopback, base, base+"/v1/vms")
		if err := dm.startNode(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

func (dm *Demo) startNode(ctx context.Context, id *identifier.Node) error {
	nd, err := runner.New(id)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	dm.mu.Lock()
	dm.nodes = append(dm.nodes, &entryNode{identity: id, node: nd, stop: cancel})
	dm.mu.Unlock()
	dm.running.Go(func() { _ = nd.Run(ctx) })
	return nil
}

// vms returns the platform's list of VMs.
func (dm *Demo) vms() []platform.VM {
	dm.mu.Lock()
	defer dm.mu.Unlock()
	var all []platform.VM
	for _, en := range dm.nodes {
		all = append(all, platform.VM{
			Name:    en.identity.ID(),
			Address: en.node.PeerAddress(),
			Zone:    en.identity.Zone(),
			Kind:    "entry",
			State:   "live",
		})
	}
	for _, bs := range dm.settings.BackendServers() {
		all = append(all, platform.VM{
			Name:    bs.Name(),
			Address: bs.Address(),
			Zone:    bs.Zone(),
			Kind:    "backend",
			State:   "live",
		})
	}
	return all
}

// Addresses returns the address, as HOST:PORT, on which each node serves
// callers.
func (dm *Demo) Addresses() []string {
	all := make([]string, 0, len(dm.nodes))
	for _, en := range dm.nodes {
		all = append(all, en.node.CallerAddress())
	}
	return all
}

// Stop stops the nodes without a drain and the stand-ins, and waits until all
// have ended.
func (dm *Demo) Stop() {
	for _, en := range dm.nodes {
		en.stop()
		en.node.Abort()
	}
	for _, sv := range dm.servers {
		_ = sv.Close()
	}
	dm.running.Wait()
}
