package placer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/spreader"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

const (
	// graceIntervals is how many planning intervals a node may stay silent
	// before its demand no longer counts.
	graceIntervals = 3
	// reportBytes bounds what the holder receives of reports a second.
	reportBytes = 2000.0
	// modelBytes is the size of one model in a report.
	modelBytes = 20.0
	// leastModels is what a report may always name.
	leastModels = 4
)

// Collector keeps the latest report of each node.
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

// Note takes in a report.
func (co *Collector) Note(now time.Time, dr *messenger.DemandReport) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.latest[dr.Node] = report{models: dr.Models, at: now}
}

// Sum adds up the reports and forgets the nodes that were silent for longer
// than the grace.
func (co *Collector) Sum(now time.Time, grace time.Duration) planner.Demand {
	co.mu.Lock()
	defer co.mu.Unlock()
	total := planner.Demand{}
	for node, rp := range co.latest {
		if now.Sub(rp.at) > grace {
			delete(co.latest, node)
			continue
		}
		for _, md := range rp.models {
			total[md.Model] += md.Load
		}
	}
	return total
}

// heard reports whether each member that lives has a report.
func (co *Collector) heard(vw *prober.View) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	for _, mb := range vw.Members() {
		if _, ok := co.latest[mb.ID]; !ok && mb.State != prober.Dead {
			return false
		}
	}
	return true
}

// report tells the node that should hold the plan what the node's own callers
// want. The answer tells the version of the plan there.
func (pc *Placer) report(ctx context.Context, now time.Time, sn Situation) {
	vw := pc.view()
	budget := reportBytes * sn.Settings.Planning().Interval().Seconds() / float64(max(len(vw.Members()), 1))
	most := max(int(budget/modelBytes), leastModels)
	dr := &messenger.DemandReport{Node: pc.self, Models: sample(sn.Demand(), most, pc.random)}
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
		pc.want(spreader.Version{Epoch: received.Epoch, Seq: received.Number})
	}
}

// sample returns all demands if there are few. Else it names about as many as
// allowed: those over a threshold as they are, of the others some, drawn in
// proportion to their size and told as large as the threshold, so that the
// expected sum is right.
func sample(demand planner.Demand, most int, random *rand.Rand) []messenger.ModelDemand {
	total := 0.0
	for _, load := range demand {
		total += load
	}
	threshold := 0.0
	if len(demand) > most {
		threshold = total / float64(most)
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
