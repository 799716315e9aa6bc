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
	// ownershipInterval is the time between two checks of the owned shards.
	ownershipInterval = time.Second
	// scanInterval is the longest time between two scans of an owned shard.
	scanInterval = time.Minute
)

// Run runs the jobs of the owned shards until the context ends. Then it starts
// no more jobs, requeues those that wait for a retry, and returns nil once the
// running ones have ended.
func (rn *Runner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		rn.scanDueShards(ctx)
		rn.startPending(ctx)
		rn.waitForWork(ctx)
	}
	rn.running.Wait()
	return nil
}

// waitForWork waits for a pending job, the end of an active one or the next
// check of the owned shards.
func (rn *Runner) waitForWork(ctx context.Context) {
	tm := time.NewTimer(ownershipInterval)
	defer tm.Stop()
	select {
	case <-ctx.Done():
	case <-rn.wake:
	case <-tm.C:
	}
}

// scanDueShards scans the shards that the node newly owns and those whose next
// scan is due.
func (rn *Runner) scanDueShards(ctx context.Context) {
	for shard := range shardCount {
		if !rn.view().Owns(shardResource(shard)) {
			delete(rn.nextScans, shard)
			continue
		}
		due, scanned := rn.nextScans[shard]
		if scanned && time.Now().Before(due) {
			continue
		}
		delay := rn.jitter(scanInterval)
		if err := rn.scan(ctx, shard); err != nil {
			delay = rn.jitter(maxBackoff)
		}
		rn.nextScans[shard] = time.Now().Add(delay)
	}
}

// scan queues the jobs of a shard that have not ended, oldest first, and
// removes ended jobs after the retention period.
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
			rn.enqueue(jobRef{shard, jb.id})
		}
	}
	return rn.removeExpired(ctx, shard, all)
}

// removeExpired removes ended jobs whose retention period has passed. It first
// raises the shard's watermark, because keys at or below it are never run
// again. The keys of jobs that have not ended stay above the watermark.
func (rn *Runner) removeExpired(ctx context.Context, shard int, all []*Job) error {
	st := rn.settings()
	if st == nil {
		return nil
	}
	cutoff := time.Now().Add(-st.JobRetention()).UnixMilli()
	removable, watermark := expired(all, cutoff)
	if len(removable) == 0 {
		return nil
	}
	if err := rn.raiseWatermark(ctx, shard, watermark); err != nil {
		return err
	}
	for _, jb := range removable {
		if err := rn.store.Delete(ctx, storeKey(jobRef{shard, jb.id}), jb.revision); err != nil {
			return err
		}
		rn.registry.Inc("job", "expired")
	}
	return nil
}

// expired returns the jobs that ended before the cutoff, in Unix milliseconds,
// and the highest time of their keys, the new watermark. It leaves out a job
// whose key is as new as that of a job that has not ended, or newer.
func expired(all []*Job, cutoff int64) (removable []*Job, watermark int64) {
	floor := int64(0)
	for _, jb := range all {
		if !jb.state.Ended() && jb.keyTime > 0 && (floor == 0 || jb.keyTime < floor) {
			floor = jb.keyTime
		}
	}
	for _, jb := range all {
		if jb.state.Ended() && jb.ended < cutoff && (floor == 0 || jb.keyTime < floor) {
			removable = append(removable, jb)
			watermark = max(watermark, jb.keyTime)
		}
	}
	return removable, watermark
}

// watermarkKey returns the store key of a shard's watermark.
func watermarkKey(shard int) string { return fmt.Sprintf("job-watermark/%d", shard) }

// raiseWatermark stores the watermark if it is higher than the stored one.
func (rn *Runner) raiseWatermark(ctx context.Context, shard int, watermark int64) error {
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

// watermark returns the watermark of a shard, in Unix milliseconds, and its
// store revision; both are zero if there is none.
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

// checkKey refuses a job whose key may have been run before. A job with a used
// key can only be created after the earlier job was deleted, and the watermark
// was raised before that deletion.
func (rn *Runner) checkKey(ctx context.Context, jb *Job) *refuser.Refusal {
	if jb.keyTime == 0 {
		return nil
	}
	watermark, _, err := rn.watermark(ctx, shardOf(jb.id))
	if err != nil {
		return refuser.New(refuser.StoreUnavailable, "%v", err).WithRetryAfter(defaultRetryAfter)
	}
	if jb.keyTime <= watermark {
		return refuser.New(refuser.KeyExpired, "the record of keys of that time has expired").WithOutcome(refuser.Unknown)
	}
	return nil
}

// startPending starts pending jobs up to the limit of concurrent jobs.
func (rn *Runner) startPending(ctx context.Context) {
	st := rn.settings()
	if st == nil || ctx.Err() != nil {
		return
	}
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for len(rn.pending) > 0 && len(rn.active) < st.JobsAtOnce() {
		ref := rn.pending[0]
		rn.pending = rn.pending[1:]
		if rn.active[ref] != nil {
			continue
		}
		jobCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		rn.active[ref] = cancel
		rn.running.Go(func() {
			defer rn.release(ref, cancel)
			rn.runJob(ctx, jobCtx, ref)
		})
	}
}

// release removes a job from the active ones and wakes Run.
func (rn *Runner) release(ref jobRef, cancel context.CancelFunc) {
	cancel()
	rn.mu.Lock()
	defer rn.mu.Unlock()
	delete(rn.active, ref)
	rn.signal()
}
