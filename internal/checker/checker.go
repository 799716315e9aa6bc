// Package checker asserts, while the program runs, what must always hold.
//
// # Usage
//
//	checker.Assert(checker.AtMostOnce, attempts <= 1, "request %s was sent %d times", id, attempts)
//
// A violation is counted, kept and logged; the program goes on, since stopping
// would cut off other requests. Tests and the demo read Violations and fail if
// there is any.
package checker

import (
	"fmt"
	"sync"

	"github.com/apex/log"
)

// Invariant names a promise of the system, in kebab case.
type Invariant string

// The promises.
const (
	// MemoryWithin says that no accelerator's memory is overcommitted.
	MemoryWithin Invariant = "memory-within"
	// Reachable says that each model keeps a serving replica.
	Reachable Invariant = "reachable"
	// WholeAnswer says that an answer passed off as whole is whole.
	WholeAnswer Invariant = "whole-answer"
	// OwnAnswer says that an answer belongs to its request.
	OwnAnswer Invariant = "own-answer"
	// NotRunHonest says that a request answered not-run was not run.
	NotRunHonest Invariant = "not-run-honest"
	// AtMostOnce says that a non-idempotent request is sent at most once.
	AtMostOnce Invariant = "at-most-once"
	// LeavingIdle says that a leaving backend server gets no new work.
	LeavingIdle Invariant = "leaving-idle"
	// GracefulStop says that a planned stop cuts off no request.
	GracefulStop Invariant = "graceful-stop"
	// RevisionForward says that a configuration never reverts.
	RevisionForward Invariant = "revision-forward"
	// LimitWithin says that a shared limit is not exceeded in sum.
	LimitWithin Invariant = "limit-within"
	// JobKept says that an accepted job never vanishes.
	JobKept Invariant = "job-kept"
	// FenceForward says that a record's fencing number never falls.
	FenceForward Invariant = "fence-forward"
)

// maxKept bounds the violations that are kept in memory.
const maxKept = 1000

// Violation is a broken promise.
type Violation struct {
	// Invariant is the promise.
	Invariant Invariant
	// Detail says what was seen.
	Detail string
}

var (
	mu         sync.Mutex
	violations []Violation
)

// Assert records a violation of the invariant unless ok holds.
func Assert(iv Invariant, ok bool, format string, args ...any) {
	if ok {
		return
	}
	vl := Violation{Invariant: iv, Detail: fmt.Sprintf(format, args...)}
	log.WithField("invariant", string(iv)).Error("invariant broken: " + vl.Detail)
	mu.Lock()
	defer mu.Unlock()
	if len(violations) < maxKept {
		violations = append(violations, vl)
	}
}

// Violations returns the violations since the last Reset.
func Violations() []Violation {
	mu.Lock()
	defer mu.Unlock()
	return append([]Violation(nil), violations...)
}

// Reset forgets all violations.
func Reset() {
	mu.Lock()
	defer mu.Unlock()
	violations = nil
}
