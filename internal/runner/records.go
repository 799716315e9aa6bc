package runner

import (
	"context"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/coordination/invoker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/recorder"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
)

// records are the parts of a node that keep the at-most-once record and jobs.
type records struct {
	recorder *recorder.Recorder
}

func (nd *Node) buildRecords() {
	nd.recorder = recorder.New(nd.identity.ID(), nd.meter.For(storer.PurposeRecord), nd.prober.View,
		nd.pool, nd.recordSettings, recorder.WithRegistry(nd.registry))
}

func (nd *Node) recordSettings() *configurer.Records {
	rv := nd.holder.Current()
	if rv == nil {
		return nil
	}
	return rv.Settings().Records()
}

func (nd *Node) buildInvoker(pooled *forwarder.Forwarder) *invoker.Invoker {
	return invoker.New(nd.recorder, pooled, forwarder.New(), invoker.WithRegistry(nd.registry))
}

// stopRecords waits until the results of this node's requests are recorded.
func (nd *Node) stopRecords(ctx context.Context) {
	if err := nd.recorder.Flush(ctx); err != nil {
		log.WithError(err).Warn("results of keyed requests were not recorded; their keys stay unresolved")
	}
	nd.recorder.Close()
}
