package quarantiner

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/fingerprinter"
)

const (
	// firstExclusion is how long a content is excluded first. Each failed trial makes
	// it exclusionFactor times as long, up to maxExclusion.
	firstExclusion  = time.Minute
	exclusionFactor = 5
	maxExclusion    = 24 * time.Hour
	// trialTimeout is how long a trial without a result keeps others out.
	trialTimeout = 15 * time.Second
	// trialWait is what a request is told to wait while another one is on trial.
	trialWait = time.Second
	// maxExclusions bounds the excluded contents.
	maxExclusions = 1024
)

// exclusion keeps a content from servers.
type exclusion struct {
	// since is when it began, or when the last trial failed.
	since time.Time
	// failures is the number of failed trials.
	failures int
	// triedAt is when a request was let through; zero means none.
	triedAt time.Time
}

// length returns how long the content is excluded before the next trial.
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

// watch is a request that is told when one of its contents is excluded.
type watch struct{ excluded func() }

// Exclusion is an excluded content as nodes tell each other of it.
type Exclusion struct {
	// Content is the id of the content.
	Content fingerprinter.Content
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
	if known, ok := qt.exclusions[es.Content]; ok {
		if known.failures >= es.Failures {
			return false
		}
		known.failures, known.since, known.triedAt = es.Failures, since, time.Time{}
		return true
	}
	if qt.lastGood(es.Content).After(since) {
		return false
	}
	qt.exclude(es.Content, since, es.Failures)
	return true
}

// exclude keeps a content from servers, and tells the requests that wait with it.
func (qt *Quarantine) exclude(content fingerprinter.Content, since time.Time, failures int) {
	if len(qt.exclusions) >= maxExclusions {
		qt.dropOldest()
	}
	delete(qt.suspects, content)
	qt.exclusions[content] = &exclusion{since: since, failures: failures}
	for wc := range qt.watches[content] {
		wc.excluded()
	}
}

func (qt *Quarantine) dropOldest() {
	var oldest fingerprinter.Content
	var found *exclusion
	for content, ex := range qt.exclusions {
		if found == nil || ex.since.Before(found.since) {
			oldest, found = content, ex
		}
	}
	delete(qt.exclusions, oldest)
}

func (qt *Quarantine) lift(content fingerprinter.Content) { delete(qt.exclusions, content) }

// Lift ends an exclusion, because another node has ended it.
func (qt *Quarantine) Lift(content fingerprinter.Content) {
	qt.mu.Lock()
	defer qt.mu.Unlock()
	qt.lift(content)
}

// Exclusions returns the excluded contents.
func (qt *Quarantine) Exclusions(now time.Time) []Exclusion {
	qt.mu.Lock()
	defer qt.mu.Unlock()
	var all []Exclusion
	for content, ex := range qt.exclusions {
		all = append(all, Exclusion{Content: content, Failures: ex.failures, Age: now.Sub(ex.since)})
	}
	return all
}

// Verdict says whether a request may be sent to a server.
type Verdict struct {
	// Wait is how long the request is kept from servers; zero means not at all.
	Wait time.Duration
	// Trial says that the request may be sent nevertheless if Try grants it for
	// Content, at the node that decides for all.
	Trial   bool
	Content fingerprinter.Content
}

// Check returns whether a request with the contents may be sent to a server.
func (qt *Quarantine) Check(now time.Time, contents []fingerprinter.Content) Verdict {
	qt.mu.Lock()
	defer qt.mu.Unlock()
	vd := Verdict{}
	if len(qt.exclusions) == 0 {
		return vd
	}
	for _, content := range contents {
		ex, ok := qt.exclusions[content]
		if !ok {
			continue
		}
		left := ex.length() - now.Sub(ex.since)
		if left > 0 {
			vd = Verdict{Wait: max(vd.Wait, left)}
		} else if vd.Wait == 0 {
			vd = Verdict{Wait: trialWait, Trial: true, Content: content}
		}
	}
	return vd
}

// Try grants a trial with the content to one request at a time.
func (qt *Quarantine) Try(now time.Time, content fingerprinter.Content) bool {
	qt.mu.Lock()
	defer qt.mu.Unlock()
	ex, ok := qt.exclusions[content]
	if !ok {
		// The node that asks knows of an exclusion that this one has forgotten.
		ex = &exclusion{since: now.Add(-firstExclusion)}
		qt.exclusions[content] = ex
	}
	if now.Sub(ex.since) < ex.length() || !ex.triedAt.IsZero() && now.Sub(ex.triedAt) < trialTimeout {
		return false
	}
	ex.triedAt = now
	return true
}

// Watch has the function called, at most once and with the record locked, when
// one of the contents is excluded. The returned function ends it.
func (qt *Quarantine) Watch(contents []fingerprinter.Content, excluded func()) (stop func()) {
	if len(contents) == 0 {
		return func() {}
	}
	wc := &watch{excluded: excluded}
	qt.mu.Lock()
	defer qt.mu.Unlock()
	for _, content := range contents {
		if qt.watches[content] == nil {
			qt.watches[content] = map[*watch]bool{}
		}
		qt.watches[content][wc] = true
	}
	return func() {
		qt.mu.Lock()
		defer qt.mu.Unlock()
		for _, content := range contents {
			delete(qt.watches[content], wc)
			if len(qt.watches[content]) == 0 {
				delete(qt.watches, content)
			}
		}
	}
}
