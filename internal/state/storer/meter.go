package storer

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/counter"
)

// Purpose names what a store call is for, in kebab case.
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

// Meter counts a node's calls of the store by purpose, keeps them within an
// allowance, and holds them back while the store does not answer.
type Meter struct {
	store     Store
	registry  *counter.Registry
	allowance *Allowance
	outage    outage
}

// MeterOption changes a Meter that is being made.
type MeterOption func(*Meter)

// WithAllowance makes calls beyond the allowance fail with kind Budget.
func WithAllowance(al *Allowance) MeterOption { return func(mt *Meter) { mt.allowance = al } }

// WithBackoff holds calls back after several failures in a row, for delays
// drawn with draw, which returns a number in [0, 1).
func WithBackoff(draw func() float64) MeterOption {
	return func(mt *Meter) { mt.outage.draw = draw }
}

// NewMeter returns a meter of the calls to st.
func NewMeter(st Store, rg *counter.Registry, opts ...MeterOption) *Meter {
	mt := &Meter{store: st, registry: rg}
	for _, opt := range opts {
		opt(mt)
	}
	return mt
}

// admit counts a call and reports why it may not be made, if so.
func (mt *Meter) admit(op, key string, pp Purpose, write bool) error {
	now := time.Now()
	if !mt.outage.admit(now) {
		mt.registry.Inc("store-held-back", string(pp))
		return &Error{Op: op, Key: key, Kind: Unavailable, Cause: errHeldBack}
	}
	if !mt.allowance.allow(pp, write, now) {
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

// settle notes how a call went.
func (mt *Meter) settle(pp Purpose, err error) {
	failed := Is(err, Unavailable) || Is(err, Uncertain)
	if failed {
		mt.registry.Inc("store-failed", string(pp))
	}
	mt.outage.settle(failed, time.Now())
}

// For returns the store for one purpose.
func (mt *Meter) For(pp Purpose) Store { return &metered{meter: mt, purpose: pp} }

// metered is a Store whose calls are counted under one purpose.
type metered struct {
	meter   *Meter
	purpose Purpose
}

// Get implements Store.
func (md *metered) Get(ctx context.Context, key string) (en Entry, err error) {
	if err := md.meter.admit("get", key, md.purpose, false); err != nil {
		return Entry{}, err
	}
	defer func() { md.meter.settle(md.purpose, err) }()
	return md.meter.store.Get(ctx, key)
}

// List implements Store.
func (md *metered) List(ctx context.Context, prefix string) (found []Entry, err error) {
	if err := md.meter.admit("list", prefix, md.purpose, false); err != nil {
		return nil, err
	}
	defer func() { md.meter.settle(md.purpose, err) }()
	return md.meter.store.List(ctx, prefix)
}

// Swap implements Store.
func (md *metered) Swap(ctx context.Context, key string, value []byte, revision int64) (written int64, err error) {
	if err := md.meter.admit("swap", key, md.purpose, true); err != nil {
		return 0, err
	}
	defer func() { md.meter.settle(md.purpose, err) }()
	return md.meter.store.Swap(ctx, key, value, revision)
}

// Delete implements Store.
func (md *metered) Delete(ctx context.Context, key string, revision int64) (err error) {
	if err := md.meter.admit("delete", key, md.purpose, true); err != nil {
		return err
	}
	defer func() { md.meter.settle(md.purpose, err) }()
	return md.meter.store.Delete(ctx, key, revision)
}
