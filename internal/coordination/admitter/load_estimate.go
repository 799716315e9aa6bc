package admitter

import (
	"fmt"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
)

// LoadEstimate is what the node knew when it sent or refused a request.
type LoadEstimate struct {
	// Server is the server's name; of several, the one with the fewest requests.
	Server string
	// Requests are those of all nodes there, and Limit how many it should have.
	Requests, Limit int
	// Backlog is the prefill time of prompts there, and Prefill the fraction of
	// its time in prefill.
	Backlog time.Duration
	Prefill float64
	// Slowdown is the factor by which it is slower than its peers.
	Slowdown float64
	// Age is the age of what is known of the other nodes' requests.
	Age time.Duration
	// Ahead is the number of requests of the same model and class that were
	// ahead when the request began to wait.
	Ahead int
	// OverShare says that the caller had got much more than its fair share.
	OverShare bool
}

// String returns the estimate in one bounded line.
func (le LoadEstimate) String() string {
	if le.Server == "" {
		return ""
	}
	share := ""
	if le.OverShare {
		share = ", caller over its share"
	}
	return fmt.Sprintf("%d ahead; %s has %d of %d requests, %d ms backlog, %.2f prefill, %.1f slowdown, known %d ms ago%s",
		le.Ahead, le.Server, le.Requests, le.Limit, le.Backlog.Milliseconds(), le.Prefill, le.Slowdown, le.Age.Milliseconds(), share)
}

// estimateLoad returns what the node knows of the target for the entry.
func (sc *Scheduler) estimateLoad(now time.Time, en *Entry, tg *router.Target) LoadEstimate {
	return LoadEstimate{
		Server:    tg.Name,
		Requests:  tg.Load.Total(),
		Limit:     sc.batchLimit(now, tg),
		Backlog:   tg.Load.Backlog(),
		Prefill:   tg.Load.Prefill(now),
		Slowdown:  tg.Load.Slowdown(),
		Age:       tg.Load.Age(now),
		Ahead:     en.ahead,
		OverShare: sc.callers.overShare(now, en.ticket.Caller.Name()),
	}
}

// estimateBest returns what the node knows of the candidate with the fewest
// requests.
func (sc *Scheduler) estimateBest(now time.Time, en *Entry) LoadEstimate {
	var best *router.Target
	for _, tg := range sc.candidates(en.ticket) {
		if !tg.Leaving && (best == nil || tg.Load.Total() < best.Load.Total()) {
			best = tg
		}
	}
	if best == nil {
		return LoadEstimate{Ahead: en.ahead}
	}
	return sc.estimateLoad(now, en, best)
}

// LoadEstimate returns what the node knew of the server when it granted the request.
func (gr *Grant) LoadEstimate() LoadEstimate {
	if gr.entry == nil {
		return LoadEstimate{}
	}
	return gr.entry.estimate
}

// gauges returns the numbers of servers that are close to their limit, of those
// that are slower than their peers, and of callers over their share.
func (sc *Scheduler) gauges(now time.Time) map[string]int64 {
	all := map[string]int64{"servers-near-limit": 0, "servers-slow": 0, "callers-over-share": 0}
	for _, tg := range sc.table.Targets() {
		if sc.nearLimit(now, tg) {
			all["servers-near-limit"]++
		}
		if tg.Load.Slowdown() > 1 {
			all["servers-slow"]++
		}
	}
	for caller := range sc.callers.uses {
		if sc.callers.overShare(now, caller) {
			all["callers-over-share"]++
		}
	}
	return all
}
