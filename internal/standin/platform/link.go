package platform

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// cutWatchDelay is how long a watch over a cut link takes to fail.
const cutWatchDelay = 10 * time.Millisecond

// Link is one node's connection to a keyspace, which can be cut. While it is
// cut, Get, Renew, Grant, Commit and Watch fail as Unavailable, without effect;
// the other methods still work.
type Link struct {
	*Keyspace
	cut atomic.Bool
}

// NewLink returns a working link to the keyspace.
func NewLink(ks *Keyspace) *Link { return &Link{Keyspace: ks} }

// SetCut interrupts the link if cut is set and restores it otherwise.
func (ln *Link) SetCut(cut bool) { ln.cut.Store(cut) }

func (ln *Link) check(op string) error {
	if ln.cut.Load() {
		return &storer.Error{Op: op, Kind: storer.Unavailable}
	}
	return nil
}

// Get implements storer.Store.
func (ln *Link) Get(ctx context.Context, key string) (storer.Entry, error) {
	if err := ln.check("get"); err != nil {
		return storer.Entry{}, err
	}
	return ln.Keyspace.Get(ctx, key)
}

// Renew implements storer.Keyspace.
func (ln *Link) Renew(ctx context.Context, ls storer.Lease) (time.Duration, error) {
	if err := ln.check("renew"); err != nil {
		return 0, err
	}
	return ln.Keyspace.Renew(ctx, ls)
}

// Grant implements storer.Keyspace.
func (ln *Link) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, time.Duration, error) {
	if err := ln.check("grant"); err != nil {
		return 0, 0, err
	}
	return ln.Keyspace.Grant(ctx, ttl)
}

// Commit implements storer.Keyspace.
func (ln *Link) Commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	if err := ln.check("commit"); err != nil {
		return 0, err
	}
	return ln.Keyspace.Commit(ctx, tx)
}

// Watch implements storer.Keyspace.
func (ln *Link) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]storer.Change, int64, error) {
	if err := ln.check("watch"); err != nil {
		time.Sleep(cutWatchDelay)
		return nil, 0, err
	}
	return ln.Keyspace.Watch(ctx, prefix, after, wait)
}
