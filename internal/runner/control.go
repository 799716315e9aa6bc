package runner

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// controlInterval is the time between two passes of the control loop.
const controlInterval = 250 * time.Millisecond

// control is the goroutine that holds the control state.
func (nd *Node) control(ctx context.Context) error {
	tk := time.NewTicker(controlInterval)
	defer tk.Stop()
	for {
		nd.pass(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tk.C:
		}
	}
}

func (nd *Node) pass(ctx context.Context) {
	rv := nd.holder.Current()
	if rv == nil {
		return
	}
	nd.shareStore(rv.Settings().Limits())
	nd.admitter.Revise(rv.Settings())
	nd.exchangeLoad(ctx)
	nd.watcher.Poll(ctx, rv.Settings().BackendServers())
	nd.admitter.Refresh(rv.Settings())
	nd.placeModels(ctx, rv.Settings())
}

func (nd *Node) placeModels(ctx context.Context, st *configurer.Settings) {
	pl := planner.Initial(st, planner.All)
	for _, bs := range st.BackendServers() {
		if !nd.prober.View().Owns("worker/" + bs.Name()) {
			continue
		}
		var models []*configurer.Model
		for _, name := range pl.Models(bs.Name()) {
			md, _ := st.Model(name)
			models = append(models, md)
		}
		if err := nd.orderer.Ensure(ctx, bs, models); err != nil {
			log.WithError(err).WithField("server", bs.Name()).Warn("models were not placed; will try again")
		}
	}
}
