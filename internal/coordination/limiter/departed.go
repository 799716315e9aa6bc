package limiter

import (
	"slices"
	"time"
)

// LoanDrainTime is how long loans to a node may still be in use after its end.
const LoanDrainTime = LoanTime + weightLoadBound

// Departures tracks which nodes are missing from the platform's list of VMs,
// and for how long. The list lags, so a node that is not listed yet must not
// count as gone. Departures is not safe for concurrent use.
type Departures struct {
	self string
	// missing holds, by name, the time of the list in which Gone first found a
	// node missing.
	missing map[string]time.Time
	// names is the last list, and readAt the time at which it was read.
	names  []string
	readAt time.Time
}

// NewDepartures returns the departures as seen by the node self, initially
// none.
func NewDepartures(self string) *Departures {
	return &Departures{self: self, missing: map[string]time.Time{}}
}

// Observe records the list and the time at which it was read. It ignores a list
// that is not newer than the last one or lacks the node's own name, since such
// a list proves nothing about other nodes.
func (dp *Departures) Observe(names []string, readAt time.Time) {
	if !readAt.After(dp.readAt) || !slices.Contains(names, dp.self) {
		return
	}
	dp.names, dp.readAt = names, readAt
	for _, name := range names {
		delete(dp.missing, name)
	}
}

// Gone reports whether the node has been missing from the list for at least the
// grace period. The period begins with the first call for a missing node, at
// the time of the last list.
func (dp *Departures) Gone(name string, grace time.Duration) bool {
	if dp.readAt.IsZero() || slices.Contains(dp.names, name) {
		return false
	}
	since, ok := dp.missing[name]
	if !ok {
		dp.missing[name] = dp.readAt
		return false
	}
	return dp.readAt.Sub(since) >= grace
}

// NewlyGone returns the nodes that have been missing for at least the grace
// period, each only once.
func (dp *Departures) NewlyGone(grace time.Duration) []string {
	var gone []string
	for name, since := range dp.missing {
		if dp.readAt.Sub(since) >= grace {
			gone = append(gone, name)
			delete(dp.missing, name)
		}
	}
	return gone
}
