package runner

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
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

// settings returns the settings in force, or nil.
func (nd *Node) settings() *configurer.Settings {
	rv := nd.holder.Current()
	if rv == nil {
		return nil
	}
	return rv.Settings()
}

func (nd *Node) pass(ctx context.Context) {
	st := nd.settings()
	if st == nil {
		return
	}
	nd.shareStore(st.Limits())
	nd.admitter.ApplySettings(st)
	nd.admitter.Refresh(st)
	nd.placeModels(ctx, st)
}
