// Package storer reads and writes the platform's key-value service, which
// keeps everything that must outlive a VM.
//
// The service is met through the JSON gateway of the etcd v3 API, with
// single-key compare-and-swap only. A call that fails says whether its write
// can have taken effect: Unavailable means that it cannot, Uncertain that it
// can, now or later. Callers settle an Uncertain write by reading the key and
// recognising their own batch id in the value.
//
// # Usage
//
//	cl := storer.NewClient("http://127.0.0.1:2379")
//	en, err := cl.Get(ctx, "config/head")
//	rev, err := cl.Swap(ctx, "config/head", value, en.Revision)
//	if storer.Is(err, storer.Conflict) { ... }
package storer

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
)

// MaxValueBytes is the largest value that the service takes.
const MaxValueBytes = 1 << 20

// Entry is one key of the service.
type Entry struct {
	// Key is the full key.
	Key string
	// Value is the stored value; its owner may not change it.
	Value []byte
	// Revision is the modification revision that Swap compares with.
	Revision int64
	// Lease is the lease with which the key ends, or zero. Only a Keyspace
	// fills it in.
	Lease Lease
}

// Store is the part of the platform's service that the system uses.
type Store interface {
	// Get returns one entry, or an error of kind NotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries under a prefix, in the order of their keys.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Swap writes the value if the key is at the given revision, zero
	// meaning that the key must not exist, and returns the new revision.
	Swap(ctx context.Context, key string, value []byte, revision int64) (int64, error)
	// Delete removes the key if it is at the given revision.
	Delete(ctx context.Context, key string, revision int64) error
}

// Kind tells errors of this layer apart.
type Kind int

// The kinds of errors.
const (
	// NotFound means that the key does not exist.
	NotFound Kind = iota + 1
	// Conflict means that the key is at another revision.
	Conflict
	// Unavailable means that the service was not reached: nothing changed.
	Unavailable
	// Uncertain means that the write may have taken effect or still may.
	Uncertain
	// Budget means that the caller's own call budget was used up.
	Budget
	// Refused means that the service answered that it did nothing.
	Refused
	// TooOld means that the history after a revision is no longer kept.
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
	// Op is the operation: get, list, swap or delete.
	Op string
	// Key is the key or prefix.
	Key string
	// Kind is the failure.
	Kind Kind
	// Cause is the error from below, or nil.
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
