package storer

import (
	"context"

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

// Meter counts a node's calls of the store by purpose.
type Meter struct {
	store    Store
	registry *counter.Registry
}

// NewMeter returns a meter of the calls to st.
func NewMeter(st Store, rg *counter.Registry) *Meter {
	return &Meter{store: st, registry: rg}
}

// For returns the store for one purpose.
func (mt *Meter) For(pp Purpose) Store { return &metered{meter: mt, purpose: pp} }

// metered is a Store whose calls are counted under one purpose.
type metered struct {
	meter   *Meter
	purpose Purpose
}

// Get implements Store.
func (md *metered) Get(ctx context.Context, key string) (Entry, error) {
	md.meter.registry.Inc("store-read", string(md.purpose))
	return md.meter.store.Get(ctx, key)
}

// List implements Store.
func (md *metered) List(ctx context.Context, prefix string) ([]Entry, error) {
	md.meter.registry.Inc("store-read", string(md.purpose))
	return md.meter.store.List(ctx, prefix)
}

// Swap implements Store.
func (md *metered) Swap(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	md.meter.registry.Inc("store-write", string(md.purpose))
	return md.meter.store.Swap(ctx, key, value, revision)
}

// Delete implements Store.
func (md *metered) Delete(ctx context.Context, key string, revision int64) error {
	md.meter.registry.Inc("store-write", string(md.purpose))
	return md.meter.store.Delete(ctx, key, revision)
}
