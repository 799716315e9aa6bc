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
	// minBackoff and maxBackoff bound the delay before a job is tried again.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
	// maxRuns bounds how often a request is run that fails on a server.
	maxRuns = 5
	// renewAfter is the age of a run key under which nothing was sent at which
	// the job takes a new one.
	renewAfter = 10 * time.Minute
	// settleGrace bounds the wait for the store of a node that stops.
	settleGrace = 30 * time.Second
	// callTimeout bounds one call of the store or of a peer.
	callTimeout = 3 * time.Second
)

// take runs one job to its end, unless another node has it. Once stop ends the
// job is put back if nothing was sent; own ends when the job is cancelled.
func (rn *Runner) take(stop, own context.Context, pc place) {
	claimed := rn.claim(own, pc)
	if claimed == nil {
		return
	}
	rn.settle(stop, rn.execute(stop, own, claimed))
}

// claim makes this node the executor by compare-and-swap. An uncertain claim
// is no claim: the next scan looks at the job again.
func (rn *Runner) claim(ctx context.Context, pc place) *Job {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	jb, err := rn.load(ctx, pc)
	if err != nil || jb.state.Ended() || !rn.free(ctx, jb) {
		return nil
	}
	claimed, err := rn.swap(ctx, jb.with(func(cp *Job) {
		cp.state = Running
		cp.attempts++
		cp.executor = rn.life
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

// free reports whether nobody runs the job. Its executor is asked if it seems
// to be alive. A wrong answer is harmless: the record lets a request that may
// not be repeated run once.
func (rn *Runner) free(ctx context.Context, jb *Job) bool {
	if jb.state == Accepted || jb.executor == rn.life {
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

// nodeOf returns the node of an executor.
func nodeOf(life string) string {
	node, _, _ := strings.Cut(life, "/")
	return node
}

// execute runs a claimed job until it has an end or goes back to wait.
func (rn *Runner) execute(stop, own context.Context, jb *Job) *Job {
	// Nothing was ever sent under the run key while clean holds.
	clean := jb.attempts == 1
	backoff := minBackoff
	for runs := 1; ; {
		rs, rf := rn.runOnce(own, jb)
		if rf == nil {
			return rn.done(jb, rs)
		}
		clean = clean && rf.Outcome() == refuser.NotRun
		again, counted := rn.again(jb, rf, runs)
		if !again {
			return failed(jb, rf)
		}
		if counted {
			runs++
		}
		rn.registry.Inc("retry", string(rf.Reason()))
		log.WithFields(log.Fields{"job": jb.id, "reason": string(rf.Reason()), "outcome": string(rf.Outcome()), "claims": jb.attempts, "runs": runs}).
			Info("job is tried again")
		stale := clean && time.Since(jb.claimed) > renewAfter
		if stale || !waiter.Sleep(stop, rn.jitter(backoff)) || own.Err() != nil {
			return putBack(jb, clean)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// again reports whether a refused job is tried again, and whether that counts
// against its runs.
func (rn *Runner) again(jb *Job, rf *refuser.Refusal, runs int) (again, counted bool) {
	noRoom := rf.Outcome() == refuser.NotRun && rf.RetryAfter() > 0
	if noRoom || rf.Reason() == refuser.KeyInProgress {
		return true, false
	}
	return rf.Outcome() == refuser.Unknown && rn.executor.Repeatable(jb.request) && runs < maxRuns, true
}

func (rn *Runner) runOnce(own context.Context, jb *Job) (Result, *refuser.Refusal) {
	if jb.deadline > 0 && time.Now().UnixMilli() >= jb.deadline {
		return Result{}, refuser.New(refuser.DeadlinePassed, "the deadline of the job passed")
	}
	if rf := rn.checkKey(own, jb); rf != nil {
		return Result{}, rf
	}
	return rn.executor.Execute(own, jb)
}

// putBack lets a job wait again. If nothing was ever sent, the next claim
// takes a new run key, so that a long wait does not outlive the record.
func putBack(jb *Job, clean bool) *Job {
	return jb.with(func(cp *Job) {
		cp.state = Accepted
		cp.executor = ""
		if clean {
			cp.attempts = 0
			cp.runKey = ""
		}
	})
}

func (rn *Runner) done(jb *Job, rs Result) *Job {
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

func failed(jb *Job, rf *refuser.Refusal) *Job {
	return jb.with(func(cp *Job) {
		cp.state = Failed
		cp.reason, cp.outcome, cp.message = rf.Reason(), rf.Outcome(), rf.Message()
		cp.ended = time.Now().UnixMilli()
	})
}

// settle writes the end of a job, or puts it back, for as long as it takes: the
// store may be down. Once stop has ended it gives up after a while.
func (rn *Runner) settle(stop context.Context, ended *Job) {
	ctx := context.WithoutCancel(stop)
	backoff := minBackoff
	grace := settleGrace
	for !rn.settleOnce(ctx, ended) {
		rn.registry.Inc("retry", "job-end")
		pause := rn.jitter(backoff)
		if stop.Err() != nil {
			grace -= pause
		}
		if grace < 0 {
			log.WithField("job", ended.id).Warn("the end of a job was not written; another node takes it over")
			return
		}
		_ = waiter.Sleep(ctx, pause)
		backoff = min(2*backoff, maxBackoff)
	}
	rn.registry.Inc("job", ended.state.String())
}

// settleOnce reports whether nothing is left to write.
func (rn *Runner) settleOnce(ctx context.Context, ended *Job) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if ended.state.Ended() {
		// The retention counts from when callers can see the end.
		ended = ended.with(func(cp *Job) { cp.ended = time.Now().UnixMilli() })
	}
	_, err := rn.swap(ctx, ended)
	if !storer.Is(err, storer.Conflict) {
		return err == nil
	}
	current, err := rn.load(ctx, place{shardOf(ended.id), ended.id})
	if storer.Is(err, storer.NotFound) {
		checker.Assert(checker.JobKept, false, "job %s vanished while it ran", ended.id)
		return true
	}
	if err != nil {
		return false
	}
	if !better(ended, current) {
		return true
	}
	_, err = rn.swap(ctx, ended.with(func(cp *Job) { cp.revision = current.revision; cp.attempts = current.attempts }))
	return err == nil
}

// better reports whether an end says more than what another node wrote.
func better(ended, current *Job) bool {
	if current.executor == ended.executor && !current.state.Ended() {
		return true
	}
	return ended.state == Done && (current.state == Running || current.state == Accepted || current.state == Failed)
}

// newRunKey returns a UUIDv7.
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
