package runner

import (
	"context"
	"time"
)

// controlInterval is the time between two passes of the control loop.
const controlInterval = 250 * time.Millisecond

// control is the goroutine that holds the control state.
func (nd *Node) control(ctx context.Context) error {
	tk := time.NewTicker(controlInterval)
	defer tk.Stop()
	nd.pass(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tk.C:
			nd.pass(ctx)
		case ev := <-nd.orderer.Events():
			nd.orderer.Handle(ctx, time.Now(), ev)
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
	nd.admitter.Refresh(rv.Settings())
	nd.placeModels(ctx, rv.Settings())
}
