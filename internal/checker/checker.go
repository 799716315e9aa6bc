// Package checker checks invariants of the system at run time.
//
// # Usage
//
//	checker.Assert(checker.AtMostOnce, attempts <= 1,
//		"request %s was sent %d times", id, attempts)
//
// A violation is logged and recorded. The program continues, because stopping
// it would cut off other requests. Tests and the demo fail if Violations
// returns any.
package checker

import (
	"fmt"
	"sync"

	"github.com/apex/log"
)

// Invariant is the name of an invariant, in kebab case.
type Invariant string

// Invariants of the system. Packages define further ones.
const (
	// MemoryWithinCapacity means that the memory of no accelerator is
	// overcommitted.
	MemoryWithinCapacity Invariant = "memory-within"
	// Reachable means that each model keeps at least one serving replica.
	Reachable Invariant = "reachable"
	// CompleteAnswer means that an answer that is marked as complete is
	// complete.
	CompleteAnswer Invariant = "whole-answer"
	// OwnAnswer means that a caller gets the answer to its own request.
	OwnAnswer Invariant = "own-answer"
	// NotRunCorrect means that a request with the outcome not-run did not run.
	NotRunCorrect Invariant = "not-run-honest"
	// AtMostOnce means that a non-idempotent request is sent at most once.
	AtMostOnce Invariant = "at-most-once"
	// NoRequestsToLeaving means that a leaving backend server gets no new
	// requests.
	NoRequestsToLeaving Invariant = "leaving-idle"
	// GracefulStop means that a planned stop cuts off no request.
	GracefulStop Invariant = "graceful-stop"
	// RevisionMonotonic means that the configuration revision never decreases.
	RevisionMonotonic Invariant = "revision-forward"
	// WithinSharedLimit means that the nodes together don't exceed a shared
	// limit.
	WithinSharedLimit Invariant = "limit-within"
	// JobKept means that an accepted job is never lost.
	JobKept Invariant = "job-kept"
	// FenceMonotonic means that the fencing number of a record never decreases.
	FenceMonotonic Invariant = "fence-forward"
)

// maxViolations limits the violations that are recorded in memory.
const maxViolations = 1000

// Violation is one failed check of an invariant.
type Violation struct {
	// Invariant is the violated invariant.
	Invariant Invariant
	// Detail describes the values seen.
	Detail string
}

var (
	mu         sync.Mutex
	violations []Violation
)

// Assert logs and records a violation of the invariant if ok is false. The
// format and its arguments make the detail.
func Assert(iv Invariant, ok bool, format string, args ...any) {
	if ok {
		return
	}
	vl := Violation{Invariant: iv, Detail: fmt.Sprintf(format, args...)}
	log.WithField("invariant", string(iv)).Error("invariant violated: " + vl.Detail)
	mu.Lock()
	defer mu.Unlock()
	if len(violations) < maxViolations {
		violations = append(violations, vl)
	}
}

// Violations returns the violations recorded since the last Reset, the first
// 1000 at most.
func Violations() []Violation {
	mu.Lock()
	defer mu.Unlock()
	return append([]Violation(nil), violations...)
}

// Reset deletes the recorded violations.
func Reset() {
	mu.Lock()
	defer mu.Unlock()
	violations = nil
}
