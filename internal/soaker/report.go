package soaker

import (
	"fmt"
	"sync"

	"github.com/lagoonpass/lagoonpass/internal/checker"
)

// What a run can find beside the promises that package checker names.
const (
	// NotStarted means that the run could not begin.
	NotStarted checker.Invariant = "not-started"
	// Unreachable means that a model was not reached through a node.
	Unreachable = checker.Reachable
	// Cut means that a caller of a node that stopped as planned lost its answer.
	Cut = checker.GracefulStop
)

// maxFindings bounds the findings that a report keeps.
const maxFindings = 100

// Finding is a promise that was seen broken.
type Finding struct {
	// Invariant is the promise.
	Invariant checker.Invariant
	// Detail says what was seen.
	Detail string
}

// String returns the finding for people.
func (fd Finding) String() string { return string(fd.Invariant) + ": " + fd.Detail }

// Report is what a run saw.
type Report struct {
	seed     uint64
	mu       sync.Mutex
	findings []Finding
	counts   map[string]int
}

func newReport(seed uint64) *Report { return &Report{seed: seed, counts: map[string]int{}} }

// Seed returns the seed of the run.
func (rp *Report) Seed() uint64 { return rp.seed }

// Findings returns the promises that were seen broken.
func (rp *Report) Findings() []Finding {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return append([]Finding(nil), rp.findings...)
}

// Counts returns how often each thing happened, by name.
func (rp *Report) Counts() map[string]int {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	counts := make(map[string]int, len(rp.counts))
	for name, count := range rp.counts {
		counts[name] = count
	}
	return counts
}

func (rp *Report) find(iv checker.Invariant, format string, args ...any) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	if len(rp.findings) < maxFindings {
		rp.findings = append(rp.findings, Finding{Invariant: iv, Detail: fmt.Sprintf(format, args...)})
	}
}

// expect records a finding unless ok holds.
func (rp *Report) expect(iv checker.Invariant, ok bool, format string, args ...any) {
	if !ok {
		rp.find(iv, format, args...)
	}
}

func (rp *Report) count(name string) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.counts[name]++
}
