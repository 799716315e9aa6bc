package storer

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/counter"
)

// Purpose is the purpose of a store call, in kebab case.
type Purpose string

// The purposes.
const (
	PurposeConfiguration Purpose = "configuration"
	PurposeMembership    Purpose = "membership"
	PurposeOwnership     Purpose = "ownership"
	PurposeRecord        Purpose = "record"
	PurposeJob           Purpose = "job"
	PurposeOrder         Purpose = "order"
	PurposePlan          Purpose = "plan"
	PurposeLimit         Purpose = "limit"
)

// Meter counts a node's store calls by purpose, limits their rate to a budget,
// and rejects most of them while the store does not answer.
type Meter struct {
	store    Store
	registry *counter.Registry
	budget   *CallBudget // nil means no limit
	breaker  breaker
}

// MeterOption configures a new Meter.
type MeterOption func(*Meter)

// WithCallBudget makes calls beyond the budget fail with kind Budget.
func WithCallBudget(cb *CallBudget) MeterOption { return func(mt *Meter) { mt.budget = cb } }

// WithCircuitBreaker rejects calls with kind Unavailable after several failures
// in a row, except for probes with exponential backoff. draw returns random
// numbers in [0, 1) for the jitter.
func WithCircuitBreaker(draw func() float64) MeterOption {
	return func(mt *Meter) { mt.breaker.draw = draw }
}

// NewMeter returns a meter of the calls to st. Without options it only counts.
func NewMeter(st Store, rg *counter.Registry, opts ...MeterOption) *Meter {
	mt := &Meter{store: st, registry: rg}
	for _, opt := range opts {
		opt(mt)
	}
	return mt
}

// admit counts a call. It returns an error if the call may not be made now.
func (mt *Meter) admit(op, key string, pp Purpose, write bool) error {
	now := time.Now()
	if !mt.breaker.admit(now) {
		mt.registry.Inc("store-held-back", string(pp))
		return &Error{Op: op, Key: key, Kind: Unavailable, Cause: errNoProbeDue}
	}
	if !mt.budget.allow(pp, write, now) {
		mt.registry.Inc("store-budget", string(pp))
		return &Error{Op: op, Key: key, Kind: Budget}
	}
	name := "store-read"
	if write {
		name = "store-write"
	}
	mt.registry.Inc(name, string(pp))
	return nil
}

// recordResult records the result of a call.
func (mt *Meter) recordResult(pp Purpose, err error) {
	failed := Is(err, Unavailable) || Is(err, Uncertain)
	if failed {
		mt.registry.Inc("store-failed", string(pp))
	}
	mt.breaker.recordResult(failed, time.Now())
}

// For returns the store for calls with one purpose.
func (mt *Meter) For(pp Purpose) Store { return &meteredStore{meter: mt, purpose: pp} }

// meteredStore is a Store whose calls are counted under one purpose.
type meteredStore struct {
	meter   *Meter
	purpose Purpose
}

// Get implements Store.
func (ms *meteredStore) Get(ctx context.Context, key string) (en Entry, err error) {
	if err := ms.meter.admit("get", key, ms.purpose, false); err != nil {
		return Entry{}, err
	}
	defer func() { ms.meter.recordResult(ms.purpose, err) }()
	return ms.meter.store.Get(ctx, key)
}

// List implements Store.
func (ms *meteredStore) List(ctx context.Context, prefix string) (found []Entry, err error) {
	if err := ms.meter.admit("list", prefix, ms.purpose, false); err != nil {
		return nil, err
	}
	defer func() { ms.meter.recordResult(ms.purpose, err) }()
	return ms.meter.store.List(ctx, prefix)
}

// Swap implements Store.
func (ms *meteredStore) Swap(ctx context.Context, key string, value []byte, revision int64) (written int64, err error) {
	if err := ms.meter.admit("swap", key, ms.purpose, true); err != nil {
		return 0, err
	}
	defer func() { ms.meter.recordResult(ms.purpose, err) }()
	return ms.meter.store.Swap(ctx, key, value, revision)
}

// Delete implements Store.
func (ms *meteredStore) Delete(ctx context.Context, key string, revision int64) (err error) {
	if err := ms.meter.admit("delete", key, ms.purpose, true); err != nil {
		return err
	}
	defer func() { ms.meter.recordResult(ms.purpose, err) }()
	return ms.meter.store.Delete(ctx, key, revision)
}
