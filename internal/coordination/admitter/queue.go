package admitter

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// fairQuantum is the cost, in tokens, by which callers of a class may
	// differ before the one that got less goes first.
	fairQuantum = 1024.0
	// lateEvery is how many grants of a class queue there are to one late
	// request while others can still be on time.
	lateEvery = 4
)

// account is what one caller got within one class on this node.
type account struct {
	caller string
	served float64
	queued int
}

// classState is one priority class on this node.
type classState struct {
	name     string
	rank     int
	minShare float64
	// firstToken is the class's target.
	firstToken time.Duration
	// hold is how long its requests hold their slots.
	hold     average
	accounts map[string]*account
	clock    float64
	// arrivals holds the waiting entries in the order of their arrival.
	arrivals *list.List
	places   map[*Entry]*list.Element
}

func newClassState(cl *configurer.Class) *classState {
	return &classState{
		name:       cl.Name(),
		rank:       cl.Rank(),
		minShare:   cl.MinShare(),
		firstToken: cl.FirstToken(),
		accounts:   map[string]*account{},
		arrivals:   list.New(),
		places:     map[*Entry]*list.Element{},
	}
}

// account returns the caller's account. A caller that was idle starts level
// with the others, without the credit of its idle time.
func (cs *classState) account(caller string) *account {
	ac, ok := cs.accounts[caller]
	if !ok {
		ac = &account{caller: caller}
		cs.accounts[caller] = ac
	}
	if ac.queued == 0 {
		ac.served = max(ac.served, cs.clock)
	}
	return ac
}

// charge notes that an entry of the caller is served.
func (cs *classState) charge(ac *account, cost float64) {
	cs.clock = max(cs.clock, ac.served)
	ac.served += cost
}

// flow holds what one caller has waiting for one model in one class.
type flow struct {
	account *account
	line    *line
	fresh   entryHeap
	late    entryHeap
}

func newFlow(ac *account, ln *line) *flow {
	return &flow{account: ac, line: ln, late: entryHeap{late: true}}
}

func (fl *flow) heapOf(en *Entry) *entryHeap {
	if en.late {
		return &fl.late
	}
	return &fl.fresh
}

// age moves to the late ones what can't be on time any more.
func (fl *flow) age(now time.Time) {
	for {
		en := fl.fresh.head()
		if en == nil || now.Before(en.onTimeUntil) {
			return
		}
		heap.Pop(&fl.fresh)
		en.late = true
		heap.Push(&fl.late, en)
		fl.line.late++
	}
}

// line holds what waits for one model in one class.
type line struct {
	flows  []*flow
	count  int
	late   int
	grants int
	meter  meter
	// wanted is the time in which the prompts that wait are read.
	wanted time.Duration
}

func (ln *line) flow(caller string) *flow {
	for _, fl := range ln.flows {
		if fl.account.caller == caller {
			return fl
		}
	}
	return nil
}

// best returns the entry to be granted next, or nil. Callers that got much less
// than others go first; then what can still be on time, by its target; then the
// late ones, by deadline. One grant of lateEvery prefers the late ones, so that
// they advance as well.
func (ln *line) best(now time.Time, fits func(*Entry) bool) *Entry {
	var best *Entry
	for _, fl := range ln.flows {
		fl.age(now)
	}
	preferLate := ln.late > 0 && ln.grants%lateEvery == lateEvery-1
	for _, fl := range ln.flows {
		en := fl.choose(preferLate, fits)
		if en != nil && (best == nil || precedes(en, best, preferLate)) {
			best = en
		}
	}
	return best
}

func (fl *flow) choose(preferLate bool, fits func(*Entry) bool) *Entry {
	first, second := fl.fresh.head(), fl.late.head()
	if preferLate {
		first, second = second, first
	}
	if first != nil && fits(first) {
		return first
	}
	if second != nil && fits(second) {
		return second
	}
	return nil
}

// precedes reports whether the entry goes before the other one of its class.
func precedes(en, other *Entry, preferLate bool) bool {
	one, two := bucket(en.flow.account), bucket(other.flow.account)
	if one != two {
		return one < two
	}
	if en.late != other.late {
		return en.late == preferLate
	}
	return before(en, other, en.late)
}

func bucket(ac *account) int64 { return int64(ac.served / fairQuantum) }

// modelQueue holds what waits for one model, by class.
type modelQueue struct {
	model   string
	lines   []*line
	service meter
}

func (mq *modelQueue) waiting() int {
	sum := 0
	for _, ln := range mq.lines {
		sum += ln.count
	}
	return sum
}

// add puts an entry in its place.
func (mq *modelQueue) add(en *Entry, cs *classState, now time.Time) {
	ln := mq.lines[en.class]
	if ln.count == 0 {
		ln.meter.start(now)
	}
	ac := cs.account(en.ticket.Caller.Name())
	fl := ln.flow(ac.caller)
	if fl == nil {
		fl = newFlow(ac, ln)
		ln.flows = append(ln.flows, fl)
	}
	en.flow = fl
	heap.Push(&fl.fresh, en)
	ac.queued++
	ln.count++
	ln.wanted += en.wanted
	cs.places[en] = cs.arrivals.PushBack(en)
}

// remove takes an entry out.
func (mq *modelQueue) remove(en *Entry, cs *classState, now time.Time) {
	fl, ln := en.flow, en.flow.line
	heap.Remove(fl.heapOf(en), en.heapIndex)
	if en.late {
		ln.late--
	}
	ln.count--
	ln.wanted -= en.wanted
	fl.account.queued--
	cs.arrivals.Remove(cs.places[en])
	delete(cs.places, en)
	if fl.fresh.Len()+fl.late.Len() == 0 {
		ln.drop(fl)
	}
	if ln.count == 0 {
		ln.meter.stop(now)
	}
}

func (ln *line) drop(gone *flow) {
	for ix, fl := range ln.flows {
		if fl == gone {
			ln.flows = append(ln.flows[:ix], ln.flows[ix+1:]...)
			return
		}
	}
}
