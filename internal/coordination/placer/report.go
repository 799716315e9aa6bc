package placer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/gossiper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

const (
	// graceIntervals is the number of planning intervals without a report after
	// which the demand of a node no longer counts.
	graceIntervals = 3
	// reportBytesPerSecond limits the reports of all nodes to the holder.
	reportBytesPerSecond = 2000.0
	// bytesPerModel is the approximate size of one model in a report.
	bytesPerModel = 20.0
	// minModels is the number of models that a report may always contain.
	minModels = 4
)

// Collector keeps the latest demand report of each node. It is safe for
// concurrent use.
type Collector struct {
	mu     sync.Mutex
	latest map[string]report
}

type report struct {
	models []messenger.ModelDemand
	at     time.Time
}

// NewCollector returns a collector without reports.
func NewCollector() *Collector { return &Collector{latest: map[string]report{}} }

// Note stores a report in place of the node's last one.
func (co *Collector) Note(now time.Time, dr *messenger.DemandReport) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.latest[dr.Node] = report{models: dr.Models, at: now}
}

// Sum returns the total demand of all nodes. It deletes the reports that are
// older than the grace period.
func (co *Collector) Sum(now time.Time, gracePeriod time.Duration) planner.Demand {
	co.mu.Lock()
	defer co.mu.Unlock()
	total := planner.Demand{}
	for node, rp := range co.latest {
		if now.Sub(rp.at) > gracePeriod {
			delete(co.latest, node)
			continue
		}
		for _, md := range rp.models {
			total[md.Model] += md.Load
		}
	}
	return total
}

// allReported reports whether each live member has sent a report.
func (co *Collector) allReported(vw *prober.View) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	for _, mb := range vw.Members() {
		if _, ok := co.latest[mb.ID]; !ok && mb.State != prober.Dead {
			return false
		}
	}
	return true
}

// report sends the demand of this node's own callers to the node that should
// hold the plan, and records the plan version from the answer.
func (pc *Placer) report(ctx context.Context, now time.Time, sn Situation) {
	vw := pc.view()
	budget := reportBytesPerSecond * sn.Settings.Planning().Interval().Seconds() / float64(max(len(vw.Members()), 1))
	maxModels := max(int(budget/bytesPerModel), minModels)
	dr := &messenger.DemandReport{Node: pc.self, Models: sample(sn.Demand(), maxModels, pc.random)}
	pc.reports.Note(now, dr)
	owner, ok := vw.Owner(Resource)
	if !ok || owner.ID == pc.self {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := pc.caller.Call(ctx, owner.PeerAddress, dr)
	if err != nil {
		pc.registry.Inc("plan", "report-lost")
		return
	}
	if received, ok := answer.(*messenger.DemandReceived); ok {
		pc.noteVersion(gossiper.Version{Epoch: received.Epoch, Seq: received.Number})
	}
}

// sample returns the demand of all models if there are at most maxModels, else
// of about maxModels. Models above a threshold keep their demand. Of the others
// a random sample is drawn with probabilities in proportion to demand and
// reported with the threshold as demand, so that the expected sums are right.
func sample(demand planner.Demand, maxModels int, random *rand.Rand) []messenger.ModelDemand {
	total := 0.0
	for _, load := range demand {
		total += load
	}
	threshold := 0.0
	if len(demand) > maxModels {
		threshold = total / float64(maxModels)
	}
	var models []messenger.ModelDemand
	for _, model := range slices.Sorted(maps.Keys(demand)) {
		load := demand[model]
		if load >= threshold || random.Float64()*threshold < load {
			models = append(models, messenger.ModelDemand{Model: model, Load: max(load, threshold)})
		}
	}
	return models
}
