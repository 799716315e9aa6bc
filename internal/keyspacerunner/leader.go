package keyspacerunner

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const (
	// leadInterval is the time between two updates of the goals.
	leadInterval = 250 * time.Millisecond
	// pruneInterval is the time between two prunings of the record of orders. It
	// is a small fraction of the time for which an order counts as recent.
	pruneInterval = time.Second
	// minPlanningPause is the least time between two plans when servers are lost one
	// after the other. A plan takes up to 50 ms.
	minPlanningPause = 100 * time.Millisecond
)

// termState is the leader's state in one term: the plan, and the orders that
// carry it out.
type termState struct {
	term    int64
	planner *planner.Planner
	plan    *planner.Plan
	// held is what the servers held at the last planning.
	held      *planner.Plan
	orderer   *orderer.Orderer
	sequencer *orderer.Sequencer
	tokens    *orderer.RateTokens
	// limits are the settings of tokens: weight loads a second, weight loads at
	// once, adapters in transit.
	limits [3]float64
	// goals caches the goals of the settings in force.
	goals *orderer.Goals
	// plannedAt is the time of the last plan, and nextPlanning that at which the next
	// one is due.
	plannedAt, nextPlanning time.Time
	// down is the number of servers that were down at the last plan.
	down int
	// nextPrune is when the record of orders is pruned next.
	nextPrune time.Time
	// paused is true while a renewal of the leadership is missing.
	paused bool
}

// leadership tells in which term this node leads.
type leadership interface {
	// Leads returns the term of this node's leadership. While a renewal of it is
	// missing, ok is false and the term stays. The term is 0 once it has ended.
	Leads() (term int64, ok bool)
	// FormerTerm returns the term of a former era that the term continues, or 0.
	FormerTerm() int64
}

func (rn *Runner) newTermState(term int64, sn *snapshot) *termState {
	guard := func() (int64, bool) {
		current, leads := rn.leadership.Leads()
		return term, leads && current == term
	}
	held := heldPlan(sn)
	ts := &termState{
		term:      term,
		planner:   planner.New(sn.settings),
		plan:      held,
		held:      held,
		sequencer: orderer.NewSequencer(rn.binding.EngineClient, guard, rn.sizeOf, rn.registry),
	}
	ts.sequencer.AfterUnload(rn.adapters.Recheck)
	ts.sequencer.BeforeUnload(rn.retire)
	ts.sequencer.BeforeOrder(rn.orderRegistrar.Register)
	ts.orderer = orderer.New(rn.identity.ID, storer.NewMemory(),
		orderer.WithCounters(rn.registry),
		orderer.WithEngines(ts.sequencer),
		orderer.WithTokens(rn),
		orderer.WithServing(rn.serving),
		orderer.WithResident(rn.resident),
		orderer.WithFenceFloor(term))
	return ts
}

// sizeOf returns the memory of a model or adapter in bytes.
func (rn *Runner) sizeOf(name string) int64 {
	st := rn.Settings()
	if st == nil {
		return 0
	}
	if md, ok := st.Model(name); ok {
		return md.Memory()
	}
	if ad, ok := st.Adapter(name); ok {
		return ad.Memory()
	}
	return unknownSize
}

// unknownSize is in bytes and exceeds the memory of any server. Nothing is
// loaded beside a model or adapter of unknown size until that one is gone.
const unknownSize = 1 << 50

// heldPlan returns the placed models that the servers hold, as a plan.
func heldPlan(sn *snapshot) *planner.Plan {
	byServer := map[string][]string{}
	for _, sv := range sn.servers {
		byServer[sv.ID] = nil
		for _, hd := range sv.Models {
			if md, ok := sn.settings.Model(hd.Name); ok && md.Placed() {
				byServer[sv.ID] = append(byServer[sv.ID], hd.Name)
			}
		}
	}
	return planner.NewPlan(byServer)
}

// runLeader plans and sends orders while the node leads.
func (rn *Runner) runLeader(ctx context.Context) error {
	tk := time.NewTicker(leadInterval)
	defer tk.Stop()
	for {
		var events <-chan orderer.Event
		ts := rn.termState.Load()
		if ts != nil {
			events = ts.orderer.Events()
		}
		select {
		case <-ctx.Done():
			return nil
		case ev := <-events:
			ts.orderer.Handle(ctx, time.Now(), ev)
		case <-rn.serverLost:
			if ts != nil {
				ts.hasten()
			}
			rn.updateLeadership(ctx, time.Now())
		case <-tk.C:
			rn.updateLeadership(ctx, time.Now())
		}
	}
}

// updateLeadership starts or ends the node's term, and sends orders during it.
func (rn *Runner) updateLeadership(ctx context.Context, now time.Time) {
	term, leads := rn.leadership.Leads()
	ts, sn := rn.termState.Load(), rn.snapshot.Load()
	if ts != nil && term != ts.term {
		if !ts.paused {
			log.WithField("term", ts.term).Info("leader stops sending orders")
		}
		ts.orderer.Reconcile(ctx, now, nil)
		rn.termState.Store(nil)
		rn.orderRegistrar.End()
		ts = nil
	}
	if ts != nil && ts.paused == leads {
		ts.setPaused(!leads)
	}
	if !leads || sn == nil || !rn.takeOver(ctx, term) {
		return
	}
	if ts == nil {
		ts = rn.newTermState(term, sn)
		ts.updateTokens(sn.settings, now)
		rn.termState.Store(ts)
		log.WithField("term", term).Info("leader begins to send orders")
	}
	ts.updateTokens(sn.settings, now)
	rn.replan(ts, sn, now)
	ts.orderer.Reconcile(ctx, now, rn.goalsOf(ts, sn))
	if now.After(ts.nextPrune) {
		ts.nextPrune = now.Add(pruneInterval)
		go rn.pruneRecord(ctx)
	}
}

// setPaused stops the orders of the term, or lets them go on. No other node has
// led in between, so that what the leader knows stays valid.
func (ts *termState) setPaused(paused bool) {
	ts.paused = paused
	line := log.WithField("term", ts.term).WithField("renewed", !paused)
	if paused {
		ts.orderer.Suspend()
		line.Info("leader stops sending orders")
		return
	}
	line.Info("leader begins to send orders")
}

// takeOver reads the record of the earlier leaders' orders once a term, and
// reports whether the record is known.
func (rn *Runner) takeOver(ctx context.Context, term int64) bool {
	if rn.orderRegistrar.Begun(term) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	if former := rn.leadership.FormerTerm(); former != 0 {
		err = rn.orderRegistrar.Continue(ctx, former, term)
	} else {
		err = rn.orderRegistrar.Begin(ctx, term)
	}
	if err != nil {
		rn.registry.Inc("leader", "not-begun")
		log.WithError(err).WithField("term", term).Warn("leader cannot read the record of orders; it sends no orders until it can")
		return false
	}
	return true
}

// pruneRecord removes orders that are no longer recent from the record.
func (rn *Runner) pruneRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rn.orderRegistrar.Prune(ctx)
}

// updateTokens replaces the tokens if the limits of the settings changed.
func (ts *termState) updateTokens(st *configurer.Settings, now time.Time) {
	lm := st.Limits()
	limits := [3]float64{lm.WeightLoadsPerSecond(), float64(lm.WeightLoadsAtOnce()), float64(lm.AdaptersInTransit())}
	if ts.tokens == nil || limits != ts.limits {
		ts.limits = limits
		ts.tokens = orderer.NewRateTokens(limits[0], lm.WeightLoadsAtOnce(), lm.AdaptersInTransit(), now)
	}
}

// hasten makes the next plan due at once, or minPlanningPause after the last one.
func (ts *termState) hasten() {
	if soonest := ts.plannedAt.Add(minPlanningPause); soonest.Before(ts.nextPlanning) {
		ts.nextPlanning = soonest
	}
}

// notifyServerLost makes the leader plan without delay, because a server leaves or is
// gone.
func (rn *Runner) notifyServerLost() {
	select {
	case rn.serverLost <- struct{}{}:
	default:
	}
}

// replan makes the next plan when one is due.
func (rn *Runner) replan(ts *termState, sn *snapshot, now time.Time) {
	down, _ := rn.downs.Outages()
	if down > ts.down {
		ts.hasten()
	}
	if now.Before(ts.nextPlanning) {
		return
	}
	ts.plannedAt, ts.down = now, down
	ts.nextPlanning = now.Add(sn.settings.Planning().Interval())
	ts.adopt(sn)
	usable := map[string]bool{}
	for _, sv := range sn.servers {
		usable[sv.ID] = !sv.Leaving
	}
	demand := rn.demands.Sum(now, demandLifetime)
	next := ts.planner.Next(planner.Input{
		Settings: sn.settings,
		Usable:   func(server string) bool { return usable[server] },
		Demand:   demand,
		Current:  ts.plan,
		Serving:  rn.serving,
		Resident: rn.resident,
		AtRisk:   rn.atRisk,
		Now:      now,
	})
	if moves := next.Moves(ts.plan); moves > 0 {
		log.WithField("term", ts.term).WithField("moves", moves).WithField("wanted", topDemand(demand, next)).
			WithField("changes", describeChanges(ts.planner.Changes())).Info("plan changed")
		rn.registry.Add(int64(moves), "plan", "moves")
	}
	ts.plan = next
}

// maxDemandLogged is how many models a log line about a plan names.
const maxDemandLogged = 6

// topDemand describes the models with the highest demand as a list of
// MODEL:DEMAND/REPLICAS.
func topDemand(demand planner.Demand, plan *planner.Plan) string {
	models := slices.SortedFunc(maps.Keys(demand), func(one, two string) int {
		return cmp.Compare(demand[two], demand[one])
	})
	var text strings.Builder
	for _, model := range models[:min(maxDemandLogged, len(models))] {
		fmt.Fprintf(&text, "%s:%.1f/%d ", model, demand[model], len(plan.Servers(model)))
	}
	return strings.TrimSpace(text.String())
}

// maxChangesLogged is how many changes a log line about a plan names.
const maxChangesLogged = 6

// describeChanges describes changes as a list of MODEL@SERVER:REASON, each
// followed by -MODEL for every model that made room.
func describeChanges(changes []planner.Change) string {
	var text strings.Builder
	for _, ch := range changes[:min(maxChangesLogged, len(changes))] {
		fmt.Fprintf(&text, "%s@%s:%s", ch.Model(), ch.Server(), ch.Reason())
		for _, evicted := range ch.Evicted() {
			text.WriteString("-" + evicted)
		}
		text.WriteByte(' ')
	}
	return strings.TrimSpace(text.String())
}

// adopt adds models to the plan that appeared on a server outside the plan, for
// example through an order of an earlier leader, if the server has the memory.
func (ts *termState) adopt(sn *snapshot) {
	held := heldPlan(sn)
	byServer := map[string][]string{}
	for _, sv := range sn.servers {
		bs, ok := sn.settings.BackendServer(sv.ID)
		if !ok {
			continue
		}
		planned := ts.plan.Models(sv.ID)
		byServer[sv.ID] = planned
		for _, model := range held.Models(sv.ID) {
			known := slices.Contains(planned, model) || slices.Contains(ts.held.Models(sv.ID), model)
			if !known && memoryOf(sn.settings, planned)+memoryOf(sn.settings, []string{model}) <= bs.WeightMemory() {
				planned = append(slices.Clone(planned), model)
				byServer[sv.ID] = planned
			}
		}
	}
	ts.held = held
	ts.plan = planner.NewPlan(byServer)
}

func memoryOf(st *configurer.Settings, models []string) int64 {
	sum := int64(0)
	for _, name := range models {
		if md, ok := st.Model(name); ok {
			sum += md.Memory()
		}
	}
	return sum
}

// goalsOf returns goals for the servers to which orders may be sent.
func (rn *Runner) goalsOf(ts *termState, sn *snapshot) []*orderer.Goal {
	if ts.goals == nil || ts.goals.Settings() != sn.settings {
		ts.goals = orderer.NewGoals(sn.settings)
	}
	var goals []*orderer.Goal
	for _, sv := range sn.servers {
		bs, ok := sn.settings.BackendServer(sv.ID)
		if ok && !sv.Leaving && bs.Kind() != "" && ts.plan.HasServer(sv.ID) && rn.orderRegistrar.MaySend(sv.ID) {
			goals = append(goals, ts.goals.Of(bs, ts.plan.Models(sv.ID)))
		}
	}
	return goals
}

// serving reports whether the server lists the model and is not leaving.
func (rn *Runner) serving(model, server string) bool {
	rp, ok := rn.watcher.Snapshot().Report(server)
	if !ok || rp.Leaving {
		return false
	}
	_, ok = rp.Models[model]
	return ok
}

// resident reports whether the server says that its host keeps the model's weights.
func (rn *Runner) resident(model, server string) bool {
	sn := rn.snapshot.Load()
	return sn != nil && slices.Contains(sn.resident[server], model)
}

// atRisk reports whether the server is down. A leader that has lost its path to the
// server's pool can't tell.
func (rn *Runner) atRisk(server string) bool {
	return !rn.path.DetachedFrom(server) && rn.downs.Down(server)
}

// errNotLeader means that the node may not send orders.
var errNotLeader = errors.New("node does not lead")

// Fence implements adapterkeeper.Orders.
func (rn *Runner) Fence(server string) (orderer.Ownership, bool) {
	ts := rn.termState.Load()
	if _, leads := rn.leadership.Leads(); ts == nil || !leads {
		return orderer.Ownership{}, false
	}
	return ts.orderer.Fence(server)
}

// Raise implements adapterkeeper.Orders.
func (rn *Runner) Raise(server string) {
	if ts := rn.termState.Load(); ts != nil {
		ts.orderer.Raise(server)
	}
}

// Send implements orderer.Engines for orders that concern adapters.
func (rn *Runner) Send(ctx context.Context, address string, od orderer.Order) (orderer.Answer, error) {
	ts := rn.termState.Load()
	if ts == nil {
		return orderer.Answer{}, &orderer.OrderError{Outcome: orderer.NotSent, Cause: errNotLeader}
	}
	return ts.sequencer.Send(ctx, address, od)
}

// Take implements orderer.Tokens.
func (rn *Runner) Take(ctx context.Context, limit string) (func(), error) {
	ts := rn.termState.Load()
	if ts == nil {
		return nil, errNotLeader
	}
	return ts.tokens.Take(ctx, limit)
}
