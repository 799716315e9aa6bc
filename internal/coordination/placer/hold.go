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

// errOutdated means that a later holder has written the plan.
var errOutdated = errors.New("a later holder has written the plan")

// tenure is what the holder keeps while it holds the plan.
type tenure struct {
	epoch int64
	// since is when the node took the plan over.
	since time.Time
	// fresh says that record and revision are those of the store.
	fresh    bool
	record   *planner.Record
	revision int64
	planner  *planner.Planner
	// heard says that the reports of all nodes have come in.
	heard bool
	stuck map[string]int
}

// pass changes the plan if the node holds it and a change is due.
func (pc *Placer) pass(ctx context.Context, now time.Time, sn Situation) {
	epoch, err := pc.claims.Hold(ctx, Resource)
	if err != nil {
		pc.tenure = tenure{}
		return
	}
	if err := pc.resume(ctx, now, sn, epoch); err != nil {
		pc.registry.Inc("plan", "not-resumed")
		log.WithError(err).Warn("the plan cannot be read; the one in force stays")
		return
	}
	if !pc.seesMost(sn) {
		pc.registry.Inc("plan", "most-servers-unseen")
		return
	}
	next := pc.next(now, sn)
	if old := pc.tenure.record; old != nil && next.Equal(old.Plan()) {
		return
	}
	if err := pc.write(ctx, now, next); err != nil {
		pc.tenure.fresh = false
		pc.registry.Inc("plan", "not-written")
		log.WithError(err).Warn("the new plan was not written; the one in force stays")
	}
}

// resume reads the record at the start of a tenure and after each write that
// did not certainly take effect, and goes on from it.
func (pc *Placer) resume(ctx context.Context, now time.Time, sn Situation, epoch int64) error {
	if pc.tenure.epoch != epoch {
		pc.tenure = tenure{epoch: epoch, since: now, stuck: map[string]int{}}
	}
	tn := &pc.tenure
	if tn.fresh {
		tn.planner.Revise(sn.Settings)
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
	tn.fresh, tn.record, tn.revision = true, rc, revision
	if tn.planner == nil {
		tn.planner = resumed(rc, now, sn)
	}
	if rc != nil {
		pc.install(rc)
	}
	return nil
}

// revisionOfCorrupt returns the revision of a record that cannot be read, so
// that the plan in force can be written over it.
func (pc *Placer) revisionOfCorrupt(ctx context.Context) (int64, error) {
	en, err := pc.store.Get(ctx, key)
	return en.Revision, err
}

func resumed(rc *planner.Record, now time.Time, sn Situation) *planner.Planner {
	if rc == nil {
		return planner.New(sn.Settings)
	}
	return planner.Resume(sn.Settings, rc.State(), now)
}

// seesMost reports whether at least half of the backend servers answer. If
// fewer do, it is rather the holder that is cut off than that they are gone.
// Servers that leave say so, and say nothing about the holder.
func (*Placer) seesMost(sn Situation) bool {
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

// next returns the plan that should be in force.
func (pc *Placer) next(now time.Time, sn Situation) *planner.Plan {
	tn := &pc.tenure
	if tn.record == nil {
		return planner.Initial(sn.Settings, sn.Usable)
	}
	current := pc.release(tn.record.Plan(), sn)
	next := tn.planner.Next(planner.Input{
		Settings: sn.Settings,
		Usable:   sn.Usable,
		Demand:   pc.demand(now, sn),
		Current:  current,
		Serving:  sn.Serving,
		Now:      now,
	})
	if pc.settings == sn.Settings {
		checkReachable(current, next, sn)
	}
	return next
}

// demand returns the sum of the reports. Until each node has reported to a new
// holder, or could have, it is the demand of the record.
func (pc *Placer) demand(now time.Time, sn Situation) planner.Demand {
	tn := &pc.tenure
	grace := graceIntervals * sn.Settings.Planning().Interval()
	if !tn.heard && !pc.reports.heard(pc.view()) && now.Sub(tn.since) < grace {
		return tn.record.State().Demand
	}
	tn.heard = true
	return pc.reports.Sum(now, grace)
}

// checkReachable asserts that no model loses its last serving replica.
func checkReachable(old, next *planner.Plan, sn Situation) {
	for _, md := range sn.Settings.Models() {
		before, after := serving(old, md.Name(), sn), serving(next, md.Name(), sn)
		checker.Assert(checker.Reachable, before == 0 || after > 0, "the plan gives up all %d serving replicas of %s", before, md.Name())
	}
}

func serving(pl *planner.Plan, model string, sn Situation) int {
	count := 0
	for _, server := range pl.Servers(model) {
		if sn.Usable(server) && sn.Serving(model, server) {
			count++
		}
	}
	return count
}

// write writes the next plan and puts it in force once that took effect.
func (pc *Placer) write(ctx context.Context, now time.Time, next *planner.Plan) error {
	tn := &pc.tenure
	number, moves := int64(1), 0
	if tn.record != nil {
		number = tn.record.Number() + 1
		moves = next.Moves(tn.record.Plan())
	}
	number = max(number, pc.wanted.Seq+1)
	rc := planner.NewRecord(tn.epoch, number, rand.Text(), next, tn.planner.State(now))
	value, err := rc.Encode()
	if err != nil {
		return err
	}
	mine := func(stored []byte) bool {
		found, err := planner.DecodeRecord(stored)
		return err == nil && found.Batch() == rc.Batch()
	}
	written, err := storer.SwapSettled(ctx, pc.store, key, value, tn.revision, mine)
	if err != nil {
		return err
	}
	tn.record, tn.revision = rc, written
	pc.registry.Add(int64(moves), "plan", "moves")
	pc.install(rc)
	return nil
}
