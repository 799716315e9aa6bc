package retrier

import (
	"sync"
	"time"
)

const (
	// MaxDeaths is the number of servers that one request may lose.
	MaxDeaths = 2
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 4096
	// suspectLifetime is how long a request is refused after its last death.
	suspectLifetime = time.Minute
)

// Suspects remembers the fingerprints of requests whose sendings ended with
// the death of the server's connection. It may be used by any goroutine.
type Suspects struct {
	mu   sync.Mutex
	seen map[uint64]suspect
}

type suspect struct {
	deaths int
	last   time.Time
}

// NewSuspects returns a memory without fingerprints.
func NewSuspects() *Suspects { return &Suspects{seen: map[uint64]suspect{}} }

// Died counts a death against the fingerprint and returns all its deaths.
func (sp *Suspects) Died(fingerprint uint64, now time.Time) int {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.makeRoom(now)
	en := sp.seen[fingerprint]
	if now.Sub(en.last) >= suspectLifetime {
		en.deaths = 0
	}
	en.deaths++
	en.last = now
	sp.seen[fingerprint] = en
	return en.deaths
}

// Cleared forgets the fingerprint after a whole answer.
func (sp *Suspects) Cleared(fingerprint uint64) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	delete(sp.seen, fingerprint)
}

// Barred returns how long the fingerprint is still refused, or zero.
func (sp *Suspects) Barred(fingerprint uint64, now time.Time) time.Duration {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	en, ok := sp.seen[fingerprint]
	if !ok || en.deaths < MaxDeaths {
		return 0
	}
	return max(en.last.Add(suspectLifetime).Sub(now), 0)
}

// makeRoom drops what has expired, and the oldest entry if that is not enough.
func (sp *Suspects) makeRoom(now time.Time) {
	if len(sp.seen) < maxSuspects {
		return
	}
	var oldest uint64
	oldestAt := now
	for fp, en := range sp.seen {
		if now.Sub(en.last) >= suspectLifetime {
			delete(sp.seen, fp)
		} else if !en.last.After(oldestAt) {
			oldest, oldestAt = fp, en.last
		}
	}
	if len(sp.seen) >= maxSuspects {
		delete(sp.seen, oldest)
	}
}
