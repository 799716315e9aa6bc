package orderer

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const (
	minBackoff          = time.Second
	maxBackoff          = time.Minute
	inspectInterval     = 10 * time.Second
	inspectTimeout      = 5 * time.Second
	loadTimeout         = 2 * time.Minute
	orderTimeout        = 15 * time.Second
	permitRetryInterval = 5 * time.Second
	maxTokenRetryDelay  = 500 * time.Millisecond
	maxAttempts         = 8 // unanswered orders to one server
)

// Keys in the platform's store.
const (
	workerPrefix = "worker/"
	modelPrefix  = "model/"
)

// step is a task and the function that handles its result.
type step struct {
	task task
	then func(now time.Time, rs result)
}

// reconciler brings one backend server to its goal, one step at a time. Its
// methods run in the control goroutine, and its tasks run in other goroutines.
type reconciler struct {
	self     string // ID of this node
	goal     *Goal
	random   *rand.Rand // source of jitter and batch IDs
	counters *counter.Registry
	serving  func(model, server string) bool // according to load reports
	resident func(model, server string) bool // weights are kept by the server's host
	storedAt time.Time                       // latest load from the weight store

	ledger         *accountant.Ledger // the server's record; nil if not taken over
	revision       int64              // of the server's record in the store
	takeoverFence  int64              // fencing number of the takeover
	fenceFloor     int64              // greatest number that may predate the record
	claimedAt      time.Time          // time at which the takeover was confirmed
	ownership      Ownership          // as of the last confirmed write
	fenceRequested bool               // another goroutine requested a greater number
	sentFence      int64              // number of the latest order sent

	inspected     bool             // the engine's state is known; if false, inspect it next
	inspectedAt   time.Time        // time of the latest answer
	adapters      map[string]int64 // bytes of each adapter in the latest answer
	engineVersion int64            // state version of the latest answer

	replicaStatus   map[string]replicaStatus   // by model
	unloadPermitted map[string]bool            // models whose record no longer counts this replica
	uncertainWrites map[string]bool            // models whose record has an unconfirmed write
	permitRetryAt   map[string]time.Time       // earliest next unload, by model
	refusals        map[accountant.Copy]string // latest counted reason

	runningStep *step
	queuedStep  *step     // runs before the next decision
	release     func()    // releases the held token; nil if none is held
	retryAt     time.Time // end of the backoff
	failures    int       // consecutive failures

	// forgetUnanswered and skipPermit break safety rules in tests: the ledger
	// drops unanswered orders, and unloads need no permit.
	forgetUnanswered bool
	skipPermit       bool
}

func newReconciler(self string, gl *Goal, random *rand.Rand, rg *counter.Registry) *reconciler {
	return &reconciler{
		self:          self,
		goal:          gl,
		random:        random,
		counters:      rg,
		serving:       func(string, string) bool { return true },
		resident:      func(string, string) bool { return false },
		permitRetryAt: map[string]time.Time{},
		refusals:      map[accountant.Copy]string{},
	}
}

// next returns the task to perform now, or nil if a task runs or none is due.
func (rc *reconciler) next(now time.Time) task {
	if rc.runningStep != nil {
		return nil
	}
	if rc.queuedStep != nil {
		rc.runningStep, rc.queuedStep = rc.queuedStep, nil
		return rc.runningStep.task
	}
	if now.Before(rc.retryAt) {
		return nil
	}
	if rc.runningStep = rc.decide(now); rc.runningStep == nil {
		return nil
	}
	return rc.runningStep.task
}

// done handles the result of the task that next returned.
func (rc *reconciler) done(now time.Time, rs result) {
	st := rc.runningStep
	rc.runningStep = nil
	st.then(now, rs)
	if rc.queuedStep == nil {
		rc.releaseToken()
	}
}

func (rc *reconciler) releaseToken() {
	if rc.release != nil {
		rc.release()
		rc.release = nil
	}
}

// decide returns the most urgent step towards the goal, or nil.
func (rc *reconciler) decide(now time.Time) *step {
	if rc.ledger == nil {
		return rc.claim()
	}
	if !rc.inspected || now.Sub(rc.inspectedAt) > inspectInterval {
		return rc.inspect()
	}
	if rc.fenceRequested {
		return rc.advanceFence()
	}
	rc.ledger.Expire(now, rc.goal.lateOrderBound)
	for _, choose := range []func(time.Time) *step{rc.reconcileReplicas, rc.changeRole, rc.loadNext, rc.unloadNext} {
		if st := choose(now); st != nil {
			return st
		}
	}
	return nil
}

// claim returns the step that reads the server's record and then takes it over
// with a new fencing number.
func (rc *reconciler) claim() *step {
	return &step{readTask{workerPrefix + rc.goal.server}, func(now time.Time, rs result) {
		if rs.err != nil {
			rc.fail(now, "store", rs.err)
			return
		}
		lg, err := accountant.Decode(rs.entry.Value, now)
		if err != nil {
			rc.fail(now, "corrupt-record", err)
			return
		}
		lg.RaiseFence(rc.fenceFloor)
		lg.TakeOver(rc.self, now)
		rc.queuedStep = rc.writeLedger(lg, rs.entry.Revision, func(now time.Time) { rc.recordClaimed(now) })
	}}
}

func (rc *reconciler) recordClaimed(now time.Time) {
	rc.claimedAt = now
	rc.counters.Inc("order-takeover")
	rc.takeoverFence = rc.ledger.Fence()
	rc.inspected = false
	rc.replicaStatus = map[string]replicaStatus{}
	rc.unloadPermitted = map[string]bool{}
	rc.uncertainWrites = map[string]bool{}
}

// writeLedger returns the step that writes the ledger to the server's record.
// It calls then only if the write is confirmed; otherwise it drops the record.
func (rc *reconciler) writeLedger(lg *accountant.Ledger, revision int64, then func(now time.Time)) *step {
	batch := rc.newBatch()
	lg.SetBatch(batch)
	value, err := lg.Encode()
	if err != nil {
		log.WithError(err).Error("orderer: ledger could not be encoded; record is read from the store again")
		rc.dropRecord()
		return nil
	}
	isOwnWrite := func(stored []byte) bool {
		found, err := accountant.Decode(stored, time.Time{})
		return err == nil && found.Batch() == batch
	}
	wt := writeTask{workerPrefix + rc.goal.server, value, revision, isOwnWrite}
	return &step{wt, func(now time.Time, rs result) {
		if rs.err != nil {
			rc.dropRecord()
			rc.fail(now, writeFailureReason(rs.err), rs.err)
			return
		}
		rc.ledger = lg
		rc.revision = rs.revision
		then(now)
		rc.ownership = Ownership{Number: lg.Fence(), Claim: rc.takeoverFence, Claimed: rc.claimedAt, Confirmed: rs.began}
	}}
}

// dropRecord drops the record, so that the next step reads it again.
func (rc *reconciler) dropRecord() {
	rc.ledger = nil
	rc.inspected = false
	rc.queuedStep = nil
}

// fail delays the next step by a jittered exponential backoff.
func (rc *reconciler) fail(now time.Time, reason string, err error) {
	rc.counters.Inc("retry", "order-"+reason)
	log.WithError(err).WithField("server", rc.goal.server).Debug("orderer: step failed; will retry after a backoff")
	delay := min(minBackoff<<min(rc.failures, 10), maxBackoff)
	rc.failures++
	rc.retryAt = now.Add(delay/2 + time.Duration(rc.random.Int64N(int64(delay/2)+1)))
}

func (rc *reconciler) newBatch() string {
	return strconv.FormatUint(rc.random.Uint64(), 36) + strconv.FormatUint(rc.random.Uint64(), 36)
}

// refuse counts and logs why a change is not possible now. It does so once for
// each reason until the reason changes.
func (rc *reconciler) refuse(cp accountant.Copy, reason string) {
	if rc.refusals[cp] == reason {
		return
	}
	rc.refusals[cp] = reason
	rc.counters.Inc("order-refusal", reason)
	log.WithFields(log.Fields{
		"server": rc.goal.server,
		"model":  cp.Model(),
		"reason": reason,
	}).Warn("orderer: change is not possible now; no order is sent")
}

// writeFailureReason returns the reason label for a failed write of a record.
func writeFailureReason(err error) string {
	if storer.Is(err, storer.Conflict) {
		return "lost-ownership"
	}
	return "store"
}

// orderErrorOf returns err as an *OrderError. For other errors the outcome is
// Unknown.
func orderErrorOf(err error) *OrderError {
	var oe *OrderError
	if errors.As(err, &oe) {
		return oe
	}
	return &OrderError{Outcome: Unknown, Cause: err}
}

// stop drops the record and releases the token of a server that the node no
// longer owns. While a task runs, it does nothing; call it again after done.
func (rc *reconciler) stop() {
	if rc.runningStep == nil {
		rc.dropRecord()
		rc.releaseToken()
	}
}
