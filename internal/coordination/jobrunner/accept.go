package jobrunner

import (
	"context"
	"crypto/rand"
	"sort"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/recorder"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// defaultRetryAfter is the retry delay of refusals.
const defaultRetryAfter = 2 * time.Second

// Submission is a caller's request to accept a job.
type Submission struct {
	// Caller is the name of the caller.
	Caller string
	// Key is the idempotency key that names the job, or empty.
	Key string
	// KeyTime is the time of a key that is no UUIDv7, or empty.
	KeyTime string
	// Request is the request to run.
	Request Request
	// Within is the time from acceptance to the job's deadline; zero for none.
	Within time.Duration
}

// Accept stores a job and returns it. If the caller's key already has a job
// with the same request, it returns that one.
func (rn *Runner) Accept(ctx context.Context, sn Submission) (*Job, *refuser.Refusal) {
	jb, rf := rn.newJob(sn)
	if rf != nil {
		return nil, rf
	}
	ref := jobRef{shardOf(jb.id), jb.id}
	value, err := jb.encode()
	if err != nil {
		return nil, refuser.New(refuser.Internal, "%v", err)
	}
	// acceptID never changes, so that a job that another node has claimed since
	// is still recognised.
	isOwn := func(found []byte) bool {
		other, err := decode(found)
		return err == nil && other.acceptID == jb.acceptID
	}
	_, err = storer.SwapSettled(ctx, rn.store, storeKey(ref), value, 0, isOwn)
	switch {
	case storer.Is(err, storer.Conflict) && sn.Key != "":
		return rn.existing(ctx, ref, sn)
	case storer.Is(err, storer.Unavailable), storer.Is(err, storer.Budget):
		return nil, refuser.New(refuser.StoreUnavailable, "the job was not accepted: %v", err).WithRetryAfter(defaultRetryAfter)
	case err != nil:
		return nil, refuser.New(refuser.StoreUnavailable, "the job may have been accepted: %v", err).
			WithOutcome(refuser.Unknown).WithRetryAfter(defaultRetryAfter)
	}
	rn.registry.Inc("job", "accepted")
	rn.notify(ctx, ref)
	return jb, nil
}

// newJob returns the job of a submission, or a refusal if that is not valid.
func (rn *Runner) newJob(sn Submission) (*Job, *refuser.Refusal) {
	st := rn.settings()
	if st == nil {
		return nil, refuser.New(refuser.NotConfigured, "no configuration is in force yet").WithRetryAfter(defaultRetryAfter)
	}
	if int64(len(sn.Request.Body)) > st.JobBytes() {
		return nil, refuser.New(refuser.TooLarge, "the body of a job exceeds %d bytes", st.JobBytes())
	}
	now := time.Now()
	jb := &Job{
		acceptID: rand.Text(),
		id:       rand.Text(),
		caller:   sn.Caller,
		key:      sn.Key,
		request:  sn.Request,
		created:  now.UnixMilli(),
		state:    Accepted,
	}
	if sn.Within > 0 {
		jb.deadline = now.Add(sn.Within).UnixMilli()
	}
	if sn.Key == "" {
		return jb, nil
	}
	jb.id = idOf(sn.Caller, sn.Key)
	if rn.executor.Repeatable(sn.Request) {
		return jb, nil
	}
	millis, rf := recorder.TimeOf(sn.Key, sn.KeyTime)
	jb.keyTime = millis
	return jb, rf
}

// existing returns the stored job of the submission's key, or a refusal if its
// request differs.
func (rn *Runner) existing(ctx context.Context, ref jobRef, sn Submission) (*Job, *refuser.Refusal) {
	jb, rf := rn.read(ctx, ref)
	if rf != nil {
		return nil, rf.WithOutcome(refuser.Unknown)
	}
	if !jb.hasRequest(sn.Request) {
		return nil, refuser.New(refuser.KeyConflict, "the key belongs to another job")
	}
	return jb, nil
}

// read loads a job and returns an error as a refusal.
func (rn *Runner) read(ctx context.Context, ref jobRef) (*Job, *refuser.Refusal) {
	jb, err := rn.load(ctx, ref)
	if storer.Is(err, storer.NotFound) {
		return nil, refuser.New(refuser.UnknownJob, "no job %q", ref.id)
	}
	if err != nil {
		return nil, refuser.New(refuser.StoreUnavailable, "the job was not read: %v", err).WithRetryAfter(defaultRetryAfter)
	}
	return jb, nil
}

// load reads a job from the store.
func (rn *Runner) load(ctx context.Context, ref jobRef) (*Job, error) {
	en, err := rn.store.Get(ctx, storeKey(ref))
	if err != nil {
		return nil, err
	}
	jb, err := decode(en.Value)
	if err != nil {
		return nil, err
	}
	jb.revision = en.Revision
	return jb, nil
}

// Get returns a job of the caller, or a refusal if there is no such job.
func (rn *Runner) Get(ctx context.Context, caller, id string) (*Job, *refuser.Refusal) {
	jb, rf := rn.read(ctx, jobRef{shardOf(id), id})
	if rf == nil && jb.caller != caller {
		return nil, refuser.New(refuser.UnknownJob, "no job %q", id)
	}
	return jb, rf
}

// List returns up to limit jobs of the caller that follow the id after, ordered
// by shard and id. The value of after for the next page is next, which is empty
// on the last page.
func (rn *Runner) List(ctx context.Context, caller, after string, limit int) (page []*Job, next string, rf *refuser.Refusal) {
	first := 0
	if after != "" {
		first = shardOf(after)
	}
	for shard := first; shard < shardCount; shard++ {
		all, err := rn.listShard(ctx, shard)
		if err != nil {
			return nil, "", refuser.New(refuser.StoreUnavailable, "jobs were not listed: %v", err).WithRetryAfter(defaultRetryAfter)
		}
		for _, jb := range all {
			if jb.caller != caller || shard == first && jb.id <= after {
				continue
			}
			if len(page) == limit {
				return page, page[limit-1].id, nil
			}
			page = append(page, jb)
		}
	}
	return page, "", nil
}

// listShard returns the jobs of a shard by id. It skips and counts corrupt
// values.
func (rn *Runner) listShard(ctx context.Context, shard int) ([]*Job, error) {
	entries, err := rn.store.List(ctx, shardResource(shard)+"/")
	if err != nil {
		return nil, err
	}
	var all []*Job
	for _, en := range entries {
		jb, err := decode(en.Value)
		if err != nil {
			rn.registry.Inc("job", "corrupt")
			continue
		}
		jb.revision = en.Revision
		all = append(all, jb)
	}
	sort.Slice(all, func(ix, jx int) bool { return all[ix].id < all[jx].id })
	return all, nil
}

// Cancel ends a job of the caller and returns it. It changes nothing if the job
// has ended. The outcome of a job that was claimed is unknown.
func (rn *Runner) Cancel(ctx context.Context, caller, id string) (*Job, *refuser.Refusal) {
	jb, rf := rn.Get(ctx, caller, id)
	if rf != nil || jb.state.Ended() {
		return jb, rf
	}
	outcome := refuser.NotRun
	if jb.state == Running {
		outcome = refuser.Unknown
	}
	ended, err := rn.swap(ctx, jb.with(func(cp *Job) {
		cp.state = Cancelled
		cp.reason, cp.outcome, cp.message = refuser.Cancelled, outcome, "the caller cancelled the job"
		cp.ended = time.Now().UnixMilli()
	}))
	if err != nil {
		return nil, refuser.New(refuser.StoreUnavailable, "the job was not cancelled: %v", err).
			WithOutcome(refuser.Unknown).WithRetryAfter(defaultRetryAfter)
	}
	rn.registry.Inc("job", "cancelled")
	rn.notifyExecutor(ctx, ended)
	return ended, nil
}

// notifyExecutor tells the executor of a job that the job was cancelled.
func (rn *Runner) notifyExecutor(ctx context.Context, jb *Job) {
	notice := &messenger.JobNotice{Shard: shardOf(jb.id), ID: jb.id, Cancel: true}
	if jb.executor == rn.incarnation {
		rn.Handle(notice)
		return
	}
	if mb, ok := rn.view().Member(nodeOf(jb.executor)); ok {
		_, _ = rn.caller.Call(ctx, mb.PeerAddress, notice)
	}
}

// swap stores a changed job and returns it with its new store revision.
func (rn *Runner) swap(ctx context.Context, jb *Job) (*Job, error) {
	jb.writeID = rand.Text()
	value, err := jb.encode()
	if err != nil {
		return nil, err
	}
	isOwn := func(found []byte) bool {
		other, err := decode(found)
		return err == nil && other.writeID == jb.writeID
	}
	revision, err := storer.SwapSettled(ctx, rn.store, storeKey(jobRef{shardOf(jb.id), jb.id}), value, jb.revision, isOwn)
	if err != nil {
		return nil, err
	}
	return jb.with(func(cp *Job) { cp.revision = revision }), nil
}
