package runner

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/gossiper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/limiter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// slotKeyPrefix is the prefix of the gossip keys of slot holders.
	slotKeyPrefix = "slot/"
	// slotInterval is the mean time between two checks of the slots.
	slotInterval = 500 * time.Millisecond
	// minSlotRetry and maxSlotRetry bound the mean backoff after a failed claim or
	// adoption of a slot.
	minSlotRetry = 250 * time.Millisecond
	maxSlotRetry = 10 * time.Second
	// departureTimeout is how long a node must be missing from the VM list before
	// a node without a slot may claim its slot. A slot that was never held stays
	// free for the same time before a node adopts it.
	// adoptionTimeout is how long the node must be missing before a node that has
	// a slot may adopt its slot too.
	departureTimeout = 30 * time.Second
	adoptionTimeout  = time.Minute
	// borrowPause is the minimum time between two rounds of borrowing.
	borrowPause = 50 * time.Millisecond
	// loanTimeout bounds how long a request waits for the node's first loan of
	// its caller's quota.
	loanTimeout = time.Second
)

// limits is the node's share of the limits that all nodes share.
type limits struct {
	limiter    *limiter.Limiter
	departures *limiter.Departures
	// wake makes borrow run a round early.
	wake chan struct{}
	// started is when the node was created.
	started time.Time
	mu      sync.Mutex
	// configured are the settings that the limiter uses.
	configured *configurer.Settings
}

func (nd *Node) buildLimits() {
	nd.limiter = limiter.New(nd.identity.ID(), nd.pool, limiter.WithRegistry(nd.registry))
	nd.departures = limiter.NewDepartures(nd.identity.ID())
	nd.wake = make(chan struct{}, 1)
	nd.started = time.Now()
	nd.prober.Gossiper().Subscribe(nd.releaseLostSlot)
}

// wakeBorrow makes the node request loans without waiting for the next round.
func (ls *limits) wakeBorrow() {
	select {
	case ls.wake <- struct{}{}:
	default:
	}
}

// borrow configures the limits and requests loans until the context ends.
func (nd *Node) borrow(ctx context.Context) error {
	tk := time.NewTicker(limiter.BorrowInterval)
	defer tk.Stop()
	for {
		if rv := nd.holder.Current(); rv != nil {
			nd.configureLimits()
			nd.limiter.Borrow(ctx, nd.lenders(), time.Now)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(borrowPause):
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tk.C:
		case <-nd.wake:
		}
	}
}

// configureLimits passes new settings to the limiter.
func (nd *Node) configureLimits() {
	nd.limits.mu.Lock()
	defer nd.limits.mu.Unlock()
	if st := nd.settings(); st != nd.configured {
		nd.configured = st
		nd.limiter.Configure(st, time.Now())
	}
}

// lenders returns the peers that are not dead, with the slots that they hold.
func (nd *Node) lenders() []limiter.Lender {
	held := map[string][]int{}
	for key, payload := range nd.prober.Gossiper().Snapshot(slotKeyPrefix) {
		if slot, err := strconv.Atoi(strings.TrimPrefix(key, slotKeyPrefix)); err == nil {
			held[string(payload)] = append(held[string(payload)], slot)
		}
	}
	vw := nd.prober.View()
	var all []limiter.Lender
	for _, mb := range vw.Members() {
		if mb.State != prober.Dead && mb.ID != vw.Self() {
			all = append(all, limiter.Lender{ID: mb.ID, Address: mb.PeerAddress, Slots: held[mb.ID]})
		}
	}
	return all
}

// releaseLostSlot drops a slot that another node took over. It is called for
// each gossip entry.
func (nd *Node) releaseLostSlot(key string, _ gossiper.Version, payload []byte) {
	slot, err := strconv.Atoi(strings.TrimPrefix(key, slotKeyPrefix))
	if err != nil || !strings.HasPrefix(key, slotKeyPrefix) || string(payload) == nd.identity.ID() {
		return
	}
	for _, held := range nd.limiter.SlotsHeld() {
		if held == slot {
			nd.registry.Inc("limit", "slot-lost")
			nd.limiter.DropSlot(slot, time.Now())
		}
	}
}

// maintainSlots claims a slot and adopts slots without a holder, until the
// context ends. It retries after a backoff.
func (nd *Node) maintainSlots(ctx context.Context) error {
	var retryAt time.Time
	delay := minSlotRetry
	for {
		if rv := nd.holder.Current(); rv != nil {
			nd.noteDepartures()
			nd.configureLimits()
			slots := rv.Settings().Limits().EntryNodes()
			switch now := time.Now(); {
			case now.Before(retryAt):
			case nd.maintainSlot(ctx, slots):
				delay = minSlotRetry
			default:
				retryAt = now.Add(jittered(delay))
				delay = min(2*delay, maxSlotRetry)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(jittered(slotInterval)):
		}
	}
}

// maintainSlot claims a slot or adopts slots without a holder. It returns false
// after an error.
func (nd *Node) maintainSlot(ctx context.Context, slots int) bool {
	if len(nd.limiter.SlotsHeld()) == 0 {
		return nd.claimSlot(ctx, slots)
	}
	for slot := range slots {
		holder, known := nd.slotHolder(slot)
		free := !known && time.Since(nd.started) > departureTimeout
		if !free && (!known || nd.presumedAlive(holder, adoptionTimeout)) {
			continue
		}
		if nd.prober.View().Owns(slotKeyPrefix+strconv.Itoa(slot)) && !nd.adoptSlot(ctx, slot, slots) {
			return false
		}
	}
	return true
}

func (nd *Node) slotHolder(slot int) (string, bool) {
	_, payload, ok := nd.prober.Gossiper().Get(slotKeyPrefix + strconv.Itoa(slot))
	return string(payload), ok
}

func (nd *Node) claimSlot(ctx context.Context, slots int) bool {
	presumedAlive := func(name string) bool { return nd.presumedAlive(name, departureTimeout) }
	sl, err := limiter.ClaimSlot(ctx, nd.meter.For(storer.PurposeLimit), nd.identity.ID(), slots, presumedAlive)
	if err != nil {
		nd.registry.Inc("retry", "limit-slot")
		log.WithError(err).Debug("node claimed no slot; it borrows from peers until it holds one")
		return false
	}
	nd.takeSlot(sl, slots)
	return true
}

func (nd *Node) adoptSlot(ctx context.Context, slot, slots int) bool {
	presumedAlive := func(name string) bool { return nd.presumedAlive(name, adoptionTimeout) }
	sl, holder, err := limiter.AdoptSlot(ctx, nd.meter.For(storer.PurposeLimit), nd.identity.ID(), slot, presumedAlive)
	if err != nil {
		nd.registry.Inc("retry", "limit-slot")
		return false
	}
	if holder == nd.identity.ID() {
		nd.registry.Inc("limit", "slot-adopted")
		nd.takeSlot(sl, slots)
		return true
	}
	if holder != "" {
		nd.publishSlot(sl, holder)
	}
	return true
}

func (nd *Node) takeSlot(sl limiter.Slot, slots int) {
	nd.limiter.AddSlot(sl.Number(), slots, sl.Fresh(), time.Now())
	nd.publishSlot(sl, nd.identity.ID())
}

func (nd *Node) publishSlot(sl limiter.Slot, holder string) {
	key := slotKeyPrefix + strconv.Itoa(sl.Number())
	nd.prober.Gossiper().Publish(key, gossiper.Version{Epoch: sl.Revision()}, []byte(holder))
}

// presumedAlive reports whether a node may be running: it answers, or the VM
// list contains it or omits it for less than the timeout.
func (nd *Node) presumedAlive(name string, timeout time.Duration) bool {
	mb, ok := nd.prober.View().Member(name)
	if ok && mb.State != prober.Dead {
		return true
	}
	return !nd.departures.Gone(name, timeout)
}

// noteDepartures reads the VM list, and ends the loans to nodes that are gone
// for good.
func (nd *Node) noteDepartures() {
	names, read, ok := nd.prober.ListedEntryVMs()
	if !ok {
		return
	}
	nd.departures.Observe(names, read)
	for _, mb := range nd.prober.View().Members() {
		if mb.State == prober.Dead {
			nd.departures.Gone(mb.ID, departureTimeout)
		}
	}
	for _, name := range nd.departures.NewlyGone(departureTimeout + limiter.LoanDrainTime) {
		nd.limiter.DropLoansTo(name)
	}
}

// jittered returns a random time between 0.5 and 1.5 times the mean.
func jittered(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rand.Int64N(int64(mean)))
}

// callerQuota charges requests to the quotas of their callers.
type callerQuota struct{ *limits }

// Charge implements dispatcher.Quota. On a node that has no share of the quota, the
// request waits until the first loan arrives.
func (cq callerQuota) Charge(ctx context.Context, request string, cr *configurer.Caller, units int) (func(), *refuser.Refusal) {
	if cr.Quota() <= 0 {
		return func() {}, nil
	}
	name := limiter.CallerLimit(cr.Name())
	if cq.limiter.NeedsLoan(name, time.Now()) {
		cq.awaitLoan(ctx, name, units)
	}
	now := time.Now()
	if cq.limiter.TakeUnits(name, units, now) {
		return func() { cq.limiter.GiveBack(name, units, time.Now()) }, nil
	}
	cq.wakeBorrow()
	// A loan may have come since the units were refused. The answer names a wait all
	// the same, since zero stands for none.
	after := max(cq.limiter.RetryAfter(name, units, now), time.Millisecond)
	log.WithFields(log.Fields{
		"request": request, "caller": cr.Name(), "units": units, "retry-after-ms": after.Milliseconds(),
	}).Info("request is over its caller's quota")
	return nil, refuser.New(refuser.Quota, "caller %q is over its quota", cr.Name()).WithRetryAfter(after)
}

func (cq callerQuota) awaitLoan(ctx context.Context, name string, units int) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	for !cq.limiter.Ready(name, units, time.Now()) {
		cq.wakeBorrow()
		select {
		case <-ctx.Done():
			return
		case <-time.After(borrowPause):
		}
	}
}

// sharedTokens charges the node's orders to the limits of all nodes.
type sharedTokens struct{ *limits }

// Take implements orderer.Tokens.
func (st sharedTokens) Take(ctx context.Context, limit string) (func(), error) {
	names := []string{limiter.WeightStoreConcurrency, limiter.WeightStoreRate}
	if limit == orderer.LimitAdapters {
		names = []string{limiter.AdapterConcurrency}
	}
	for {
		now := time.Now()
		refused, ok := st.takeAll(names, now)
		if ok {
			return func() { st.limiter.Release(names[0]) }, nil
		}
		st.wakeBorrow()
		pause := min(st.limiter.RetryAfter(refused, 1, now), limiter.BorrowInterval)
		if limit == orderer.LimitAdapters {
			pause = borrowPause
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "wait for a token of %q", refused)
		case <-time.After(max(pause, borrowPause)):
		}
	}
}

// takeAll takes one unit of each limit, or none. It returns the name of the
// limit that refused.
func (st sharedTokens) takeAll(names []string, now time.Time) (refused string, ok bool) {
	if !st.limiter.Take(names[0], now) {
		return names[0], false
	}
	if len(names) > 1 && !st.limiter.Take(names[1], now) {
		st.limiter.Release(names[0])
		return names[1], false
	}
	return "", true
}
