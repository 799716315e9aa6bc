package limiter

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// ask is one call to make: a request to a lender.
type ask struct {
	lender  Lender
	request *messenger.ShareRequest
	asked   time.Time
}

// Borrow asks peers once for what this node lacks, extends its loans and
// returns those that it does not need. The time that loans count from is read
// from clock before each call.
func (lm *Limiter) Borrow(ctx context.Context, lenders []Lender, clock func() time.Time) {
	for _, name := range lm.names() {
		for _, ld := range lenders {
			if ld.ID == lm.self {
				continue
			}
			asking, ok := lm.prepare(name, ld, clock())
			if !ok {
				continue
			}
			answer, err := lm.peers.Call(ctx, ld.Address, asking.request)
			grant, ok := answer.(*messenger.ShareGrant)
			if err != nil || !ok {
				lm.lose(name, asking)
				continue
			}
			lm.settleGrant(name, asking, grant, clock())
		}
	}
}

func (lm *Limiter) names() []string {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	names := make([]string, 0, len(lm.accounts))
	for name := range lm.accounts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// prepare makes the request to one lender, or reports that there is nothing to
// ask of it.
func (lm *Limiter) prepare(name string, ld Lender, now time.Time) (ask, bool) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[name]
	if !ok {
		return ask{}, false
	}
	rq := &messenger.ShareRequest{From: lm.self, Limit: name}
	if lm.holdsPart(name, ld.Slots) {
		rq.Wanted = ac.lack(now)
	}
	if ac.limit.counts() {
		rq.Touch = loansFrom(ac.borrowed, ld.ID)
		rq.Return = lm.owedTo(ld.ID, name)
	}
	if rq.Wanted <= rounding && len(rq.Touch) == 0 && len(rq.Return) == 0 {
		return ask{}, false
	}
	lm.number++
	rq.Number = lm.number
	return ask{lender: ld, request: rq, asked: now}, true
}

func (lm *Limiter) holdsPart(name string, slots []int) bool {
	for _, holder := range Shareholders(name, lm.slots) {
		if slices.Contains(slots, holder) {
			return true
		}
	}
	return false
}

func loansFrom(loans []loan, peer string) []uint64 {
	var numbers []uint64
	for _, ln := range loans {
		if ln.peer == peer {
			numbers = append(numbers, ln.number)
		}
	}
	return numbers
}

func (lm *Limiter) owedTo(peer, name string) []uint64 {
	return append([]uint64(nil), lm.owed[peer][name]...)
}

func (lm *Limiter) owe(peer, name string, numbers ...uint64) {
	if lm.owed[peer] == nil {
		lm.owed[peer] = map[string][]uint64{}
	}
	lm.owed[peer][name] = append(lm.owed[peer][name], numbers...)
}

// lose notes that the answer to a request did not arrive. A loan of units at
// once that may have been granted is returned with the next request.
func (lm *Limiter) lose(name string, asking ask) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[name]
	if ok && ac.limit.counts() && asking.request.Wanted > rounding {
		lm.owe(asking.lender.ID, name, asking.request.Number)
	}
}

// settleGrant takes in an answer.
func (lm *Limiter) settleGrant(name string, asking ask, grant *messenger.ShareGrant, now time.Time) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[name]
	if !ok {
		return
	}
	peer := asking.lender.ID
	lm.paid(peer, name, asking.request.Return)
	if grant.Amount > rounding {
		lm.registry.Inc("limit", "borrowed", kindOf(name))
		ac.borrow(peer, asking.request.Number, grant.Amount, asking.asked)
	}
	if !ac.limit.counts() {
		return
	}
	for _, number := range grant.Touched {
		ac.touch(peer, number, asking.asked)
	}
	if numbers := ac.giveBack(peer, grant.Recall, now); len(numbers) > 0 {
		lm.owe(peer, name, numbers...)
	}
}

// paid forgets the returns that a lender has taken in.
func (lm *Limiter) paid(peer, name string, numbers []uint64) {
	done := map[uint64]bool{}
	for _, number := range numbers {
		done[number] = true
	}
	var left []uint64
	for _, number := range lm.owed[peer][name] {
		if !done[number] {
			left = append(left, number)
		}
	}
	if lm.owed[peer] != nil {
		lm.owed[peer][name] = left
	}
}
