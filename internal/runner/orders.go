package runner

import (
	"context"
	"slices"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// placeModels pursues the plan in force on the backend servers that the node
// owns. Nothing is ordered without a plan, and nothing of servers that leave or
// that the plan does not know yet.
func (nd *Node) placeModels(ctx context.Context, st *configurer.Settings) {
	rc := nd.placer.Current()
	if rc == nil {
		return
	}
	if nd.goals == nil || nd.goals.Settings() != st {
		nd.goals = orderer.NewGoals(st)
	}
	vw := nd.prober.View()
	leaving := nd.leavingServers()
	var goals []*orderer.Goal
	for _, bs := range st.BackendServers() {
		if vw.OwnsServer(bs.Name()) && rc.Plan().HasServer(bs.Name()) && !nd.isLeaving(bs.Name(), leaving) {
			goals = append(goals, nd.goals.Of(bs, rc.Plan().Models(bs.Name())))
		}
	}
	nd.orderer.Reconcile(ctx, time.Now(), goals)
}

// isLeaving reports whether the server leaves, by its own report or by the list
// of VMs.
func (nd *Node) isLeaving(server string, listed []string) bool {
	rp, _ := nd.watcher.Snapshot().Report(server)
	return rp.Leaving || slices.Contains(listed, server)
}

// serving reports whether the server is configured and stays, and its latest
// report says that it has the model.
func (nd *Node) serving(model, server string) bool {
	st := nd.settings()
	if st == nil {
		return false
	}
	if _, ok := st.BackendServer(server); !ok {
		return false
	}
	return slices.Contains(nd.watcher.Snapshot().Replicas(model), server) && !nd.isLeaving(server, nd.leavingServers())
}
