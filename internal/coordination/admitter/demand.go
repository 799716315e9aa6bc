package admitter

import "time"

// demandMeter counts what one model is wanted for on this node.
type demandMeter struct {
	// running counts the requests that were granted and not given back.
	running int
	// refused sums up how long the requests that were refused for lack of room
	// would have run since the last reading.
	refused time.Duration
	// arrived sums up the reading that requests asked for since then.
	arrived time.Duration
	// read is the time of the last reading.
	read time.Time
}

// noteRefused counts a request that was refused for lack of room.
func (sc *Scheduler) noteRefused(en *Entry) {
	ms := sc.service(en.ticket.Model.Name())
	ms.demand.refused += ms.whole.value
}

// take returns the requests at once that were refused since the last reading,
// by Little's law, and those that run.
func (dm *demandMeter) take(now time.Time) float64 {
	elapsed := now.Sub(dm.read)
	refused := dm.refused
	dm.read, dm.refused = now, 0
	if refused == 0 || elapsed <= 0 {
		return float64(dm.running)
	}
	return float64(dm.running) + refused.Seconds()/elapsed.Seconds()
}

// Demand returns, by model, the requests of this node that would have run at
// once since the last call if there had been room: those that run, those that
// wait, and those that were refused for lack of room, weighted by the time that
// requests of the model take. Models without demand are left out.
func (ad *Admitter) Demand() map[string]float64 {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.scheduler.Demand(ad.now())
}

// Demand is the decision of Admitter.Demand.
func (sc *Scheduler) Demand(now time.Time) map[string]float64 {
	all := map[string]float64{}
	for model, ms := range sc.services {
		elapsed, arrived := now.Sub(ms.demand.read), ms.demand.arrived
		ms.demand.arrived = 0
		sum := ms.demand.take(now)
		if mq, ok := sc.queues[model]; ok {
			sum += float64(mq.waiting())
		}
		sum = max(sum, sc.readingDemand(model, arrived, elapsed))
		if sum > 0 {
			all[model] = sum
		}
	}
	return all
}
