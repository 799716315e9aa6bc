package placer

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// errOutdated means that a holder with a later epoch has written the plan.
var errOutdated = errors.New("plan in the store was written under a later epoch")

// term is the state of the holder while it holds the plan.
type term struct {
	epoch int64
	// since is when the term began on this node.
	since time.Time
	// synced is set if record and revision match the store.
	synced   bool
	record   *planner.Record
	revision int64
	planner  *planner.Planner
	// allReported is set once demand is taken from the reports: all live nodes
	// have reported, or the grace period has ended.
	allReported bool
	// stuck counts the passes in a row in which a server was deadlocked.
	stuck map[string]int
}

// pass runs a planning pass if this node holds the plan, and writes the new
// plan if it differs.
func (pc *Placer) pass(ctx context.Context, now time.Time, sn Situation) {
	epoch, err := pc.claims.Hold(ctx, Resource)
	if err != nil {
		pc.term = term{}
		return
	}
	if err := pc.resume(ctx, now, sn, epoch); err != nil {
		pc.registry.Inc("plan", "not-resumed")
		log.WithError(err).Warn("placer cannot read the plan from the store; the current plan stays in force")
		return
	}
	if !pc.enoughServersAnswer(sn) {
		pc.registry.Inc("plan", "most-servers-unseen")
		return
	}
	next := pc.next(now, sn)
	if old := pc.term.record; old != nil && next.Equal(old.Plan()) {
		return
	}
	if err := pc.write(ctx, now, next); err != nil {
		pc.term.synced = false
		pc.registry.Inc("plan", "not-written")
		log.WithError(err).Warn("placer cannot write the new plan to the store; the current plan stays in force")
	}
}

// resume prepares the term for a pass. It reads the record from the store at
// the start of a term and after each write that is not confirmed.
func (pc *Placer) resume(ctx context.Context, now time.Time, sn Situation, epoch int64) error {
	if pc.term.epoch != epoch {
		pc.term = term{epoch: epoch, since: now, stuck: map[string]int{}}
	}
	tm := &pc.term
	if tm.synced {
		tm.planner.ApplySettings(sn.Settings)
		return nil
	}
	rc, revision, err := pc.load(ctx)
	switch {
	case errors.Is(err, planner.ErrCorrupt) && pc.Current() != nil:
		pc.registry.Inc("plan", "corrupt")
		rc = pc.Current()
		revision, err = pc.revisionOfCorrupt(ctx)
	case err != nil:
		return err
	}
	if err != nil {
		return err
	}
	if rc != nil && rc.Epoch() > epoch {
		return errOutdated
	}
	tm.synced, tm.record, tm.revision = true, rc, revision
	if tm.planner == nil {
		tm.planner = newPlanner(rc, now, sn)
	}
	if rc != nil {
		pc.install(rc)
	}
	return nil
}

// revisionOfCorrupt returns the revision of a stored record that cannot be
// decoded, so that the plan in force can replace it.
func (pc *Placer) revisionOfCorrupt(ctx context.Context) (int64, error) {
	en, err := pc.store.Get(ctx, storeKey)
	return en.Revision, err
}

func newPlanner(rc *planner.Record, now time.Time, sn Situation) *planner.Planner {
	if rc == nil {
		return planner.New(sn.Settings)
	}
	return planner.Resume(sn.Settings, rc.State(), now)
}

// enoughServersAnswer reports whether at least half of the backend servers
// answer. If fewer do, the holder is more likely to be cut off than the servers
// to be gone. Servers that announced that they leave are not counted as silent.
func (*Placer) enoughServersAnswer(sn Situation) bool {
	silent := 0
	for _, bs := range sn.Settings.BackendServers() {
		if sn.isSilent(bs.Name()) {
			silent++
		}
	}
	return 2*silent <= len(sn.Settings.BackendServers())
}

func (sn *Situation) isSilent(server string) bool {
	if sn.Silent == nil {
		return !sn.Usable(server)
	}
	return sn.Silent(server)
}

// next returns the plan that should come into force. It may equal the current
// one.
func (pc *Placer) next(now time.Time, sn Situation) *planner.Plan {
	tm := &pc.term
	if tm.record == nil {
		return planner.Initial(sn.Settings, sn.Usable)
	}
	current := pc.resolveDeadlock(tm.record.Plan(), sn)
	next := tm.planner.Next(planner.Input{
		Settings: sn.Settings,
		Usable:   sn.Usable,
		Demand:   pc.demand(now, sn),
		Current:  current,
		Serving:  sn.Serving,
		Now:      now,
	})
	// Changed settings may leave no memory for a model, so skip the check.
	if pc.settings == sn.Settings {
		checkReachable(current, next, sn)
	}
	return next
}

// demand returns the sum of the demand reports. A new holder uses the demand of
// the record until all live nodes have reported or the grace period has ended.
func (pc *Placer) demand(now time.Time, sn Situation) planner.Demand {
	tm := &pc.term
	gracePeriod := graceIntervals * sn.Settings.Planning().Interval()
	if !tm.allReported && !pc.reports.allReported(pc.view()) && now.Sub(tm.since) < gracePeriod {
		return tm.record.State().Demand
	}
	tm.allReported = true
	return pc.reports.Sum(now, gracePeriod)
}

// checkReachable asserts that no model loses its last serving replica.
func checkReachable(old, next *planner.Plan, sn Situation) {
	for _, md := range sn.Settings.Models() {
		before, after := servingReplicas(old, md.Name(), sn), servingReplicas(next, md.Name(), sn)
		checker.Assert(checker.Reachable, before == 0 || after > 0, "the plan gives up all %d serving replicas of %s", before, md.Name())
	}
}

func servingReplicas(pl *planner.Plan, model string, sn Situation) int {
	count := 0
	for _, server := range pl.Servers(model) {
		if sn.Usable(server) && sn.Serving(model, server) {
			count++
		}
	}
	return count
}

// write writes the next plan to the store and puts it in force once the write
// is confirmed.
func (pc *Placer) write(ctx context.Context, now time.Time, next *planner.Plan) error {
	tm := &pc.term
	number, moves := int64(1), 0
	if tm.record != nil {
		number = tm.record.Number() + 1
		moves = next.Moves(tm.record.Plan())
	}
	number = max(number, pc.newest.Seq+1)
	rc := planner.NewRecord(tm.epoch, number, rand.Text(), next, tm.planner.State(now))
	value, err := rc.Encode()
	if err != nil {
		return err
	}
	isOwnWrite := func(stored []byte) bool {
		found, err := planner.DecodeRecord(stored)
		return err == nil && found.Batch() == rc.Batch()
	}
	written, err := storer.SwapSettled(ctx, pc.store, storeKey, value, tm.revision, isOwnWrite)
	if err != nil {
		return err
	}
	tm.record, tm.revision = rc, written
	pc.registry.Add(int64(moves), "plan", "moves")
	pc.install(rc)
	return nil
}
