package orderer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

const (
	// pollInterval is the time between two reads of an engine's state while it
	// carries out an order.
	pollInterval = 200 * time.Millisecond
	// adapterPollInterval is that time after the unload of an adapter, which takes about
	// as long as its load. Requests wait for it.
	adapterPollInterval = 20 * time.Millisecond
	// maxStateLag is the longest time until the state of an engine shows an
	// order that it accepted.
	maxStateLag = time.Second
	// staleStateRetryInterval is the time between two reads of a stale state.
	staleStateRetryInterval = 100 * time.Millisecond
	// adapterQueueTimeout bounds the wait of an order for an adapter for the
	// orders before it.
	adapterQueueTimeout = 60 * time.Millisecond
	// adapterLoadTime is the time in which an engine makes an adapter ready: the
	// published time for the largest adapters, plus a margin.
	adapterLoadTime = 15 * time.Millisecond
)

// Codes with which a Sequencer, or an engine that counts its orders, refuses an
// order.
const (
	CodeConflict  = "conflict"
	CodeNotLeader = "not-leader"
)

// EngineState is the state that an engine that counts its orders reports.
type EngineState struct {
	// Boot changes with each start of the engine.
	Boot string
	// Accepted is the number of orders accepted since the start.
	Accepted int64
	// Busy is true while the engine carries out an order.
	Busy bool
	// Residents lists the copies of models in memory.
	Residents []accountant.Copy
	// Adapters lists the names of adapters in memory or being loaded.
	Adapters []string
}

// hasModel reports whether the engine holds a copy of the model.
func (es EngineState) hasModel(model string) bool {
	for _, cp := range es.Residents {
		if cp.Model() == model {
			return true
		}
	}
	return false
}

// EngineClient is a client for engines that count their orders and answer an
// order before they have carried it out.
type EngineClient interface {
	// State returns the engine's state, which may be stale.
	State(ctx context.Context, server, address string) (EngineState, error)
	// Place sends an order once. The engine accepts it only if it has accepted
	// exactly accepted orders since its start. It sends nothing unless the order is
	// valid once it can be sent. underWay is false if the state
	// that the order requests exists already. The error is an *OrderError.
	Place(ctx context.Context, address string, od Order, accepted int64) (underWay bool, err error)
}

// Sequencer implements Engines for engines that count their orders. It sends
// each engine one order at a time, with the number of orders that the engine
// has accepted, and waits until the engine has carried it out. An order that
// arrives late has no effect once the engine has accepted another one.
type Sequencer struct {
	client        EngineClient
	leads         func() (fence int64, ok bool) // reports whether this node is the leader
	sizes         Sizes
	afterUnload   func(server string)                             // may be nil
	beforeUnload  func(ctx context.Context, server, model string) // may be nil
	registerOrder RegisterOrder
	registry      *counter.Registry

	mu      sync.Mutex
	engines map[string]*sequence // by server
}

// RegisterOrder registers that an order is about to be sent to a server. After
// an error no order may be sent. Otherwise the sender calls done with whether
// the order was answered.
type RegisterOrder func(ctx context.Context, server string) (done func(answered bool), err error)

// Sizes returns the bytes of memory that the named model or adapter takes.
type Sizes func(name string) int64

// sequence is the known state of one engine and its orders.
type sequence struct {
	// inFlight is a semaphore, held by the order that is sent or carried out.
	inFlight chan struct{}
	boot     string
	accepted int64 // orders accepted since boot
	// version increases with each change that the orders sent don't explain.
	version int64
}

// NewSequencer returns a sequencer that sends orders with the fencing number
// that leads returns, and sends none while leads returns false. The engines
// don't report the memory of models and adapters, so sizes provides it.
func NewSequencer(cl EngineClient, leads func() (fence int64, ok bool), sizes Sizes, rg *counter.Registry) *Sequencer {
	registerOrder := func(context.Context, string) (func(bool), error) { return func(bool) {}, nil }
	return &Sequencer{client: cl, leads: leads, sizes: sizes, registerOrder: registerOrder, registry: rg, engines: map[string]*sequence{}}
}

func (sq *Sequencer) sequence(server string) *sequence {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	se, ok := sq.engines[server]
	if !ok {
		se = &sequence{inFlight: make(chan struct{}, 1)}
		sq.engines[server] = se
	}
	return se
}

// AfterUnload sets the function to call after a model was unloaded from a
// server. The model's adapters are gone as well by then.
func (sq *Sequencer) AfterUnload(fn func(server string)) { sq.afterUnload = fn }

// BeforeUnload sets the function to call before a model is unloaded from a
// server. It stops requests for the model to that server, because engines
// refuse to unload a model until its requests are done.
func (sq *Sequencer) BeforeUnload(fn func(ctx context.Context, server, model string)) {
	sq.beforeUnload = fn
}

// BeforeOrder sets the function to call before each order is sent.
func (sq *Sequencer) BeforeOrder(fn RegisterOrder) { sq.registerOrder = fn }

// Send implements Engines.
func (sq *Sequencer) Send(ctx context.Context, address string, od Order) (Answer, error) {
	se := sq.sequence(od.Server)
	if !se.acquire(ctx, od) {
		return Answer{}, &OrderError{Outcome: NotSent, Code: CodeConflict, Cause: errors.New("another order is on its way")}
	}
	defer func() { <-se.inFlight }()
	if od.Action == ActionInspect {
		st, err := sq.readState(ctx, se, od.Server, address)
		if err != nil {
			return Answer{}, err
		}
		return sq.answer(se, st), nil
	}
	if od.Boot != "" && od.Boot != se.boot {
		return Answer{}, &OrderError{Outcome: Refused, Code: CodeStaleBoot, Cause: errors.New("engine restarted since the order was decided")}
	}
	if od.StateVersion != se.version {
		return Answer{}, &OrderError{Outcome: Refused, Code: CodeConflict, Cause: errors.New("engine state changed since the order was decided")}
	}
	return sq.sendOrder(ctx, se, address, od)
}

// acquire waits until no other order is in flight, and reports whether that
// happened in time. An order for an adapter does not wait for the load or
// unload of a model, which takes seconds, so that its request goes to another
// server.
func (se *sequence) acquire(ctx context.Context, od Order) bool {
	if od.Adapter != "" {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, adapterQueueTimeout)
		defer cancel()
	}
	select {
	case se.inFlight <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// answer returns the state as an answer that includes sizes in memory.
func (sq *Sequencer) answer(se *sequence, st EngineState) Answer {
	as := Answer{Boot: st.Boot, Adapters: map[string]int64{}, StateVersion: se.version}
	for _, cp := range st.Residents {
		as.Residents = append(as.Residents, accountant.NewResident(cp, sq.sizes(cp.Model()), true))
	}
	for _, name := range st.Adapters {
		as.Adapters[name] = sq.sizes(name)
	}
	return as
}

// readState reads the engine's state, and retries for up to maxStateLag while
// it is stale. It fails if the engine is busy, because the state of a busy
// engine does not show what it will hold.
func (sq *Sequencer) readState(ctx context.Context, se *sequence, server, address string) (EngineState, error) {
	until := time.Now().Add(maxStateLag)
	for {
		st, err := sq.client.State(ctx, server, address)
		if err != nil {
			return EngineState{}, &OrderError{Outcome: NotSent, Cause: err}
		}
		if st.Busy {
			return EngineState{}, &OrderError{Outcome: NotSent, Cause: errors.New("engine is busy with another order")}
		}
		if st.Boot != se.boot || st.Accepted >= se.accepted || time.Now().After(until) {
			se.adopt(st)
			return st, nil
		}
		if !waiter.Sleep(ctx, staleStateRetryInterval) {
			return EngineState{}, &OrderError{Outcome: NotSent, Cause: ctx.Err()}
		}
	}
}

// adopt stores a state, with a new version if the orders don't explain it.
func (se *sequence) adopt(st EngineState) {
	if st.Boot != se.boot || st.Accepted != se.accepted {
		se.version++
	}
	se.boot, se.accepted = st.Boot, st.Accepted
}

// sendOrder sends the order and waits until the engine has carried it out.
func (sq *Sequencer) sendOrder(ctx context.Context, se *sequence, address string, od Order) (Answer, error) {
	if _, ok := sq.leads(); !ok {
		return Answer{}, notLeader(errors.New("node is not the leader"))
	}
	if od.Action == string(accountant.Unload) && sq.beforeUnload != nil {
		sq.beforeUnload(ctx, od.Server, od.Model)
	}
	done, err := sq.registerOrder(ctx, od.Server)
	if err != nil {
		sq.registry.Inc("order", od.Action, "not-entered")
		log.WithError(err).WithField("server", od.Server).WithField("action", od.Action).Warn("order not sent: server could not be registered for orders")
		return Answer{}, notLeader(err)
	}
	// The calls above take time, in which the node may have lost the leadership.
	fence, ok := sq.leads()
	if !ok {
		done(true)
		return Answer{}, notLeader(errors.New("node no longer leads"))
	}
	od.Fence = fence
	od.valid = func() bool {
		current, ok := sq.leads()
		return ok && current == fence
	}
	sent := time.Now()
	underWay, err := sq.client.Place(ctx, address, od, se.accepted)
	sq.registry.Observe(time.Since(sent), "order-answer", od.Action)
	done(!mayStillArrive(err))
	sq.logOrder(od, se, underWay, err)
	if err != nil {
		// Only the engine's state shows whether the order was accepted.
		se.version++
		return Answer{}, err
	}
	// Engines don't count an order to load what they hold already.
	if underWay || od.Action != string(accountant.Load) && od.Action != ActionLoadAdapter {
		se.accepted++
	}
	as, err := sq.awaitCompletion(ctx, se, address, od, underWay)
	if err == nil {
		sq.registry.Observe(time.Since(sent), "order-done", od.Action)
	}
	return as, err
}

func notLeader(cause error) error {
	return &OrderError{Outcome: NotSent, Code: CodeNotLeader, Cause: cause}
}

// mayStillArrive reports whether the order may have arrived or may still
// arrive.
func mayStillArrive(err error) bool {
	var oe *OrderError
	return err != nil && (!errors.As(err, &oe) || oe.Outcome == Unknown)
}

// logOrder counts and logs the result of an order.
func (sq *Sequencer) logOrder(od Order, se *sequence, underWay bool, err error) {
	result := "under-way"
	var oe *OrderError
	switch {
	case errors.As(err, &oe):
		result = string(oe.Outcome)
	case err != nil:
		result = string(Unknown)
	case !underWay:
		result = "held-already"
	}
	sq.registry.Inc("order", od.Action, result)
	line := log.WithFields(log.Fields{
		"server": od.Server, "action": od.Action, "model": od.Model, "adapter": od.Adapter,
		"fence": od.Fence, "accepted": se.accepted, "boot": se.boot, "result": result,
	})
	if err != nil {
		line.WithError(err).Warn("order sent")
		return
	}
	line.Info("order sent")
}

// awaitCompletion waits until the engine has carried out an order, and returns
// its state. After the load of an adapter, it waits for adapterLoadTime instead
// and returns an answer without residents or adapters.
func (sq *Sequencer) awaitCompletion(ctx context.Context, se *sequence, address string, od Order, underWay bool) (Answer, error) {
	switch {
	case od.Action == ActionLoadAdapter:
		waiter.Sleep(ctx, adapterLoadTime)
		return Answer{Boot: se.boot, StateVersion: se.version}, nil
	case od.Action == ActionUnloadAdapter && !underWay:
		return Answer{Boot: se.boot, StateVersion: se.version}, nil
	}
	isLoad := od.Action == string(accountant.Load)
	interval := pollInterval
	if od.Action == ActionUnloadAdapter {
		interval = adapterPollInterval
	}
	for ; ; interval = min(2*interval, pollInterval) {
		if !waiter.Sleep(ctx, interval) {
			se.version++
			return Answer{}, &OrderError{Outcome: Unknown, Cause: ctx.Err()}
		}
		st, err := sq.client.State(ctx, od.Server, address)
		if err != nil {
			sq.registry.Inc("order", "unwatched")
			continue
		}
		if st.Boot != se.boot {
			se.adopt(st)
			return Answer{}, &OrderError{Outcome: Refused, Code: CodeStaleBoot, Cause: errors.New("engine restarted before it carried the order out")}
		}
		if st.Accepted < se.accepted || st.Busy {
			continue
		}
		se.adopt(st)
		if od.Action == ActionUnloadAdapter {
			if slices.Contains(st.Adapters, od.Adapter) {
				continue
			}
			return sq.answer(se, st), nil
		}
		if st.hasModel(od.Model) != isLoad {
			return Answer{}, &OrderError{Outcome: Refused, Code: CodeConflict, Cause: errors.New("engine accepted the order but did not carry it out")}
		}
		if !isLoad && sq.afterUnload != nil {
			sq.afterUnload(od.Server)
		}
		return sq.answer(se, st), nil
	}
}
