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
	cut  atomic.Bool
	eras storer.Eras
	// withoutEras makes answers name no era, as those of an older service.
	withoutEras atomic.Bool
}

// NewLink returns a working link to the keyspace.
func NewLink(ks *Keyspace) *Link { return &Link{Keyspace: ks} }

// SetCut interrupts the link if cut is set and restores it otherwise.
func (ln *Link) SetCut(cut bool) { ln.cut.Store(cut) }

// HideEras makes the answers name no era.
func (ln *Link) HideEras() { ln.withoutEras.Store(true) }

// Era implements storer.Keyspace with the eras of the node's own answers.
func (ln *Link) Era() int64 { return ln.eras.Era() }

// NoteEra implements storer.Keyspace.
func (ln *Link) NoteEra(era int64) { ln.eras.NoteEra(era) }

// judge returns the error of a call with regard to the era of its answer.
func (ln *Link) judge(op string, class storer.CallClass, begun int64, err error) error {
	if storer.Is(err, storer.Unavailable) || ln.withoutEras.Load() {
		return err
	}
	return ln.eras.Judge(op, "", class, begun, ln.Keyspace.Era(), err)
}

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
	begun := ln.Era()
	en, err := ln.Keyspace.Get(ctx, key)
	return en, ln.judge("get", storer.Lookup, begun, err)
}

// Snapshot implements storer.Keyspace.
func (ln *Link) Snapshot(ctx context.Context, prefix string) ([]storer.Entry, int64, error) {
	begun := ln.Era()
	entries, revision, err := ln.Keyspace.Snapshot(ctx, prefix)
	return entries, revision, ln.judge("list", storer.Lookup, begun, err)
}

// Renew implements storer.Keyspace.
func (ln *Link) Renew(ctx context.Context, ls storer.Lease) (time.Duration, error) {
	if err := ln.check("renew"); err != nil {
		return 0, err
	}
	begun := ln.Era()
	ttl, err := ln.Keyspace.Renew(ctx, ls)
	return ttl, ln.judge("renew", storer.LeaseRenewal, begun, err)
}

// Grant implements storer.Keyspace.
func (ln *Link) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, time.Duration, error) {
	if err := ln.check("grant"); err != nil {
		return 0, 0, err
	}
	begun := ln.Era()
	ls, ttl, err := ln.Keyspace.Grant(ctx, ttl)
	return ls, ttl, ln.judge("grant", storer.Lookup, begun, err)
}

// Commit implements storer.Keyspace.
func (ln *Link) Commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	if err := ln.check("commit"); err != nil {
		return 0, err
	}
	if err := ln.eras.Admit(tx); err != nil {
		return 0, err
	}
	begun := ln.Era()
	revision, err := ln.Keyspace.Commit(ctx, tx)
	return revision, ln.judge("commit", storer.ConditionalWrite, begun, err)
}

// Watch implements storer.Keyspace.
func (ln *Link) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]storer.Change, int64, error) {
	if err := ln.check("watch"); err != nil {
		time.Sleep(cutWatchDelay)
		return nil, 0, err
	}
	begun := ln.Era()
	changes, revision, err := ln.Keyspace.Watch(ctx, prefix, after, wait)
	return changes, revision, ln.judge("watch", storer.Continuation, begun, err)
}
