// Package publisher writes configuration revisions to the platform's store and
// keeps the one in force on a node.
//
// A revision consists of an immutable part, stored under the hash of its
// content, and of the head, which names the part. The head is written last, by
// compare-and-swap, so that a half-written revision is never seen.
//
// # Usage
//
//	rv, err := publisher.Apply(ctx, store, files, "operator", base)
//
//	hd := publisher.NewHolder()
//	rv, err := publisher.Load(ctx, store)
//	if hd.Adopt(rv) { ... }
//	st := hd.Current().Settings()
package publisher

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// Keys in the platform's store.
const (
	headKey    = "config/head"
	partPrefix = "config/part/"
)

// Errors of this layer.
var (
	// ErrRaced means that another operator's revision came first.
	ErrRaced = errors.New("another revision was applied meanwhile")
	// ErrNone means that no configuration was ever applied.
	ErrNone = errors.New("no configuration has been applied")
	// ErrCorrupt means that a stored value cannot be read.
	ErrCorrupt = errors.New("stored configuration is corrupt")
	// ErrInvalid means that the settings hold faults.
	ErrInvalid = errors.New("settings hold faults")
)

// Revision is one accepted configuration.
type Revision struct {
	head     head
	files    []configurer.File
	settings *configurer.Settings
}

// Number returns the revision number, counted from one.
func (rv *Revision) Number() int64 { return rv.head.number }

// Author returns who applied the revision.
func (rv *Revision) Author() string { return rv.head.author }

// Hash returns the hash of the content.
func (rv *Revision) Hash() string { return rv.head.part }

// Files returns the settings files.
func (rv *Revision) Files() []configurer.File { return rv.files }

// Settings returns the checked settings.
func (rv *Revision) Settings() *configurer.Settings { return rv.settings }

// Holder keeps the revision in force on one node. Its zero value holds none.
type Holder struct {
	current atomic.Pointer[Revision]
}

// Current returns the revision in force, or nil.
func (hd *Holder) Current() *Revision { return hd.current.Load() }

// Number returns the number of the revision in force, or zero.
func (hd *Holder) Number() int64 {
	if rv := hd.Current(); rv != nil {
		return rv.Number()
	}
	return 0
}

// Adopt puts a revision in force if it is newer, and reports whether it did.
func (hd *Holder) Adopt(rv *Revision) bool {
	for {
		old := hd.current.Load()
		if old != nil && old.Number() >= rv.Number() {
			return false
		}
		if hd.current.CompareAndSwap(old, rv) {
			return true
		}
	}
}

// Load reads the latest revision from the store.
func Load(ctx context.Context, st storer.Store) (*Revision, error) {
	hd, _, err := readHead(ctx, st)
	if err != nil {
		return nil, err
	}
	en, err := st.Get(ctx, partPrefix+hd.part)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration part")
	}
	return unpack(hd, en.Value)
}

// Apply checks files and writes them as the next revision. It fails with
// ErrRaced if the latest revision is not base.
func Apply(ctx context.Context, st storer.Store, files []configurer.File, author string, base int64) (*Revision, error) {
	settings, faults := configurer.Parse(files)
	if len(faults) > 0 {
		return nil, errors.Wrapf(ErrInvalid, "%d faults, first %v", len(faults), faults[0])
	}
	old, storeRevision, err := readHead(ctx, st)
	if err != nil && !errors.Is(err, ErrNone) {
		return nil, err
	}
	if old.number != base {
		return nil, errors.Wrapf(ErrRaced, "revision %d is in force, not %d", old.number, base)
	}
	part, err := packFiles(files)
	if err != nil {
		return nil, err
	}
	next := head{number: base + 1, batch: rand.Text(), author: author, part: hashOf(part)}
	if err := writePart(ctx, st, next.part, part); err != nil {
		return nil, err
	}
	if err := writeHead(ctx, st, next, storeRevision); err != nil {
		return nil, err
	}
	return &Revision{head: next, files: files, settings: settings}, nil
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

func writePart(ctx context.Context, st storer.Store, hash string, part []byte) error {
	_, err := st.Swap(ctx, partPrefix+hash, part, 0)
	if err == nil || storer.Is(err, storer.Conflict) {
		return nil
	}
	return errors.Wrap(err, "write configuration part")
}

// writeHead settles a lost answer by reading the head and comparing its batch.
func writeHead(ctx context.Context, st storer.Store, next head, storeRevision int64) error {
	value, err := next.encode()
	if err != nil {
		return err
	}
	_, err = st.Swap(ctx, headKey, value, storeRevision)
	if err == nil {
		return nil
	}
	if !storer.Is(err, storer.Conflict) && !storer.Is(err, storer.Uncertain) {
		return errors.Wrap(err, "write configuration head")
	}
	found, _, readErr := readHead(ctx, st)
	if readErr == nil && found.batch == next.batch {
		return nil
	}
	if readErr == nil && found.number >= next.number {
		return errors.Wrapf(ErrRaced, "revision %d was applied by %s", found.number, found.author)
	}
	return errors.Wrap(err, "write configuration head")
}

func hashOf(part []byte) string {
	sum := sha256.Sum256(part)
	return hex.EncodeToString(sum[:])
}
