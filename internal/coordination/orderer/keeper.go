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
	minBackoff      = time.Second
	maxBackoff      = time.Minute
	inspectInterval = 10 * time.Second
	inspectTimeout  = 5 * time.Second
	loadTimeout     = 2 * time.Minute
	orderTimeout    = 15 * time.Second
	denialInterval  = 5 * time.Second
	tokenPause      = 500 * time.Millisecond
	maxAttempts     = 8
)

// Keys in the platform's store.
const (
	workerPrefix = "worker/"
	modelPrefix  = "model/"
)

// step is a task and what the keeper does with its result.
type step struct {
	task task
	then func(now time.Time, rs result)
}

// keeper brings one backend server to its goal, one step at a time. It belongs
// to one goroutine, which performs the steps elsewhere.
type keeper struct {
	self     string
	goal     *Goal
	random   *rand.Rand
	counters *counter.Registry
	serving  func(model, server string) bool

	ledger     *accountant.Ledger
	revision   int64
	claimFence int64
	fenceFloor int64
	claimedAt  time.Time
	mandate    Mandate
	raise      bool
	sentFence  int64

	inspected   bool
	inspectedAt time.Time
	adapters    map[string]int64
	basis       int64

	standing map[string]standing
	permits  map[string]bool
	unsure   map[string]bool
	denied   map[string]time.Time
	refused  map[accountant.Copy]string

	running  *step
	queued   *step
	release  func()
	retryAt  time.Time
	failures int

	// forgetful and unpermitted break the rules on purpose, in tests.
	forgetful   bool
	unpermitted bool
}

func newKeeper(self string, gl *Goal, random *rand.Rand, rg *counter.Registry) *keeper {
	return &keeper{
		self:     self,
		goal:     gl,
		random:   random,
		counters: rg,
		serving:  func(string, string) bool { return true },
		denied:   map[string]time.Time{},
		refused:  map[accountant.Copy]string{},
	}
}

// next returns the task to perform now, or nil.
func (kp *keeper) next(now time.Time) task {
	if kp.running != nil {
		return nil
	}
	if kp.queued != nil {
		kp.running, kp.queued = kp.queued, nil
		return kp.running.task
	}
	if now.Before(kp.retryAt) {
		return nil
	}
	if kp.running = kp.decide(now); kp.running == nil {
		return nil
	}
	return kp.running.task
}

// done takes the result of the task that next returned.
func (kp *keeper) done(now time.Time, rs result) {
	st := kp.running
	kp.running = nil
	st.then(now, rs)
	if kp.queued == nil {
		kp.releaseToken()
	}
}

func (kp *keeper) releaseToken() {
	if kp.release != nil {
		kp.release()
		kp.release = nil
	}
}

// decide returns the next step towards the goal, the most urgent first.
func (kp *keeper) decide(now time.Time) *step {
	if kp.ledger == nil {
		return kp.claim()
	}
	if !kp.inspected || now.Sub(kp.inspectedAt) > inspectInterval {
		return kp.inspect()
	}
	if kp.raise {
		return kp.raiseFence()
	}
	kp.ledger.Expire(now, kp.goal.bound)
	for _, choose := range []func(time.Time) *step{kp.settle, kp.changeRole, kp.loadNext, kp.unloadNext} {
		if st := choose(now); st != nil {
			return st
		}
	}
	return nil
}

// claim reads the server's record and takes it over with a new fencing number.
func (kp *keeper) claim() *step {
	return &step{readTask{workerPrefix + kp.goal.server}, func(now time.Time, rs result) {
		if rs.err != nil {
			kp.fail(now, "store", rs.err)
			return
		}
		lg, err := accountant.Decode(rs.entry.Value, now)
		if err != nil {
			kp.fail(now, "corrupt-record", err)
			return
		}
		lg.StartAt(kp.fenceFloor)
		lg.TakeOver(kp.self, now)
		kp.queued = kp.record(lg, rs.entry.Revision, func(now time.Time) { kp.claimed(now) })
	}}
}

func (kp *keeper) claimed(now time.Time) {
	kp.claimedAt = now
	kp.counters.Inc("order-takeover")
	kp.claimFence = kp.ledger.Fence()
	kp.inspected = false
	kp.standing = map[string]standing{}
	kp.permits = map[string]bool{}
	kp.unsure = map[string]bool{}
}

// record writes the ledger and goes on only if that certainly took effect.
func (kp *keeper) record(lg *accountant.Ledger, revision int64, then func(now time.Time)) *step {
	batch := kp.newBatch()
	lg.SetBatch(batch)
	value, err := lg.Encode()
	if err != nil {
		log.WithError(err).Error("ledger was not encoded")
		kp.drop()
		return nil
	}
	mine := func(stored []byte) bool {
		found, err := accountant.Decode(stored, time.Time{})
		return err == nil && found.Batch() == batch
	}
	wt := writeTask{workerPrefix + kp.goal.server, value, revision, mine}
	return &step{wt, func(now time.Time, rs result) {
		if rs.err != nil {
			kp.drop()
			kp.fail(now, reasonOf(rs.err), rs.err)
			return
		}
		kp.ledger = lg
		kp.revision = rs.revision
		then(now)
		kp.mandate = Mandate{Number: lg.Fence(), Claim: kp.claimFence, Claimed: kp.claimedAt, Confirmed: rs.began}
	}}
}

// drop forgets the record: what is in force has to be read again.
func (kp *keeper) drop() {
	kp.ledger = nil
	kp.inspected = false
	kp.queued = nil
}

// fail delays the next step by a jittered exponential backoff.
func (kp *keeper) fail(now time.Time, reason string, err error) {
	kp.counters.Inc("retry", "order-"+reason)
	log.WithError(err).WithField("server", kp.goal.server).Debug("order step failed; will try again")
	delay := min(minBackoff<<min(kp.failures, 10), maxBackoff)
	kp.failures++
	kp.retryAt = now.Add(delay/2 + time.Duration(kp.random.Int64N(int64(delay/2)+1)))
}

func (kp *keeper) newBatch() string {
	return strconv.FormatUint(kp.random.Uint64(), 36) + strconv.FormatUint(kp.random.Uint64(), 36)
}

// refuse counts why a change is not made, once for as long as that stays so.
func (kp *keeper) refuse(cp accountant.Copy, reason string) {
	if kp.refused[cp] == reason {
		return
	}
	kp.refused[cp] = reason
	kp.counters.Inc("order-refusal", reason)
	log.WithFields(log.Fields{
		"server": kp.goal.server,
		"model":  cp.Model(),
		"reason": reason,
	}).Warn("order refused for now")
}

// reasonOf names a failed write of a record.
func reasonOf(err error) string {
	if storer.Is(err, storer.Conflict) {
		return "lost-ownership"
	}
	return "store"
}

// orderErrorOf returns what is known of a failed order.
func orderErrorOf(err error) *OrderError {
	var oe *OrderError
	if errors.As(err, &oe) {
		return oe
	}
	return &OrderError{Outcome: Unknown, Cause: err}
}

// abandon stops the keeper of a server that the node no longer owns. The result
// of a task that still runs has to be given to done first.
func (kp *keeper) abandon() {
	if kp.running == nil {
		kp.drop()
		kp.releaseToken()
	}
}
