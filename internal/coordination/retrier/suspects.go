package retrier

import (
	"sync"
	"time"
)

const (
	// MaxCrashes is the number of crashes after which a request is excluded.
	MaxCrashes = 2
	// maxSuspects bounds the number of recorded fingerprints.
	maxSuspects = 4096
	// suspectLifetime is how long a request is excluded after its last crash.
	suspectLifetime = time.Minute
)

// Suspects records the fingerprints of requests whose attempts ended with the
// loss of the server's connection, which counts as a crash. It is safe for
// concurrent use.
type Suspects struct {
	mu            sync.Mutex
	byFingerprint map[uint64]suspect
}

// suspect is the number of crashes of one fingerprint, and the time of the
// last.
type suspect struct {
	crashes   int
	lastCrash time.Time
}

// NewSuspects returns a Suspects without recorded fingerprints.
func NewSuspects() *Suspects { return &Suspects{byFingerprint: map[uint64]suspect{}} }

// CountCrash counts a crash for the fingerprint and returns its number of
// crashes. The count starts again after suspectLifetime without a crash.
func (sp *Suspects) CountCrash(fingerprint uint64, now time.Time) int {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.makeRoom(now)
	en := sp.byFingerprint[fingerprint]
	if now.Sub(en.lastCrash) >= suspectLifetime {
		en.crashes = 0
	}
	en.crashes++
	en.lastCrash = now
	sp.byFingerprint[fingerprint] = en
	return en.crashes
}

// Remove removes the fingerprint, after a complete response.
func (sp *Suspects) Remove(fingerprint uint64) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	delete(sp.byFingerprint, fingerprint)
}

// ExcludedFor returns how long the fingerprint remains excluded, or 0 if it is
// not excluded.
func (sp *Suspects) ExcludedFor(fingerprint uint64, now time.Time) time.Duration {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	en, ok := sp.byFingerprint[fingerprint]
	if !ok || en.crashes < MaxCrashes {
		return 0
	}
	return max(en.lastCrash.Add(suspectLifetime).Sub(now), 0)
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
		if now.Sub(en.lastCrash) >= suspectLifetime {
			delete(sp.byFingerprint, fp)
		} else if !en.lastCrash.After(oldestAt) {
			oldest, oldestAt = fp, en.lastCrash
		}
	}
	if len(sp.byFingerprint) >= maxSuspects {
		delete(sp.byFingerprint, oldest)
	}
}
