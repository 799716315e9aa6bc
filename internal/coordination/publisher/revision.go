// Package publisher writes configuration revisions to the platform's store and
// keeps the one in force on a node.
//
// A revision consists of immutable parts, stored under the hashes of their
// content, of an immutable record that names them, and of the head, which says
// which record is the latest. The head is written last, by compare-and-swap,
// so that a half-written revision is never seen. Each record names the one
// before it, which makes the history.
//
// A few designated nodes of each region poll the head. Its number spreads from
// node to node, and a node that hears of a newer revision fetches it from a
// peer or from the store. A holder never goes back to an older revision.
//
// # Usage
//
//	rv, err := publisher.Apply(ctx, store, files, "operator", base)
//
//	hd := publisher.NewHolder()
//	fo := publisher.NewFollower(hd, store, view, pool, spreader)
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
	// ErrGone means that a revision is not kept any more.
	ErrGone = errors.New("revision is not kept")
	// ErrUnsettled means that it could not be found out whether a revision was
	// applied, or still will be.
	ErrUnsettled = errors.New("revision may have been applied")
)

// Revision is one accepted configuration.
type Revision struct {
	head     head
	packed   [][]byte
	files    []configurer.File
	settings *configurer.Settings
}

// NewRevision returns a revision that was accepted elsewhere, under its own
// number.
func NewRevision(number int64, files []configurer.File, st *configurer.Settings) *Revision {
	return &Revision{head: head{number: number}, files: files, settings: st}
}

// Number returns the revision number, counted from one.
func (rv *Revision) Number() int64 { return rv.head.number }

// Author returns who applied the revision.
func (rv *Revision) Author() string { return rv.head.author }

// Hash returns the hash of the content.
func (rv *Revision) Hash() string { return rv.head.hash() }

// Files returns the settings files.
func (rv *Revision) Files() []configurer.File { return rv.files }

// Settings returns the checked settings.
func (rv *Revision) Settings() *configurer.Settings { return rv.settings }

// Holder keeps the revision in force on one node. Its zero value holds none.
type Holder struct {
	current atomic.Pointer[Revision]
	corrupt atomic.Int64
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

// Corrupt returns how often a stored value could not be read.
func (hd *Holder) Corrupt() int64 { return hd.corrupt.Load() }

// Adopt puts a revision in force if it is newer, and reports whether it did.
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

// checkForward asserts that a revision may replace the one in force.
func checkForward(old, rv *Revision) {
	if old != nil {
		checker.Assert(checker.RevisionMonotonic, rv.Number() > old.Number(),
			"revision %d in force after %d", rv.Number(), old.Number())
	}
}
