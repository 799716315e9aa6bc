package jobrunner

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// minBackoff and maxBackoff bound the delay before a retry of a job, of a
	// write or of a failed scan.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
	// maxRuns bounds the runs of a repeatable request that fail with an unknown
	// outcome.
	maxRuns = 5
	// maxRunKeyAge bounds the age of a run key under which nothing was sent. A job
	// with an older one is requeued and gets a new key.
	maxRunKeyAge = 10 * time.Minute
	// shutdownGracePeriod bounds how long a stopping node retries a write.
	shutdownGracePeriod = 30 * time.Second
	// callTimeout bounds one call of the store or of a peer.
	callTimeout = 3 * time.Second
)

// runJob claims a job, runs it and writes its new state. It does nothing if
// another node runs the job. Once stopCtx ends it requeues the job instead of
// retrying it. jobCtx ends when the job is cancelled.
func (rn *Runner) runJob(stopCtx, jobCtx context.Context, ref jobRef) {
	claimed := rn.claim(jobCtx, ref)
	if claimed == nil {
		return
	}
	rn.writeState(stopCtx, rn.execute(stopCtx, jobCtx, claimed))
}

// claim makes this runner the executor of a job by compare-and-swap. It returns
// nil if the job is not claimable or the write may have failed; a later scan
// finds the job again.
func (rn *Runner) claim(ctx context.Context, ref jobRef) *Job {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	jb, err := rn.load(ctx, ref)
	if err != nil || jb.state.Ended() || !rn.claimable(ctx, jb) {
		return nil
	}
	claimed, err := rn.swap(ctx, jb.with(func(cp *Job) {
		cp.state = Running
		cp.claims++
		cp.executor = rn.incarnation
		if cp.runKey == "" {
			cp.runKey = newRunKey(time.Now())
		}
	}))
	if err != nil {
		return nil
	}
	if jb.state == Running {
		rn.registry.Inc("retry", "job-executor-gone")
	}
	claimed.claimed = time.Now()
	return claimed
}

// claimable reports whether no other node runs the job. It asks the executor if
// that is a known member. A wrong answer is harmless: the at-most-once record
// keeps a request that may not be repeated from running twice.
func (rn *Runner) claimable(ctx context.Context, jb *Job) bool {
	if jb.state == Accepted || jb.executor == rn.incarnation {
		return true
	}
	mb, ok := rn.view().Member(nodeOf(jb.executor))
	if !ok || mb.ID == rn.node {
		return true
	}
	answer, err := rn.caller.Call(ctx, mb.PeerAddress, &messenger.JobNotice{Shard: shardOf(jb.id), ID: jb.id})
	if err != nil {
		return true
	}
	notice, ok := answer.(*messenger.JobNotice)
	return ok && !notice.Running
}

// nodeOf returns the node id of an incarnation.
func nodeOf(incarnation string) string {
	node, _, _ := strings.Cut(incarnation, "/")
	return node
}

// execute runs a claimed job until it ends or is requeued, and returns the
// state to write.
func (rn *Runner) execute(stopCtx, jobCtx context.Context, jb *Job) *Job {
	// unsent is set as long as nothing was sent under the run key.
	unsent := jb.claims == 1
	backoff := minBackoff
	for runs := 1; ; {
		rs, rf := rn.runOnce(jobCtx, jb)
		if rf == nil {
			return rn.completed(jb, rs)
		}
		unsent = unsent && rf.Outcome() == refuser.NotRun
		retryable, counted := rn.retryable(jb, rf, runs)
		if !retryable {
			return failed(jb, rf)
		}
		if counted {
			runs++
		}
		rn.registry.Inc("retry", string(rf.Reason()))
		log.WithFields(log.Fields{"job": jb.id, "reason": string(rf.Reason()), "outcome": string(rf.Outcome()), "claims": jb.claims, "runs": runs}).
			Info("run of a job failed; the job will be retried")
		keyTooOld := unsent && time.Since(jb.claimed) > maxRunKeyAge
		if keyTooOld || !waiter.Sleep(stopCtx, rn.jitter(backoff)) || jobCtx.Err() != nil {
			return requeued(jb, unsent)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// retryable reports whether a refused job is retried, and whether the run
// counts towards maxRuns.
func (rn *Runner) retryable(jb *Job, rf *refuser.Refusal, runs int) (retryable, counted bool) {
	noRoom := rf.Outcome() == refuser.NotRun && rf.RetryAfter() > 0
	if noRoom || rf.Reason() == refuser.KeyInProgress {
		return true, false
	}
	return rf.Outcome() == refuser.Unknown && rn.executor.Repeatable(jb.request) && runs < maxRuns, true
}

// runOnce runs the request once, unless the deadline of the job has passed or
// its key may have been run before.
func (rn *Runner) runOnce(jobCtx context.Context, jb *Job) (Result, *refuser.Refusal) {
	if jb.deadline > 0 && time.Now().UnixMilli() >= jb.deadline {
		return Result{}, refuser.New(refuser.DeadlinePassed, "the deadline of the job passed")
	}
	if rf := rn.checkKey(jobCtx, jb); rf != nil {
		return Result{}, rf
	}
	return rn.executor.Execute(jobCtx, jb)
}

// requeued returns the job as accepted. If nothing was sent, the next claim
// takes a new run key: a job that waits long must not keep a key for which the
// record has expired.
func requeued(jb *Job, unsent bool) *Job {
	return jb.with(func(cp *Job) {
		cp.state = Accepted
		cp.executor = ""
		if unsent {
			cp.claims = 0
			cp.runKey = ""
		}
	})
}

// completed returns the job with its result, or as failed if that is too large.
func (rn *Runner) completed(jb *Job, rs Result) *Job {
	if st := rn.settings(); st != nil && int64(len(rs.Body)) > st.JobBytes() {
		return failed(jb, refuser.New(refuser.KeyResultGone, "the job was run; its result exceeds %d bytes", st.JobBytes()).
			WithOutcome(refuser.Unknown))
	}
	return jb.with(func(cp *Job) {
		cp.state = Done
		cp.result = rs
		cp.ended = time.Now().UnixMilli()
	})
}

// failed returns the job as failed with a refusal.
func failed(jb *Job, rf *refuser.Refusal) *Job {
	return jb.with(func(cp *Job) {
		cp.state = Failed
		cp.reason, cp.outcome, cp.message = rf.Reason(), rf.Outcome(), rf.Message()
		cp.ended = time.Now().UnixMilli()
	})
}

// writeState writes an ended or requeued job. It retries without limit, since
// the store may be down; once stopCtx has ended it gives up after
// shutdownGracePeriod.
func (rn *Runner) writeState(stopCtx context.Context, ended *Job) {
	ctx := context.WithoutCancel(stopCtx)
	backoff := minBackoff
	remaining := shutdownGracePeriod
	for !rn.tryWriteState(ctx, ended) {
		rn.registry.Inc("retry", "job-end")
		delay := rn.jitter(backoff)
		if stopCtx.Err() != nil {
			remaining -= delay
		}
		if remaining < 0 {
			log.WithField("job", ended.id).Warn("job state was not stored before the node stopped; another node will claim the job")
			return
		}
		_ = waiter.Sleep(ctx, delay)
		backoff = min(2*backoff, maxBackoff)
	}
	rn.registry.Inc("job", ended.state.String())
}

// tryWriteState writes an ended or requeued job and reports whether no retry is
// needed.
func (rn *Runner) tryWriteState(ctx context.Context, ended *Job) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if ended.state.Ended() {
		// The retention period starts when callers can see the end.
		ended = ended.with(func(cp *Job) { cp.ended = time.Now().UnixMilli() })
	}
	_, err := rn.swap(ctx, ended)
	if !storer.Is(err, storer.Conflict) {
		return err == nil
	}
	current, err := rn.load(ctx, jobRef{shardOf(ended.id), ended.id})
	if storer.Is(err, storer.NotFound) {
		checker.Assert(checker.JobKept, false, "job %s vanished while it ran", ended.id)
		return true
	}
	if err != nil {
		return false
	}
	if !supersedes(ended, current) {
		return true
	}
	_, err = rn.swap(ctx, ended.with(func(cp *Job) { cp.revision = current.revision; cp.claims = current.claims }))
	return err == nil
}

// supersedes reports whether ended replaces the current stored job: if that is
// still running under the same executor, or if ended has a result and the
// current job has neither a result nor was cancelled.
func supersedes(ended, current *Job) bool {
	if current.executor == ended.executor && !current.state.Ended() {
		return true
	}
	return ended.state == Done && (current.state == Running || current.state == Accepted || current.state == Failed)
}

// newRunKey returns a UUIDv7 without hyphens.
func newRunKey(now time.Time) string {
	var raw [16]byte
	_, _ = rand.Read(raw[:])
	var millis [8]byte
	binary.BigEndian.PutUint64(millis[:], uint64(now.UnixMilli()))
	copy(raw[:6], millis[2:])
	raw[6] = raw[6]&0x0f | 0x70
	raw[8] = raw[8]&0x3f | 0x80
	return hex.EncodeToString(raw[:])
}
