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

// retryLater is what a caller is told to wait while the store is down.
const retryLater = 2 * time.Second

// Order is what a caller gives to be accepted.
type Order struct {
	// Caller is the name of the caller.
	Caller string
	// Key is the idempotency key that names the job, or empty.
	Key string
	// KeyTime is the time of a key that is no UUIDv7, or empty.
	KeyTime string
	// Request is what is to be run.
	Request Request
	// Within is the time after which the job is worthless; zero for none.
	Within time.Duration
}

// Accept makes a job durable. The same key and request return the same job.
func (rn *Runner) Accept(ctx context.Context, od Order) (*Job, *refuser.Refusal) {
	jb, rf := rn.build(od)
	if rf != nil {
		return nil, rf
	}
	pc := place{shardOf(jb.id), jb.id}
	value, err := jb.encode()
	if err != nil {
		return nil, refuser.New(refuser.Internal, "%v", err)
	}
	// The token stays in the value for good: a job that was claimed at once
	// is still recognised.
	mine := func(found []byte) bool {
		other, err := decode(found)
		return err == nil && other.token == jb.token
	}
	_, err = storer.SwapSettled(ctx, rn.store, keyOf(pc), value, 0, mine)
	switch {
	case storer.Is(err, storer.Conflict) && od.Key != "":
		return rn.known(ctx, pc, od)
	case storer.Is(err, storer.Unavailable), storer.Is(err, storer.Budget):
		return nil, refuser.New(refuser.StoreUnavailable, "the job was not accepted: %v", err).WithRetryAfter(retryLater)
	case err != nil:
		return nil, refuser.New(refuser.StoreUnavailable, "the job may have been accepted: %v", err).
			WithOutcome(refuser.Unknown).WithRetryAfter(retryLater)
	}
	rn.registry.Inc("job", "accepted")
	rn.notify(ctx, pc)
	return jb, nil
}

func (rn *Runner) build(od Order) (*Job, *refuser.Refusal) {
	st := rn.settings()
	if st == nil {
		return nil, refuser.New(refuser.NotConfigured, "no configuration is in force yet").WithRetryAfter(retryLater)
	}
	if int64(len(od.Request.Body)) > st.JobBytes() {
		return nil, refuser.New(refuser.TooLarge, "the body of a job exceeds %d bytes", st.JobBytes())
	}
	now := time.Now()
	jb := &Job{
		token:   rand.Text(),
		id:      rand.Text(),
		caller:  od.Caller,
		key:     od.Key,
		request: od.Request,
		created: now.UnixMilli(),
		state:   Accepted,
	}
	if od.Within > 0 {
		jb.deadline = now.Add(od.Within).UnixMilli()
	}
	if od.Key == "" {
		return jb, nil
	}
	jb.id = idOf(od.Caller, od.Key)
	if rn.executor.Repeatable(od.Request) {
		return jb, nil
	}
	millis, rf := recorder.TimeOf(od.Key, od.KeyTime)
	jb.keyTime = millis
	return jb, rf
}

// known returns the job that already has the key.
func (rn *Runner) known(ctx context.Context, pc place, od Order) (*Job, *refuser.Refusal) {
	jb, rf := rn.read(ctx, pc)
	if rf != nil {
		return nil, rf.WithOutcome(refuser.Unknown)
	}
	if !jb.matches(od.Request) {
		return nil, refuser.New(refuser.KeyConflict, "the key belongs to another job")
	}
	return jb, nil
}

func (rn *Runner) read(ctx context.Context, pc place) (*Job, *refuser.Refusal) {
	jb, err := rn.load(ctx, pc)
	if storer.Is(err, storer.NotFound) {
		return nil, refuser.New(refuser.UnknownJob, "no job %q", pc.id)
	}
	if err != nil {
		return nil, refuser.New(refuser.StoreUnavailable, "the job was not read: %v", err).WithRetryAfter(retryLater)
	}
	return jb, nil
}

func (rn *Runner) load(ctx context.Context, pc place) (*Job, error) {
	en, err := rn.store.Get(ctx, keyOf(pc))
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

// Get returns a job of the caller.
func (rn *Runner) Get(ctx context.Context, caller, id string) (*Job, *refuser.Refusal) {
	jb, rf := rn.read(ctx, place{shardOf(id), id})
	if rf == nil && jb.caller != caller {
		return nil, refuser.New(refuser.UnknownJob, "no job %q", id)
	}
	return jb, rf
}

// List returns up to limit jobs of the caller whose ids follow after, shard by
// shard, and where the next page starts; empty after the last page.
func (rn *Runner) List(ctx context.Context, caller, after string, limit int) (page []*Job, next string, rf *refuser.Refusal) {
	first := 0
	if after != "" {
		first = shardOf(after)
	}
	for shard := first; shard < shardCount; shard++ {
		all, err := rn.listShard(ctx, shard)
		if err != nil {
			return nil, "", refuser.New(refuser.StoreUnavailable, "jobs were not listed: %v", err).WithRetryAfter(retryLater)
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

func (rn *Runner) listShard(ctx context.Context, shard int) ([]*Job, error) {
	entries, err := rn.store.List(ctx, resource(shard)+"/")
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

// Cancel ends a job of the caller. One that was claimed may have been run.
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
			WithOutcome(refuser.Unknown).WithRetryAfter(retryLater)
	}
	rn.registry.Inc("job", "cancelled")
	rn.stop(ctx, ended)
	return ended, nil
}

// stop tells the executor that a job was cancelled.
func (rn *Runner) stop(ctx context.Context, jb *Job) {
	notice := &messenger.JobNotice{Shard: shardOf(jb.id), ID: jb.id, Cancel: true}
	if jb.executor == rn.life {
		rn.Handle(notice)
		return
	}
	if mb, ok := rn.view().Member(nodeOf(jb.executor)); ok {
		_, _ = rn.caller.Call(ctx, mb.PeerAddress, notice)
	}
}

// swap writes a changed job and returns it with its new revision.
func (rn *Runner) swap(ctx context.Context, jb *Job) (*Job, error) {
	jb.batch = rand.Text()
	value, err := jb.encode()
	if err != nil {
		return nil, err
	}
	mine := func(found []byte) bool {
		other, err := decode(found)
		return err == nil && other.batch == jb.batch
	}
	revision, err := storer.SwapSettled(ctx, rn.store, keyOf(place{shardOf(jb.id), jb.id}), value, jb.revision, mine)
	if err != nil {
		return nil, err
	}
	return jb.with(func(cp *Job) { cp.revision = revision }), nil
}
