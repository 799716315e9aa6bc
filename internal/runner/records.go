package runner

import (
	"context"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/coordination/dispatcher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/jobrunner"
	"github.com/lagoonpass/lagoonpass/internal/coordination/recorder"
	"github.com/lagoonpass/lagoonpass/internal/coordination/serviceinvoker"
	"github.com/lagoonpass/lagoonpass/internal/server"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
)

// records are the components of a node for at-most-once records and jobs.
type records struct {
	recorder *recorder.Recorder
	jobs     *jobrunner.Runner
	stopJobs context.CancelFunc
	// jobsDone is closed when no job is running after stopJobs.
	jobsDone chan struct{}
}

func (nd *Node) buildRecords() {
	nd.jobsDone = make(chan struct{})
	nd.recorder = recorder.New(nd.identity.ID(), nd.meter.For(storer.PurposeRecord), nd.prober.View,
		nd.pool, nd.recordSettings, recorder.WithRegistry(nd.registry))
}

func (nd *Node) recordSettings() *configurer.Records {
	st := nd.settings()
	if st == nil {
		return nil
	}
	return st.Records()
}

func (nd *Node) buildInvoker(pooled *forwarder.Forwarder) *serviceinvoker.Invoker {
	return serviceinvoker.New(nd.recorder, pooled, nd.newForwarder(), serviceinvoker.WithRegistry(nd.registry))
}

func (nd *Node) buildJobs(ds *dispatcher.Dispatcher, iv *serviceinvoker.Invoker) *jobrunner.Runner {
	ex := server.NewExecutor(nd.holder, ds, iv)
	nd.jobs = jobrunner.New(nd.identity.ID(), nd.meter.For(storer.PurposeJob), nd.prober.View,
		nd.pool, nd.recordSettings, ex, jobrunner.WithRegistry(nd.registry))
	return nd.jobs
}

func (nd *Node) startJobs() {
	var ctx context.Context
	ctx, nd.stopJobs = context.WithCancel(context.Background())
	go func() {
		defer close(nd.jobsDone)
		_ = nd.jobs.Run(ctx)
	}()
}

// stopRecords stops the jobs, and waits until they have ended and the results
// of this node's requests are recorded, or the context ends.
func (nd *Node) stopRecords(ctx context.Context) {
	nd.stopJobs()
	select {
	case <-nd.jobsDone:
	case <-ctx.Done():
		log.Warn("drain timeout passed while jobs were running; another node takes them over")
	}
	if err := nd.recorder.Flush(ctx); err != nil {
		log.WithError(err).Warn("node did not record the results of keyed requests; their keys stay unresolved")
	}
	nd.recorder.Close()
}
