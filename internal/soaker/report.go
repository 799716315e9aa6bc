package soaker

import (
	"fmt"
	"sync"

	"github.com/lagoonpass/lagoonpass/internal/checker"
)

// Invariants that only a run checks, besides those of package checker.
const (
	// NotStarted means that a node or the whole run could not start.
	NotStarted checker.Invariant = "not-started"
	// OneVersion says that the tokens of a stream come from one version of the
	// weights.
	OneVersion checker.Invariant = "one-version"
	// FatalContained says that a request which crashes engines is kept from them.
	FatalContained checker.Invariant = "fatal-contained"
	// Unreachable means that a model did not answer through a node.
	Unreachable = checker.Reachable
	// AnswerCut means that a caller lost its answer when a node stopped as planned.
	AnswerCut = checker.GracefulStop
)

// maxFindings is the maximum number of findings in a report.
const maxFindings = 100

// Finding is a violation of an invariant.
type Finding struct {
	// Invariant is the invariant that was violated.
	Invariant checker.Invariant
	// Detail describes the violation.
	Detail string
}

// String returns the invariant and the detail.
func (fd Finding) String() string { return string(fd.Invariant) + ": " + fd.Detail }

// Report holds the findings and counts of a run.
type Report struct {
	seed     uint64
	mu       sync.Mutex
	findings []Finding
	counts   map[string]int
}

func newReport(seed uint64) *Report { return &Report{seed: seed, counts: map[string]int{}} }

// Seed returns the seed of the run.
func (rp *Report) Seed() uint64 { return rp.seed }

// Findings returns the violations, at most maxFindings.
func (rp *Report) Findings() []Finding {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return append([]Finding(nil), rp.findings...)
}

// Counts returns the number of faults, answers, refusals and other events by
// name.
func (rp *Report) Counts() map[string]int {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	counts := make(map[string]int, len(rp.counts))
	for name, count := range rp.counts {
		counts[name] = count
	}
	return counts
}

func (rp *Report) addFinding(iv checker.Invariant, format string, args ...any) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	if len(rp.findings) < maxFindings {
		rp.findings = append(rp.findings, Finding{Invariant: iv, Detail: fmt.Sprintf(format, args...)})
	}
}

// expect records a finding unless ok holds.
func (rp *Report) expect(iv checker.Invariant, ok bool, format string, args ...any) {
	if !ok {
		rp.addFinding(iv, format, args...)
	}
}

func (rp *Report) count(name string) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.counts[name]++
}
