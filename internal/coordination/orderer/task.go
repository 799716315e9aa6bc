package orderer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// Names of the limits that all nodes share.
const (
	// LimitWeightStore limits the loads of models.
	LimitWeightStore = "weight-store"
	// LimitNone limits nothing: the load needs nothing that others share.
	LimitNone = "none"
	// LimitAdapters limits the loads of adapters.
	LimitAdapters = "adapters"
)

// tokenTimeout bounds the wait for a token, so that the reconciler checks its
// goal again.
const tokenTimeout = 5 * time.Second

// Tokens provides tokens of the limits that all nodes share.
type Tokens interface {
	// Take waits for a token of the limit, such as LimitAdapters. The caller must
	// call release after use. The error is that of ctx if it ends first.
	Take(ctx context.Context, limit string) (release func(), err error)
}

// deps holds the dependencies of tasks.
type deps struct {
	store    storer.Store
	engines  Engines
	tokens   Tokens
	now      func() time.Time
	counters *counter.Registry
}

// task is a slow operation that runs outside the control goroutine.
type task interface {
	perform(ctx context.Context, dp *deps) result
}

// result is the result of a task. Each kind of task sets err and its own
// fields.
type result struct {
	err      error
	entry    storer.Entry // readTask: empty if the key does not exist
	revision int64        // writeTask: the new revision
	answer   Answer       // orderTask
	release  func()       // tokenTask: releases the token
	began    time.Time    // writeTask: time before the write
}

// readTask reads a key. A missing key yields an empty entry.
type readTask struct{ key string }

func (rt readTask) perform(ctx context.Context, dp *deps) result {
	en, err := dp.store.Get(ctx, rt.key)
	if storer.Is(err, storer.NotFound) {
		return result{}
	}
	return result{entry: en, err: err}
}

// writeTask writes a key by compare-and-swap. If the answer is lost, it reads
// the key and finds out with isOwnWrite whether the write took effect.
type writeTask struct {
	key        string
	value      []byte
	revision   int64
	isOwnWrite func([]byte) bool
}

func (wt writeTask) perform(ctx context.Context, dp *deps) result {
	began := dp.now()
	revision, err := storer.SwapSettled(ctx, dp.store, wt.key, wt.value, wt.revision, wt.isOwnWrite)
	return result{revision: revision, err: err, began: began}
}

// tokenTask waits for a token of a shared limit.
type tokenTask struct{ limit string }

func (tt tokenTask) perform(ctx context.Context, dp *deps) result {
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	release, err := dp.tokens.Take(ctx, tt.limit)
	return result{release: release, err: err}
}

// orderTask sends an order. For an engine that ignores fencing numbers, it
// drops the order if it was recorded more than half of the late-order bound
// ago.
type orderTask struct {
	address  string
	order    Order
	recorded time.Time     // time just before the order was recorded
	bound    time.Duration // late-order bound; 0 if the order is never too late
	timeout  time.Duration
}

func (ot orderTask) perform(ctx context.Context, dp *deps) result {
	if ot.bound > 0 && dp.now().Sub(ot.recorded) > ot.bound/2 {
		dp.counters.Inc("order-drop", "late")
		return result{err: &OrderError{Outcome: NotSent, Cause: errors.New("order not sent: older than half of the late-order bound")}}
	}
	ctx, cancel := context.WithTimeout(ctx, ot.timeout)
	defer cancel()
	dp.counters.Inc("order-sent", ot.order.Action)
	answer, err := dp.engines.Send(ctx, ot.address, ot.order)
	return result{answer: answer, err: err}
}
