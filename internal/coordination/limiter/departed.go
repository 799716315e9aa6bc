package limiter

import (
	"slices"
	"time"
)

// ForgetTime is how long after the end of a node a loan to it may still be in
// use.
const ForgetTime = LoanTime + weightLoadBound

// Departures tells which nodes the platform's list has left out for some time.
// The list lags, so that a node which it does not name yet must not be taken
// for one that is gone. It is for one goroutine.
type Departures struct {
	self    string
	missing map[string]time.Time
	names   []string
	read    time.Time
}

// NewDepartures returns the departures that the node self sees: none.
func NewDepartures(self string) *Departures {
	return &Departures{self: self, missing: map[string]time.Time{}}
}

// Note takes in the list as it was read. A list without the node's own name
// tells nothing of others.
func (dp *Departures) Note(names []string, read time.Time) {
	if !read.After(dp.read) || !slices.Contains(names, dp.self) {
		return
	}
	dp.names, dp.read = names, read
	for _, name := range names {
		delete(dp.missing, name)
	}
}

// Gone reports whether the list has left the node out since it was first asked
// for, and for the patience at least.
func (dp *Departures) Gone(name string, patience time.Duration) bool {
	if dp.read.IsZero() || slices.Contains(dp.names, name) {
		return false
	}
	since, ok := dp.missing[name]
	if !ok {
		dp.missing[name] = dp.read
		return false
	}
	return dp.read.Sub(since) >= patience
}

// Forgotten returns, once each, the nodes that have been gone for the patience.
func (dp *Departures) Forgotten(patience time.Duration) []string {
	var gone []string
	for name, since := range dp.missing {
		if dp.read.Sub(since) >= patience {
			gone = append(gone, name)
			delete(dp.missing, name)
		}
	}
	return gone
}
