package forwarder

import (
	"sync/atomic"
	"time"
)

// activityRetention is how long the activity of a server without connections is kept.
const activityRetention = time.Minute

// activity is what happens on the connections to one server.
type activity struct {
	// inUse counts the requests in progress.
	inUse atomic.Int64
	// heardAfter has the nanoseconds from the creation of the forwarder until the server
	// last sent something; 0 means never.
	heardAfter atomic.Int64
	// createdAfter is that time for the creation of the activity.
	createdAfter int64
}

// activityOf returns the activity of the server at the address.
func (fw *Forwarder) activityOf(address string) *activity {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	ac, ok := fw.activities[address]
	if !ok {
		fw.pruneActivitiesLocked()
		ac = &activity{createdAfter: int64(time.Since(fw.created))}
		fw.activities[address] = ac
	}
	return ac
}

// pruneActivitiesLocked forgets servers that have had no connection for long.
func (fw *Forwarder) pruneActivitiesLocked() {
	oldest := int64(time.Since(fw.created) - activityRetention)
	for address, ac := range fw.activities {
		if fw.open[address] == 0 && ac.inUse.Load() == 0 && max(ac.heardAfter.Load(), ac.createdAfter) < oldest {
			delete(fw.activities, address)
		}
	}
}
