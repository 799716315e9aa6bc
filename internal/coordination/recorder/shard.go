package recorder

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

const (
	// defaultSegmentBytes is the size beyond which the open segment is sealed.
	defaultSegmentBytes = 64 << 10
	// batchBytes bounds the entries that one batch adds.
	batchBytes = 256 << 10
	// finishIntervals is how many intervals an end waits for a batch of
	// begins before it gets one of its own.
	finishIntervals = 5
	// segmentNameLength keeps the list of segments in the head short.
	segmentNameLength = 12
	// budgetPause is the time between two looks at a used up allowance of
	// writes, and budgetPatience how long a batch waits for it.
	budgetPause    = 20 * time.Millisecond
	budgetPatience = time.Second
	// storeTimeout bounds the store calls of one batch.
	storeTimeout = 3 * time.Second
)

var errNotOwner = errors.New("another node owns the shard")

// waiting is a message that awaits its batch.
type waiting struct {
	begin  *messenger.Begin
	finish *messenger.Finish
	answer chan messenger.Message
}

// shard is one part of the record as its owner, or one that takes itself for
// the owner, sees it. Its loop alone touches the ledger.
type shard struct {
	recorder *Recorder
	number   int
	wake     chan struct{}
	mu       sync.Mutex
	queue    []*waiting
	timed    bool
	ledger   *ledger
	revision int64
}

func newShard(rc *Recorder, number int) *shard {
	return &shard{recorder: rc, number: number, wake: make(chan struct{}, 1)}
}

func (sh *shard) headKey() string { return resource(sh.number) + "/head" }

func (sh *shard) segmentKey(name string) string {
	return fmt.Sprintf("%s/segment/%s", resource(sh.number), name)
}

// begin waits for the batch that decides. A wait cut short is uncertain.
func (sh *shard) begin(ctx context.Context, bg *messenger.Begin) *messenger.Begun {
	wt := &waiting{begin: bg, answer: make(chan messenger.Message, 1)}
	sh.enqueue(wt)
	sh.signal()
	if an, ok := sh.await(ctx, wt).(*messenger.Begun); ok {
		return an
	}
	return &messenger.Begun{Status: messenger.BeginUncertain}
}

// finish waits for a batch of begins, or for a few intervals if there is none.
func (sh *shard) finish(ctx context.Context, fn *messenger.Finish) *messenger.Finished {
	wt := &waiting{finish: fn, answer: make(chan messenger.Message, 1)}
	sh.enqueue(wt)
	sh.signalLater()
	if an, ok := sh.await(ctx, wt).(*messenger.Finished); ok {
		return an
	}
	return &messenger.Finished{}
}

func (sh *shard) enqueue(wt *waiting) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.queue = append(sh.queue, wt)
}

func (sh *shard) await(ctx context.Context, wt *waiting) messenger.Message {
	select {
	case an := <-wt.answer:
		return an
	case <-ctx.Done():
		return nil
	case <-sh.recorder.ctx.Done():
		return nil
	}
}

func (sh *shard) signal() {
	select {
	case sh.wake <- struct{}{}:
	default:
	}
}

func (sh *shard) signalLater() {
	st := sh.recorder.settings()
	if st == nil {
		sh.signal()
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.timed {
		return
	}
	sh.timed = true
	time.AfterFunc(finishIntervals*st.Interval(), sh.signal)
}

// run decides one batch after the other.
func (sh *shard) run() {
	var last time.Time
	for {
		select {
		case <-sh.recorder.ctx.Done():
			return
		case <-sh.wake:
		}
		if st := sh.recorder.settings(); st != nil {
			if pause := st.Interval() - time.Since(last); pause > 0 && !waiter.Sleep(sh.recorder.ctx, pause) {
				return
			}
		}
		last = time.Now()
		sh.decide()
	}
}

func (sh *shard) decide() {
	sh.mu.Lock()
	batch := sh.queue
	sh.queue = nil
	sh.timed = false
	sh.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(sh.recorder.ctx, storeTimeout)
	defer cancel()
	if err := sh.load(ctx); err != nil {
		sh.fail(batch, statusOf(err, false))
		return
	}
	if rest := sh.runBatch(ctx, batch); len(rest) > 0 {
		sh.mu.Lock()
		sh.queue = append(rest, sh.queue...)
		sh.mu.Unlock()
		sh.signal()
	}
}

// runBatch decides and commits what fits in one batch and returns the rest.
func (sh *shard) runBatch(ctx context.Context, batch []*waiting) []*waiting {
	st := sh.recorder.settings()
	sg := sh.ledger.stage(time.Now(), rules{retention: st.Retention(), shardBytes: st.ShardBytes()})
	answers := make([]messenger.Message, 0, len(batch))
	for _, wt := range batch {
		if len(sg.encoded) > batchBytes {
			break
		}
		if wt.begin != nil {
			answers = append(answers, sg.begin(wt.begin))
			continue
		}
		sg.finish(wt.finish)
		answers = append(answers, &messenger.Finished{Recorded: true})
	}
	decided, rest := batch[:len(answers)], batch[len(answers):]
	if err := sh.settle(ctx, sg, answers); err != nil {
		status := statusOf(err, true)
		if status != messenger.BeginStoreDown {
			sh.ledger = nil
		}
		sh.fail(decided, status)
		return rest
	}
	for ix, wt := range decided {
		wt.answer <- answers[ix]
	}
	return rest
}

// settle commits the staged changes. If there are none and a begin is told that
// its key is started, the head is read instead: a node that lost the shard
// without noticing would go on saying so after the key was finished.
func (sh *shard) settle(ctx context.Context, sg *stage, answers []messenger.Message) error {
	if len(sg.order) > 0 || sg.verify || !anyStarted(answers) {
		return sh.commit(ctx, sg)
	}
	en, err := sh.recorder.store.Get(ctx, sh.headKey())
	if err == nil && en.Revision != sh.revision {
		return errNotOwner
	}
	return nil
}

func anyStarted(answers []messenger.Message) bool {
	for _, an := range answers {
		if bg, ok := an.(*messenger.Begun); ok && bg.Status == messenger.BeginStarted {
			return true
		}
	}
	return false
}

// statusOf says what an error means for a begin. Only a write that was not
// sent, or a read, vouches that nothing was recorded: even a conflict can hide
// a write that took effect and was followed by a rival's.
func statusOf(err error, written bool) messenger.BeginStatus {
	switch {
	case errors.Is(err, errNotOwner):
		return messenger.BeginNotOwner
	case !written, storer.Is(err, storer.Unavailable), storer.Is(err, storer.Budget):
		return messenger.BeginStoreDown
	default:
		return messenger.BeginUncertain
	}
}

func (sh *shard) fail(batch []*waiting, status messenger.BeginStatus) {
	for _, wt := range batch {
		if wt.begin != nil {
			wt.answer <- &messenger.Begun{Status: status}
			continue
		}
		wt.answer <- &messenger.Finished{}
	}
}

// load reads the shard unless its state is at hand.
func (sh *shard) load(ctx context.Context) error {
	if sh.recorder.settings() == nil {
		return errors.New("no configuration is in force")
	}
	if !sh.recorder.view().Owns(resource(sh.number)) {
		sh.ledger = nil
		return errNotOwner
	}
	if sh.ledger != nil {
		return nil
	}
	en, err := sh.recorder.store.Get(ctx, sh.headKey())
	if storer.Is(err, storer.NotFound) {
		sh.revision = 0
		sh.ledger = newLedger(head{epoch: 1, owner: sh.recorder.node})
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read record head")
	}
	lg, err := sh.loadLedger(ctx, en.Value)
	if err != nil {
		log.WithError(err).WithField("shard", sh.number).Error("record was not loaded")
		return err
	}
	sh.recorder.registry.Inc("record", "takeover")
	sh.ledger, sh.revision = lg, en.Revision
	return nil
}

func (sh *shard) loadLedger(ctx context.Context, value []byte) (*ledger, error) {
	hd, err := decodeHead(value)
	if err != nil {
		return nil, err
	}
	hd.epoch++
	hd.owner = sh.recorder.node
	lg := newLedger(*hd)
	values, err := sh.readSegments(ctx, hd.segments)
	if err != nil {
		return nil, err
	}
	for ix, sg := range hd.segments {
		all, err := decodeEntries(values[ix])
		if err != nil {
			return nil, err
		}
		lg.load(sg.number, all)
	}
	all, err := decodeEntries(hd.open)
	if err != nil {
		return nil, err
	}
	lg.load(hd.number, all)
	return lg, nil
}

// commit writes the staged changes by compare-and-swap on the head.
func (sh *shard) commit(ctx context.Context, sg *stage) error {
	if sg.err != nil {
		return sg.err
	}
	if len(sg.order) == 0 && !sg.verify {
		return nil
	}
	sealed, err := sh.seal(ctx, sg)
	if err != nil {
		return err
	}
	hd := sg.next(rand.Text(), sealed)
	value, err := hd.encode()
	if err != nil {
		return err
	}
	mine := func(found []byte) bool { return batchOf(found) == hd.batch }
	revision, err := sh.swapHead(ctx, value, mine)
	if err != nil {
		sh.recorder.registry.Inc("record", "commit-failed")
		return errors.Wrap(err, "commit record batch")
	}
	sh.revision = revision
	sh.remove(ctx, sg.commit(hd))
	return nil
}

// swapHead writes the head. While the node's allowance of writes is used up
// nothing was sent, and the batch waits for it: begins that arrive meanwhile go
// into one larger batch.
func (sh *shard) swapHead(ctx context.Context, value []byte, mine func([]byte) bool) (int64, error) {
	since := time.Now()
	for {
		revision, err := storer.SwapSettled(ctx, sh.recorder.store, sh.headKey(), value, sh.revision, mine)
		if !storer.Is(err, storer.Budget) || time.Since(since) >= budgetPatience {
			return revision, err
		}
		sh.recorder.registry.Inc("retry", "record-budget")
		if !waiter.Sleep(ctx, budgetPause) {
			return 0, err
		}
	}
}

// seal writes the open segment as an immutable value once it is large.
func (sh *shard) seal(ctx context.Context, sg *stage) (*segment, error) {
	if len(sh.ledger.open) == 0 || len(sh.ledger.open)+len(sg.encoded) <= sh.recorder.segmentBytes {
		return nil, nil
	}
	sealed := sh.ledger.openSegment(sh.segmentName())
	open := sh.ledger.open
	mine := func(found []byte) bool { return bytes.Equal(found, open) }
	if _, err := storer.SwapSettled(ctx, sh.recorder.store, sh.segmentKey(sealed.name), open, 0, mine); err != nil {
		// The head was not touched: whatever became of the segment, nothing
		// was recorded.
		return nil, &storer.Error{Op: "seal", Key: sh.headKey(), Kind: storer.Unavailable, Cause: err}
	}
	return sealed, nil
}

// segmentName returns a name that no other segment of the shard has.
func (sh *shard) segmentName() string {
	name := rand.Text()
	return name[:min(len(name), segmentNameLength)]
}

// remove deletes segments that the committed head lists no more. One that is
// left behind costs space and nothing else.
func (sh *shard) remove(ctx context.Context, dropped []segment) {
	for _, sg := range dropped {
		key := sh.segmentKey(sg.name)
		en, err := sh.recorder.store.Get(ctx, key)
		if err == nil {
			err = sh.recorder.store.Delete(ctx, key, en.Revision)
		}
		if err != nil {
			sh.recorder.registry.Inc("record", "segment-left")
		}
	}
}
