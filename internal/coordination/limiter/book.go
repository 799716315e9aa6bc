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

// Lender is a peer from which the node can request a loan.
type Lender struct {
	// ID is the node id of the peer.
	ID string
	// Address is the address at which Peers calls the peer.
	Address string
	// Slots are the slots that the peer holds.
	Slots []int
}

// Peers calls other nodes.
type Peers interface {
	// Call sends a message to the peer at the address and returns its answer.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Limiter holds one node's part of every shared limit. It is safe for
// concurrent use.
type Limiter struct {
	self  string
	peers Peers

	mu sync.Mutex
	// accounts holds the account of each limit by the limit's name.
	accounts map[string]*account
	// held holds the node's slots, each with the time at which the node took it
	// over, or the zero time if nobody held it before.
	held map[int]time.Time
	// slots is the number of slots of all nodes.
	slots int
	// dropped holds, for each limit that was removed from the settings, the time
	// at which its last use must have ended.
	dropped  map[string]time.Time
	registry *counter.Registry
	// lastNumber is the number of the last loan request.
	lastNumber uint64
	// pendingReturns holds the numbers of loans to return, by lender and limit.
	pendingReturns map[string]map[string][]uint64
}

// NoSlot is the slot number of a node without a slot.
const NoSlot = -1

// Option configures a Limiter.
type Option func(*Limiter)

// WithRegistry makes the limiter count loans and refusals in rg.
func WithRegistry(rg *counter.Registry) Option {
	return func(lm *Limiter) { lm.registry = rg }
}

// New returns a limiter of the node self, without limits and without a slot.
func New(self string, peers Peers, opts ...Option) *Limiter {
	lm := &Limiter{
		self:           self,
		peers:          peers,
		accounts:       map[string]*account{},
		held:           map[int]time.Time{},
		dropped:        map[string]time.Time{},
		pendingReturns: map[string]map[string][]uint64{},
	}
	for _, opt := range opts {
		opt(lm)
	}
	return lm
}

// Configure applies the limits of the settings. A part that grows is used only
// when every use of it by others must have ended.
func (lm *Limiter) Configure(st *configurer.Settings, now time.Time) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	keep := map[string]bool{}
	lm.slots = st.Limits().EntryNodes()
	for _, lt := range Limits(st) {
		keep[lt.name] = true
		ac, ok := lm.accounts[lt.name]
		if !ok {
			lm.accounts[lt.name] = lm.openAccount(lt, now)
			continue
		}
		ac.limit = lt
		ac.unslotted = lt.unslotted(lm.slots)
		ac.setOwn(lm.part(lt), now)
	}
	for name, ac := range lm.accounts {
		if !keep[name] {
			lm.dropped[name] = now.Add(ac.limit.drainTime())
			delete(lm.accounts, name)
		}
	}
}

// openAccount returns the account of a limit that is new to this node. Its part
// takes effect at once unless uses of the limit or of the slot by others may
// not have ended yet.
func (lm *Limiter) openAccount(lt Limit, now time.Time) *account {
	ac := &account{limit: lt, unslotted: lt.unslotted(lm.slots)}
	ready := lm.dropped[lt.name]
	for _, since := range lm.held {
		if end := since.Add(lt.drainTime()); !since.IsZero() && end.After(ready) {
			ready = end
		}
	}
	delete(lm.dropped, lt.name)
	part := lm.part(lt)
	if now.Before(ready) {
		ac.pendingOwn, ac.pendingAt = part, ready
		return ac
	}
	ac.addUnused(part, now)
	return ac
}

// AddSlot adds one of the slots to those of this node. The node uses a fresh
// slot, which nobody held before, at once. It uses another slot only after the
// limit's drain time.
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

// DropSlot removes a slot that does not belong to this node any more.
func (lm *Limiter) DropSlot(slot int, now time.Time) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	delete(lm.held, slot)
	for _, ac := range lm.accounts {
		ac.setOwn(lm.part(ac.limit), now)
	}
}

// SlotsHeld returns the numbers of the node's slots in ascending order.
func (lm *Limiter) SlotsHeld() []int {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return slices.Sorted(maps.Keys(lm.held))
}

// part returns the amount of the limit that belongs to the node's slots.
func (lm *Limiter) part(lt Limit) float64 {
	holders := SlotsOf(lt.name, lm.slots)
	total := 0.0
	for ix, slot := range holders {
		if _, ok := lm.held[slot]; ok {
			total += partOf(lt, ix, len(holders))
		}
	}
	return total
}

// partOf returns the part of one of the count slots of a limit. The parts of a
// concurrency limit are whole numbers.
func partOf(lt Limit, index, count int) float64 {
	if !lt.concurrent() {
		return lt.slotted() / float64(count)
	}
	total := int(lt.capacity)
	part := total / count
	if index < total%count {
		part++
	}
	return float64(part)
}

// SlotsOf returns the numbers of the slots that a limit is divided among, by
// rendezvous hashing, so that all nodes get the same result.
func SlotsOf(limit string, slots int) []int {
	order := make([]int, slots)
	weights := make([]uint64, slots)
	for slot := range order {
		order[slot] = slot
		weights[slot] = xxhash.Sum64String(limit + "\n" + strconv.Itoa(slot))
	}
	sort.Slice(order, func(ix, jx int) bool { return weights[order[ix]] > weights[order[jx]] })
	return order[:min(maxSlotsPerLimit, slots)]
}

// Take uses one unit of the limit and reports whether this node had one. A
// limit that is not configured allows nothing.
func (lm *Limiter) Take(name string, now time.Time) bool { return lm.TakeUnits(name, 1, now) }

// TakeUnits is Take for several units of a rate.
func (lm *Limiter) TakeUnits(name string, units int, now time.Time) bool {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[name]
	if ok && ac.take(float64(units), now) {
		return true
	}
	lm.registry.Inc("limit", "refused", kindOf(name))
	return false
}

// GiveBack returns units of a rate that were taken for a use that did not happen.
func (lm *Limiter) GiveBack(name string, units int, now time.Time) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if ac, ok := lm.accounts[name]; ok {
		ac.giveBack(float64(units), now)
	}
}

// Release ends an operation under a concurrency limit.
func (lm *Limiter) Release(name string) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if ac, ok := lm.accounts[name]; ok {
		ac.release()
	}
}

// RetryAfter returns the time until units may be available at the current
// share.
func (lm *Limiter) RetryAfter(name string, units int, now time.Time) time.Duration {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[name]
	if !ok || ac.limit.concurrent() {
		return BorrowInterval
	}
	return ac.wait(float64(units), now)
}

// Share returns the amount of the limit that the node may use now, in uses per
// second for a rate and in operations for a concurrency limit.
func (lm *Limiter) Share(name string, now time.Time) float64 {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[name]
	if !ok {
		return 0
	}
	ac.advance(now)
	return math.Max(ac.share(now), 0)
}

// DropLoansTo removes the loans to a node whose VM is gone for good. It must be
// called only when the platform reports the VM as gone, and no earlier than the
// limit's drain time after that.
func (lm *Limiter) DropLoansTo(peer string) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	for _, ac := range lm.accounts {
		ac.dropLoansTo(peer)
	}
	delete(lm.pendingReturns, peer)
}

// Answer answers a loan request of a peer: it removes the loans that the peer
// returns, confirms those that it extends, and lends what this node can spare.
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
	for _, number := range call.Extend {
		if ac.hasLent(call.From, number) {
			grant.Extended = append(grant.Extended, number)
		}
	}
	grant.Amount = ac.lend(call.From, call.Number, call.Wanted, now)
	if grant.Amount > 0 {
		lm.registry.Inc("limit", "lent", kindOf(call.Limit))
	}
	grant.Recall = ac.recall()
	return grant
}

// NeedsLoan reports whether the node has no share and no token of a rate now.
// A use then has to wait for a loan, or for settings with the limit.
func (lm *Limiter) NeedsLoan(name string, now time.Time) bool {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[name]
	if !ok {
		return true
	}
	ac.advance(now)
	return ac.share(now) <= rounding && ac.tokens < 1
}

// Ready reports whether units of a rate are available. The call counts as
// demand, since whoever calls it waits for them.
func (lm *Limiter) Ready(name string, units int, now time.Time) bool {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac, ok := lm.accounts[name]
	if !ok {
		return false
	}
	ac.advance(now)
	ac.wanted = max(ac.wanted, float64(units))
	return ac.covers(float64(units), now)
}
