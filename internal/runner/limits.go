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

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/limiter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/spreader"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// slotKeyPrefix is where the holders of slots are spread.
	slotKeyPrefix = "slot/"
	// slotInterval is the mean time between two looks at the slots.
	slotInterval = 500 * time.Millisecond
	// The bounds of the mean time between two attempts to claim a slot.
	minSlotRetry = 250 * time.Millisecond
	maxSlotRetry = 10 * time.Second
	// gonePatience is how long the list must leave a node out before its slot
	// is taken over, and adoptPatience how long before a node takes it on top
	// of its own; a slot that was never held is left free as long.
	gonePatience  = 30 * time.Second
	adoptPatience = time.Minute
	// borrowPause is the least time between two rounds of borrowing.
	borrowPause = 50 * time.Millisecond
	// loanPatience is how long a caller's request waits for the node's first
	// loan of the caller's quota.
	loanPatience = time.Second
)

// limits is the node's part of the limits that all nodes share.
type limits struct {
	limiter    *limiter.Limiter
	departures *limiter.Departures
	wanted     chan struct{}
	started    time.Time
	mu         sync.Mutex
	inForce    *configurer.Settings
}

func (nd *Node) buildLimits() {
	nd.limiter = limiter.New(nd.identity.ID(), nd.pool, limiter.WithRegistry(nd.registry))
	nd.departures = limiter.NewDepartures(nd.identity.ID())
	nd.wanted = make(chan struct{}, 1)
	nd.started = time.Now()
	nd.prober.Spreader().Subscribe(nd.hearOfSlot)
}

// want makes the node ask for loans at once.
func (ls *limits) want() {
	select {
	case ls.wanted <- struct{}{}:
	default:
	}
}

// borrow keeps the limits configured and asks for loans until the context ends.
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
		case <-nd.wanted:
		}
	}
}

// configureLimits puts settings in force before anything is decided by them.
func (nd *Node) configureLimits() {
	nd.limits.mu.Lock()
	defer nd.limits.mu.Unlock()
	if st := nd.settings(); st != nd.inForce {
		nd.inForce = st
		nd.limiter.Configure(st, time.Now())
	}
}

// lenders returns the peers with the slots that they hold.
func (nd *Node) lenders() []limiter.Lender {
	held := map[string][]int{}
	for key, payload := range nd.prober.Spreader().Snapshot(slotKeyPrefix) {
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

// hearOfSlot gives up a slot that another node took over.
func (nd *Node) hearOfSlot(key string, _ spreader.Version, payload []byte) {
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

// keepSlots claims a slot, and takes on those that nobody holds.
func (nd *Node) keepSlots(ctx context.Context) error {
	var retryAt time.Time
	delay := minSlotRetry
	for {
		if rv := nd.holder.Current(); rv != nil {
			nd.noteDepartures()
			nd.configureLimits()
			slots := rv.Settings().Limits().EntryNodes()
			switch now := time.Now(); {
			case now.Before(retryAt):
			case nd.keepSlot(ctx, slots):
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

// keepSlot makes one step and reports whether the store answered.
func (nd *Node) keepSlot(ctx context.Context, slots int) bool {
	if len(nd.limiter.SlotsHeld()) == 0 {
		return nd.claimSlot(ctx, slots)
	}
	for slot := range slots {
		holder, known := nd.slotHolder(slot)
		free := !known && time.Since(nd.started) > gonePatience
		if !free && (!known || nd.listed(holder, adoptPatience)) {
			continue
		}
		if nd.prober.View().Owns(slotKeyPrefix+strconv.Itoa(slot)) && !nd.adoptSlot(ctx, slot, slots) {
			return false
		}
	}
	return true
}

func (nd *Node) slotHolder(slot int) (string, bool) {
	_, payload, ok := nd.prober.Spreader().Get(slotKeyPrefix + strconv.Itoa(slot))
	return string(payload), ok
}

func (nd *Node) claimSlot(ctx context.Context, slots int) bool {
	listed := func(name string) bool { return nd.listed(name, gonePatience) }
	sl, err := limiter.ClaimSlot(ctx, nd.meter.For(storer.PurposeLimit), nd.identity.ID(), slots, listed)
	if err != nil {
		nd.registry.Inc("retry", "limit-slot")
		log.WithError(err).Debug("no slot was claimed; the node borrows until it has one")
		return false
	}
	nd.takeSlot(sl, slots)
	return true
}

func (nd *Node) adoptSlot(ctx context.Context, slot, slots int) bool {
	listed := func(name string) bool { return nd.listed(name, adoptPatience) }
	sl, holder, err := limiter.AdoptSlot(ctx, nd.meter.For(storer.PurposeLimit), nd.identity.ID(), slot, listed)
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
		nd.spreadSlot(sl, holder)
	}
	return true
}

func (nd *Node) takeSlot(sl limiter.Slot, slots int) {
	nd.limiter.AddSlot(sl.Number(), slots, sl.Fresh(), time.Now())
	nd.spreadSlot(sl, nd.identity.ID())
}

func (nd *Node) spreadSlot(sl limiter.Slot, holder string) {
	key := slotKeyPrefix + strconv.Itoa(sl.Number())
	nd.prober.Spreader().Publish(key, spreader.Version{Epoch: sl.Revision()}, []byte(holder))
}

// listed reports whether a node has to be taken for running: the platform
// names it, or left it out only lately, or the node answers.
func (nd *Node) listed(name string, patience time.Duration) bool {
	mb, ok := nd.prober.View().Member(name)
	if ok && mb.State != prober.Dead {
		return true
	}
	return !nd.departures.Gone(name, patience)
}

// noteDepartures takes in the platform's list, and ends the loans to nodes that
// are gone for good.
func (nd *Node) noteDepartures() {
	names, read, ok := nd.prober.Listed()
	if !ok {
		return
	}
	nd.departures.Note(names, read)
	for _, mb := range nd.prober.View().Members() {
		if mb.State == prober.Dead {
			nd.departures.Gone(mb.ID, gonePatience)
		}
	}
	for _, name := range nd.departures.Forgotten(gonePatience + limiter.ForgetTime) {
		nd.limiter.Forget(name)
	}
}

// jittered returns a time between half of the mean and one and a half of it.
func jittered(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rand.Int64N(int64(mean)))
}

// callerQuota takes the requests of callers from their quotas.
type callerQuota struct{ *limits }

// Take implements admitter.Quota.
func (cq callerQuota) Take(caller string, now time.Time) (ok bool, retryAfter time.Duration) {
	name := limiter.CallerLimit(caller)
	if cq.limiter.Take(name, now) {
		return true, 0
	}
	cq.want()
	return false, cq.limiter.RetryAfter(name, now)
}

// quotaGate lets a request wait for the first loan of its caller's quota, on a
// node that owns no part of it.
type quotaGate struct {
	*limits
	admitter *admitter.Admitter
}

// Admit implements dispatcher.Admission.
func (qg quotaGate) Admit(ctx context.Context, st *configurer.Settings, tk *admitter.Ticket) (*admitter.Grant, *refuser.Refusal) {
	name := limiter.CallerLimit(tk.Caller.Name())
	if !tk.Resumed && qg.limiter.Expects(name, time.Now()) {
		qg.await(ctx, name)
	}
	return qg.admitter.Admit(ctx, st, tk)
}

func (qg quotaGate) await(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, loanPatience)
	defer cancel()
	for !qg.limiter.Ready(name, time.Now()) {
		qg.want()
		select {
		case <-ctx.Done():
			return
		case <-time.After(borrowPause):
		}
	}
}

// sharedTokens takes the orders of this node from the limits of all nodes.
type sharedTokens struct{ *limits }

// Take implements orderer.Tokens.
func (st sharedTokens) Take(ctx context.Context, limit string) (func(), error) {
	names := []string{limiter.WeightStoreAtOnce, limiter.WeightStoreRate}
	if limit == orderer.LimitAdapters {
		names = []string{limiter.AdaptersAtOnce}
	}
	for {
		now := time.Now()
		refused, ok := st.takeAll(names, now)
		if ok {
			return func() { st.limiter.Release(names[0]) }, nil
		}
		st.want()
		pause := min(st.limiter.RetryAfter(refused, now), limiter.BorrowInterval)
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

// takeAll takes one unit at once and then one of the rate, or none.
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
