package orderer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// The shared limits that orders take tokens of.
const (
	// LimitWeightStore limits the loads of models.
	LimitWeightStore = "weight-store"
	// LimitAdapters limits the loads of adapters.
	LimitAdapters = "adapters"
)

// tokenTimeout bounds the wait for a token, so that the keeper looks at its
// goal again.
const tokenTimeout = 5 * time.Second

// Tokens hands out tokens of limits that all nodes share.
type Tokens interface {
	// Take waits for a token of the limit; release gives it back.
	Take(ctx context.Context, limit string) (release func(), err error)
}

// tools is what tasks act on.
type tools struct {
	store    storer.Store
	engines  Engines
	tokens   Tokens
	now      func() time.Time
	counters *counter.Registry
}

// task is something slow that a keeper wants done outside the control
// goroutine.
type task interface {
	perform(ctx context.Context, tl *tools) result
}

// result is what became of a task.
type result struct {
	err      error
	entry    storer.Entry
	revision int64
	answer   Answer
	release  func()
	began    time.Time
}

// readTask reads a key; a missing one is an empty entry.
type readTask struct{ key string }

func (rt readTask) perform(ctx context.Context, tl *tools) result {
	en, err := tl.store.Get(ctx, rt.key)
	if storer.Is(err, storer.NotFound) {
		return result{}
	}
	return result{entry: en, err: err}
}

// writeTask writes a key by compare-and-swap and settles a lost answer.
type writeTask struct {
	key      string
	value    []byte
	revision int64
	mine     func([]byte) bool
}

func (wt writeTask) perform(ctx context.Context, tl *tools) result {
	began := tl.now()
	revision, err := storer.SwapSettled(ctx, tl.store, wt.key, wt.value, wt.revision, wt.mine)
	return result{revision: revision, err: err, began: began}
}

// tokenTask waits for a token of a shared limit.
type tokenTask struct{ limit string }

func (tt tokenTask) perform(ctx context.Context, tl *tools) result {
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	release, err := tl.tokens.Take(ctx, tt.limit)
	return result{release: release, err: err}
}

// orderTask sends an order. Against an engine that ignores fencing numbers it
// drops the order if more than half of the late-order bound has passed since
// before the order was recorded.
type orderTask struct {
	address  string
	order    Order
	recorded time.Time
	bound    time.Duration
	timeout  time.Duration
}

func (ot orderTask) perform(ctx context.Context, tl *tools) result {
	if ot.bound > 0 && tl.now().Sub(ot.recorded) > ot.bound/2 {
		tl.counters.Inc("order-drop", "late")
		return result{err: &OrderError{Outcome: NotSent, Cause: errors.New("the order is older than half of the late-order bound")}}
	}
	ctx, cancel := context.WithTimeout(ctx, ot.timeout)
	defer cancel()
	tl.counters.Inc("order-sent", ot.order.Action)
	answer, err := tl.engines.Send(ctx, ot.address, ot.order)
	return result{answer: answer, err: err}
}
