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
	// beginPatience bounds the search for the owner of a shard.
	beginPatience = 3 * time.Second
	// resultPatience bounds the wait for the result of another attempt.
	resultPatience = 2 * time.Second
	// minBeginBackoff and maxBeginBackoff bound the delay between two asks.
	minBeginBackoff = 20 * time.Millisecond
	maxBeginBackoff = 200 * time.Millisecond
	// retryLater is what a caller is told to wait.
	retryLater = time.Second
)

var errNoOwner = errors.New("no node owns the shard")

// Result is the kept answer of a backend server.
type Result struct{ messenger.RecordResult }

// Answer is what became of a Begin; exactly one of its fields is set.
type Answer struct {
	// Grant is the right to send.
	Grant *Grant
	// Result is the result of an earlier attempt.
	Result *Result
	// Refusal says why there is neither.
	Refusal *refuser.Refusal
}

// Grant is the right of one attempt to send its request once.
type Grant struct {
	recorder *Recorder
	begin    *messenger.Begin
	sends    atomic.Int32
	ended    atomic.Bool
}

// Use says that the request is about to be sent.
func (gr *Grant) Use() {
	checker.Assert(checker.AtMostOnce, gr.sends.Add(1) == 1, "attempt %s sent its request again", gr.begin.Attempt)
	checker.Assert(checker.NotRunHonest, !gr.ended.Load(), "attempt %s sent its request after its end", gr.begin.Attempt)
}

// Unuse says that the request was not sent after all.
func (gr *Grant) Unuse() { gr.sends.Add(-1) }

// Finish records the result, or only that there was one if it is too large.
func (gr *Grant) Finish(rs Result) {
	fn := &messenger.Finish{Begin: *gr.begin}
	if st := gr.recorder.settings(); st != nil && len(rs.Body) <= st.ResultBytes() {
		fn.Kept = true
		fn.Result = rs.RecordResult
	}
	gr.end(fn)
}

// Lose says that the request was sent and that nobody will learn whether it was
// run. Without it the key would be in progress for as long as this node lives.
func (gr *Grant) Lose() { gr.end(&messenger.Finish{Begin: *gr.begin, Lost: true}) }

// Abandon vouches that nothing was sent and never will be, so that the key can
// be begun again.
func (gr *Grant) Abandon() {
	checker.Assert(checker.NotRunHonest, gr.sends.Load() == 0, "attempt %s was abandoned after it was sent", gr.begin.Attempt)
	gr.end(&messenger.Finish{Begin: *gr.begin, Abandoned: true})
}

func (gr *Grant) end(fn *messenger.Finish) {
	if gr.ended.CompareAndSwap(false, true) {
		gr.recorder.outbox.add(fn)
	}
}

// Begin asks for the right to run a key. Without a Grant the caller must not
// send anything.
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
	at := &attempt{recorder: rc, begin: bg, since: time.Now()}
	return at.run(ctx)
}

func shardOf(id hash, count int) int {
	return int(binary.BigEndian.Uint64(id[:]) % uint64(count))
}

// ask sends a message to the node that should own the shard.
func (rc *Recorder) ask(ctx context.Context, number int, call messenger.Message) (messenger.Message, error) {
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
	since    time.Time
	// doubtful says that the attempt may be recorded although it was not
	// granted.
	doubtful bool
}

func (at *attempt) run(ctx context.Context) Answer {
	backoff := minBeginBackoff
	for {
		begun := at.ask(ctx)
		an, again := at.judge(begun)
		if again && ctx.Err() == nil && waiter.Sleep(ctx, at.recorder.jitter(backoff)) {
			backoff = min(2*backoff, maxBeginBackoff)
			continue
		}
		return at.close(ctx, an)
	}
}

// close gives up a right that this attempt holds, or may hold, and won't use.
func (at *attempt) close(ctx context.Context, an Answer) Answer {
	gr := &Grant{recorder: at.recorder, begin: at.begin}
	if an.Grant != nil && ctx.Err() != nil {
		gr.Abandon()
		return refused(refuser.DeadlinePassed, refuser.NotRun, "the deadline passed before the request was sent")
	}
	if an.Grant == nil && at.doubtful {
		gr.Abandon()
	}
	return an
}

func (at *attempt) ask(ctx context.Context) *messenger.Begun {
	answer, err := at.recorder.ask(ctx, at.begin.Shard, at.begin)
	if messenger.Is(err, messenger.Unreachable) {
		return &messenger.Begun{Status: messenger.BeginNotOwner}
	}
	begun, ok := answer.(*messenger.Begun)
	if err != nil || !ok {
		begun = &messenger.Begun{Status: messenger.BeginUncertain}
	}
	if begun.Status == messenger.BeginUncertain {
		at.doubtful = true
	}
	return begun
}

// judge turns the owner's answer into the caller's, and reports whether to ask
// again first.
func (at *attempt) judge(bg *messenger.Begun) (an Answer, again bool) {
	waited := time.Since(at.since)
	switch bg.Status {
	case messenger.BeginGranted:
		return Answer{Grant: &Grant{recorder: at.recorder, begin: at.begin}}, false
	case messenger.BeginFinished:
		return Answer{Result: &Result{bg.Result}}, false
	case messenger.BeginStarted:
		if !at.recorder.alive(bg.Executor) {
			return refused(refuser.KeyUnresolved, refuser.Unknown, "the node that ran the request is gone"), false
		}
		return refused(refuser.KeyInProgress, refuser.Unknown, "the request is in progress"), waited < resultPatience
	case messenger.BeginNotOwner:
		return refused(refuser.OwnerUnreachable, refuser.NotRun, "the owner of the record was not reached"), waited < beginPatience
	case messenger.BeginUncertain:
		return refused(refuser.StoreUnavailable, refuser.NotRun, "the record was not written for certain"), waited < beginPatience
	default:
		return final(bg.Status), false
	}
}

// final returns the refusal of a status that another ask does not change.
func final(status messenger.BeginStatus) Answer {
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
		return refused(refuser.KeyUntimed, refuser.NotRun, "the key's time is more than %v ahead", maxAhead)
	case messenger.BeginFull:
		return refused(refuser.RecordFull, refuser.NotRun, "the record takes no new key")
	default:
		return refused(refuser.StoreUnavailable, refuser.NotRun, "the record was not reached")
	}
}

// retried holds the reasons that a later retry can change.
var retried = map[refuser.Reason]bool{
	refuser.KeyInProgress:    true,
	refuser.OwnerUnreachable: true,
	refuser.StoreUnavailable: true,
	refuser.RecordFull:       true,
}

func refused(rs refuser.Reason, oc refuser.Outcome, format string, args ...any) Answer {
	rf := refuser.New(rs, format, args...).WithOutcome(oc)
	if retried[rs] {
		rf = rf.WithRetryAfter(retryLater)
	}
	return Answer{Refusal: rf}
}

// alive reports whether a node may still hold the right to send.
func (rc *Recorder) alive(node string) bool {
	mb, ok := rc.view().Member(node)
	return ok && mb.State != prober.Dead
}
