package limiter

import (
	"context"
	"math"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Lender is a peer that can be asked for a loan.
type Lender struct {
	// ID is the peer's node id.
	ID string
	// Address is where the peer is called.
	Address string
	// Slot is the peer's slot, or -1 if it has none.
	Slot int
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
	slot     int
	slots    int
	number   uint64
	// owed are the numbers of loans to return, by lender and limit.
	owed map[string]map[string][]uint64
}

// NoSlot is the slot of a node that has none.
const NoSlot = -1

// New returns a limiter without limits and without a slot.
func New(self string, peers Peers) *Limiter {
	return &Limiter{
		self:     self,
		peers:    peers,
		accounts: map[string]*account{},
		slot:     NoSlot,
		owed:     map[string]map[string][]uint64{},
	}
}

// Configure puts the limits of a configuration in force. A part that grows is
// used only when every use of it by others must have ended.
func (lm *Limiter) Configure(st *configurer.Settings, now time.Time) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	keep := map[string]bool{}
	for _, lt := range Limits(st) {
		keep[lt.name] = true
		ac, ok := lm.accounts[lt.name]
		if !ok {
			ac = &account{limit: lt}
			lm.accounts[lt.name] = ac
		}
		ac.limit = lt
		ac.setOwn(lm.part(lt), now)
	}
	for name := range lm.accounts {
		if !keep[name] {
			delete(lm.accounts, name)
		}
	}
}

// SetSlot tells which of how many slots belongs to this node.
func (lm *Limiter) SetSlot(slot, slots int, now time.Time) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if lm.slot == slot && lm.slots == slots {
		return
	}
	lm.slot, lm.slots = slot, slots
	for _, ac := range lm.accounts {
		ac.setOwn(lm.part(ac.limit), now)
	}
}

// Slot returns the node's slot, or NoSlot.
func (lm *Limiter) Slot() int {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return lm.slot
}

// part returns what belongs to the node's slot.
func (lm *Limiter) part(lt Limit) float64 {
	if lm.slot < 0 || lm.slots <= 0 {
		return 0
	}
	holders := Shareholders(lt.name, lm.slots)
	for ix, slot := range holders {
		if slot == lm.slot {
			return partOf(lt, ix, len(holders))
		}
	}
	return 0
}

// partOf divides a limit among its shareholders; units at once are whole.
func partOf(lt Limit, index, count int) float64 {
	if !lt.counts() {
		return lt.capacity / float64(count)
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
	return ok && ac.take(now)
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

// Using returns the operations in progress under a limit of units at once.
func (lm *Limiter) Using(name string) int {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if ac, ok := lm.accounts[name]; ok {
		return ac.using
	}
	return 0
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
	grant.Recall = ac.recall()
	return grant
}
