package adapterkeeper

import (
	"context"
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
	// raiseInterval is the time between two checks for a new fencing number.
	raiseInterval = 50 * time.Millisecond
	// maxRaises bounds the requests for new fencing numbers per pending load.
	maxRaises = 40
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
}

// pendingLoad is one or more requests that wait for the same adapter.
type pendingLoad struct {
	name  string
	bytes int64
	// done is closed when the load ends.
	done chan struct{}
	// reason is why the adapter is not ready, or ""; valid once done is closed.
	reason string
}

// refusedLoad is the pending load of adapters that have to make room.
var refusedLoad = func() *pendingLoad {
	pl := &pendingLoad{done: make(chan struct{}), reason: reasonNoRoom}
	close(pl.done)
	return pl
}()

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
	sv.startWorker(func() { kp.serveQueue(name, sv) })
	select {
	case <-pl.done:
		return pl.reason
	case <-ctx.Done():
		return reasonFailed
	}
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
		en.lastUsed = now
		en.leasedUntil = now.Add(sv.table.rules.Lease)
		return nil, true
	}
	pl, ok := sv.loads[adapter]
	if !ok {
		pl = &pendingLoad{name: adapter, bytes: bytes, done: make(chan struct{})}
		sv.loads[adapter] = pl
		sv.queue = append(sv.queue, pl)
	}
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

// next returns the first load of the queue, or nil to stop the worker.
func (sv *server) next() *pendingLoad {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if len(sv.queue) == 0 {
		sv.workerRunning = false
		return nil
	}
	pl := sv.queue[0]
	sv.queue = sv.queue[1:]
	return pl
}

func (sv *server) finish(pl *pendingLoad, reason string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	delete(sv.loads, pl.name)
	pl.reason = reason
	close(pl.done)
}

// serveQueue executes the pending loads of one server, one order at a time.
func (kp *Keeper) serveQueue(name string, sv *server) {
	for pl := sv.next(); pl != nil; pl = sv.next() {
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

// sendOrder sends the order of a step within the limit on concurrent loads. It
// returns the reason why the load must end, or "" to continue.
func (kp *Keeper) sendOrder(name string, sv *server, st step) string {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
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
	kp.registry.Inc("order-sent", od.Action)
	answer, err := kp.engines.Send(ctx, address, od)
	oe := &orderer.OrderError{Outcome: orderer.Unknown}
	if err != nil && !errors.As(err, &oe) {
		oe = &orderer.OrderError{Outcome: orderer.Unknown, Cause: err}
	}
	if err != nil && oe.Outcome == orderer.Unknown {
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
