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

// Bounds of the checks after all faults.
const (
	defaultSettleTimeout = 4 * time.Minute
	pollInterval         = 500 * time.Millisecond
	revisionTimeout      = time.Minute     // for all nodes to have the latest revision
	probeTimeout         = 4 * time.Second // for the answer to one probe
	stopTokens           = 100             // tokens of each stream during a stop
	stopStreams          = 2               // streams in flight during a stop
)

// applySettings publishes another version of the settings as the given author.
// Two operators may do so concurrently, and one of them may get a
// ConflictError.
func (cl *cluster) applySettings(ctx context.Context, version int, author string) {
	base := cl.latestRevision()
	rv, err := publisher.Apply(ctx, cl.store, settingsFiles(version, extraSection(version)), author, base)
	var conflict *publisher.ConflictError
	switch {
	case err == nil:
		cl.report.count("settings.accepted")
		cl.report.expect(checker.RevisionMonotonic, rv.Number() > base, "revision %d was accepted after %d", rv.Number(), base)
		cl.report.expect(checker.RevisionMonotonic, cl.recordAccepted(rv.Number()), "two operators were told that revision %d is theirs", rv.Number())
	case errors.As(err, &conflict):
		cl.report.count("settings.raced")
		cl.recordRevision(conflict.Number)
	default:
		cl.report.count("settings.failed")
	}
}

// extraSection returns settings that add a model in even versions and change the
// weights of m1 in every third.
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

// recordSeenRevision records a revision that a caller has seen and returns the
// highest one.
func (cl *cluster) recordSeenRevision(number int64) int64 {
	cl.observationsMu.Lock()
	defer cl.observationsMu.Unlock()
	cl.seenByCallers = max(cl.seenByCallers, number)
	return cl.seenByCallers
}

// checkNodeRevisions checks that no node went back to an older revision.
func (cl *cluster) checkNodeRevisions() {
	for _, nd := range cl.liveNodes() {
		number := nd.Revision()
		cl.report.expect(checker.RevisionMonotonic, number >= nd.seen, "%s went from revision %d to %d", nd.id, nd.seen, number)
		nd.seen = number
	}
}

// awaitLatestRevision waits until all nodes have the stored revision, and
// reports a finding after revisionTimeout.
func (cl *cluster) awaitLatestRevision(ctx context.Context) {
	rv, err := publisher.Load(ctx, cl.store)
	if err != nil {
		cl.report.addFinding(checker.RevisionMonotonic, "the configuration can't be read: %v", err)
		return
	}
	cl.report.expect(checker.RevisionMonotonic, rv.Number() >= cl.latestRevision(), "revision %d is stored after %d was accepted", rv.Number(), cl.latestRevision())
	var behind []string
	for end := time.Now().Add(revisionTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		behind = nil
		for _, nd := range cl.liveNodes() {
			if nd.Revision() != rv.Number() {
				behind = append(behind, fmt.Sprintf("%s has %d", nd.id, nd.Revision()))
			}
		}
		if len(behind) == 0 {
			return
		}
	}
	cl.report.addFinding(checker.RevisionMonotonic, "revision %d is in force, but %v", rv.Number(), behind)
}

// awaitReachable waits until each model answers through each live node. It
// returns false after settleTimeout.
func (cl *cluster) awaitReachable(ctx context.Context) bool {
	for end := time.Now().Add(cl.settleTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollInterval) {
		if cl.unreachable(ctx) == "" {
			return true
		}
	}
	return false
}

// unreachable describes the first model that doesn't answer through a node. It
// returns "" if all answer.
func (cl *cluster) unreachable(ctx context.Context) string {
	for _, nd := range cl.liveNodes() {
		for _, model := range models {
			an := cl.call(ctx, nd, probeTimeout, newCompletion("probe", model, 1, false))
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

// checkJobs waits for the end of every accepted job, all within one
// settleTimeout.
func (cl *cluster) checkJobs(ctx context.Context) {
	ended := []string{"done", "failed", "cancelled"}
	end := time.Now().Add(cl.settleTimeout)
	for _, id := range cl.jobs {
		state := ""
		for time.Now().Before(end) && !slices.Contains(ended, state) {
			an := cl.call(ctx, cl.pickNode(0), callTimeout, request{method: "GET", path: "/v1/jobs/" + id})
			if an.err == nil && an.refusal == nil {
				state = an.field("state")
			} else {
				state = fmt.Sprint(an.err, an.refusal)
			}
			if !slices.Contains(ended, state) {
				time.Sleep(time.Second)
			}
		}
		cl.report.count("job." + state)
		cl.report.expect(checker.JobKept, slices.Contains(ended, state), "job %s is %s", id, state)
	}
}

// stopNodes stops all nodes as planned, one after the other, with streams in
// flight. Each stream must be complete or refused as not run.
func (sk *Soaker) stopNodes(ctx context.Context) {
	cl := sk.cluster
	for _, nd := range cl.liveNodes() {
		for ix := range stopStreams {
			user := fmt.Sprintf("stop-%s-%d", nd.id, ix)
			sk.work.Go(func() {
				whole, notRun := cl.stream(ctx, nd, user, models[ix], stopTokens)
				sk.report.expect(AnswerCut, whole || notRun, "%s had no whole answer when %s stopped", user, nd.id)
			})
		}
		time.Sleep(time.Second)
		cl.removeNode(nd, 0)
		nd.stop()
		sk.work.Wait()
		<-nd.ended
	}
}
