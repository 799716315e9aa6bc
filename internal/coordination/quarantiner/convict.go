package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/fingerprinter"
)

// candidate is a suspect with enough crashes to be excluded.
type candidate struct {
	content fingerprinter.Content
	// unanswered are the crashes in which a request had no piece of its answer,
	// and all has the others too.
	unanswered, all []*event
	// good says that answers with the content were completed not long before.
	good bool
}

// convict excludes the contents whose evidence suffices, the one with the most
// crashes first, and returns them. What an excluded content explains does not count
// against the next.
func (qt *Quarantine) convict(now time.Time) []fingerprinter.Content {
	var excluded []fingerprinter.Content
	for {
		guilty := qt.guilty(now)
		if len(guilty) == 0 {
			return excluded
		}
		for _, cd := range guilty {
			excluded = append(excluded, cd.content)
			qt.exclude(cd.content, now, 0)
			for _, ev := range cd.all {
				qt.explain(ev, cd.content)
			}
		}
	}
}

// guilty returns the suspect that is excluded next. After maxCrashes crashes those
// with as much evidence go with it.
func (qt *Quarantine) guilty(now time.Time) []candidate {
	var all []candidate
	for content, sp := range qt.suspects {
		if len(sp.marks) < minRequestCrashes || !content.IsRequest() && qt.isOneRequest(sp) {
			continue
		}
		cd := candidate{content: content, unanswered: sp.crashes(now, true), all: sp.crashes(now, false)}
		cd.good = len(cd.all) > 0 && cd.all[0].at.Sub(qt.lastGood(content)) < goodLifetime
		all = append(all, cd)
	}
	slices.SortFunc(all, compare)
	for ix, cd := range all {
		least, most := minCrashes, maxCrashes
		if cd.content.IsRequest() && !cd.good {
			least, most = minRequestCrashes, maxRequestCrashes
		}
		switch {
		case len(cd.unanswered) >= least && !cd.good && !qt.hasRival(cd):
			return all[ix : ix+1]
		case len(cd.all) >= most:
			end := ix + 1
			for end < len(all) && compare(cd, all[end]) == 0 {
				end++
			}
			return all[ix:end]
		}
	}
	return nil
}

// isOneRequest reports whether all evidence against the suspect is from one request,
// which explains it as long as that request is not known to be sound.
func (qt *Quarantine) isOneRequest(sp *suspect) bool {
	first := sp.marks[0]
	if first.request == 0 || first.event.at.Sub(qt.lastGood(first.request)) < goodLifetime {
		return false
	}
	return !slices.ContainsFunc(sp.marks, func(mk mark) bool { return mk.request != first.request })
}

// compare orders candidates, the likeliest cause first: among equal ones whole
// requests, since their exclusion keeps out the least.
func compare(one, two candidate) int {
	if one.good != two.good {
		return lastIf(one.good)
	}
	if order := cmp.Or(cmp.Compare(len(two.unanswered), len(one.unanswered)), cmp.Compare(len(two.all), len(one.all))); order != 0 {
		return order
	}
	if one.content.IsRequest() != two.content.IsRequest() {
		return lastIf(two.content.IsRequest())
	}
	return 0
}

// lastIf returns the order of an element that comes last if last is true, and first
// otherwise.
func lastIf(last bool) int {
	if last {
		return 1
	}
	return -1
}

// hasRival reports whether another content explains all crashes of the candidate as
// well. What completed answers not long before is no rival, nor are whole requests
// to a part that several of them have.
func (qt *Quarantine) hasRival(cd candidate) bool {
	for content, sp := range qt.suspects {
		if content == cd.content || content.IsRequest() && !cd.content.IsRequest() || cd.unanswered[0].at.Sub(qt.lastGood(content)) < goodLifetime {
			continue
		}
		if sp.explainsAll(cd.unanswered) {
			return true
		}
	}
	return false
}

// explainsAll reports whether a request with the suspect and without a piece of
// its answer was in flight in all of the crashes.
func (sp *suspect) explainsAll(events []*event) bool {
	for _, ev := range events {
		if !slices.ContainsFunc(sp.marks, func(mk mark) bool { return mk.event == ev && !mk.answering }) {
			return false
		}
	}
	return true
}
