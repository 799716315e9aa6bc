package storer

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// failureThreshold is how many calls in a row must fail before the breaker
	// rejects calls.
	failureThreshold = 3
	// The bounds of the time between two probes during an outage.
	minProbeDelay = 50 * time.Millisecond
	maxProbeDelay = time.Second
)

var errNoProbeDue = errors.New("held back while the service does not answer")

// breaker is a circuit breaker. While the service does not answer it lets only
// single calls through as probes, so that other calls fail at once instead of
// after a timeout. The jitter keeps the nodes from calling all at once when it
// answers again.
type breaker struct {
	draw      func() float64 // random number in [0, 1); nil turns the breaker off
	mu        sync.Mutex
	failures  int           // failed calls in a row
	delay     time.Duration // current delay between probes, before jitter
	nextProbe time.Time     // when the next probe is due
}

// admit reports whether a call may be made now.
func (br *breaker) admit(now time.Time) bool {
	if br.draw == nil {
		return true
	}
	br.mu.Lock()
	defer br.mu.Unlock()
	if br.failures < failureThreshold {
		return true
	}
	if now.Before(br.nextProbe) {
		return false
	}
	br.scheduleProbe(now)
	return true
}

// recordResult records whether a call failed.
func (br *breaker) recordResult(failed bool, now time.Time) {
	if br.draw == nil {
		return
	}
	br.mu.Lock()
	defer br.mu.Unlock()
	if !failed {
		br.failures, br.delay = 0, 0
		return
	}
	br.failures++
	if br.failures >= failureThreshold {
		br.scheduleProbe(now)
	}
}

// scheduleProbe sets the time of the next probe with exponential backoff and
// jitter.
func (br *breaker) scheduleProbe(now time.Time) {
	br.delay = min(max(2*br.delay, minProbeDelay), maxProbeDelay)
	br.nextProbe = now.Add(br.delay/2 + time.Duration(br.draw()*float64(br.delay/2)))
}
