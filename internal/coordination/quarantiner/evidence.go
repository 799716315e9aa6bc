package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/crashdetector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/fingerprinter"
)

// NewReport returns what a crash says about the contents in flight. If there are too
// many, those of requests with a piece of their answer are left out first.
func NewReport(now time.Time, cr crashdetector.Crash) Report {
	marks := map[fingerprinter.Content]Mark{}
	for _, ls := range cr.Losses {
		inFlight := max(cr.At.Sub(ls.Sent), 0)
		for _, content := range ls.Contents {
			mk, ok := marks[content]
			if !ok {
				mk = Mark{Content: content, Answering: true, InFlight: inFlight, Request: ls.Request}
			}
			mk.Answering = mk.Answering && ls.Answering
			if inFlight < mk.InFlight {
				mk.InFlight, mk.Request = inFlight, ls.Request
			}
			marks[content] = mk
		}
	}
	rp := Report{Server: cr.Server, Age: max(now.Sub(cr.At), 0)}
	for _, mk := range marks {
		rp.Marks = append(rp.Marks, mk)
	}
	slices.SortFunc(rp.Marks, func(one, two Mark) int {
		if one.Answering != two.Answering {
			return lastIf(one.Answering)
		}
		return cmp.Compare(one.Content, two.Content)
	})
	rp.Marks = rp.Marks[:min(len(rp.Marks), maxMarks)]
	return rp
}

// Record takes up a report, of this node or another, and returns the contents that
// are excluded because of it.
func (qt *Quarantine) Record(now time.Time, rp Report) []fingerprinter.Content {
	qt.mu.Lock()
	defer qt.mu.Unlock()
	at := now.Add(-rp.Age)
	ev := qt.eventOf(rp.Server, at, at.Add(-leastInFlight(rp)))
	for _, mk := range rp.Marks {
		if ex, ok := qt.exclusions[mk.Content]; ok && !mk.Answering {
			ex.noteCrash(ev.at)
			qt.explain(ev, mk.Content)
		}
	}
	if ev.explained {
		return nil
	}
	for _, mk := range rp.Marks {
		qt.add(now, ev, mk)
	}
	return qt.convict(now)
}

// leastInFlight returns how long before the crash the latest request was sent.
func leastInFlight(rp Report) time.Duration {
	least := sameCrashTime
	for _, mk := range rp.Marks {
		least = min(least, mk.InFlight)
	}
	return least
}

// eventOf returns the crash of a server at about the time, a new one if it is not
// known. A server that took a request after a crash is back, and crashed again.
func (qt *Quarantine) eventOf(server string, at, sent time.Time) *event {
	for _, ev := range qt.events {
		if ev.server == server && ev.at.Sub(at).Abs() < sameCrashTime && sent.Sub(ev.at) < noticeTime {
			if at.Before(ev.at) {
				ev.at = at
			}
			return ev
		}
	}
	ev := &event{server: server, at: at}
	qt.events = append(qt.events, ev)
	if len(qt.events) > maxEvents {
		qt.events = slices.Delete(qt.events, 0, 1)
	}
	return ev
}

// add records a crash against a content, unless an answer with it has been completed
// since.
func (qt *Quarantine) add(now time.Time, ev *event, mk Mark) {
	if _, ok := qt.exclusions[mk.Content]; ok || qt.lastGood(mk.Content).After(ev.at) {
		return
	}
	sp, ok := qt.suspects[mk.Content]
	if !ok {
		qt.makeRoom(now)
		sp = &suspect{}
		qt.suspects[mk.Content] = sp
	}
	sp.latest = later(sp.latest, ev.at)
	sent := ev.at.Add(-mk.InFlight)
	for ix := range sp.marks {
		if known := &sp.marks[ix]; known.event == ev {
			known.answering = known.answering && mk.Answering
			if sent.After(known.sent) {
				known.sent, known.request = sent, mk.Request
			}
			return
		}
	}
	sp.marks = append(sp.marks, mark{event: ev, answering: mk.Answering, sent: sent, request: mk.Request})
	if len(sp.marks) > 2*maxCrashes {
		sp.marks = slices.Delete(sp.marks, 0, 1)
	}
}

// makeRoom drops the suspect with the least and oldest evidence if there are
// maxSuspects, so that many new ones do not push out the one that is there each
// time.
func (qt *Quarantine) makeRoom(now time.Time) {
	if len(qt.suspects) < maxSuspects {
		return
	}
	var least fingerprinter.Content
	var found *suspect
	for content, sp := range qt.suspects {
		if now.Sub(sp.latest) >= evidenceLifetime {
			delete(qt.suspects, content)
			continue
		}
		if found == nil || len(sp.marks) < len(found.marks) || len(sp.marks) == len(found.marks) && sp.latest.Before(found.latest) {
			least, found = content, sp
		}
	}
	if len(qt.suspects) >= maxSuspects {
		delete(qt.suspects, least)
	}
}

// explain takes a crash that an excluded content caused out of the evidence against
// all others. A request does not clear the parts of its own prompt: one of them may
// be what is wrong with it.
func (qt *Quarantine) explain(ev *event, cause fingerprinter.Content) {
	if ev.explained {
		return
	}
	ev.explained = true
	for content, sp := range qt.suspects {
		sp.marks = slices.DeleteFunc(sp.marks, func(mk mark) bool {
			return mk.event == ev && (!cause.IsRequest() || mk.request != cause)
		})
		if len(sp.marks) == 0 {
			delete(qt.suspects, content)
		}
	}
}

// crashes returns the crashes that count against the suspect, each at another
// moment. If unanswered is set, only those count in which a request had no piece
// of its answer.
func (sp *suspect) crashes(now time.Time, unanswered bool) []*event {
	marks := slices.DeleteFunc(slices.Clone(sp.marks), func(mk mark) bool {
		return unanswered && mk.answering || now.Sub(mk.event.at) >= evidenceLifetime
	})
	slices.SortFunc(marks, func(one, two mark) int { return one.event.at.Compare(two.event.at) })
	var counted []*event
	for _, mk := range marks {
		if len(counted) > 0 {
			former := counted[len(counted)-1].at
			if mk.sent.Add(sentSlack).Before(former) && mk.event.at.Sub(former) < momentTime {
				continue
			}
		}
		counted = append(counted, mk.event)
	}
	return counted
}

func later(one, two time.Time) time.Time {
	if two.After(one) {
		return two
	}
	return one
}
