package admitter

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// backlogDivisor is the part of a first-token target that the prompts
	// before a request may take to be read.
	backlogDivisor = 2
	// leastBacklog is a backlog that never keeps a request from a server: the
	// reading of one long prompt.
	leastBacklog = 100 * time.Millisecond
	// lateTargets is how many first-token targets a request waits in the node.
	lateTargets = 2
	// readingShare is the part of its time that a server should read prompts
	// for: beyond it the requests that run get their tokens too slowly.
	readingShare = 0.4
)

// readsInTime reports whether the target gets to a request's prompt soon enough
// for the request's target. What waits in the node instead can still go to
// another server.
func (sc *Scheduler) readsInTime(en *Entry, tg *router.Target) bool {
	if en.ticket.PromptTokens == 0 {
		return true
	}
	limit := max(en.ticket.Class.FirstToken()/backlogDivisor, leastBacklog)
	return tg.Load.Backlog() <= limit
}

// estimateReading returns how long a request with a prompt would wait: until
// one of its servers gets to it, after the prompts that wait before it in the
// node. The nodes share the servers alike.
func (sc *Scheduler) estimateReading(now time.Time, en *Entry) time.Duration {
	tk := en.ticket
	count, least := 0, longestRetryAfter
	for _, tg := range sc.table.Candidates(tk.Model.Name()) {
		if tg.Leaving || sc.isBarred(now, en, tg) {
			continue
		}
		count++
		least = min(least, tg.Load.Backlog())
	}
	if count == 0 {
		return refusedTime
	}
	ahead := time.Duration(0)
	if mq, ok := sc.queues[tk.Model.Name()]; ok {
		for class := range min(en.class+1, len(mq.lines)) {
			ahead += mq.lines[class].wanted
		}
	}
	return least + ahead*time.Duration(sc.table.Nodes())/time.Duration(count)
}

// patienceToRead returns how long a request with a prompt can wait in the node
// and still be on time. Whatever waits is sent to a server that has just come
// below the backlog allowed, and waits there for as long.
func (sc *Scheduler) patienceToRead(tk *Ticket) time.Duration {
	target := tk.Class.FirstToken()
	backlog := max(target/backlogDivisor, leastBacklog)
	first := sc.engines.FirstToken(tk.Model.Name(), sc.ownTokens(tk), backlog)
	return max(target-target/marginDivisor-first, time.Millisecond)
}

// refuseLate refuses a request that waited so long for a prompt to be read that
// others who come now are served sooner. Under a load that exceeds the servers
// of a model the late ones would wait until their callers leave.
func (sc *Scheduler) refuseLate(now time.Time, en *Entry) *refuser.Refusal {
	if en.wanted == 0 || en.ticket.Resumed {
		return nil
	}
	waited := now.Sub(en.arrived)
	if waited < lateTargets*en.ticket.Class.FirstToken() {
		return nil
	}
	return refuser.New(refuser.DeadlineUnreachable, "waited for %v and is late", waited.Round(time.Millisecond)).
		WithRetryAfter(en.ticket.Class.FirstToken())
}

// expect counts the prompt of a granted request as still to be read.
func (sc *Scheduler) expect(en *Entry, tg *router.Target) {
	if en.ticket.PromptTokens == 0 {
		return
	}
	sc.fill(en.ticket, nil)
	en.unread = sc.request.Unread(tg)
	en.backlog = tg.Load.Backlog()
	en.reading = sc.engines.Reading(en.ticket.Model.Name(), en.unread)
	tg.Load.Expect(en.reading)
	if tg.Prefixes != nil && len(en.ticket.PrefixTokens) > 0 {
		tg.Prefixes.Sent(en.ticket.Prefixes)
		sc.common.Saw(en.ticket.Prefixes)
	}
}

// readPrompt counts the prompt as read.
func (sc *Scheduler) readPrompt(en *Entry) {
	en.target.Load.Read(en.reading)
	en.reading = 0
}

// Begun notes that the first token of a granted request came, and grants what
// has become possible by it.
func (sc *Scheduler) Begun(now time.Time, en *Entry) {
	if en.stage != stageGranted || en.reading == 0 {
		return
	}
	sc.readPrompt(en)
	if tg, ok := sc.table.Target(en.target.Name); ok {
		sc.pump(now, tg)
	}
}

// noteArrival counts what a request asks of the servers, whether it gets it or
// not.
func (sc *Scheduler) noteArrival(en *Entry) {
	tk := en.ticket
	if tk.PromptTokens == 0 || tk.Resumed {
		return
	}
	en.wanted = sc.engines.Reading(tk.Model.Name(), sc.ownTokens(tk))
	if !tk.Repeated {
		sc.service(tk.Model.Name()).demand.arrived += en.wanted
	}
}

// ownTokens returns the tokens of a prompt that no server holds from other
// requests: those of its last part.
func (*Scheduler) ownTokens(tk *Ticket) int {
	if count := len(tk.PrefixTokens); count > 1 {
		return max(tk.PromptTokens-tk.PrefixTokens[count-2], 0)
	}
	return tk.PromptTokens
}

// readingDemand returns the requests at once that stand for the reading that a
// model asks for: as many as fill the servers that it takes.
func (sc *Scheduler) readingDemand(model string, arrived, elapsed time.Duration) float64 {
	if arrived == 0 || elapsed <= 0 {
		return 0
	}
	servers := arrived.Seconds() / elapsed.Seconds() / readingShare
	return servers * float64(sc.slots(model))
}

// slots returns the slots of a server that runs the model, or could.
func (sc *Scheduler) slots(model string) int {
	if candidates := sc.table.Candidates(model); len(candidates) > 0 {
		return candidates[0].Slots
	}
	md, ok := sc.settings.Model(model)
	if !ok {
		return 0
	}
	for _, bs := range sc.settings.BackendServers() {
		if bs.Pool() == md.Pool() {
			return bs.Slots()
		}
	}
	return 0
}
