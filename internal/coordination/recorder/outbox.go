package recorder

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

const (
	// maxPending bounds the pending Finish messages of one node.
	maxPending = 20000
	// maxPendingBytes bounds the total length of their results.
	maxPendingBytes = 32 << 20
	// maxConcurrentSends bounds the messages that are sent concurrently.
	maxConcurrentSends = 256
	// minSendBackoff and maxSendBackoff bound the delay before a message is sent
	// again.
	minSendBackoff = 50 * time.Millisecond
	maxSendBackoff = 5 * time.Second
	// sendTimeout bounds one call.
	sendTimeout = 5 * time.Second
	// flushInterval is how often flush checks for pending messages.
	flushInterval = 10 * time.Millisecond
)

var errNotRecorded = errors.New("outcomes of attempts are not recorded")

// outbox holds the Finish messages of this node's attempts until the owners of
// the shards have recorded them.
type outbox struct {
	recorder *Recorder
	mu       sync.Mutex
	// unsent holds the messages that no goroutine sends yet.
	unsent []*messenger.Finish
	// pending is the number of messages that are not recorded, and bytes the
	// total length of their results.
	pending int
	bytes   int
	// wake has an element if messages were added.
	wake chan struct{}
	// slots is a semaphore for sending.
	slots chan struct{}
}

func newOutbox(rc *Recorder) *outbox {
	return &outbox{
		recorder: rc,
		wake:     make(chan struct{}, 1),
		slots:    make(chan struct{}, maxConcurrentSends),
	}
}

// full reports whether the outbox takes no further message, so that no attempt
// should begin.
func (ob *outbox) full() bool {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	return ob.pending >= maxPending
}

// add adds a message. If the pending results are too large in total, it drops
// the result of the message. If too many messages are pending, it drops the
// message: the key then stays unresolved, which claims nothing false about the
// request.
func (ob *outbox) add(fn *messenger.Finish) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	if ob.pending >= maxPending {
		ob.recorder.registry.Inc("record", "end-dropped")
		return
	}
	if ob.bytes+len(fn.Result.Body) > maxPendingBytes {
		ob.recorder.registry.Inc("record", "result-dropped")
		fn.Kept = false
		fn.Result = messenger.RecordResult{}
	}
	ob.pending++
	ob.bytes += len(fn.Result.Body)
	ob.unsent = append(ob.unsent, fn)
	select {
	case ob.wake <- struct{}{}:
	default:
	}
}

// run sends the messages until the recorder is closed.
func (ob *outbox) run() {
	for {
		fn := ob.pop()
		if fn == nil {
			select {
			case <-ob.recorder.ctx.Done():
				return
			case <-ob.wake:
			}
			continue
		}
		select {
		case <-ob.recorder.ctx.Done():
			return
		case ob.slots <- struct{}{}:
		}
		ob.recorder.running.Go(func() {
			defer func() { <-ob.slots }()
			ob.send(fn)
		})
	}
}

// pop removes and returns the oldest unsent message, or nil if there is none.
func (ob *outbox) pop() *messenger.Finish {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	if len(ob.unsent) == 0 {
		return nil
	}
	fn := ob.unsent[0]
	ob.unsent = ob.unsent[1:]
	return fn
}

// send sends a message until the owner of the shard has recorded it.
func (ob *outbox) send(fn *messenger.Finish) {
	backoff := minSendBackoff
	for !ob.sendOnce(fn) {
		ob.recorder.registry.Inc("record", "end-retry")
		if !waiter.Sleep(ob.recorder.ctx, ob.recorder.jitter(backoff)) {
			return
		}
		backoff = min(2*backoff, maxSendBackoff)
	}
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.pending--
	ob.bytes -= len(fn.Result.Body)
}

// sendOnce sends a message and reports whether the owner has recorded it.
func (ob *outbox) sendOnce(fn *messenger.Finish) bool {
	ctx, cancel := context.WithTimeout(ob.recorder.ctx, sendTimeout)
	defer cancel()
	answer, err := ob.recorder.callOwner(ctx, fn.Shard, fn)
	if err != nil {
		return false
	}
	an, ok := answer.(*messenger.Finished)
	return ok && an.Recorded
}

// flush waits until no message is pending or the context ends.
func (ob *outbox) flush(ctx context.Context) error {
	for {
		ob.mu.Lock()
		pending := ob.pending
		ob.mu.Unlock()
		if pending == 0 {
			return nil
		}
		if !waiter.Sleep(ctx, flushInterval) {
			return errors.Wrapf(errNotRecorded, "%d outcomes pending", pending)
		}
	}
}
