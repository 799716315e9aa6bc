package admitter

import (
	"slices"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/downlister"
	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// Reachability knows which servers are down. Its functions must not block.
type Reachability interface {
	// Down reports whether the server gets no requests.
	Down(server string) bool
	// Suspected reports whether the server gets requests only if there is no other.
	Suspected(server string) bool
	// Return returns the expected time until a server that is down returns.
	Return(server string) time.Duration
}

// AdapterStandings knows where adapters can be used. Its functions must not block.
type AdapterStandings interface {
	// Holds reports whether the adapter is known to be loaded on the server.
	Holds(server, adapter string) bool
	// Behind reports whether the server could not have the adapter lately, so that
	// others go first.
	Behind(server, adapter string) bool
}

// allReachable is the default Reachability: no server is down.
type allReachable struct{}

func (allReachable) Down(string) bool { return false }

func (allReachable) Suspected(string) bool { return false }

func (allReachable) Return(string) time.Duration { return 0 }

func processOf(tg *router.Target) downlister.Process {
	return downlister.Process{Server: tg.Name, Boot: tg.Boot}
}

// isDown reports whether the ticket must not go to the server since its address refuses
// connections, or has refused one for this request.
func (sc *Scheduler) isDown(tk *Ticket, tg *router.Target) bool {
	return sc.reachability.Down(tg.Name) || len(tk.RefusedBy) > 0 && slices.Contains(tk.RefusedBy, processOf(tg))
}

const (
	// defaultAbsence is how long a model is expected to be without a registered replica,
	// from its first request on, before one such time was seen: the load time of a large
	// model.
	defaultAbsence = 6 * time.Second
	// absenceDivisor gives the part of a longer absence that it is expected to take on,
	// up to maxAbsenceLeft.
	absenceDivisor = 4
	maxAbsenceLeft = 10 * time.Second
)

// noteAbsences records which models lose their last replica with the table, or get one.
func (sc *Scheduler) noteAbsences(now time.Time, tb *router.Table) {
	if sc.settings == nil {
		return
	}
	for _, md := range sc.settings.Models() {
		model := md.Name()
		since, absent := sc.absences[model]
		switch present := len(tb.Candidates(model)) > 0; {
		case present && absent:
			if !since.IsZero() {
				sc.absence.add(now.Sub(since))
			}
			delete(sc.absences, model)
		case !present && !absent && len(sc.table.Candidates(model)) > 0:
			sc.absences[model] = time.Time{}
		}
	}
}

// absentFor returns how long the model is expected to be without a replica, or false if
// it had none before.
func (sc *Scheduler) absentFor(now time.Time, model string) (time.Duration, bool) {
	since, ok := sc.absences[model]
	if !ok {
		return 0, false
	}
	if since.IsZero() {
		// A model that nobody asks for is not loaded again.
		since = now
		sc.absences[model] = now
	}
	expected, elapsed := defaultAbsence, now.Sub(since)
	if sc.absence.known {
		expected = sc.absence.value
	}
	return max(expected-elapsed, min(elapsed/absenceDivisor, maxAbsenceLeft), refusalExclusionTime), true
}

// awaitServer reports whether the request waits for a server of its model to return,
// since none is there or all are down. It returns a refusal if none is expected back in
// time.
func (sc *Scheduler) awaitServer(now time.Time, en *Entry, candidates []*router.Target) (rf *refuser.Refusal, awaits bool) {
	tk := en.ticket
	if len(candidates) == 0 {
		wait, known := sc.absentFor(now, tk.Model.Name())
		if !known {
			return refuser.New(refuser.NoWorker, "no replica of model %q is ready", tk.Model.Name()).WithRetryAfter(defaultRetryAfter), false
		}
		if sc.inTime(now, tk, wait) {
			return nil, true
		}
		return refuser.New(refuser.NoWorker, "no replica of model %q is ready", tk.Model.Name()).WithRetryAfter(sc.spread(wait)), false
	}
	wait := time.Duration(-1)
	for _, tg := range candidates {
		if tg.Leaving {
			continue
		}
		if !sc.isDown(tk, tg) {
			return nil, false
		}
		if back := sc.reachability.Return(tg.Name); wait < 0 || back < wait {
			wait = back
		}
	}
	switch {
	case wait < 0:
		return nil, false
	case sc.inTime(now, tk, wait):
		return nil, true
	}
	return refuser.New(refuser.NoWorker, "all replicas of model %q are down", tk.Model.Name()).WithRetryAfter(sc.spread(wait)), false
}

// inTime reports whether a request can still be answered in time after the wait.
func (sc *Scheduler) inTime(now time.Time, tk *Ticket, wait time.Duration) bool {
	return now.Add(wait).Before(tk.LatestStart().Add(-tk.Class.FirstToken()))
}

// spread returns the wait with a random part added, so that callers do not return in the
// same instant.
func (sc *Scheduler) spread(wait time.Duration) time.Duration {
	spread := min(wait/returnSpreadDivisor, maxReturnSpread) + 1
	return min(wait+time.Duration(sc.random.Int64N(int64(spread))), maxRetryAfter)
}

// avoidedServers returns the servers that the ticket avoids: those on which it failed,
// suspected ones, and those that could not have its adapter lately. It returns fewer if
// that would leave no server that is up.
func (sc *Scheduler) avoidedServers(tk *Ticket, candidates []*router.Target) []string {
	avoided := tk.Avoid
	for _, tg := range candidates {
		if sc.reachability.Suspected(tg.Name) || tk.Adapter != nil && sc.adapters != nil && sc.adapters.Behind(tg.Name, tk.Adapter.Name()) {
			avoided = append(slices.Clip(avoided), tg.Name)
		}
	}
	if sc.leavesServer(tk, candidates, avoided) {
		return avoided
	}
	if len(avoided) > len(tk.Avoid) && sc.leavesServer(tk, candidates, tk.Avoid) {
		return tk.Avoid
	}
	return nil
}

// leavesServer reports whether a candidate that is up is not avoided.
func (sc *Scheduler) leavesServer(tk *Ticket, candidates []*router.Target, avoided []string) bool {
	if len(avoided) == 0 {
		return true
	}
	for _, tg := range candidates {
		if !slices.Contains(avoided, tg.Name) && !sc.isDown(tk, tg) {
			return true
		}
	}
	return false
}
