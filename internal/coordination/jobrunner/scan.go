package jobrunner

import (
	"bytes"
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// lookInterval is how often the view is compared with what is owned.
	lookInterval = time.Second
	// scanInterval is the longest time between two scans of an owned shard.
	scanInterval = time.Minute
)

// Run owns shards and runs their jobs until the context ends. Then it starts
// no more, puts back the jobs that wait, and returns once the running ones
// have ended.
func (rn *Runner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		rn.look(ctx)
		rn.start(ctx)
		rn.await(ctx)
	}
	rn.running.Wait()
	return nil
}

// await waits for a notice, the end of a job or the next look.
func (rn *Runner) await(ctx context.Context) {
	tm := time.NewTimer(lookInterval)
	defer tm.Stop()
	select {
	case <-ctx.Done():
	case <-rn.wake:
	case <-tm.C:
	}
}

// look scans the shards that are newly owned or due.
func (rn *Runner) look(ctx context.Context) {
	for shard := range shardCount {
		if !rn.view().Owns(resource(shard)) {
			delete(rn.owned, shard)
			continue
		}
		due, known := rn.owned[shard]
		if known && time.Now().Before(due) {
			continue
		}
		next := rn.jitter(scanInterval)
		if err := rn.scan(ctx, shard); err != nil {
			next = rn.jitter(maxBackoff)
		}
		rn.owned[shard] = time.Now().Add(next)
	}
}

// scan queues the jobs of a shard that have no end and removes the ends that
// were kept long enough.
func (rn *Runner) scan(ctx context.Context, shard int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := rn.listShard(ctx, shard)
	if err != nil {
		return err
	}
	sort.Slice(all, func(ix, jx int) bool { return all[ix].created < all[jx].created })
	for _, jb := range all {
		if !jb.state.Ended() {
			rn.enqueue(place{shard, jb.id})
		}
	}
	return rn.expire(ctx, shard, all)
}

// expire removes ends beyond the retention. The shard's watermark is raised
// first: a key at or below it is never run again. Keys of jobs that have no end
// yet stay above the watermark.
func (rn *Runner) expire(ctx context.Context, shard int, all []*Job) error {
	st := rn.settings()
	if st == nil {
		return nil
	}
	cutoff := time.Now().Add(-st.JobRetention()).UnixMilli()
	gone, watermark := expired(all, cutoff)
	if len(gone) == 0 {
		return nil
	}
	if err := rn.raise(ctx, shard, watermark); err != nil {
		return err
	}
	for _, jb := range gone {
		if err := rn.store.Delete(ctx, keyOf(place{shard, jb.id}), jb.revision); err != nil {
			return err
		}
		rn.registry.Inc("job", "expired")
	}
	return nil
}

func expired(all []*Job, cutoff int64) (gone []*Job, watermark int64) {
	floor := int64(0)
	for _, jb := range all {
		if !jb.state.Ended() && jb.keyTime > 0 && (floor == 0 || jb.keyTime < floor) {
			floor = jb.keyTime
		}
	}
	for _, jb := range all {
		if jb.state.Ended() && jb.ended < cutoff && (floor == 0 || jb.keyTime < floor) {
			gone = append(gone, jb)
			watermark = max(watermark, jb.keyTime)
		}
	}
	return gone, watermark
}

func watermarkKey(shard int) string { return fmt.Sprintf("job-watermark/%d", shard) }

// raise writes the watermark if it is higher than the stored one.
func (rn *Runner) raise(ctx context.Context, shard int, watermark int64) error {
	current, revision, err := rn.watermark(ctx, shard)
	if err != nil || current >= watermark {
		return err
	}
	var buf bytes.Buffer
	if err := msgpack.NewEncoder(&buf).EncodeInt(watermark); err != nil {
		return err
	}
	_, err = rn.store.Swap(ctx, watermarkKey(shard), buf.Bytes(), revision)
	return err
}

func (rn *Runner) watermark(ctx context.Context, shard int) (watermark, revision int64, err error) {
	en, err := rn.store.Get(ctx, watermarkKey(shard))
	if storer.Is(err, storer.NotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	watermark, err = msgpack.NewDecoder(bytes.NewReader(en.Value)).DecodeInt64()
	return watermark, en.Revision, err
}

// checkKey refuses a job whose key may have been run before. The job was
// created after any deletion of its forerunner, and the watermark was raised
// before that.
func (rn *Runner) checkKey(ctx context.Context, jb *Job) *refuser.Refusal {
	if jb.keyTime == 0 {
		return nil
	}
	watermark, _, err := rn.watermark(ctx, shardOf(jb.id))
	if err != nil {
		return refuser.New(refuser.StoreUnavailable, "%v", err).WithRetryAfter(retryLater)
	}
	if jb.keyTime <= watermark {
		return refuser.New(refuser.KeyExpired, "the record of keys of that time has expired").WithOutcome(refuser.Unknown)
	}
	return nil
}

// start runs waiting jobs as far as there is room.
func (rn *Runner) start(ctx context.Context) {
	st := rn.settings()
	if st == nil || ctx.Err() != nil {
		return
	}
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for len(rn.pending) > 0 && len(rn.active) < st.JobsAtOnce() {
		pc := rn.pending[0]
		rn.pending = rn.pending[1:]
		if rn.active[pc] != nil {
			continue
		}
		own, cancel := context.WithCancel(context.WithoutCancel(ctx))
		rn.active[pc] = cancel
		rn.running.Go(func() {
			defer rn.release(pc, cancel)
			rn.take(ctx, own, pc)
		})
	}
}

func (rn *Runner) release(pc place, cancel context.CancelFunc) {
	cancel()
	rn.mu.Lock()
	defer rn.mu.Unlock()
	delete(rn.active, pc)
	rn.signal()
}
