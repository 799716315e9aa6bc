package storer

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// failuresInOutage is how many calls fail in a row before others are held
	// back.
	failuresInOutage = 3
	// The bounds of the time between two tries during an outage.
	minOutageDelay = 50 * time.Millisecond
	maxOutageDelay = time.Second
)

var errHeldBack = errors.New("held back while the service does not answer")

// outage lets one call through now and then while the service does not answer,
// so that calls fail at once in place of one timeout each, and so that nodes
// come back at different moments.
type outage struct {
	draw     func() float64
	mu       sync.Mutex
	failures int
	delay    time.Duration
	next     time.Time
}

func (ou *outage) admit(now time.Time) bool {
	if ou.draw == nil {
		return true
	}
	ou.mu.Lock()
	defer ou.mu.Unlock()
	if ou.failures < failuresInOutage {
		return true
	}
	if now.Before(ou.next) {
		return false
	}
	ou.plan(now)
	return true
}

func (ou *outage) settle(failed bool, now time.Time) {
	if ou.draw == nil {
		return
	}
	ou.mu.Lock()
	defer ou.mu.Unlock()
	if !failed {
		ou.failures, ou.delay = 0, 0
		return
	}
	ou.failures++
	if ou.failures >= failuresInOutage {
		ou.plan(now)
	}
}

// plan puts off the next try with exponential backoff and jitter.
func (ou *outage) plan(now time.Time) {
	ou.delay = min(max(2*ou.delay, minOutageDelay), maxOutageDelay)
	ou.next = now.Add(ou.delay/2 + time.Duration(ou.draw()*float64(ou.delay/2)))
}
