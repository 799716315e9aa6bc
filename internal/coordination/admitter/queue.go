package admitter

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// fairQuantum is the unit, in tokens, in which the served costs of the
	// callers of a class are compared; the caller with fewer units goes first.
	fairQuantum = 1024.0
	// lateGrantInterval is the number of grants of a class queue of which one
	// prefers a late request to those that can still be on time.
	lateGrantInterval = 4
)

// account is the service that one caller got within one class on this node.
type account struct {
	caller string
	// served is the cost of the granted requests, in tokens, at least the
	// virtual time of the class when the caller became active.
	served float64
	// queued is the number of waiting requests.
	queued int
}

// classState is the state of one priority class on this node.
type classState struct {
	name string
	// rank is zero for the most urgent class.
	rank int
	// minShare is the minimum fraction of a server's work that the class gets.
	minShare float64
	// firstToken is the target for the time to the first token.
	firstToken time.Duration
	// holdTime is how long the requests of the class occupy their slots.
	holdTime movingAverage
	// budgets recognises later attempts of requests.
	budgets *budgets
	// accounts holds the callers' accounts by caller name.
	accounts map[string]*account
	// virtualTime is the greatest served cost, in tokens, of an account at the
	// time of a grant to it, as in fair queueing.
	virtualTime float64
	// arrivals holds the waiting entries in the order of arrival, and elements
	// the place of each.
	arrivals *list.List
	elements map[*Entry]*list.Element
}

func newClassState(cl *configurer.Class) *classState {
	return &classState{
		name:       cl.Name(),
		rank:       cl.Rank(),
		minShare:   cl.MinShare(),
		firstToken: cl.FirstToken(),
		budgets:    &budgets{},
		accounts:   map[string]*account{},
		arrivals:   list.New(),
		elements:   map[*Entry]*list.Element{},
	}
}

// account returns the caller's account. A caller without waiting requests
// starts at the virtual time, so that it gets no credit for idle time.
func (cs *classState) account(caller string) *account {
	ac, ok := cs.accounts[caller]
	if !ok {
		ac = &account{caller: caller}
		cs.accounts[caller] = ac
	}
	if ac.queued == 0 {
		ac.served = max(ac.served, cs.virtualTime)
	}
	return ac
}

// charge adds the cost of a granted entry to the caller's account.
func (cs *classState) charge(ac *account, cost float64) {
	cs.virtualTime = max(cs.virtualTime, ac.served)
	ac.served += cost
}

// flow holds the waiting entries of one caller for one model in one class.
type flow struct {
	account    *account
	classQueue *classQueue
	// onTime holds the entries that can still meet their first-token target.
	onTime entryHeap
	late   entryHeap
}

func newFlow(ac *account, cq *classQueue) *flow {
	return &flow{account: ac, classQueue: cq, late: entryHeap{late: true}}
}

func (fl *flow) heapOf(en *Entry) *entryHeap {
	if en.late {
		return &fl.late
	}
	return &fl.onTime
}

// moveLate moves the entries that can't be on time any more to the late heap.
func (fl *flow) moveLate(now time.Time) {
	for {
		en := fl.onTime.peek()
		if en == nil || now.Before(en.onTimeUntil) {
			return
		}
		heap.Pop(&fl.onTime)
		en.late = true
		heap.Push(&fl.late, en)
		fl.classQueue.late++
	}
}

// classQueue holds the waiting entries for one model in one class.
type classQueue struct {
	flows []*flow
	// count is the number of waiting entries, and late that of the late ones.
	count int
	late  int
	// kept is the number of late entries that wait on although they are displaced.
	kept int
	// grants counts the grants to waiting entries.
	grants int
	// meter measures the rate of these grants while entries wait.
	meter meter
	// since is when the first of the waiting entries began to wait without a
	// break since then.
	since time.Time
	// ownPrefillTime is the sum of that of the waiting entries.
	ownPrefillTime time.Duration
}

func (cq *classQueue) flow(caller string) *flow {
	for _, fl := range cq.flows {
		if fl.account.caller == caller {
			return fl
		}
	}
	return nil
}

// best returns the entry to be granted next among those that fit, or nil.
// Entries of callers that were served fewer whole fairQuanta go first; among
// these, entries that can still be on time, by onTimeUntil; then late ones, by
// deadline. One of lateGrantInterval grants prefers late entries, so that they
// don't starve.
func (cq *classQueue) best(now time.Time, fits func(*Entry) bool) *Entry {
	var best *Entry
	for _, fl := range cq.flows {
		fl.moveLate(now)
	}
	preferLate := cq.ownPrefillTime == 0 && cq.late > 0 && cq.grants%lateGrantInterval == lateGrantInterval-1
	for _, fl := range cq.flows {
		en := fl.choose(preferLate, fits)
		if en != nil && (best == nil || precedes(en, best, preferLate)) {
			best = en
		}
	}
	return best
}

func (fl *flow) choose(preferLate bool, fits func(*Entry) bool) *Entry {
	first, second := fl.onTime.peek(), fl.late.peek()
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

// precedes reports whether the entry goes before another one of its class.
func precedes(en, other *Entry, preferLate bool) bool {
	one, two := bucket(en.flow.account), bucket(other.flow.account)
	if one != two {
		return one < two
	}
	if en.late != other.late {
		return en.late == preferLate
	}
	return earlier(en, other, en.late)
}

// bucket returns the served cost of the account in whole fairQuanta.
func bucket(ac *account) int64 { return int64(ac.served / fairQuantum) }

// modelQueue holds the waiting entries for one model.
type modelQueue struct {
	model string
	// byClass is indexed like Scheduler.classes.
	byClass []*classQueue
	service meter
}

func (mq *modelQueue) waiting() int {
	sum := 0
	for _, cq := range mq.byClass {
		sum += cq.count
	}
	return sum
}

// add queues an entry.
func (mq *modelQueue) add(en *Entry, cs *classState, now time.Time) {
	cq := mq.byClass[en.class]
	if cq.count == 0 {
		cq.meter.start(now)
		cq.since = now
	}
	ac := cs.account(en.ticket.Caller.Name())
	fl := cq.flow(ac.caller)
	if fl == nil {
		fl = newFlow(ac, cq)
		cq.flows = append(cq.flows, fl)
	}
	en.flow = fl
	heap.Push(&fl.onTime, en)
	ac.queued++
	cq.count++
	cq.ownPrefillTime += en.ownPrefillTime
	cs.elements[en] = cs.arrivals.PushBack(en)
}

// remove removes a waiting entry.
func (mq *modelQueue) remove(en *Entry, cs *classState, now time.Time) {
	fl, cq := en.flow, en.flow.classQueue
	heap.Remove(fl.heapOf(en), en.heapIndex)
	if en.late {
		cq.late--
	}
	if en.kept {
		cq.kept--
	}
	cq.count--
	cq.ownPrefillTime -= en.ownPrefillTime
	fl.account.queued--
	cs.arrivals.Remove(cs.elements[en])
	delete(cs.elements, en)
	if fl.onTime.Len()+fl.late.Len() == 0 {
		cq.removeFlow(fl)
	}
	if cq.count == 0 {
		cq.meter.stop(now)
	}
}

func (cq *classQueue) removeFlow(removed *flow) {
	for ix, fl := range cq.flows {
		if fl == removed {
			cq.flows = append(cq.flows[:ix], cq.flows[ix+1:]...)
			return
		}
	}
}
