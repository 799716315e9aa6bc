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

// headAttempts is how often the head is written until its fate is known.
const headAttempts = 4

// InvalidError carries the faults of settings that were refused. It is an
// ErrInvalid.
type InvalidError struct {
	// Faults are all faults.
	Faults []configurer.Fault
}

// Error implements error.
func (er *InvalidError) Error() string {
	return fmt.Sprintf("settings hold %d faults, first %v", len(er.Faults), er.Faults[0])
}

// Unwrap returns ErrInvalid.
func (*InvalidError) Unwrap() error { return ErrInvalid }

// RacedError says what changed under an operator. It is an ErrRaced.
type RacedError struct {
	// Base is the revision that the change was made from.
	Base int64
	// Number is the revision that came first.
	Number int64
	// Author is who applied that.
	Author string
	// Changes are what differs between the two, unless the base is not kept
	// any more.
	Changes []Change
}

// Error implements error.
func (er *RacedError) Error() string {
	return fmt.Sprintf("revision %d by %s came before the change to revision %d; %d keys differ",
		er.Number, er.Author, er.Base, len(er.Changes))
}

// Unwrap returns ErrRaced.
func (*RacedError) Unwrap() error { return ErrRaced }

// Apply checks files and writes them as the next revision. It fails with a
// *RacedError if the latest revision is not base, and with an *InvalidError if
// the settings hold faults or some model cannot have its replicas.
func Apply(ctx context.Context, st storer.Store, files []configurer.File, author string, base int64) (*Revision, error) {
	settings, faults := configurer.Parse(files)
	if len(faults) > 0 {
		return nil, &InvalidError{Faults: faults}
	}
	if faults = planner.Verify(settings); len(faults) > 0 {
		return nil, &InvalidError{Faults: faults}
	}
	old, storeRevision, err := readHead(ctx, st)
	if err != nil && !errors.Is(err, ErrNone) {
		return nil, err
	}
	if old.number != base {
		return nil, raced(ctx, st, base, old)
	}
	parts, err := packFiles(files)
	if err != nil {
		return nil, err
	}
	next := head{number: base + 1, batch: rand.Text(), author: author, previous: old.batch}
	for _, part := range parts {
		next.parts = append(next.parts, hashOf(part))
	}
	if err := write(ctx, st, next, parts, old, storeRevision); err != nil {
		return nil, err
	}
	collect(ctx, st, next)
	return &Revision{head: next, packed: parts, files: files, settings: settings}, nil
}

// write writes the record first, so that the parts are always named by one,
// and the head last. Parts of the old head are there: a collection leaves them
// alone for as long as the head can still be replaced.
func write(ctx context.Context, st storer.Store, next head, parts [][]byte, old head, storeRevision int64) error {
	value, err := next.encode()
	if err != nil {
		return err
	}
	if err := writeOnce(ctx, st, next.recordKey(), value); err != nil {
		return errors.Wrap(err, "write configuration record")
	}
	for ix, part := range parts {
		if slices.Contains(old.parts, next.parts[ix]) {
			continue
		}
		if err := writeOnce(ctx, st, partPrefix+next.parts[ix], part); err != nil {
			return errors.Wrap(err, "write configuration part")
		}
	}
	return writeHead(ctx, st, next, value, storeRevision)
}

// recordKey names the record of a revision. Two operators may write records of
// the same number; the head says which counts.
func (hd *head) recordKey() string {
	return fmt.Sprintf("%s%012d/%s", recordPrefix, hd.number, hd.batch)
}

// writeOnce writes an immutable value. A value that is there already is
// written again, so that a collection that was about to delete it fails.
func writeOnce(ctx context.Context, st storer.Store, key string, value []byte) error {
	revision := int64(0)
	var err error
	for range headAttempts {
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

// writeHead writes the head and settles a lost answer by reading it again: a
// head that did not change may still be changed by the write whose answer was
// lost, so that the same write is sent again until one of them counts.
func writeHead(ctx context.Context, st storer.Store, next head, value []byte, storeRevision int64) error {
	var err error
	for range headAttempts {
		if _, err = st.Swap(ctx, headKey, value, storeRevision); err == nil {
			return nil
		}
		if !storer.Is(err, storer.Conflict) && !storer.Is(err, storer.Uncertain) {
			return errors.Wrap(err, "write configuration head")
		}
		found, revision, readErr := readHead(ctx, st)
		switch {
		case readErr != nil && !errors.Is(readErr, ErrNone):
			return errors.Wrapf(ErrUnsettled, "%v", readErr)
		case revision == storeRevision:
			continue
		}
		return settle(ctx, st, next, found)
	}
	return errors.Wrapf(ErrUnsettled, "%v", err)
}

// settle finds out whether a revision was applied before a later head.
func settle(ctx context.Context, st storer.Store, next, found head) error {
	if found.batch == next.batch {
		return nil
	}
	if found.number > next.number {
		chain, err := readChain(ctx, st, found)
		if err != nil {
			return errors.Wrapf(ErrUnsettled, "%v", err)
		}
		for _, hd := range chain {
			if hd.batch == next.batch {
				return nil
			}
		}
	}
	return raced(ctx, st, next.number-1, found)
}

// raced tells an operator what the other changed.
func raced(ctx context.Context, st storer.Store, base int64, found head) error {
	er := &RacedError{Base: base, Number: found.number, Author: found.author}
	theirs, err := loadHead(ctx, st, found, nil)
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
	er.Changes = Difference(before, theirs.Files())
	return er
}

func readHead(ctx context.Context, st storer.Store) (head, int64, error) {
	en, err := st.Get(ctx, headKey)
	if storer.Is(err, storer.NotFound) {
		return head{}, 0, ErrNone
	}
	if err != nil {
		return head{}, 0, errors.Wrap(err, "read configuration head")
	}
	hd, err := decodeHead(en.Value)
	return hd, en.Revision, err
}
