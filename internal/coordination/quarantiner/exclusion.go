package quarantiner

import "time"

const (
	// firstExclusion is how long a part is excluded first. Each failed trial makes
	// it exclusionFactor times as long, up to maxExclusion.
	firstExclusion  = time.Minute
	exclusionFactor = 5
	maxExclusion    = 24 * time.Hour
	// trialTimeout is how long a trial without a result keeps others out.
	trialTimeout = 15 * time.Second
	// trialWait is what a request is told to wait while another one is on trial.
	trialWait = time.Second
	// maxExclusions bounds the excluded parts.
	maxExclusions = 1024
)

// exclusion keeps a part from servers.
type exclusion struct {
	// since is when it began, or when the last trial failed.
	since time.Time
	// failures is the number of failed trials.
	failures int
	// triedAt is when a request was let through; zero means none.
	triedAt time.Time
}

// length returns how long the part is excluded before the next trial.
func (ex *exclusion) length() time.Duration {
	dn := firstExclusion
	for range ex.failures {
		dn = min(exclusionFactor*dn, maxExclusion)
	}
	return dn
}

// noteCrash makes the exclusion longer if a request was let through since it
// began. Others were in flight when it began.
func (ex *exclusion) noteCrash(at time.Time) {
	if at.Sub(ex.since) < ex.length() {
		return
	}
	ex.failures++
	ex.since, ex.triedAt = at, time.Time{}
}

// watch is a request that is told when one of its parts is excluded.
type watch struct{ excluded func() }

// Exclusion is an excluded part as nodes tell each other of it.
type Exclusion struct {
	// Part is the id of the part.
	Part uint64
	// Failures is the number of failed trials.
	Failures int
	// Age is the time since it began, or since the last trial failed.
	Age time.Duration
}

// Exclude takes up an exclusion that another node knows of, and reports whether
// it is news.
func (qt *Quarantine) Exclude(now time.Time, es Exclusion) bool {
	qt.mu.Lock()
	defer qt.mu.Unlock()
	since := now.Add(-es.Age)
	if known, ok := qt.exclusions[es.Part]; ok {
		if known.failures >= es.Failures {
			return false
		}
		known.failures, known.since, known.triedAt = es.Failures, since, time.Time{}
		return true
	}
	if qt.lastGood(es.Part).After(since) {
		return false
	}
	qt.exclude(es.Part, since, es.Failures)
	return true
}

// exclude keeps a part from servers, and tells the requests that wait with it.
func (qt *Quarantine) exclude(part uint64, since time.Time, failures int) {
	if len(qt.exclusions) >= maxExclusions {
		qt.dropOldest()
	}
	delete(qt.suspects, part)
	qt.exclusions[part] = &exclusion{since: since, failures: failures}
	for wc := range qt.watches[part] {
		wc.excluded()
	}
}

func (qt *Quarantine) dropOldest() {
	var oldest uint64
	var found *exclusion
	for part, ex := range qt.exclusions {
		if found == nil || ex.since.Before(found.since) {
			oldest, found = part, ex
		}
	}
	delete(qt.exclusions, oldest)
}

func (qt *Quarantine) lift(part uint64) { delete(qt.exclusions, part) }

// Lift ends an exclusion, because another node has ended it.
func (qt *Quarantine) Lift(part uint64) {
	qt.mu.Lock()
	defer qt.mu.Unlock()
	qt.lift(part)
}

// Exclusions returns the excluded parts.
func (qt *Quarantine) Exclusions(now time.Time) []Exclusion {
	qt.mu.Lock()
	defer qt.mu.Unlock()
	var all []Exclusion
	for part, ex := range qt.exclusions {
		all = append(all, Exclusion{Part: part, Failures: ex.failures, Age: now.Sub(ex.since)})
	}
	return all
}

// Verdict says whether a request may be sent to a server.
type Verdict struct {
	// Wait is how long the request is kept from servers; zero means not at all.
	Wait time.Duration
	// Trial says that the request may be sent nevertheless if Try grants it for
	// Part, at the node that decides for all.
	Trial bool
	Part  uint64
}

// Check returns whether a request with the parts may be sent to a server.
func (qt *Quarantine) Check(now time.Time, parts []uint64) Verdict {
	qt.mu.Lock()
	defer qt.mu.Unlock()
	vd := Verdict{}
	if len(qt.exclusions) == 0 {
		return vd
	}
	for _, part := range parts {
		ex, ok := qt.exclusions[part]
		if !ok {
			continue
		}
		left := ex.length() - now.Sub(ex.since)
		if left > 0 {
			vd = Verdict{Wait: max(vd.Wait, left)}
		} else if vd.Wait == 0 {
			vd = Verdict{Wait: trialWait, Trial: true, Part: part}
		}
	}
	return vd
}

// Try grants a trial with the part to one request at a time.
func (qt *Quarantine) Try(now time.Time, part uint64) bool {
	qt.mu.Lock()
	defer qt.mu.Unlock()
	ex, ok := qt.exclusions[part]
	if !ok || now.Sub(ex.since) < ex.length() || !ex.triedAt.IsZero() && now.Sub(ex.triedAt) < trialTimeout {
		return false
	}
	ex.triedAt = now
	return true
}

// Watch has the function called, at most once and with the record locked, when
// one of the parts is excluded. The returned function ends it.
func (qt *Quarantine) Watch(parts []uint64, excluded func()) (stop func()) {
	if len(parts) == 0 {
		return func() {}
	}
	wc := &watch{excluded: excluded}
	qt.mu.Lock()
	defer qt.mu.Unlock()
	for _, part := range parts {
		if qt.watches[part] == nil {
			qt.watches[part] = map[*watch]bool{}
		}
		qt.watches[part][wc] = true
	}
	return func() {
		qt.mu.Lock()
		defer qt.mu.Unlock()
		for _, part := range parts {
			delete(qt.watches[part], wc)
			if len(qt.watches[part]) == 0 {
				delete(qt.watches, part)
			}
		}
	}
}
