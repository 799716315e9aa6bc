package adapterkeeper

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
)

const (
	// orderTimeout bounds the wait for the answer to an order.
	orderTimeout = 5 * time.Second
	// transitTime is how long an unanswered order keeps its transit token.
	transitTime = 10 * time.Second
	// countingTransitTime is how long an order keeps it if the engine counts orders: there a
	// load takes some milliseconds, and unanswered orders that are executed late come one by
	// one. With transitTime, a third of the orders without an answer used up all tokens, so
	// that no adapter was loaded anywhere.
	countingTransitTime = stuckTime
	// raiseInterval is the time between two checks for a new fencing number.
	raiseInterval = 50 * time.Millisecond
	// maxRaises bounds the requests for new fencing numbers per pending load.
	maxRaises = 40
	// stuckTime is how long an order may be unanswered before requests stop waiting for
	// it. Engines answer at once and load an adapter in 5 to 15 ms.
	stuckTime = 100 * time.Millisecond
	// maxLoadsAhead bounds the loads that a new one waits for, of some 30 ms each.
	maxLoadsAhead = 5
	// maxSteps bounds the steps per pending load.
	maxSteps = 16
)

// Recheck forces an inspection of a server before the next answer about its
// adapters. Callers use it when anything but the keeper's orders changed them.
func (kp *Keeper) Recheck(name string) {
	sv := kp.server(name)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.table.inspected = false
}

// server is the owner's state of a backend server.
type server struct {
	mu    sync.Mutex
	table table
	// loads has the unfinished loads by adapter name.
	loads map[string]*pendingLoad
	// queue has the loads that the worker has not begun.
	queue         []*pendingLoad
	workerRunning bool
	// orders counts the orders sent; it makes their IDs unique.
	orders int64
	// orderSent is when the order in flight was to be sent, or zero. It may wait for a
	// transit token.
	orderSent time.Time
}

// pendingLoad is one or more requests that wait for the same adapter.
type pendingLoad struct {
	name  string
	bytes int64
	// waiters is the number of requests that wait. A load that none waits for is not
	// begun.
	waiters int
	// release says that it unloads an unused adapter instead.
	release bool
	// done is closed when the load ends.
	done chan struct{}
	// reason is why the adapter is not ready, or ""; valid once done is closed.
	reason string
}

// refusedLoad is the pending load of adapters that have to make room, stuckLoad that of
// adapters on a server that does not answer, and queuedLoad that of adapters on a server
// with too many loads ahead. They are shared and never change.
var (
	refusedLoad = endedLoad(reasonNoRoom)
	stuckLoad   = endedLoad(reasonUnanswered)
	queuedLoad  = endedLoad(reasonOrdersAhead)
)

// endedLoad returns a pending load that was refused.
func endedLoad(reason string) *pendingLoad {
	pl := &pendingLoad{done: make(chan struct{}), reason: reason}
	close(pl.done)
	return pl
}

func (kp *Keeper) server(name string) *server {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	sv, ok := kp.servers[name]
	if !ok {
		sv = &server{loads: map[string]*pendingLoad{}}
		kp.servers[name] = sv
	}
	return sv
}

// Obtain makes an adapter ready on a server that this node owns and grants a
// lease of it. It returns the reason why it could not, or "".
func (kp *Keeper) Obtain(ctx context.Context, name, adapter string) string {
	rules, bytes, ok := kp.rules(name, adapter)
	if !ok {
		return reasonUnknown
	}
	ow, ok := kp.orders.Fence(name)
	if !ok {
		return reasonNoOwner
	}
	sv := kp.server(name)
	pl, ready := sv.join(kp.now(), ow, rules, adapter, bytes)
	if ready {
		return ""
	}
	if pl == refusedLoad || pl == stuckLoad || pl == queuedLoad {
		kp.registry.Inc("adapter", "refused", pl.reason)
		return pl.reason
	}
	sv.startWorker(func() { kp.serveQueue(name, sv) })
	return kp.await(ctx, sv, pl)
}

// await waits for the end of a load and returns the reason why the adapter is not ready,
// or "". If requests can go elsewhere, it does not wait for an order without an answer.
func (kp *Keeper) await(ctx context.Context, sv *server, pl *pendingLoad) string {
	var check <-chan time.Time
	if kp.replicas != nil {
		tk := time.NewTicker(stuckTime / 4)
		defer tk.Stop()
		check = tk.C
	}
	for {
		select {
		case <-pl.done:
			return pl.reason
		case <-ctx.Done():
			sv.leave(pl)
			return reasonFailed
		case <-check:
			if sv.stuck(kp.now()) {
				sv.leave(pl)
				kp.registry.Inc("adapter", "refused", reasonUnanswered)
				return reasonUnanswered
			}
		}
	}
}

// leave records that a request no longer waits for a load.
func (sv *server) leave(pl *pendingLoad) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	pl.waiters--
}

// stuck reports whether the order in flight should have been answered.
func (sv *server) stuck(now time.Time) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.stuckLocked(now)
}

func (sv *server) stuckLocked(now time.Time) bool {
	return !sv.orderSent.IsZero() && now.Sub(sv.orderSent) >= stuckTime
}

// join extends the lease of a loaded adapter and returns true, or returns the
// pending load of the adapter, which all requests for it share.
func (sv *server) join(now time.Time, ow orderer.Ownership, rules Rules, adapter string, bytes int64) (*pendingLoad, bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.table.rules = rules
	en, ok := sv.table.entries[adapter]
	if ok && en.state == loaded && sv.table.inspected && ow.Claim == sv.table.claim {
		if sv.table.yields(now, adapter) {
			return refusedLoad, false
		}
		en.use(now)
		en.leasedUntil = now.Add(sv.table.rules.Lease)
		return nil, true
	}
	if rules.Prompt && sv.stuckLocked(now) {
		return stuckLoad, false
	}
	pl, ok := sv.loads[adapter]
	if !ok && rules.Prompt && len(sv.queue) >= maxLoadsAhead {
		return queuedLoad, false
	}
	if !ok {
		pl = &pendingLoad{name: adapter, bytes: bytes, done: make(chan struct{})}
		sv.loads[adapter] = pl
		sv.queue = append(sv.queue, pl)
	}
	pl.waiters++
	return pl, false
}

// startWorker starts the server's worker unless it is running.
func (sv *server) startWorker(run func()) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if !sv.workerRunning {
		sv.workerRunning = true
		go run()
	}
}

// next returns the first load of the queue for which a request waits, or nil to stop the
// worker.
func (sv *server) next() *pendingLoad {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for len(sv.queue) > 0 {
		pl := sv.queue[0]
		sv.queue = sv.queue[1:]
		if pl.waiters > 0 {
			return pl
		}
		sv.finishLocked(pl, reasonFailed)
	}
	sv.workerRunning = false
	return nil
}

func (sv *server) finish(pl *pendingLoad, reason string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.finishLocked(pl, reason)
}

func (sv *server) finishLocked(pl *pendingLoad, reason string) {
	delete(sv.loads, pl.name)
	pl.reason = reason
	close(pl.done)
}

// serveQueue executes the pending loads of one server, one order at a time.
func (kp *Keeper) serveQueue(name string, sv *server) {
	for pl := sv.next(); pl != nil; pl = sv.next() {
		if pl.release {
			kp.releaseIdle(name, sv)
			sv.finish(pl, "")
			continue
		}
		reason := kp.makeReady(name, sv, pl)
		if reason != "" {
			kp.registry.Inc("adapter", "refused", reason)
		}
		sv.finish(pl, reason)
	}
}

// makeReady performs steps until the adapter is ready or the load is refused.
// It returns the reason of the refusal, or "".
func (kp *Keeper) makeReady(name string, sv *server, pl *pendingLoad) string {
	raises := 0
	for range maxSteps {
		ow, ok := kp.orders.Fence(name)
		if !ok || !kp.owns(name) {
			return reasonNoOwner
		}
		sv.mu.Lock()
		st := sv.table.decide(kp.now(), ow, pl.name, pl.bytes)
		sv.mu.Unlock()
		switch st.action {
		case ready:
			return ""
		case refuse:
			return st.reason
		case raise:
			if raises++; raises > maxRaises {
				return reasonNoOwner
			}
			kp.orders.Raise(name)
			kp.sleep(raiseInterval)
			continue
		default:
			if reason := kp.sendOrder(name, sv, st); reason != "" {
				return reason
			}
		}
	}
	return reasonFailed
}

// releaseAll has an unused adapter unloaded on each server of this node that has no place
// for another one and nothing to do.
func (kp *Keeper) releaseAll() {
	kp.mu.Lock()
	servers := maps.Clone(kp.servers)
	kp.mu.Unlock()
	for name, sv := range servers {
		ow, ok := kp.orders.Fence(name)
		if !ok || !kp.owns(name) {
			continue
		}
		sv.mu.Lock()
		_, due := sv.table.idle(kp.now(), ow.Claim)
		due = due && !sv.workerRunning
		if due {
			sv.queue = append(sv.queue, &pendingLoad{release: true, waiters: 1, done: make(chan struct{})})
		}
		sv.mu.Unlock()
		if due {
			sv.startWorker(func() { kp.serveQueue(name, sv) })
		}
	}
}

// releaseIdle unloads an unused adapter, if that is still due.
func (kp *Keeper) releaseIdle(name string, sv *server) {
	ow, ok := kp.orders.Fence(name)
	if !ok || !kp.owns(name) {
		return
	}
	sv.mu.Lock()
	st, due := sv.table.idle(kp.now(), ow.Claim)
	sv.mu.Unlock()
	if due {
		kp.registry.Inc("adapter", "released")
		kp.sendOrder(name, sv, st)
	}
}

// sendOrder sends the order of a step within the limit on concurrent loads. It
// returns the reason why the load must end, or "" to continue.
func (kp *Keeper) sendOrder(name string, sv *server, st step) string {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	sv.setOrderSent(kp.now())
	defer sv.setOrderSent(time.Time{})
	release := func() {}
	if st.action == load {
		var err error
		if release, err = kp.tokens.Take(ctx, orderer.LimitAdapters); err != nil {
			return reasonInTransit
		}
	}
	od, address, now, ok := kp.prepareOrder(name, sv, st)
	if !ok {
		release()
		return ""
	}
	counts := sv.countsOrders()
	if counts {
		release = sync.OnceFunc(release)
		defer time.AfterFunc(countingTransitTime, release).Stop()
	}
	kp.registry.Inc("order-sent", od.Action)
	answer, err := kp.engines.Send(ctx, address, od)
	oe := &orderer.OrderError{Outcome: orderer.Unknown}
	if err != nil && !errors.As(err, &oe) {
		oe = &orderer.OrderError{Outcome: orderer.Unknown, Cause: err}
	}
	if err != nil && oe.Outcome == orderer.Unknown && !counts {
		time.AfterFunc(transitTime, release)
	} else {
		release()
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if err != nil {
		return kp.recordFailure(sv, st, od, oe, now)
	}
	if st.action == inspect {
		sv.table.recordInspection(now, kp.now(), answer.Boot, answer.StateVersion, answer.Adapters)
		return ""
	}
	sv.table.recordDone(kp.now(), st, answer.Boot)
	return ""
}

func (sv *server) countsOrders() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.table.rules.CountsOrders
}

func (sv *server) setOrderSent(at time.Time) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.orderSent = at
}

// prepareOrder records the order in the table. It returns false if the node may
// no longer send it.
func (kp *Keeper) prepareOrder(name string, sv *server, st step) (od orderer.Order, address string, now time.Time, ok bool) {
	ow, held := kp.orders.Fence(name)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now = kp.now()
	if !held || !kp.owns(name) || !sv.table.mayOrder(now, ow, st) {
		return od, "", now, false
	}
	sv.orders++
	od = orderer.Order{
		ID:      name + "/" + strconv.FormatInt(ow.Number, 10) + "/adapter/" + strconv.FormatInt(sv.orders, 10),
		Server:  name,
		Fence:   ow.Number,
		Action:  orderer.ActionInspect,
		Adapter: st.name,
		Memory:  st.bytes,
	}
	if st.action != inspect {
		od.Boot, od.StateVersion = sv.table.boot, sv.table.stateVersion
		od.Action = orderer.ActionLoadAdapter
		sv.table.recordOrder(now, st)
	}
	if st.action == unload {
		od.Action = orderer.ActionUnloadAdapter
	}
	return od, sv.table.rules.Address, now, true
}

// recordFailure records the outcome of a failed order. It returns "" if the
// engine refused an old fencing number or boot: the next step uses current
// ones.
func (kp *Keeper) recordFailure(sv *server, st step, od orderer.Order, oe *orderer.OrderError, sent time.Time) string {
	kp.registry.Inc("adapter", "order-"+string(oe.Outcome))
	if st.action != inspect {
		if oe.Outcome == orderer.Unknown {
			sv.table.recordUnanswered(st, od.Action, od.Fence, sent)
			return reasonFailed
		}
		sv.table.recordNotDone(st)
	}
	if oe.Outcome == orderer.Refused {
		sv.table.inspected = false
		return ""
	}
	return reasonFailed
}
