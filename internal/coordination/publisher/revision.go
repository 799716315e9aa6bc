// Package publisher writes configuration revisions to the platform's store and
// keeps the one in force on a node.
//
// A revision has immutable parts, each stored under the hash of its content,
// and an immutable record that lists them. The head holds the latest record. It
// is written last, by compare-and-swap, so that readers never see a
// half-written revision. Each record names its predecessor, which gives the
// history.
//
// A few designated nodes of each region poll the head and gossip its number. A
// node that learns of a newer revision fetches it from a peer or from the
// store. A Holder never goes back to an older revision.
//
// # Usage
//
//	rv, err := publisher.Apply(ctx, store, files, "operator", base)
//
//	hd := publisher.NewHolder()
//	fo := publisher.NewFollower(hd, store, view, pool, gp)
//	go fo.Run(ctx)
//	st := hd.Current().Settings()
package publisher

import (
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Keys in the platform's store.
const (
	headKey      = "config/head"
	partPrefix   = "config/part/"
	recordPrefix = "config/revision/"
)

// Errors of reading and writing revisions.
var (
	// ErrConflict means that another operator applied a revision first.
	ErrConflict = errors.New("another revision was applied meanwhile")
	// ErrNoRevision means that the store holds no revision.
	ErrNoRevision = errors.New("no configuration has been applied")
	// ErrCorrupt means that a stored value is missing or cannot be decoded.
	ErrCorrupt = errors.New("stored configuration is corrupt")
	// ErrInvalid means that the settings have faults; see InvalidError.
	ErrInvalid = errors.New("settings hold faults")
	// ErrNotFound means that the history does not hold the revision.
	ErrNotFound = errors.New("revision is not kept")
	// ErrUncertain means that the revision may have been applied, or may still
	// be applied by a write in flight.
	ErrUncertain = errors.New("revision may have been applied")
)

// Revision is one accepted configuration. It is immutable.
type Revision struct {
	head     head
	packed   [][]byte // encoded parts, in the order of head.parts
	files    []configurer.File
	settings *configurer.Settings
}

// NewRevision returns a revision with the given number that does not come from
// the store. It has no author and no parts.
func NewRevision(number int64, files []configurer.File, st *configurer.Settings) *Revision {
	return &Revision{head: head{number: number}, files: files, settings: st}
}

// Number returns the revision number; the first revision has number 1.
func (rv *Revision) Number() int64 { return rv.head.number }

// Author returns the name of the operator who applied the revision.
func (rv *Revision) Author() string { return rv.head.author }

// Hash returns the hash of the content; equal content has equal hashes.
func (rv *Revision) Hash() string { return rv.head.hash() }

// Files returns the settings files.
func (rv *Revision) Files() []configurer.File { return rv.files }

// Settings returns the parsed and checked settings.
func (rv *Revision) Settings() *configurer.Settings { return rv.settings }

// Holder keeps the revision in force on one node. Its zero value holds none. It
// is safe for concurrent use.
type Holder struct {
	current      atomic.Pointer[Revision]
	corruptReads atomic.Int64
}

// NewHolder returns a holder without a revision.
func NewHolder() *Holder { return &Holder{} }

// Current returns the revision in force, or nil.
func (hd *Holder) Current() *Revision { return hd.current.Load() }

// Number returns the number of the revision in force, or zero.
func (hd *Holder) Number() int64 {
	if rv := hd.Current(); rv != nil {
		return rv.Number()
	}
	return 0
}

// CorruptReads returns how often a read of the store failed with ErrCorrupt.
func (hd *Holder) CorruptReads() int64 { return hd.corruptReads.Load() }

// Adopt puts a revision in force if it is newer than the current one, and
// reports whether it did.
func (hd *Holder) Adopt(rv *Revision) bool {
	for {
		old := hd.current.Load()
		if old != nil && old.Number() >= rv.Number() {
			return false
		}
		if hd.current.CompareAndSwap(old, rv) {
			checkForward(old, rv)
			return true
		}
	}
}

// checkForward asserts that a revision is newer than the one that it replaces.
func checkForward(old, rv *Revision) {
	if old != nil {
		checker.Assert(checker.RevisionMonotonic, rv.Number() > old.Number(),
			"revision %d in force after %d", rv.Number(), old.Number())
	}
}
