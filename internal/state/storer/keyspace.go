package storer

import (
	"context"
	"time"
)

// Lease names a lease; zero names none.
type Lease int64

// Write is one key of a transaction.
type Write struct {
	// Key is the full key.
	Key string
	// Value is the value to store.
	Value []byte
	// Lease is the lease with which the key ends, or zero.
	Lease Lease
}

// Transaction changes several keys at once, or none.
type Transaction struct {
	// Expected maps keys to the revisions at which they have to be; zero means
	// that the key must not exist.
	Expected map[string]int64
	// Writes are the keys to write.
	Writes []Write
	// Deletes are the keys to remove.
	Deletes []string
}

// Change is a key that was written or removed.
type Change struct {
	Entry
	// Deleted says that the key was removed at the entry's revision.
	Deleted bool
}

// Keyspace is a store that has leases, transactions and watches besides.
type Keyspace interface {
	Store
	// Snapshot returns the entries under a prefix and a revision from which a
	// watch misses no change to them.
	Snapshot(ctx context.Context, prefix string) ([]Entry, int64, error)
	// Watch returns the changes under a prefix after a revision, and the
	// revision to go on from. It waits until there is one or the time is over.
	// An error of kind TooOld means that changes were missed.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Change, int64, error)
	// Commit makes a transaction and returns its revision. An error of kind
	// Conflict means that a key was at another revision, one of kind NotFound
	// that a lease has ended.
	Commit(ctx context.Context, tx Transaction) (int64, error)
	// Grant returns a new lease and its lifetime.
	Grant(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// Renew makes the lease last for its lifetime again, which it returns. An
	// error of kind NotFound means that it has ended.
	Renew(ctx context.Context, ls Lease) (time.Duration, error)
	// Revoke ends the lease and removes its keys.
	Revoke(ctx context.Context, ls Lease) error
}
