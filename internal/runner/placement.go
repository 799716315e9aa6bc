package runner

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/placer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/spreader"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/lister"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const (
	// placementInterval is the time between two looks at what is due.
	placementInterval = time.Second
	// answerGrace is how long a backend server may be silent and hold models.
	answerGrace = 30 * time.Second
	// leavingKey is the entry that spreads which backend servers leave.
	leavingKey = "leaving-servers"
	// listBytes is the size of one line of the VM list, and listBudget bounds
	// what is read of it a second.
	listBytes  = 100
	listBudget = 1500
)

// backends is what the node knows of backend servers beyond the settings.
type backends struct {
	list prober.VMList

	mu       sync.Mutex
	answered map[string]time.Time
	nextList time.Time
	sequence int64
}

func (nd *Node) buildPlacer() {
	nd.backends = &backends{list: nd.vmList, answered: map[string]time.Time{}}
	nd.placer = placer.New(nd.identity.ID(), nd.meter.For(storer.PurposePlan), nd.claimer, nd.prober.View,
		nd.pool, nd.prober.Spreader(), placer.WithRegistry(nd.registry))
}

// placement is the goroutine that holds or follows the plan.
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

// situation returns a picture that does not change while a plan is made.
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

// usableServers returns the servers that answered lately and do not leave, and
// those that did not answer. One that never answered counts from when the node
// first looked for it.
func (nd *Node) usableServers(st *configurer.Settings, now time.Time) (usable, silent map[string]bool) {
	leaving := nd.leavingServers()
	sn := nd.watcher.Snapshot()
	bk := nd.backends
	bk.mu.Lock()
	defer bk.mu.Unlock()
	usable, silent = map[string]bool{}, map[string]bool{}
	for _, bs := range st.BackendServers() {
		rp, answers := sn.Report(bs.Name())
		if _, known := bk.answered[bs.Name()]; answers || !known {
			bk.answered[bs.Name()] = now
		}
		silent[bs.Name()] = now.Sub(bk.answered[bs.Name()]) > answerGrace
		usable[bs.Name()] = !silent[bs.Name()] && !rp.Leaving && !slices.Contains(leaving, bs.Name())
	}
	return usable, silent
}

// leavingServers returns the backend servers that leave by the platform's list
// of VMs, as the holder of the plan last read it.
func (nd *Node) leavingServers() []string {
	_, payload, _ := nd.prober.Spreader().Get(leavingKey)
	return strings.Fields(string(payload))
}

// listLeaving reads the list on the node that holds the plan, so that the list
// is read once for all, and spreads the names of those that leave.
func (nd *Node) listLeaving(ctx context.Context, now time.Time) {
	epoch, holds := nd.claimer.Epoch(placer.Resource)
	bk := nd.backends
	if !holds || now.Before(bk.nextList) {
		return
	}
	vms, err := bk.list.VMs(ctx)
	if err != nil {
		nd.registry.Inc("plan", "vm-list-unread")
		bk.nextList = now.Add(placementInterval)
		return
	}
	bk.nextList = now.Add(time.Duration(len(vms)) * listBytes * time.Second / listBudget)
	payload := leavingNames(vms)
	if slices.Equal(strings.Fields(payload), nd.leavingServers()) {
		return
	}
	version, _, _ := nd.prober.Spreader().Get(leavingKey)
	bk.sequence = max(bk.sequence, version.Seq) + 1
	nd.prober.Spreader().Publish(leavingKey, spreader.Version{Epoch: epoch, Seq: bk.sequence}, []byte(payload))
}

// leavingNames returns as many names of leaving backend servers as an entry
// takes.
func leavingNames(vms []lister.VM) string {
	var names []string
	size := 0
	for _, vm := range vms {
		size += len(vm.Name) + 1
		if vm.Kind == lister.KindBackend && vm.State == lister.StateLeaving && size <= spreader.MaxPayloadBytes {
			names = append(names, vm.Name)
			continue
		}
		size -= len(vm.Name) + 1
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}
