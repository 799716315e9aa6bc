package admitter

import "time"

// demandMeter measures the demand for one model on this node.
type demandMeter struct {
	// running is the number of granted requests that have not ended.
	running int
	// refusedTime is the sum of the expected durations of the requests that
	// were refused for lack of capacity since the last sample.
	refusedTime time.Duration
	// arrivedPrefill is the sum of the prefill times of the requests that
	// arrived since the last sample.
	arrivedPrefill time.Duration
	// sampledAt is the time of the last sample.
	sampledAt time.Time
}

// addRefusedDemand counts a request that was refused for lack of capacity.
func (sc *Scheduler) addRefusedDemand(en *Entry) {
	ms := sc.statsFor(en.ticket.Model.Name())
	ms.demand.refusedTime += ms.duration.value
}

// sample returns the number of running requests plus the average concurrency
// that the requests refused since the last sample would have had, by Little's
// law, and starts a new sample.
func (dm *demandMeter) sample(now time.Time) float64 {
	elapsed := now.Sub(dm.sampledAt)
	refusedTime := dm.refusedTime
	dm.sampledAt, dm.refusedTime = now, 0
	if refusedTime == 0 || elapsed <= 0 {
		return float64(dm.running)
	}
	return float64(dm.running) + refusedTime.Seconds()/elapsed.Seconds()
}

// Demand returns, by model, the average number of concurrent requests that this
// node would have had since the last call with enough capacity: those that run,
// those that wait, and those that were refused for lack of capacity, weighted
// by the duration of the model's requests. Models without demand are left out.
func (ad *Admitter) Demand() map[string]float64 {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.scheduler.Demand(ad.now())
}

// Demand implements Admitter.Demand.
func (sc *Scheduler) Demand(now time.Time) map[string]float64 {
	all := map[string]float64{}
	for model, ms := range sc.stats {
		elapsed, arrivedPrefill := now.Sub(ms.demand.sampledAt), ms.demand.arrivedPrefill
		ms.demand.arrivedPrefill = 0
		sum := ms.demand.sample(now)
		if mq, ok := sc.queues[model]; ok {
			sum += float64(mq.waiting())
		}
		sum = max(sum, sc.prefillDemand(model, arrivedPrefill, elapsed))
		if sum > 0 {
			all[model] = sum
		}
	}
	return all
}
