package recorder

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// beginTimeout bounds the retries while no owner records the Begin.
	beginTimeout = 3 * time.Second
	// resultTimeout bounds the wait for the result of another attempt.
	resultTimeout = 2 * time.Second
	// minBeginBackoff and maxBeginBackoff bound the delay between two calls.
	minBeginBackoff = 20 * time.Millisecond
	maxBeginBackoff = 200 * time.Millisecond
	// retryDelay is the delay that a refused caller is told to wait.
	retryDelay = time.Second
)

var errNoOwner = errors.New("no node owns the shard")

// Result is the recorded answer of a backend server.
type Result struct{ messenger.RecordResult }

// Answer is the answer of Begin. Exactly one of its fields is set.
type Answer struct {
	// Grant is the right to send the request.
	Grant *Grant
	// Result is the recorded result of an earlier attempt.
	Result *Result
	// Refusal is the reason why there is neither a grant nor a result.
	Refusal *refuser.Refusal
}

// Grant is the right of one attempt to send its request once.
type Grant struct {
	recorder *Recorder
	begin    *messenger.Begin
	// sends is the number of times that the request was sent, at most 1.
	sends atomic.Int32
	// ended is set once the outcome is known. A second outcome is ignored.
	ended atomic.Bool
}

// MarkSent marks the request as sent. It must be called right before the
// request is sent, and asserts that this happens only once, and not after the
// attempt ended.
func (gr *Grant) MarkSent() {
	checker.Assert(checker.AtMostOnce, gr.sends.Add(1) == 1, "attempt %s sent its request again", gr.begin.Attempt)
	checker.Assert(checker.NotRunCorrect, !gr.ended.Load(), "attempt %s sent its request after its end", gr.begin.Attempt)
}

// MarkUnsent reverts the mark if the request was not sent after all.
func (gr *Grant) MarkUnsent() { gr.sends.Add(-1) }

// Finish records the result, or only that the request finished if the result is
// larger than the settings allow. It doesn't wait; see Recorder.Flush.
func (gr *Grant) Finish(rs Result) {
	fn := &messenger.Finish{Begin: *gr.begin}
	if st := gr.recorder.settings(); st != nil && len(rs.Body) <= st.ResultBytes() {
		fn.Kept = true
		fn.Result = rs.RecordResult
	}
	gr.end(fn)
}

// FinishLost records that the request was sent, and that nobody will learn
// whether it ran. Without this record, the key would be in progress as long as
// this node lives.
func (gr *Grant) FinishLost() { gr.end(&messenger.Finish{Begin: *gr.begin, Lost: true}) }

// Abandon records that the request was not sent and never will be, so that
// another attempt may be granted the key.
func (gr *Grant) Abandon() {
	checker.Assert(checker.NotRunCorrect, gr.sends.Load() == 0, "attempt %s was abandoned after it was sent", gr.begin.Attempt)
	gr.end(&messenger.Finish{Begin: *gr.begin, Abandoned: true})
}

// end queues the outcome for recording unless the attempt has one.
func (gr *Grant) end(fn *messenger.Finish) {
	if gr.ended.CompareAndSwap(false, true) {
		gr.recorder.outbox.add(fn)
	}
}

// Begin requests the right to send the request of a key. It retries within its
// timeouts while the record is unavailable or another attempt is in progress.
// The caller may send the request only if the answer has a Grant.
func (rc *Recorder) Begin(ctx context.Context, key Key) Answer {
	if rc.outbox.full() {
		return refused(refuser.RecordFull, refuser.NotRun, "too many results of this node await their record")
	}
	count, err := rc.layout(ctx)
	if err != nil {
		return refused(refuser.StoreUnavailable, refuser.NotRun, "%v", err)
	}
	bg := &messenger.Begin{
		Shard:    shardOf(key.id, count),
		Key:      key.id[:],
		Time:     key.time,
		Request:  key.request[:],
		Executor: rc.node,
		Attempt:  rand.Text(),
	}
	at := &attempt{recorder: rc, begin: bg, startedAt: time.Now()}
	return at.run(ctx)
}

// shardOf returns the number of the shard that records the key.
func shardOf(id hash, count int) int {
	return int(binary.BigEndian.Uint64(id[:]) % uint64(count))
}

// callOwner sends a message to the owner of a shard according to the
// membership.
func (rc *Recorder) callOwner(ctx context.Context, number int, call messenger.Message) (messenger.Message, error) {
	owner, ok := rc.view().Owner(resource(number))
	if !ok {
		return nil, &messenger.Error{Failure: messenger.Unreachable, Cause: errNoOwner}
	}
	if owner.ID == rc.view().Self() {
		return rc.Handle(ctx, call)
	}
	return rc.caller.Call(ctx, owner.PeerAddress, call)
}

// attempt is one Begin in progress.
type attempt struct {
	recorder *Recorder
	begin    *messenger.Begin
	// startedAt is the time of the first call.
	startedAt time.Time
	// maybeRecorded is set if the attempt may be recorded as started although it
	// has no grant.
	maybeRecorded bool
}

// run calls the owner until its answer is final, the context ends or a timeout
// passes.
func (at *attempt) run(ctx context.Context) Answer {
	backoff := minBeginBackoff
	for {
		begun := at.callOwner(ctx)
		an, retry := at.evaluate(begun)
		if retry && ctx.Err() == nil && waiter.Sleep(ctx, at.recorder.jitter(backoff)) {
			backoff = min(2*backoff, maxBeginBackoff)
			continue
		}
		return at.close(ctx, an)
	}
}

// close returns the answer for the caller. If the attempt has a right to send
// that the caller will not use, or may have one, close abandons it.
func (at *attempt) close(ctx context.Context, an Answer) Answer {
	gr := &Grant{recorder: at.recorder, begin: at.begin}
	if an.Grant != nil && ctx.Err() != nil {
		gr.Abandon()
		return refused(refuser.DeadlinePassed, refuser.NotRun, "the deadline passed before the request was sent")
	}
	if an.Grant == nil && at.maybeRecorded {
		gr.Abandon()
	}
	return an
}

// callOwner sends the Begin to the owner of the shard and turns errors into a
// status.
func (at *attempt) callOwner(ctx context.Context) *messenger.Begun {
	answer, err := at.recorder.callOwner(ctx, at.begin.Shard, at.begin)
	if messenger.Is(err, messenger.Unreachable) {
		return &messenger.Begun{Status: messenger.BeginNotOwner}
	}
	begun, ok := answer.(*messenger.Begun)
	if err != nil || !ok {
		begun = &messenger.Begun{Status: messenger.BeginUncertain}
	}
	if begun.Status == messenger.BeginUncertain {
		at.maybeRecorded = true
	}
	return begun
}

// evaluate returns the answer for the caller, and reports whether to call the
// owner again instead of returning that answer.
func (at *attempt) evaluate(bg *messenger.Begun) (an Answer, retry bool) {
	waited := time.Since(at.startedAt)
	switch bg.Status {
	case messenger.BeginGranted:
		return Answer{Grant: &Grant{recorder: at.recorder, begin: at.begin}}, false
	case messenger.BeginFinished:
		return Answer{Result: &Result{bg.Result}}, false
	case messenger.BeginStarted:
		if !at.recorder.alive(bg.Executor) {
			return refused(refuser.KeyUnresolved, refuser.Unknown, "the node that ran the request is gone"), false
		}
		return refused(refuser.KeyInProgress, refuser.Unknown, "the request is in progress"), waited < resultTimeout
	case messenger.BeginNotOwner:
		return refused(refuser.OwnerUnreachable, refuser.NotRun, "the owner of the record was not reached"), waited < beginTimeout
	case messenger.BeginUncertain:
		return refused(refuser.StoreUnavailable, refuser.NotRun, "the record was not written for certain"), waited < beginTimeout
	default:
		return finalRefusal(bg.Status), false
	}
}

// finalRefusal returns the refusal for a status that another call doesn't
// change.
func finalRefusal(status messenger.BeginStatus) Answer {
	switch status {
	case messenger.BeginResultGone:
		return refused(refuser.KeyResultGone, refuser.Unknown, "the request was run; its result was not kept")
	case messenger.BeginLost:
		return refused(refuser.KeyUnresolved, refuser.Unknown, "the request was sent; whether it was run is not known")
	case messenger.BeginConflict:
		return refused(refuser.KeyConflict, refuser.NotRun, "the key belongs to another request")
	case messenger.BeginExpired:
		return refused(refuser.KeyExpired, refuser.Unknown, "the record of keys of that time has expired")
	case messenger.BeginAhead:
		return refused(refuser.KeyUntimed, refuser.NotRun, "the key's time is more than %v ahead", maxKeyTimeAhead)
	case messenger.BeginFull:
		return refused(refuser.RecordFull, refuser.NotRun, "the record takes no new key")
	default:
		return refused(refuser.StoreUnavailable, refuser.NotRun, "the record was not reached")
	}
}

// retryable holds the reasons that may not apply to a later retry.
var retryable = map[refuser.Reason]bool{
	refuser.KeyInProgress:    true,
	refuser.OwnerUnreachable: true,
	refuser.StoreUnavailable: true,
	refuser.RecordFull:       true,
}

// refused returns an answer with a refusal.
func refused(rs refuser.Reason, oc refuser.Outcome, format string, args ...any) Answer {
	rf := refuser.New(rs, format, args...).WithOutcome(oc)
	if retryable[rs] {
		rf = rf.WithRetryAfter(retryDelay)
	}
	return Answer{Refusal: rf}
}

// alive reports whether a node may still use its right to send: it is a member
// that isn't dead.
func (rc *Recorder) alive(node string) bool {
	mb, ok := rc.view().Member(node)
	return ok && mb.State != prober.Dead
}
