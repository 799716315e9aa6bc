package soaker

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
)

// Bounds of the time after all faults.
const (
	settleTime   = 4 * time.Minute
	settlePoll   = 500 * time.Millisecond
	latestTime   = time.Minute
	reachTimeout = 4 * time.Second
	stopTokens   = 100
	stopStreams  = 2
)

// operate applies another version of the settings, as one of two operators who
// do not wait for each other.
func (wd *world) operate(ctx context.Context, version int, author string) {
	base := wd.newest()
	rv, err := publisher.Apply(ctx, wd.store, settingsFiles(version, extraSection(version)), author, base)
	var raced *publisher.ConflictError
	switch {
	case err == nil:
		wd.report.count("settings.accepted")
		wd.report.expect(checker.RevisionMonotonic, rv.Number() > base, "revision %d was accepted after %d", rv.Number(), base)
		wd.report.expect(checker.RevisionMonotonic, wd.accepted(rv.Number()), "two operators were told that revision %d is theirs", rv.Number())
	case errors.As(err, &raced):
		wd.report.count("settings.raced")
		wd.learn(raced.Number)
	default:
		wd.report.count("settings.failed")
	}
}

// extraSection adds a model in some versions, and changes another one's weights.
func extraSection(version int) string {
	text := ""
	if version%2 == 0 {
		text += fmt.Sprintf("[model.%s]\nmemory = 5GiB\n", extraModel)
	}
	if version%3 == 0 {
		text += "[model.m1]\nversion = v2\n"
	}
	return text
}

// seenRevision notes a revision that callers have seen and returns the highest.
func (wd *world) seenRevision(number int64) int64 {
	wd.guard.Lock()
	defer wd.guard.Unlock()
	wd.seen = max(wd.seen, number)
	return wd.seen
}

// watchRevisions checks that no node has gone back to an older revision.
func (wd *world) watchRevisions() {
	for _, nd := range wd.live() {
		number := nd.Revision()
		wd.report.expect(checker.RevisionMonotonic, number >= nd.seen, "%s went from revision %d to %d", nd.id, nd.seen, number)
		nd.seen = number
	}
}

// awaitLatest waits until all nodes have the latest revision.
func (wd *world) awaitLatest(ctx context.Context) {
	rv, err := publisher.Load(ctx, wd.store)
	if err != nil {
		wd.report.find(checker.RevisionMonotonic, "the configuration can't be read: %v", err)
		return
	}
	wd.report.expect(checker.RevisionMonotonic, rv.Number() >= wd.newest(), "revision %d is stored after %d was accepted", rv.Number(), wd.newest())
	var behind []string
	for end := time.Now().Add(latestTime); time.Now().Before(end); time.Sleep(settlePoll) {
		behind = nil
		for _, nd := range wd.live() {
			if nd.Revision() != rv.Number() {
				behind = append(behind, fmt.Sprintf("%s has %d", nd.id, nd.Revision()))
			}
		}
		if len(behind) == 0 {
			return
		}
	}
	wd.report.find(checker.RevisionMonotonic, "revision %d is in force, but %v", rv.Number(), behind)
}

// awaitReachable waits until each model is reached through each live node.
func (wd *world) awaitReachable(ctx context.Context) bool {
	for end := time.Now().Add(wd.patience); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(settlePoll) {
		if wd.unreachable(ctx) == "" {
			return true
		}
	}
	return false
}

// unreachable names the first model that is not reached through a node.
func (wd *world) unreachable(ctx context.Context) string {
	for _, nd := range wd.live() {
		for _, model := range models {
			an := wd.call(ctx, nd, reachTimeout, completionCall("probe", model, 1, false))
			if an.err != nil {
				return fmt.Sprintf("%s at %s: %v", model, nd.id, an.err)
			}
			if an.refusal != nil {
				return fmt.Sprintf("%s at %s: %v", model, nd.id, an.refusal)
			}
		}
	}
	return ""
}

// checkJobs waits for the end of every accepted job.
func (wd *world) checkJobs(ctx context.Context) {
	ended := []string{"done", "failed", "cancelled"}
	end := time.Now().Add(wd.patience)
	for _, id := range wd.jobs {
		state := ""
		for time.Now().Before(end) && !slices.Contains(ended, state) {
			an := wd.call(ctx, wd.pick(0), callTimeout, request{method: "GET", path: "/v1/jobs/" + id})
			if an.err == nil && an.refusal == nil {
				state = an.field("state")
			} else {
				state = fmt.Sprint(an.err, an.refusal)
			}
			if !slices.Contains(ended, state) {
				time.Sleep(time.Second)
			}
		}
		wd.report.count("job." + state)
		wd.report.expect(checker.JobKept, slices.Contains(ended, state), "job %s is %s", id, state)
	}
}

// stopNodes stops all nodes as planned, one after the other, while answers are
// on their way; none may be cut off.
func (sk *Soaker) stopNodes(ctx context.Context) {
	wd := sk.world
	for _, nd := range wd.live() {
		for ix := range stopStreams {
			user := fmt.Sprintf("stop-%s-%d", nd.id, ix)
			sk.work.Go(func() {
				whole, notRun := wd.stream(ctx, nd, user, models[ix], stopTokens)
				sk.report.expect(Cut, whole || notRun, "%s had no whole answer when %s stopped", user, nd.id)
			})
		}
		time.Sleep(time.Second)
		wd.forget(nd, 0)
		nd.stop()
		sk.work.Wait()
		<-nd.ended
	}
}
