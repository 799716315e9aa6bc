package runner

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/gossiper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/placer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/internal/state/vmlister"
)

const (
	// placementInterval is the time between two steps of the placement loop.
	placementInterval = time.Second
	// silenceTimeout is how long a backend server may be silent and keep its
	// models in the plan.
	silenceTimeout = 30 * time.Second
	// leavingKey is the gossip key of the names of leaving backend servers.
	leavingKey = "leaving-servers"
	// listLineBytes is the size of one line of the VM list. listBytesPerSecond
	// bounds the mean rate at which the list is read.
	listLineBytes      = 100
	listBytesPerSecond = 1500
)

// backends is the state of backend servers that the settings do not contain.
type backends struct {
	list prober.VMList

	mu sync.Mutex
	// lastAnswer is when each server last answered, by its name.
	lastAnswer map[string]time.Time
	// nextRead is when the VM list is read next.
	nextRead time.Time
	// sequence is the sequence number of the last published leavingKey entry.
	sequence int64
}

func (nd *Node) buildPlacer() {
	nd.backends = &backends{list: nd.vmList, lastAnswer: map[string]time.Time{}}
	nd.placer = placer.New(nd.identity.ID(), nd.meter.For(storer.PurposePlan), nd.claimer, nd.prober.View,
		nd.pool, nd.prober.Gossiper(), placer.WithRegistry(nd.registry))
}

// placement computes or follows the plan until the context ends.
func (nd *Node) placement(ctx context.Context) error {
	tk := time.NewTicker(placementInterval)
	defer tk.Stop()
	for {
		if rv := nd.holder.Current(); rv != nil {
			nd.listLeaving(ctx, time.Now())
			nd.registry.Set(int64(len(nd.leavingServers())), "plan", "leaving-servers")
			nd.placer.Tick(ctx, time.Now(), nd.situation(rv.Settings(), time.Now()))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tk.C:
		}
	}
}

// situation returns the input of a plan. It does not change during planning.
func (nd *Node) situation(st *configurer.Settings, now time.Time) placer.Situation {
	usable, silent := nd.usableServers(st, now)
	sn := nd.watcher.Snapshot()
	return placer.Situation{
		Settings: st,
		Usable:   func(server string) bool { return usable[server] },
		Silent:   func(server string) bool { return silent[server] },
		Serving: func(model, server string) bool {
			rp, _ := sn.Report(server)
			_, ok := rp.Models[model]
			return ok
		},
		ReportedModels: func(server string) []string {
			rp, _ := sn.Report(server)
			return slices.Sorted(maps.Keys(rp.Models))
		},
		Demand: func() planner.Demand { return nd.admitter.Demand() },
	}
}

// usableServers returns the servers that answered within silenceTimeout and are
// not leaving, and the silent servers, which did not answer. The timeout of a
// server that never answered begins when the node first checks it.
func (nd *Node) usableServers(st *configurer.Settings, now time.Time) (usable, silent map[string]bool) {
	leaving := nd.leavingServers()
	sn := nd.watcher.Snapshot()
	bk := nd.backends
	bk.mu.Lock()
	defer bk.mu.Unlock()
	usable, silent = map[string]bool{}, map[string]bool{}
	for _, bs := range st.BackendServers() {
		rp, answers := sn.Report(bs.Name())
		if _, known := bk.lastAnswer[bs.Name()]; answers || !known {
			bk.lastAnswer[bs.Name()] = now
		}
		silent[bs.Name()] = now.Sub(bk.lastAnswer[bs.Name()]) > silenceTimeout
		usable[bs.Name()] = !silent[bs.Name()] && !rp.Leaving && !slices.Contains(leaving, bs.Name())
	}
	return usable, silent
}

// leavingServers returns the names of the backend servers that are leaving
// according to the VM list, as the holder of the plan last read it.
func (nd *Node) leavingServers() []string {
	_, payload, _ := nd.prober.Gossiper().Get(leavingKey)
	return strings.Fields(string(payload))
}

// listLeaving reads the VM list and publishes the names of leaving backend
// servers by gossip. Only the node that holds the plan does so, to read the
// list once for all nodes.
func (nd *Node) listLeaving(ctx context.Context, now time.Time) {
	epoch, holds := nd.claimer.Epoch(placer.Resource)
	bk := nd.backends
	if !holds || now.Before(bk.nextRead) {
		return
	}
	vms, err := bk.list.VMs(ctx)
	if err != nil {
		nd.registry.Inc("plan", "vm-list-unread")
		bk.nextRead = now.Add(placementInterval)
		return
	}
	bk.nextRead = now.Add(time.Duration(len(vms)) * listLineBytes * time.Second / listBytesPerSecond)
	payload := leavingNames(vms)
	if slices.Equal(strings.Fields(payload), nd.leavingServers()) {
		return
	}
	version, _, _ := nd.prober.Gossiper().Get(leavingKey)
	bk.sequence = max(bk.sequence, version.Seq) + 1
	nd.prober.Gossiper().Publish(leavingKey, gossiper.Version{Epoch: epoch, Seq: bk.sequence}, []byte(payload))
}

// leavingNames returns as many names of leaving backend servers as fit into one
// entry, separated by blanks.
func leavingNames(vms []vmlister.VM) string {
	var names []string
	size := 0
	for _, vm := range vms {
		size += len(vm.Name) + 1
		if vm.Kind == vmlister.KindBackend && vm.State == vmlister.StateLeaving && size <= gossiper.MaxPayloadBytes {
			names = append(names, vm.Name)
			continue
		}
		size -= len(vm.Name) + 1
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}
