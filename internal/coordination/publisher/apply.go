package publisher

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// maxWrites bounds the writes of one value, which is written again after a
// conflict or an unknown outcome.
const maxWrites = 4

// InvalidError reports refused settings. It wraps ErrInvalid.
type InvalidError struct {
	// Faults are all faults found; there is at least one.
	Faults []configurer.Fault
}

// Error implements error.
func (er *InvalidError) Error() string {
	return fmt.Sprintf("settings hold %d faults, first %v", len(er.Faults), er.Faults[0])
}

// Unwrap returns ErrInvalid.
func (*InvalidError) Unwrap() error { return ErrInvalid }

// ConflictError reports that a newer revision than the base was applied. It
// wraps ErrConflict.
type ConflictError struct {
	// Base is the number of the revision that the change was made from.
	Base int64
	// Number is the number of the latest revision.
	Number int64
	// Author is the operator who applied the latest revision.
	Author string
	// Changes are the differences from the base to the latest revision. They are
	// nil if one of the two could not be read.
	Changes []Change
}

// Error implements error.
func (er *ConflictError) Error() string {
	return fmt.Sprintf("revision %d by %s came before the change to revision %d; %d keys differ",
		er.Number, er.Author, er.Base, len(er.Changes))
}

// Unwrap returns ErrConflict.
func (*ConflictError) Unwrap() error { return ErrConflict }

// Apply checks files and writes them as revision base+1; base is 0 for the
// first one. It fails with a *ConflictError if base is not the latest revision,
// with an *InvalidError if the settings have faults or leave no room for the
// replicas of a model, and with ErrUncertain if the outcome is unknown.
func Apply(ctx context.Context, st storer.Store, files []configurer.File, author string, base int64) (*Revision, error) {
	settings, faults := configurer.Parse(files)
	if len(faults) > 0 {
		return nil, &InvalidError{Faults: faults}
	}
	if faults = planner.Verify(settings); len(faults) > 0 {
		return nil, &InvalidError{Faults: faults}
	}
	old, storeRevision, err := readHead(ctx, st)
	if err != nil && !errors.Is(err, ErrNoRevision) {
		return nil, err
	}
	if old.number != base {
		return nil, describeConflict(ctx, st, base, old)
	}
	parts, err := packFiles(files)
	if err != nil {
		return nil, err
	}
	next := head{number: base + 1, writeID: rand.Text(), author: author, previous: old.writeID}
	for _, part := range parts {
		next.parts = append(next.parts, hashOf(part))
	}
	if err := writeRevision(ctx, st, next, parts, old, storeRevision); err != nil {
		return nil, err
	}
	collectGarbage(ctx, st, next)
	return &Revision{head: next, packed: parts, files: files, settings: settings}, nil
}

// writeRevision writes the record, the parts and the head, in this order: every
// stored part is listed by a record. It skips the parts of the old head. They
// still exist: collectGarbage keeps them as long as next can replace the head.
func writeRevision(ctx context.Context, st storer.Store, next head, parts [][]byte, old head, storeRevision int64) error {
	value, err := next.encode()
	if err != nil {
		return err
	}
	if err := writeImmutable(ctx, st, next.recordKey(), value); err != nil {
		return errors.Wrap(err, "write configuration record")
	}
	for ix, part := range parts {
		if slices.Contains(old.parts, next.parts[ix]) {
			continue
		}
		if err := writeImmutable(ctx, st, partPrefix+next.parts[ix], part); err != nil {
			return errors.Wrap(err, "write configuration part")
		}
	}
	return writeHead(ctx, st, next, value, storeRevision)
}

// recordKey returns the store key of the revision's record. Two operators may
// write records of the same number; the one that the head names is valid.
func (hd *head) recordKey() string {
	return fmt.Sprintf("%s%012d/%s", recordPrefix, hd.number, hd.writeID)
}

// writeImmutable writes a value that never changes. It writes an existing value
// again: the new store revision makes a pending deletion by collectGarbage
// fail.
func writeImmutable(ctx context.Context, st storer.Store, key string, value []byte) error {
	revision := int64(0)
	var err error
	for range maxWrites {
		if _, err = st.Swap(ctx, key, value, revision); err == nil {
			return nil
		}
		if !storer.Is(err, storer.Conflict) && !storer.Is(err, storer.Uncertain) {
			return err
		}
		en, readErr := st.Get(ctx, key)
		switch {
		case storer.Is(readErr, storer.NotFound):
			revision = 0
		case readErr != nil:
			return readErr
		default:
			revision = en.Revision
		}
	}
	return err
}

// writeHead writes the head. After a lost answer it reads the head again. An
// unchanged head proves nothing, because the lost write may still take effect;
// writeHead then repeats the same compare-and-swap, of which only one succeeds.
func writeHead(ctx context.Context, st storer.Store, next head, value []byte, storeRevision int64) error {
	var err error
	for range maxWrites {
		if _, err = st.Swap(ctx, headKey, value, storeRevision); err == nil {
			return nil
		}
		if !storer.Is(err, storer.Conflict) && !storer.Is(err, storer.Uncertain) {
			return errors.Wrap(err, "write configuration head")
		}
		found, revision, readErr := readHead(ctx, st)
		switch {
		case readErr != nil && !errors.Is(readErr, ErrNoRevision):
			return errors.Wrapf(ErrUncertain, "%v", readErr)
		case revision == storeRevision:
			continue
		}
		return resolveWrite(ctx, st, next, found)
	}
	return errors.Wrapf(ErrUncertain, "%v", err)
}

// resolveWrite returns nil if next is the found head or a predecessor of it.
func resolveWrite(ctx context.Context, st storer.Store, next, found head) error {
	if found.writeID == next.writeID {
		return nil
	}
	if found.number > next.number {
		chain, err := readChain(ctx, st, found)
		if err != nil {
			return errors.Wrapf(ErrUncertain, "%v", err)
		}
		for _, hd := range chain {
			if hd.writeID == next.writeID {
				return nil
			}
		}
	}
	return describeConflict(ctx, st, next.number-1, found)
}

// describeConflict returns a ConflictError with the changes between base and
// the found head.
func describeConflict(ctx context.Context, st storer.Store, base int64, found head) error {
	er := &ConflictError{Base: base, Number: found.number, Author: found.author}
	latest, err := loadHead(ctx, st, found, nil)
	if err != nil {
		return er
	}
	var before []configurer.File
	if base > 0 {
		rv, err := LoadRevision(ctx, st, base)
		if err != nil {
			return er
		}
		before = rv.Files()
	}
	er.Changes = Difference(before, latest.Files())
	return er
}

// readHead returns the head and its store revision, or ErrNoRevision.
func readHead(ctx context.Context, st storer.Store) (head, int64, error) {
	en, err := st.Get(ctx, headKey)
	if storer.Is(err, storer.NotFound) {
		return head{}, 0, ErrNoRevision
	}
	if err != nil {
		return head{}, 0, errors.Wrap(err, "read configuration head")
	}
	hd, err := decodeHead(en.Value)
	return hd, en.Revision, err
}
