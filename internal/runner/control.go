package runner

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
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
	nd.refreshConfiguration(ctx)
	rv := nd.holder.Current()
	if rv == nil {
		return
	}
	nd.watcher.Poll(ctx, rv.Settings().BackendServers())
	nd.placeModels(ctx, rv.Settings())
}

func (nd *Node) refreshConfiguration(ctx context.Context) {
	rv, err := publisher.Load(ctx, nd.meter.For(storer.PurposeConfiguration))
	if errors.Is(err, publisher.ErrNone) {
		return
	}
	if err != nil {
		log.WithError(err).Warn("configuration was not read; the revision in force stays")
		return
	}
	if nd.holder.Adopt(rv) {
		log.WithField("revision", rv.Number()).Info("configuration revision in force")
	}
}
