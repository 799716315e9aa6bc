package limiter

import (
	"context"
	"maps"
	"math"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Lender is a peer that can be asked for a loan.
type Lender struct {
	// ID is the peer's node id.
	ID string
	// Address is where the peer is called.
	Address string
	// Slots are the slots that the peer holds.
	Slots []int
}

// Peers calls other nodes.
type Peers interface {
	// Call sends a message to the peer at the address.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Limiter holds one node's part of every shared limit. It may be used by
// several goroutines.
type Limiter struct {
	self  string
	peers Peers

	mu       sync.Mutex
	accounts map[string]*account
	// held are the node's slots, each with the time from which on nothing of
	// an earlier holder can be left; slots is how many there are in all.
	held     map[int]time.Time
	slots    int
	dropped  map[string]time.Time
	registry *counter.Registry
	number   uint64
	// owed are the numbers of loans to return, by lender and limit.
	owed map[string]map[string][]uint64
}

// NoSlot is the slot of a node that has none.
const NoSlot = -1

// Option changes a Limiter that is being made.
type Option func(*Limiter)

// WithRegistry makes the limiter count loans and refusals.
func WithRegistry(rg *counter.Registry) Option {
	return func(lm *Limiter) { lm.registry = rg }
}

// New returns a limiter without limits and without a slot.
func New(self string, peers Peers, opts ...Option) *Limiter {
	lm := &Limiter{
		self:     self,
		peers:    peers,
		accounts: map[string]*account{},
		held:     map[int]time.Time{},
		dropped:  map[string]time.Time{},
		owed:     map[string]map[string][]uint64{},
	}
	for _, opt := range opts {
		opt(lm)
	}
	return lm
}

// Configure puts the limits of a configuration in force. A part that grows is
// used only when every use of it by others must have ended.
func (lm *Limiter) Configure(st *configurer.Settings, now time.Time) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	keep := map[string]bool{}
	lm.slots = st.Limits().EntryNodes()
	for _, lt := range Limits(st) {
		keep[lt.name] = true
		ac, ok := lm.accounts[lt.name]
		if !ok {
			lm.accounts[lt.name] = lm.open(lt, now)
			continue
		}
		ac.limit = lt
		ac.aside = lt.aside(lm.slots)
		ac.setOwn(lm.part(lt), now)
	}
	for name, ac := range lm.accounts {
		if !keep[name] {
			lm.dropped[name] = now.Add(ac.limit.quietTime())
			delete(lm.accounts, name)
		}
	}
}

// open makes the account of a limit that is new to this node. Its part is in
// force at once unless the limit or the slot was in use lately.
func (lm *Limiter) open(lt Limit, now time.Time) *account {
	ac := &account{limit: lt, aside: lt.aside(lm.slots)}
	ready := lm.dropped[lt.name]
	for _, since := range lm.held {
		if end := since.Add(lt.quietTime()); !since.IsZero() && end.After(ready) {
			ready = end
		}
	}
	delete(lm.dropped, lt.name)
	part := lm.part(lt)
	if now.Before(ready) {
		ac.rising, ac.risesAt = part, ready
		return ac
	}
	ac.addUnused(part, now)
	return ac
}

// AddSlot tells that one more of the slots belongs to this node. A slot that
// nobody held before, a fresh one, is used at once.
func (lm *Limiter) AddSlot(slot, slots int, fresh bool, now time.Time) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if _, ok := lm.held[slot]; ok && lm.slots == slots {
		return
	}
	before := map[string]float64{}
	for name, ac := range lm.accounts {
		before[name] = lm.part(ac.limit)
	}
	fresh = fresh && lm.slots == slots
	lm.slots = slots
	lm.held[slot] = time.Time{}
	if !fresh {
		lm.held[slot] = now
	}
	for name, ac := range lm.accounts {
		part := lm.part(ac.limit)
		if fresh {
			ac.addUnused(part-before[name], now)
			continue
		}
		ac.setOwn(part, now)
	}
}

// DropSlot tells that a slot does not belong to this node any more.
func (lm *Limiter) DropSlot(slot int, now time.Time) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	delete(lm.held, slot)
	for _, ac := range lm.accounts {
		ac.setOwn(lm.part(ac.limit), now)
	}
}

// SlotsHeld returns the node's slots in their order.
func (lm *Limiter) SlotsHeld() []int {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return slices.Sorted(maps.Keys(lm.held))
}

// part returns what belongs to the node's slots.
func (lm *Limiter) part(lt Limit) float64 {
	holders := Shareholders(lt.name, lm.slots)
	total := 0.0
	for ix, slot := range holders {
		if _, ok := lm.held[slot]; ok {
			total += partOf(lt, ix, len(holders))
		}
	}
	return total
}

// partOf divides a limit among its shareholders; units at once are whole.
func partOf(lt Limit, index, count int) float64 {
	if !lt.counts() {
		return lt.slotted() / float64(count)
	}
	total := int(lt.capacity)
	part := total / count
	if index < total%count {
		part++
	}
	return float64(part)
}

// Shareholders returns the slots that a limit is divided among, the same for
// all nodes.
func Shareholders(limit string, slots int) []int {
	order := make([]int, slots)
	weights := make([]uint64, slots)
	for slot := range order {
		order[slot] = slot
		weights[slot] = xxhash.Sum64String(limit + "\n" + strconv.Itoa(slot))
	}
	sort.Slice(order, func(ix, jx int) bool { return weights[order[ix]] > weights[order[jx]] })
	return order[:min(shareholders, slots)]
}

// Take uses one unit of the limit if this node has one, and reports whether it
// had. A limit that is not configured allows nothing.
func (lm *Limiter) Take(name string, now time.Time) bool {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[name]
	if ok && ac.take(now) {
		return true
	}
	lm.registry.Inc("limit", "refused", kindOf(name))
	return false
}

// Release ends an operation under a limit of units at once.
func (lm *Limiter) Release(name string) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if ac, ok := lm.accounts[name]; ok {
		ac.release()
	}
}

// RetryAfter returns when a unit may be there again at the present share.
func (lm *Limiter) RetryAfter(name string, now time.Time) time.Duration {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[name]
	if !ok || ac.limit.counts() {
		return BorrowInterval
	}
	return ac.wait(now)
}

// Share returns the part of the limit that the node may use now.
func (lm *Limiter) Share(name string, now time.Time) float64 {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[name]
	if !ok {
		return 0
	}
	ac.settle(now)
	return math.Max(ac.share(now), 0)
}

// Forget ends what was lent to a node whose VM is gone for good. It must be
// called only when the platform says so, and no earlier than the limit's quiet
// time after it did.
func (lm *Limiter) Forget(peer string) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	for _, ac := range lm.accounts {
		ac.forgetPeer(peer)
	}
	delete(lm.owed, peer)
}

// Answer answers a peer that asks for a loan.
func (lm *Limiter) Answer(call *messenger.ShareRequest, now time.Time) *messenger.ShareGrant {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	grant := &messenger.ShareGrant{}
	ac, ok := lm.accounts[call.Limit]
	if !ok {
		return grant
	}
	for _, number := range call.Return {
		ac.dropLent(call.From, number)
	}
	for _, number := range call.Touch {
		if ac.hasLent(call.From, number) {
			grant.Touched = append(grant.Touched, number)
		}
	}
	grant.Amount = ac.lend(call.From, call.Number, call.Wanted, now)
	if grant.Amount > 0 {
		lm.registry.Inc("limit", "lent", kindOf(call.Limit))
	}
	grant.Recall = ac.recall()
	return grant
}

// Expects reports whether the node has no part of a rate now, which a loan
// could change.
func (lm *Limiter) Expects(name string, now time.Time) bool {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[name]
	if !ok {
		return true
	}
	ac.settle(now)
	return ac.share(now) <= rounding && ac.tokens < 1
}

// Ready reports whether a unit of a rate is there. A caller that asks waits for
// it, which counts as demand.
func (lm *Limiter) Ready(name string, now time.Time) bool {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[name]
	if !ok {
		return false
	}
	ac.settle(now)
	ac.wanted = max(ac.wanted, 1)
	return ac.tokens >= 1
}
