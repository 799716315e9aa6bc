package storer

import (
	"context"
	"time"
)

// Lease is the id of a lease; zero means no lease.
type Lease int64

// Write is one key of a transaction.
type Write struct {
	// Key is the full key.
	Key string
	// Value is the value to store.
	Value []byte
	// Lease is the lease that the key is attached to, or zero.
	Lease Lease
}

// Transaction changes several keys atomically.
type Transaction struct {
	// Era is the era of the store in which the premises, that is the expected
	// revisions and the leases, were read, or 0 if the answers named none. A
	// transaction of another era than the present one is refused as a Conflict
	// before it is sent.
	Era int64
	// Expected maps keys to their expected revisions; zero means that the key
	// must not exist.
	Expected map[string]int64
	// Writes are the keys to write.
	Writes []Write
	// Deletes are the keys to remove.
	Deletes []string
}

// Change is a key that was written or removed.
type Change struct {
	Entry
	// Deleted is set if the key was removed at the entry's revision.
	Deleted bool
}

// Keyspace is a Store with leases, transactions and watches.
type Keyspace interface {
	Store
	// Snapshot returns the entries under a prefix and a revision from which a
	// watch misses no change to them.
	Snapshot(ctx context.Context, prefix string) ([]Entry, int64, error)
	// Watch returns the changes under a prefix after a revision, and the
	// revision for the next call. It waits for a change for at most the time
	// wait. An error of kind TooOld means that changes were missed.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Change, int64, error)
	// Commit executes a transaction and returns its revision. An error of kind
	// Conflict means that a key was at another revision, and one of kind
	// NotFound that a lease has expired.
	Commit(ctx context.Context, tx Transaction) (int64, error)
	// Grant creates a lease for the time ttl. It returns the lease and the
	// lifetime that the service granted.
	Grant(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// Renew restarts the lifetime of the lease and returns it. An error of kind
	// NotFound means that the lease has expired.
	Renew(ctx context.Context, ls Lease) (time.Duration, error)
	// Revoke ends the lease and removes the keys attached to it.
	Revoke(ctx context.Context, ls Lease) error
	// Era returns the highest era of the store's answers so far, or 0 if the
	// store has no eras. It rises when the store returned from an older copy:
	// revisions are given out again, and leases are gone. Calls that were
	// answered in another era than the one in which they began fail, as Eras
	// says.
	Era() int64
	// NoteEra records an era that another node saw.
	NoteEra(era int64)
}
