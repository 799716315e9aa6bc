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
	// orderTimeout bounds an order, and transitTime how long an unanswered one
	// counts as in transit.
	orderTimeout = 5 * time.Second
	transitTime  = 10 * time.Second
	// raisePause is the time between two looks for a new fencing number, and
	// maxRaises how many there are.
	raisePause = 50 * time.Millisecond
	maxRaises  = 40
	// maxSteps bounds the steps for one adapter.
	maxSteps = 16
)

// Recheck has the adapters on a server looked at again before anything is said
// of them: something else than its orders changed them.
func (kp *Keeper) Recheck(name string) {
	sv := kp.server(name)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.table.inspected = false
}

// server is what the owner of a backend server keeps.
type server struct {
	mu      sync.Mutex
	table   table
	waits   map[string]*wait
	queue   []*wait
	working bool
	orders  int64
}

// wait is one or more requests for an adapter.
type wait struct {
	name   string
	bytes  int64
	done   chan struct{}
	reason string
}

func (kp *Keeper) server(name string) *server {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	sv, ok := kp.servers[name]
	if !ok {
		sv = &server{waits: map[string]*wait{}}
		kp.servers[name] = sv
	}
	return sv
}

// Obtain makes an adapter ready on a server that this node owns, holds it for
// the time of a lease, and returns why it could not, or nothing.
func (kp *Keeper) Obtain(ctx context.Context, name, adapter string) string {
	rules, bytes, ok := kp.rules(name, adapter)
	if !ok {
		return reasonUnknown
	}
	md, ok := kp.orders.Fence(name)
	if !ok {
		return reasonNoOwner
	}
	sv := kp.server(name)
	wt, ready := sv.join(kp.now(), md, rules, adapter, bytes)
	if ready {
		return ""
	}
	sv.start(func() { kp.work(name, sv) })
	select {
	case <-wt.done:
		return wt.reason
	case <-ctx.Done():
		return reasonFailed
	}
}

// join extends the lease of an adapter that is there, or waits for it together
// with those that want the same.
func (sv *server) join(now time.Time, md orderer.Mandate, rules Rules, adapter string, bytes int64) (*wait, bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.table.rules = rules
	en, ok := sv.table.entries[adapter]
	if ok && en.state == loaded && sv.table.inspected && md.Claim == sv.table.claim {
		en.used = now
		en.leased = now.Add(sv.table.rules.Lease)
		return nil, true
	}
	wt, ok := sv.waits[adapter]
	if !ok {
		wt = &wait{name: adapter, bytes: bytes, done: make(chan struct{})}
		sv.waits[adapter] = wt
		sv.queue = append(sv.queue, wt)
	}
	return wt, false
}

// start runs the server's worker unless it runs.
func (sv *server) start(work func()) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if !sv.working {
		sv.working = true
		go work()
	}
}

// next returns the first wait, or ends the worker.
func (sv *server) next() *wait {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if len(sv.queue) == 0 {
		sv.working = false
		return nil
	}
	wt := sv.queue[0]
	sv.queue = sv.queue[1:]
	return wt
}

func (sv *server) finish(wt *wait, reason string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	delete(sv.waits, wt.name)
	wt.reason = reason
	close(wt.done)
}

// work serves the waits of one server, one order at a time.
func (kp *Keeper) work(name string, sv *server) {
	for wt := sv.next(); wt != nil; wt = sv.next() {
		reason := kp.bring(name, sv, wt)
		if reason != "" {
			kp.registry.Inc("adapter", "refused", reason)
		}
		sv.finish(wt, reason)
	}
}

// bring takes steps until the adapter is ready or refused.
func (kp *Keeper) bring(name string, sv *server, wt *wait) string {
	raises := 0
	for range maxSteps {
		md, ok := kp.orders.Fence(name)
		if !ok || !kp.owns(name) {
			return reasonNoOwner
		}
		sv.mu.Lock()
		st := sv.table.decide(kp.now(), md, wt.name, wt.bytes)
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
			kp.sleep(raisePause)
			continue
		default:
			if reason := kp.perform(name, sv, st); reason != "" {
				return reason
			}
		}
	}
	return reasonFailed
}

// perform sends the order of a step, under the limit of adapters in transit.
func (kp *Keeper) perform(name string, sv *server, st step) string {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	release := func() {}
	if st.action == load {
		var err error
		if release, err = kp.tokens.Take(ctx, orderer.LimitAdapters); err != nil {
			return reasonTokens
		}
	}
	od, address, now, ok := kp.prepare(name, sv, st)
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
		return kp.failed(sv, st, od, oe, now)
	}
	if st.action == inspect {
		sv.table.observe(now, kp.now(), answer.Boot, answer.Basis, answer.Adapters)
		return ""
	}
	sv.table.answered(kp.now(), st, answer.Boot)
	return ""
}

// prepare notes the order in the table, if the node may still send it.
func (kp *Keeper) prepare(name string, sv *server, st step) (od orderer.Order, address string, now time.Time, ok bool) {
	md, held := kp.orders.Fence(name)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now = kp.now()
	if !held || !kp.owns(name) || !sv.table.mandated(now, md, st) {
		return od, "", now, false
	}
	sv.orders++
	od = orderer.Order{
		ID:      name + "/" + strconv.FormatInt(md.Number, 10) + "/adapter/" + strconv.FormatInt(sv.orders, 10),
		Server:  name,
		Fence:   md.Number,
		Action:  orderer.ActionInspect,
		Adapter: st.name,
		Memory:  st.bytes,
	}
	if st.action != inspect {
		od.Boot, od.Basis = sv.table.boot, sv.table.basis
		od.Action = orderer.ActionLoadAdapter
		sv.table.begin(now, st)
	}
	if st.action == unload {
		od.Action = orderer.ActionUnloadAdapter
	}
	return od, sv.table.rules.Address, now, true
}

// failed notes what became of an order without a good answer. A refusal for an
// old fencing number or boot is tried again with the present one.
func (kp *Keeper) failed(sv *server, st step, od orderer.Order, oe *orderer.OrderError, sent time.Time) string {
	kp.registry.Inc("adapter", "order-"+string(oe.Outcome))
	if st.action != inspect {
		if oe.Outcome == orderer.Unknown {
			sv.table.unanswered(st, od.Action, od.Fence, sent)
			return reasonFailed
		}
		sv.table.notDone(st)
	}
	if oe.Outcome == orderer.Refused {
		sv.table.inspected = false
		return ""
	}
	return reasonFailed
}
