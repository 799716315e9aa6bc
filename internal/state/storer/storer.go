// Package storer reads and writes the platform's key-value service, which
// stores all data that must outlive a VM.
//
// Client calls the service through the JSON gateway of the etcd v3 API and uses
// only single-key compare-and-swap. The kind of an error says whether a failed
// write can have taken effect: with Unavailable it cannot, with Uncertain it
// can, now or later. Callers resolve an Uncertain write by reading the key and
// looking for their own batch id in the value.
//
// # Usage
//
//	cl := storer.NewClient("http://127.0.0.1:2379")
//	en, err := cl.Get(ctx, "config/head")
//	rev, err := cl.Swap(ctx, "config/head", value, en.Revision)
//	if storer.Is(err, storer.Conflict) {
//		return errors.New("another writer changed the key")
//	}
package storer

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
)

// MaxValueBytes is the size of the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// Entry is one key of the service.
type Entry struct {
	// Key is the full key.
	Key string
	// Value is the stored value. The receiver must not modify it.
	Value []byte
	// Revision is the key's modification revision, which Swap compares.
	Revision int64
	// Lease is the lease that the key is attached to, or zero. Only a Keyspace
	// sets it.
	Lease Lease
}

// Store is the interface of the platform's key-value service.
type Store interface {
	// Get returns one entry, or an error of kind NotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries under a prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Swap writes the value if the key is at the given revision, and returns
	// the new revision. Revision zero means that the key must not exist. If the
	// key is at another revision, the error has kind Conflict.
	Swap(ctx context.Context, key string, value []byte, revision int64) (int64, error)
	// Delete removes the key if it is at the given revision. Otherwise the
	// error has kind Conflict.
	Delete(ctx context.Context, key string, revision int64) error
}

// Kind is the kind of an Error.
type Kind int

// The kinds of errors.
const (
	// NotFound means that the key does not exist.
	NotFound Kind = iota + 1
	// Conflict means that the key is at another revision.
	Conflict
	// Unavailable means that the service could not be read or was not reached.
	// Nothing changed.
	Unavailable
	// Uncertain means that the write may have taken effect or may do so later.
	Uncertain
	// Budget means that the node's own call budget is used up.
	Budget
	// Refused means that the service refused the call. Nothing changed.
	Refused
	// TooOld means that the service no longer has the history after a revision.
	TooOld
)

// String returns the kind in kebab case.
func (kd Kind) String() string {
	names := map[Kind]string{
		NotFound:    "not-found",
		Conflict:    "conflict",
		Unavailable: "unavailable",
		Uncertain:   "uncertain",
		Budget:      "budget",
		Refused:     "refused",
		TooOld:      "too-old",
	}
	return names[kd]
}

// Error is a failed call.
type Error struct {
	// Op is the operation in lower case, such as get or swap.
	Op string
	// Key is the key or prefix.
	Key string
	// Kind is the kind of failure.
	Kind Kind
	// Cause is the underlying error, or nil.
	Cause error
}

// Error implements error.
func (er *Error) Error() string {
	if er.Cause == nil {
		return fmt.Sprintf("store %s %s: %s", er.Op, er.Key, er.Kind)
	}
	return fmt.Sprintf("store %s %s: %s: %v", er.Op, er.Key, er.Kind, er.Cause)
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Cause }

// Is reports whether err is a store error of the kind.
func Is(err error, kd Kind) bool {
	var se *Error
	return errors.As(err, &se) && se.Kind == kd
}
