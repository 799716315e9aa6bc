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
	// batchBytes is the size of added entries beyond which a batch takes no
	// further message.
	batchBytes = 256 << 10
	// finishIntervals is how many batch intervals a Finish waits for a batch
	// with a Begin before it gets a batch of its own.
	finishIntervals = 5
	// segmentNameLength is small to keep the list of segments in the head short.
	segmentNameLength = 12
	// budgetPause is the time between two attempts while the write budget is
	// used up, and budgetTimeout the longest time that a batch waits for it.
	budgetPause   = 20 * time.Millisecond
	budgetTimeout = time.Second
	// storeTimeout bounds the store calls of one batch.
	storeTimeout = 3 * time.Second
)

var errNotOwner = errors.New("another node owns the shard")

// pendingCall is a Begin or a Finish, the other being nil, that waits for a
// batch.
type pendingCall struct {
	begin  *messenger.Begin
	finish *messenger.Finish
	answer chan messenger.Message
}

// shard is one shard of the record, as seen by its owner or by a node that
// takes itself for the owner.
type shard struct {
	recorder *Recorder
	number   int
	// wake has an element if the loop has to process the queue.
	wake  chan struct{}
	mu    sync.Mutex
	queue []*pendingCall
	// timerSet is set if a timer is running that wakes the loop for a Finish.
	timerSet bool
	// ledger is nil until the shard is loaded. Only the loop in run accesses it
	// and revision.
	ledger *ledger
	// revision is the store revision of the head, or 0 if there is none.
	revision int64
}

func newShard(rc *Recorder, number int) *shard {
	return &shard{recorder: rc, number: number, wake: make(chan struct{}, 1)}
}

func (sh *shard) headKey() string { return resource(sh.number) + "/head" }

func (sh *shard) segmentKey(name string) string {
	return fmt.Sprintf("%s/segment/%s", resource(sh.number), name)
}

// begin answers a Begin after its batch is committed. If the context ends
// first, the answer is BeginUncertain.
func (sh *shard) begin(ctx context.Context, bg *messenger.Begin) *messenger.Begun {
	pc := &pendingCall{begin: bg, answer: make(chan messenger.Message, 1)}
	sh.enqueue(pc)
	sh.signal()
	if an, ok := sh.await(ctx, pc).(*messenger.Begun); ok {
		return an
	}
	return &messenger.Begun{Status: messenger.BeginUncertain}
}

// finish answers a Finish after its batch is committed. It waits up to
// finishIntervals so that the Finish shares a batch with a Begin.
func (sh *shard) finish(ctx context.Context, fn *messenger.Finish) *messenger.Finished {
	pc := &pendingCall{finish: fn, answer: make(chan messenger.Message, 1)}
	sh.enqueue(pc)
	sh.signalLater()
	if an, ok := sh.await(ctx, pc).(*messenger.Finished); ok {
		return an
	}
	return &messenger.Finished{}
}

func (sh *shard) enqueue(pc *pendingCall) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.queue = append(sh.queue, pc)
}

// await returns the answer to a pending call, or nil if the context or the
// recorder ends first.
func (sh *shard) await(ctx context.Context, pc *pendingCall) messenger.Message {
	select {
	case an := <-pc.answer:
		return an
	case <-ctx.Done():
		return nil
	case <-sh.recorder.ctx.Done():
		return nil
	}
}

// signal wakes the loop.
func (sh *shard) signal() {
	select {
	case sh.wake <- struct{}{}:
	default:
	}
}

// signalLater wakes the loop after finishIntervals.
func (sh *shard) signalLater() {
	st := sh.recorder.settings()
	if st == nil {
		sh.signal()
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.timerSet {
		return
	}
	sh.timerSet = true
	time.AfterFunc(finishIntervals*st.Interval(), sh.signal)
}

// run processes batches, at most one per interval, until the recorder is
// closed.
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
		sh.processQueue()
	}
}

// processQueue loads the shard if necessary and processes one batch.
func (sh *shard) processQueue() {
	sh.mu.Lock()
	batch := sh.queue
	sh.queue = nil
	sh.timerSet = false
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
	if rest := sh.processBatch(ctx, batch); len(rest) > 0 {
		sh.mu.Lock()
		sh.queue = append(rest, sh.queue...)
		sh.mu.Unlock()
		sh.signal()
	}
}

// processBatch commits and answers the calls that fit in one batch, and returns
// the others.
func (sh *shard) processBatch(ctx context.Context, batch []*pendingCall) []*pendingCall {
	st := sh.recorder.settings()
	sg := sh.ledger.stage(time.Now(), rules{retention: st.Retention(), shardBytes: st.ShardBytes()})
	answers := make([]messenger.Message, 0, len(batch))
	for _, pc := range batch {
		if len(sg.encoded) > batchBytes {
			break
		}
		if pc.begin != nil {
			answers = append(answers, sg.begin(pc.begin))
			continue
		}
		sg.finish(pc.finish)
		answers = append(answers, &messenger.Finished{Recorded: true})
	}
	decided, rest := batch[:len(answers)], batch[len(answers):]
	if err := sh.confirm(ctx, sg, answers); err != nil {
		status := statusOf(err, true)
		if status != messenger.BeginStoreDown {
			sh.ledger = nil
		}
		sh.fail(decided, status)
		return rest
	}
	for ix, pc := range decided {
		pc.answer <- answers[ix]
	}
	return rest
}

// confirm commits the staged changes. If there are none and an answer says that
// a key is started, confirm reads the head instead: a node that has lost the
// shard without noticing would otherwise give this answer even after the key
// was finished. If the head can't be read, the answer stands.
func (sh *shard) confirm(ctx context.Context, sg *stage, answers []messenger.Message) error {
	if len(sg.staged) > 0 || sg.verify || !anyStarted(answers) {
		return sh.commit(ctx, sg)
	}
	en, err := sh.recorder.store.Get(ctx, sh.headKey())
	if err == nil && en.Revision != sh.revision {
		return errNotOwner
	}
	return nil
}

// anyStarted reports whether any answer says that its key is started.
func anyStarted(answers []messenger.Message) bool {
	for _, an := range answers {
		if bg, ok := an.(*messenger.Begun); ok && bg.Status == messenger.BeginStarted {
			return true
		}
	}
	return false
}

// statusOf returns the status of a Begin whose batch failed with err. Only a
// read or a write that was not sent proves that nothing was recorded: even a
// conflict is possible after a write that took effect, if another node wrote
// next.
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

// fail answers the calls of a batch that was not committed.
func (sh *shard) fail(batch []*pendingCall, status messenger.BeginStatus) {
	for _, pc := range batch {
		if pc.begin != nil {
			pc.answer <- &messenger.Begun{Status: status}
			continue
		}
		pc.answer <- &messenger.Finished{}
	}
}

// load reads the shard from the store unless it is loaded. It returns
// errNotOwner if this node doesn't own the shard.
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
		log.WithError(err).WithField("shard", sh.number).Error("recorder could not load a shard of the record; its keys are refused until a later batch loads it")
		return err
	}
	sh.recorder.registry.Inc("record", "takeover")
	sh.ledger, sh.revision = lg, en.Revision
	return nil
}

// loadLedger returns the ledger of an encoded head, with all segments loaded.
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
	if len(sg.staged) == 0 && !sg.verify {
		return nil
	}
	sealed, err := sh.seal(ctx, sg)
	if err != nil {
		return err
	}
	hd := sg.nextHead(rand.Text(), sealed)
	value, err := hd.encode()
	if err != nil {
		return err
	}
	isOwnWrite := func(found []byte) bool { return batchIDOf(found) == hd.batchID }
	revision, err := sh.swapHead(ctx, value, isOwnWrite)
	if err != nil {
		sh.recorder.registry.Inc("record", "commit-failed")
		return errors.Wrap(err, "commit record batch")
	}
	sh.revision = revision
	sh.deleteSegments(ctx, sg.commit(hd))
	return nil
}

// swapHead writes the head and returns its revision. While the node's write
// budget is used up, the write isn't sent and the batch waits; calls that
// arrive in that time share the next, larger batch.
func (sh *shard) swapHead(ctx context.Context, value []byte, isOwnWrite func([]byte) bool) (int64, error) {
	since := time.Now()
	for {
		revision, err := storer.SwapSettled(ctx, sh.recorder.store, sh.headKey(), value, sh.revision, isOwnWrite)
		if !storer.Is(err, storer.Budget) || time.Since(since) >= budgetTimeout {
			return revision, err
		}
		sh.recorder.registry.Inc("retry", "record-budget")
		if !waiter.Sleep(ctx, budgetPause) {
			return 0, err
		}
	}
}

// seal writes the open segment as an immutable value and returns its
// description if it would exceed the segment size with the staged entries, else
// nil.
func (sh *shard) seal(ctx context.Context, sg *stage) (*segment, error) {
	if len(sh.ledger.open) == 0 || len(sh.ledger.open)+len(sg.encoded) <= sh.recorder.segmentBytes {
		return nil, nil
	}
	sealed := sh.ledger.openSegment(sh.segmentName())
	open := sh.ledger.open
	isOwnWrite := func(found []byte) bool { return bytes.Equal(found, open) }
	if _, err := storer.SwapSettled(ctx, sh.recorder.store, sh.segmentKey(sealed.name), open, 0, isOwnWrite); err != nil {
		// The head is unchanged, so nothing was recorded, even if the segment was
		// written.
		return nil, &storer.Error{Op: "seal", Key: sh.headKey(), Kind: storer.Unavailable, Cause: err}
	}
	return sealed, nil
}

// segmentName returns a random name, unique among the segments of the shard.
func (sh *shard) segmentName() string {
	name := rand.Text()
	return name[:min(len(name), segmentNameLength)]
}

// deleteSegments deletes segments that the committed head does not list any
// more. A segment that can't be deleted only takes up space.
func (sh *shard) deleteSegments(ctx context.Context, dropped []segment) {
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
