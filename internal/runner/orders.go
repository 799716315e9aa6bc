package runner

import (
	"context"
	"slices"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// placeModels carries out the plan in force on the backend servers that the
// node owns. It sends no orders without a plan, nor to servers that are leaving
// or that the plan does not contain yet.
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

// isLeaving reports whether the server is leaving according to its own report
// or the VM list.
func (nd *Node) isLeaving(server string, listed []string) bool {
	rp, _ := nd.watcher.Snapshot().Report(server)
	return rp.Leaving || slices.Contains(listed, server)
}

// serving reports whether the server is configured and not leaving, and its
// latest report lists the model.
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
