package runner

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// controlInterval is the time between two passes of the control loop.
const controlInterval = 250 * time.Millisecond

// control runs the control loop until the context ends.
func (nd *Node) control(ctx context.Context) error {
	tk := time.NewTicker(controlInterval)
	defer tk.Stop()
	nd.controlStep(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tk.C:
			nd.controlStep(ctx)
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

// controlStep applies the settings in force and sends the orders that are due.
func (nd *Node) controlStep(ctx context.Context) {
	st := nd.settings()
	if st == nil {
		return
	}
	nd.limitStoreCalls(st.Limits())
	nd.downs.Update(nd.registrations(st))
	nd.admitter.ApplySettings(st)
	nd.admitter.Refresh(st)
	nd.placeModels(ctx, st)
}
