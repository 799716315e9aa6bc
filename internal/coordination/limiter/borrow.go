package limiter

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// loanRequest is a request to a lender. A loan counts from requestedAt.
type loanRequest struct {
	lender      Lender
	request     *messenger.ShareRequest
	requestedAt time.Time
}

// Borrow calls each lender at most once per limit: it requests loans for what
// this node lacks, extends its loans and returns those that it does not need. A
// loan counts from the time that clock returns before the call.
func (lm *Limiter) Borrow(ctx context.Context, lenders []Lender, clock func() time.Time) {
	for _, name := range lm.names() {
		for _, ld := range lenders {
			if ld.ID == lm.self {
				continue
			}
			lr, ok := lm.buildRequest(name, ld, clock())
			if !ok {
				continue
			}
			answer, err := lm.peers.Call(ctx, ld.Address, lr.request)
			grant, ok := answer.(*messenger.ShareGrant)
			if err != nil || !ok {
				lm.handleLostAnswer(name, lr)
				continue
			}
			lm.applyGrant(name, lr, grant, clock())
		}
	}
}

// names returns the names of all limits in alphabetical order.
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

// buildRequest returns the request to one lender, or false if there is nothing
// to request, extend or return.
func (lm *Limiter) buildRequest(name string, ld Lender, now time.Time) (loanRequest, bool) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[name]
	if !ok {
		return loanRequest{}, false
	}
	rq := &messenger.ShareRequest{From: lm.self, Limit: name}
	if lm.holdsPart(name, ld.Slots) {
		rq.Wanted = ac.shortfall(now)
	}
	if ac.limit.concurrent() {
		rq.Extend = loansFrom(ac.borrowed, ld.ID)
		rq.Return = lm.pendingReturnsTo(ld.ID, name)
	}
	if rq.Wanted <= rounding && len(rq.Extend) == 0 && len(rq.Return) == 0 {
		return loanRequest{}, false
	}
	lm.lastNumber++
	rq.Number = lm.lastNumber
	return loanRequest{lender: ld, request: rq, requestedAt: now}, true
}

// holdsPart reports whether the limit is divided among any of the slots.
func (lm *Limiter) holdsPart(name string, slots []int) bool {
	for _, holder := range SlotsOf(name, lm.slots) {
		if slices.Contains(slots, holder) {
			return true
		}
	}
	return false
}

// loansFrom returns the numbers of the loans from the peer.
func loansFrom(loans []loan, peer string) []uint64 {
	var numbers []uint64
	for _, ln := range loans {
		if ln.peer == peer {
			numbers = append(numbers, ln.number)
		}
	}
	return numbers
}

// pendingReturnsTo returns the numbers of the loans to return to the peer.
func (lm *Limiter) pendingReturnsTo(peer, name string) []uint64 {
	return append([]uint64(nil), lm.pendingReturns[peer][name]...)
}

// addReturns records the loans to return to the peer with the next request.
func (lm *Limiter) addReturns(peer, name string, numbers ...uint64) {
	if lm.pendingReturns[peer] == nil {
		lm.pendingReturns[peer] = map[string][]uint64{}
	}
	lm.pendingReturns[peer][name] = append(lm.pendingReturns[peer][name], numbers...)
}

// handleLostAnswer handles a request without an answer. A loan of a concurrency
// limit that may have been granted is returned with the next request.
func (lm *Limiter) handleLostAnswer(name string, lr loanRequest) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[name]
	if ok && ac.limit.concurrent() && lr.request.Wanted > rounding {
		lm.addReturns(lr.lender.ID, name, lr.request.Number)
	}
}

// applyGrant applies the answer of a lender.
func (lm *Limiter) applyGrant(name string, lr loanRequest, grant *messenger.ShareGrant, now time.Time) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[name]
	if !ok {
		return
	}
	peer := lr.lender.ID
	lm.clearReturns(peer, name, lr.request.Return)
	if grant.Amount > rounding {
		lm.registry.Inc("limit", "borrowed", kindOf(name))
		ac.borrow(peer, lr.request.Number, grant.Amount, lr.requestedAt)
	}
	if !ac.limit.concurrent() {
		return
	}
	for _, number := range grant.Extended {
		ac.extend(peer, number, lr.requestedAt)
	}
	if numbers := ac.returnLoans(peer, grant.Recall, now); len(numbers) > 0 {
		lm.addReturns(peer, name, numbers...)
	}
}

// clearReturns removes the returns that a lender has received.
func (lm *Limiter) clearReturns(peer, name string, numbers []uint64) {
	done := map[uint64]bool{}
	for _, number := range numbers {
		done[number] = true
	}
	var left []uint64
	for _, number := range lm.pendingReturns[peer][name] {
		if !done[number] {
			left = append(left, number)
		}
	}
	if lm.pendingReturns[peer] != nil {
		lm.pendingReturns[peer][name] = left
	}
}
