package retrier

import (
	"sync"
	"time"
)

const (
	// MaxCrashes is the number of server deaths after which a request is excluded.
	MaxCrashes = 2
	// maxSuspects bounds the number of recorded fingerprints.
	maxSuspects = 4096
	// suspectLifetime is how long a request is excluded after its last death.
	suspectLifetime = time.Minute
)

// Suspects records the fingerprints of requests whose attempts ended with the
// loss of the server's connection, called a death. It is safe for concurrent use.
type Suspects struct {
	mu            sync.Mutex
	byFingerprint map[uint64]suspect
}

// suspect is the number of deaths of one fingerprint, and the time of the last.
type suspect struct {
	deaths    int
	lastDeath time.Time
}

// NewSuspects returns a Suspects without recorded fingerprints.
func NewSuspects() *Suspects { return &Suspects{byFingerprint: map[uint64]suspect{}} }

// CountCrash counts a death for the fingerprint and returns its number of deaths.
func (sp *Suspects) CountCrash(fingerprint uint64, now time.Time) int {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.makeRoom(now)
	en := sp.byFingerprint[fingerprint]
	if now.Sub(en.lastDeath) >= suspectLifetime {
		en.deaths = 0
	}
	en.deaths++
	en.lastDeath = now
	sp.byFingerprint[fingerprint] = en
	return en.deaths
}

// Remove removes the fingerprint, after a complete response.
func (sp *Suspects) Remove(fingerprint uint64) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	delete(sp.byFingerprint, fingerprint)
}

// ExcludedFor returns how long the fingerprint remains excluded, or 0.
func (sp *Suspects) ExcludedFor(fingerprint uint64, now time.Time) time.Duration {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	en, ok := sp.byFingerprint[fingerprint]
	if !ok || en.deaths < MaxCrashes {
		return 0
	}
	return max(en.lastDeath.Add(suspectLifetime).Sub(now), 0)
}

// makeRoom removes expired entries if there are maxSuspects, and the oldest one
// if none has expired.
func (sp *Suspects) makeRoom(now time.Time) {
	if len(sp.byFingerprint) < maxSuspects {
		return
	}
	var oldest uint64
	oldestAt := now
	for fp, en := range sp.byFingerprint {
		if now.Sub(en.lastDeath) >= suspectLifetime {
			delete(sp.byFingerprint, fp)
		} else if !en.lastDeath.After(oldestAt) {
			oldest, oldestAt = fp, en.lastDeath
		}
	}
	if len(sp.byFingerprint) >= maxSuspects {
		delete(sp.byFingerprint, oldest)
	}
}
