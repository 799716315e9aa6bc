package runner

import (
	"context"
	"slices"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// placeModels pursues the plan on the backend servers that the node owns.
func (nd *Node) placeModels(ctx context.Context, st *configurer.Settings) {
	pl := planner.Initial(st, planner.All)
	vw := nd.prober.View()
	var goals []*orderer.Goal
	for _, bs := range st.BackendServers() {
		if vw.Owns("worker/" + bs.Name()) {
			goals = append(goals, orderer.GoalOf(st, bs, pl.Models(bs.Name())))
		}
	}
	nd.orderer.Pursue(ctx, time.Now(), goals)
}

// serving reports whether the server is configured and its latest report says
// that it has the model.
func (nd *Node) serving(model, server string) bool {
	rv := nd.holder.Current()
	if rv == nil {
		return false
	}
	if _, ok := rv.Settings().BackendServer(server); !ok {
		return false
	}
	return slices.Contains(nd.watcher.Snapshot().Replicas(model), server)
}
