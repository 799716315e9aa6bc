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
	// maxEnds bounds the ends that await their record on one node.
	maxEnds = 20000
	// maxEndBytes bounds the results among them.
	maxEndBytes = 32 << 20
	// sendersAtOnce bounds the ends that are told at the same time.
	sendersAtOnce = 256
	// minEndBackoff and maxEndBackoff bound the delay before an end is told
	// again.
	minEndBackoff = 50 * time.Millisecond
	maxEndBackoff = 5 * time.Second
	// endTimeout bounds one telling.
	endTimeout = 5 * time.Second
	// flushInterval is how often a flush looks whether all ends are recorded.
	flushInterval = 10 * time.Millisecond
)

var errEndsLeft = errors.New("ends of attempts were not recorded")

// outbox keeps the ends of this node's attempts until they are recorded.
type outbox struct {
	recorder *Recorder
	mu       sync.Mutex
	ends     []*messenger.Finish
	pending  int
	bytes    int
	wake     chan struct{}
	slots    chan struct{}
}

func newOutbox(rc *Recorder) *outbox {
	return &outbox{
		recorder: rc,
		wake:     make(chan struct{}, 1),
		slots:    make(chan struct{}, sendersAtOnce),
	}
}

// full reports whether no further attempt should be begun.
func (ob *outbox) full() bool {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	return ob.pending >= maxEnds
}

// add takes an end. Beyond the bounds the result is left out, and then the
// end itself: its key stays unresolved, which is honest.
func (ob *outbox) add(fn *messenger.Finish) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	if ob.pending >= maxEnds {
		ob.recorder.registry.Inc("record", "end-dropped")
		return
	}
	if ob.bytes+len(fn.Result.Body) > maxEndBytes {
		ob.recorder.registry.Inc("record", "result-dropped")
		fn.Kept = false
		fn.Result = messenger.RecordResult{}
	}
	ob.pending++
	ob.bytes += len(fn.Result.Body)
	ob.ends = append(ob.ends, fn)
	select {
	case ob.wake <- struct{}{}:
	default:
	}
}

func (ob *outbox) run() {
	for {
		fn := ob.take()
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
			ob.tell(fn)
		})
	}
}

func (ob *outbox) take() *messenger.Finish {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	if len(ob.ends) == 0 {
		return nil
	}
	fn := ob.ends[0]
	ob.ends = ob.ends[1:]
	return fn
}

// tell repeats an end until the owner of its shard has recorded it.
func (ob *outbox) tell(fn *messenger.Finish) {
	backoff := minEndBackoff
	for !ob.tellOnce(fn) {
		ob.recorder.registry.Inc("record", "end-retry")
		if !waiter.Sleep(ob.recorder.ctx, ob.recorder.jitter(backoff)) {
			return
		}
		backoff = min(2*backoff, maxEndBackoff)
	}
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.pending--
	ob.bytes -= len(fn.Result.Body)
}

func (ob *outbox) tellOnce(fn *messenger.Finish) bool {
	ctx, cancel := context.WithTimeout(ob.recorder.ctx, endTimeout)
	defer cancel()
	answer, err := ob.recorder.ask(ctx, fn.Shard, fn)
	if err != nil {
		return false
	}
	an, ok := answer.(*messenger.Finished)
	return ok && an.Recorded
}

// flush waits until nothing is pending.
func (ob *outbox) flush(ctx context.Context) error {
	for {
		ob.mu.Lock()
		pending := ob.pending
		ob.mu.Unlock()
		if pending == 0 {
			return nil
		}
		if !waiter.Sleep(ctx, flushInterval) {
			return errors.Wrapf(errEndsLeft, "%d", pending)
		}
	}
}
