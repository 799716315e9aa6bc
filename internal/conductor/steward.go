package conductor

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
	// steerInterval is the time between two looks at goals.
	steerInterval = 250 * time.Millisecond
	// strikeInterval is the time between two looks at orders that are no longer
	// recent: a small part of the time for which they are.
	strikeInterval = time.Second
)

// steward is what the leader keeps for one term: the plan, and the orders that
// bring the servers to it.
type steward struct {
	term      int64
	planner   *planner.Planner
	plan      *planner.Plan
	held      *planner.Plan
	orderer   *orderer.Orderer
	sequencer *orderer.Sequencer
	tokens    *orderer.RateTokens
	limits    [3]float64
	goals     *orderer.Goals
	nextPass  time.Time

	nextStrike time.Time
}

func (cd *Conductor) newSteward(term int64, inf *inForce) *steward {
	guard := func() (int64, bool) {
		now, ok := cd.registrar.Leads()
		return term, ok && now == term
	}
	held := heldPlan(inf)
	sw := &steward{
		term:      term,
		planner:   planner.New(inf.settings),
		plan:      held,
		held:      held,
		sequencer: orderer.NewSequencer(cd.binding.EngineClient, guard, cd.sizeOf, cd.registry),
	}
	sw.sequencer.OnUnload(cd.adapters.Recheck)
	sw.sequencer.OnRetire(cd.retire)
	sw.sequencer.OnOrder(cd.custodian.Register)
	sw.orderer = orderer.New(cd.identity.ID, storer.NewMemory(),
		orderer.WithCounters(cd.registry),
		orderer.WithEngines(sw.sequencer),
		orderer.WithTokens(cd),
		orderer.WithServing(cd.serving),
		orderer.WithFenceFloor(term))
	return sw
}

// sizeOf returns the memory that a model or adapter takes.
func (cd *Conductor) sizeOf(name string) int64 {
	st := cd.Settings()
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

// unknownSize is more than any server has: beside something of unknown size
// nothing is loaded until it is gone.
const unknownSize = 1 << 50

// heldPlan is the plan that the servers fulfil already.
func heldPlan(inf *inForce) *planner.Plan {
	byServer := map[string][]string{}
	for _, sv := range inf.servers {
		byServer[sv.ID] = nil
		for _, hd := range sv.Models {
			if md, ok := inf.settings.Model(hd.Name); ok && md.Placed() {
				byServer[sv.ID] = append(byServer[sv.ID], hd.Name)
			}
		}
	}
	return planner.NewPlan(byServer)
}

// steer plans and sends orders while the node leads.
func (cd *Conductor) steer(ctx context.Context) error {
	tk := time.NewTicker(steerInterval)
	defer tk.Stop()
	for {
		var events <-chan orderer.Event
		sw := cd.steward.Load()
		if sw != nil {
			events = sw.orderer.Events()
		}
		select {
		case <-ctx.Done():
			return nil
		case ev := <-events:
			sw.orderer.Handle(ctx, time.Now(), ev)
		case <-tk.C:
			cd.lead(ctx, time.Now())
		}
	}
}

// lead takes the leadership up, acts on it, or lays it down.
func (cd *Conductor) lead(ctx context.Context, now time.Time) {
	term, leads := cd.registrar.Leads()
	sw, inf := cd.steward.Load(), cd.inForce.Load()
	if sw != nil && (!leads || term != sw.term) {
		log.WithField("term", sw.term).Info("leader stops sending orders")
		sw.orderer.Reconcile(ctx, now, nil)
		cd.steward.Store(nil)
		cd.custodian.End()
		sw = nil
	}
	if !leads || inf == nil || !cd.takeOver(ctx, term) {
		return
	}
	if sw == nil {
		sw = cd.newSteward(term, inf)
		sw.limit(inf.settings, now)
		cd.steward.Store(sw)
		log.WithField("term", term).Info("leader begins to send orders")
	}
	sw.limit(inf.settings, now)
	cd.replan(sw, inf, now)
	sw.orderer.Reconcile(ctx, now, cd.goalsOf(sw, inf))
	if now.After(sw.nextStrike) {
		sw.nextStrike = now.Add(strikeInterval)
		go cd.strike(ctx)
	}
}

// takeOver reads what earlier leaders may have ordered, once a term, and
// reports whether that is known.
func (cd *Conductor) takeOver(ctx context.Context, term int64) bool {
	if cd.custodian.Begun(term) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := cd.custodian.Begin(ctx, term); err != nil {
		cd.registry.Inc("leader", "not-begun")
		log.WithError(err).WithField("term", term).Warn("leader does not know yet what was ordered")
		return false
	}
	return true
}

// strike shortens the record of orders.
func (cd *Conductor) strike(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cd.custodian.Prune(ctx)
}

// limit follows the limits of the settings.
func (sw *steward) limit(st *configurer.Settings, now time.Time) {
	lm := st.Limits()
	limits := [3]float64{lm.WeightLoadsPerSecond(), float64(lm.WeightLoadsAtOnce()), float64(lm.AdaptersInTransit())}
	if sw.tokens == nil || limits != sw.limits {
		sw.limits = limits
		sw.tokens = orderer.NewRateTokens(limits[0], lm.WeightLoadsAtOnce(), lm.AdaptersInTransit(), now)
	}
}

// replan makes the next plan when one is due.
func (cd *Conductor) replan(sw *steward, inf *inForce, now time.Time) {
	if now.Before(sw.nextPass) {
		return
	}
	sw.nextPass = now.Add(inf.settings.Planning().Interval())
	sw.adopt(inf)
	staying := map[string]bool{}
	for _, sv := range inf.servers {
		staying[sv.ID] = !sv.Leaving
	}
	demand := cd.demands.Sum(now, demandGrace)
	next := sw.planner.Next(planner.Input{
		Settings: inf.settings,
		Usable:   func(server string) bool { return staying[server] },
		Demand:   demand,
		Current:  sw.plan,
		Serving:  cd.serving,
		Now:      now,
	})
	if moves := next.Moves(sw.plan); moves > 0 {
		log.WithField("term", sw.term).WithField("moves", moves).WithField("wanted", mostWanted(demand, next)).Info("plan changed")
		cd.registry.Add(int64(moves), "plan", "moves")
	}
	sw.plan = next
}

// wantedLogged is how many models a line about a plan names.
const wantedLogged = 6

// mostWanted describes the models with the most demand: their demand and their
// replicas.
func mostWanted(demand planner.Demand, plan *planner.Plan) string {
	models := slices.SortedFunc(maps.Keys(demand), func(one, two string) int {
		return cmp.Compare(demand[two], demand[one])
	})
	var text strings.Builder
	for _, model := range models[:min(wantedLogged, len(models))] {
		fmt.Fprintf(&text, "%s:%.1f/%d ", model, demand[model], len(plan.Servers(model)))
	}
	return strings.TrimSpace(text.String())
}

// adopt takes models into the plan that appeared on a server without it, as by
// an order of an earlier leader, if the server has the memory.
func (sw *steward) adopt(inf *inForce) {
	held := heldPlan(inf)
	byServer := map[string][]string{}
	for _, sv := range inf.servers {
		bs, ok := inf.settings.BackendServer(sv.ID)
		if !ok {
			continue
		}
		planned := sw.plan.Models(sv.ID)
		byServer[sv.ID] = planned
		for _, model := range held.Models(sv.ID) {
			known := slices.Contains(planned, model) || slices.Contains(sw.held.Models(sv.ID), model)
			if !known && memoryOf(inf.settings, planned)+memoryOf(inf.settings, []string{model}) <= bs.WeightMemory() {
				planned = append(slices.Clone(planned), model)
				byServer[sv.ID] = planned
			}
		}
	}
	sw.held = held
	sw.plan = planner.NewPlan(byServer)
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

// goalsOf returns the goals of the servers to which orders may be sent.
func (cd *Conductor) goalsOf(sw *steward, inf *inForce) []*orderer.Goal {
	if sw.goals == nil || sw.goals.Settings() != inf.settings {
		sw.goals = orderer.NewGoals(inf.settings)
	}
	var goals []*orderer.Goal
	for _, sv := range inf.servers {
		bs, ok := inf.settings.BackendServer(sv.ID)
		if ok && !sv.Leaving && bs.Kind() != "" && sw.plan.HasServer(sv.ID) && cd.custodian.MaySend(sv.ID) {
			goals = append(goals, sw.goals.Of(bs, sw.plan.Models(sv.ID)))
		}
	}
	return goals
}

// serving reports whether the server stays and says that it has the model.
func (cd *Conductor) serving(model, server string) bool {
	rp, ok := cd.watcher.Snapshot().Report(server)
	if !ok || rp.Leaving {
		return false
	}
	_, ok = rp.Models[model]
	return ok
}

// errNotLeader means that orders are another node's.
var errNotLeader = errors.New("node does not lead")

// Fence implements adapterkeeper.Orders.
func (cd *Conductor) Fence(server string) (orderer.Ownership, bool) {
	sw := cd.steward.Load()
	if sw == nil {
		return orderer.Ownership{}, false
	}
	return sw.orderer.Fence(server)
}

// Raise implements adapterkeeper.Orders.
func (cd *Conductor) Raise(server string) {
	if sw := cd.steward.Load(); sw != nil {
		sw.orderer.Raise(server)
	}
}

// Send implements orderer.Engines for the orders of adapters.
func (cd *Conductor) Send(ctx context.Context, address string, od orderer.Order) (orderer.Answer, error) {
	sw := cd.steward.Load()
	if sw == nil {
		return orderer.Answer{}, &orderer.OrderError{Outcome: orderer.NotSent, Cause: errNotLeader}
	}
	return sw.sequencer.Send(ctx, address, od)
}

// Take implements orderer.Tokens.
func (cd *Conductor) Take(ctx context.Context, limit string) (func(), error) {
	sw := cd.steward.Load()
	if sw == nil {
		return nil, errNotLeader
	}
	return sw.tokens.Take(ctx, limit)
}
