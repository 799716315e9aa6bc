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
	// pollInterval is the time between two looks at an order that is being
	// carried out.
	pollInterval = 200 * time.Millisecond
	// reportLag is how much later than the engine itself its state shows what
	// it accepted, at the most.
	reportLag = time.Second
	// lookInterval is the time between two looks at a state that lags.
	lookInterval = 100 * time.Millisecond
	// adapterPatience is how long an order for an adapter waits for those
	// before it.
	adapterPatience = 60 * time.Millisecond
	// adapterTime is how long an engine takes to make an adapter ready: the
	// published figure for the largest ones, and some room.
	adapterTime = 15 * time.Millisecond
)

// The codes with which a Sequencer refuses an order that an engine that counts
// its orders would refuse or did.
const (
	CodeConflict  = "conflict"
	CodeNotLeader = "not-leader"
)

// EngineState is what an engine that counts its orders says of itself.
type EngineState struct {
	// Boot changes with each start of the engine.
	Boot string
	// Accepted counts the orders accepted since the start.
	Accepted int64
	// Busy says that an order is being carried out.
	Busy bool
	// Residents are the copies of models in memory.
	Residents []accountant.Copy
	// Adapters are the adapters that are there or on their way.
	Adapters []string
}

// holds reports whether a copy of the model is ready.
func (es EngineState) holds(model string) bool {
	for _, cp := range es.Residents {
		if cp.Model() == model {
			return true
		}
	}
	return false
}

// Station reaches engines that count their orders and answer an order before
// they have carried it out.
type Station interface {
	// State returns the engine's state, which lags.
	State(ctx context.Context, server, address string) (EngineState, error)
	// Place sends an order for an engine that has accepted a number of orders
	// since its start. It reports whether the order is under way, or else holds
	// already. Its error is an *OrderError.
	Place(ctx context.Context, address string, od Order, accepted int64) (underWay bool, err error)
}

// Sequencer is an Engines over engines that count their orders: it sends one
// order at a time to each, for the number of orders that the engine accepted
// so far, and waits until it was carried out. An order that arrives late thus
// has no effect once another one was accepted.
type Sequencer struct {
	station  Station
	leads    func() (fence int64, ok bool)
	sizes    Sizes
	unloaded func(server string)
	retire   func(ctx context.Context, server, model string)
	enter    Enter
	registry *counter.Registry

	mu      sync.Mutex
	engines map[string]*sequence
}

// Enter has it noted that orders are sent to a server. An error means that none
// may be; done is called with whether the order was answered.
type Enter func(ctx context.Context, server string) (done func(answered bool), err error)

// Sizes returns the memory that a model or an adapter takes, by its name.
type Sizes func(name string) int64

// sequence is what is known of the orders of one engine.
type sequence struct {
	// turn is held by the order that is being sent or carried out.
	turn     chan struct{}
	boot     string
	accepted int64
	// basis grows with everything that the orders sent do not explain.
	basis int64
}

// NewSequencer returns a sequencer that sends orders with the fencing number of
// leads, and none while that reports false. The engines do not say how much
// memory things take; sizes does.
func NewSequencer(st Station, leads func() (fence int64, ok bool), sizes Sizes, rg *counter.Registry) *Sequencer {
	enter := func(context.Context, string) (func(bool), error) { return func(bool) {}, nil }
	return &Sequencer{station: st, leads: leads, sizes: sizes, enter: enter, registry: rg, engines: map[string]*sequence{}}
}

func (sq *Sequencer) sequence(server string) *sequence {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	se, ok := sq.engines[server]
	if !ok {
		se = &sequence{turn: make(chan struct{}, 1)}
		sq.engines[server] = se
	}
	return se
}

// OnUnload has fn called after a model was unloaded from a server: with it went
// its adapters.
func (sq *Sequencer) OnUnload(fn func(server string)) { sq.unloaded = fn }

// OnRetire has fn called before a model is unloaded from a server, so that no
// work is sent there for it: engines refuse it until they are done.
func (sq *Sequencer) OnRetire(fn func(ctx context.Context, server, model string)) { sq.retire = fn }

// OnOrder has fn called before an order is sent.
func (sq *Sequencer) OnOrder(fn Enter) { sq.enter = fn }

// Send implements Engines.
func (sq *Sequencer) Send(ctx context.Context, address string, od Order) (Answer, error) {
	se := sq.sequence(od.Server)
	if !se.begin(ctx, od) {
		return Answer{}, &OrderError{Outcome: NotSent, Code: CodeConflict, Cause: errors.New("another order is on its way")}
	}
	defer func() { <-se.turn }()
	if od.Action == ActionInspect {
		st, err := sq.look(ctx, se, od.Server, address)
		if err != nil {
			return Answer{}, err
		}
		return sq.answer(se, st), nil
	}
	if od.Boot != "" && od.Boot != se.boot {
		return Answer{}, &OrderError{Outcome: Refused, Code: CodeStaleBoot, Cause: errors.New("engine started again")}
	}
	if od.Basis != se.basis {
		return Answer{}, &OrderError{Outcome: Refused, Code: CodeConflict, Cause: errors.New("engine changed since it was looked at")}
	}
	return sq.place(ctx, se, address, od)
}

// begin waits for the turn of an order. One for an adapter does not wait while a
// model is loaded or unloaded, which takes seconds: the request that wants the
// adapter goes to another server.
func (se *sequence) begin(ctx context.Context, od Order) bool {
	if od.Adapter != "" {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, adapterPatience)
		defer cancel()
	}
	select {
	case se.turn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// answer returns the state with the memory that everything takes.
func (sq *Sequencer) answer(se *sequence, st EngineState) Answer {
	as := Answer{Boot: st.Boot, Adapters: map[string]int64{}, Basis: se.basis}
	for _, cp := range st.Residents {
		as.Residents = append(as.Residents, accountant.NewResident(cp, sq.sizes(cp.Model()), true))
	}
	for _, name := range st.Adapters {
		as.Adapters[name] = sq.sizes(name)
	}
	return as
}

// look reads the engine's state, again while it lags behind what is known. What
// an engine that carries out an order will hold does not show.
func (sq *Sequencer) look(ctx context.Context, se *sequence, server, address string) (EngineState, error) {
	until := time.Now().Add(reportLag)
	for {
		st, err := sq.station.State(ctx, server, address)
		if err != nil {
			return EngineState{}, &OrderError{Outcome: NotSent, Cause: err}
		}
		if st.Busy {
			return EngineState{}, &OrderError{Outcome: NotSent, Cause: errors.New("engine carries out another order")}
		}
		if st.Boot != se.boot || st.Accepted >= se.accepted || time.Now().After(until) {
			se.follow(st)
			return st, nil
		}
		if !waiter.Sleep(ctx, lookInterval) {
			return EngineState{}, &OrderError{Outcome: NotSent, Cause: ctx.Err()}
		}
	}
}

// follow takes a state over, on a new basis if the orders do not explain it.
func (se *sequence) follow(st EngineState) {
	if st.Boot != se.boot || st.Accepted != se.accepted {
		se.basis++
	}
	se.boot, se.accepted = st.Boot, st.Accepted
}

// place sends the order and waits for its end.
func (sq *Sequencer) place(ctx context.Context, se *sequence, address string, od Order) (Answer, error) {
	if _, ok := sq.leads(); !ok {
		return Answer{}, notLeader(errors.New("node does not lead"))
	}
	if od.Action == string(accountant.Unload) && sq.retire != nil {
		sq.retire(ctx, od.Server, od.Model)
	}
	done, err := sq.enter(ctx, od.Server)
	if err != nil {
		sq.registry.Inc("order", od.Action, "not-entered")
		log.WithError(err).WithField("server", od.Server).WithField("action", od.Action).Warn("order not sent")
		return Answer{}, notLeader(err)
	}
	// To enter the server and to retire the replica takes time.
	fence, ok := sq.leads()
	if !ok {
		done(true)
		return Answer{}, notLeader(errors.New("node no longer leads"))
	}
	od.Fence = fence
	sent := time.Now()
	underWay, err := sq.station.Place(ctx, address, od, se.accepted)
	sq.registry.Observe(time.Since(sent), "order-answer", od.Action)
	done(!unknown(err))
	sq.note(od, se, underWay, err)
	if err != nil {
		// Whether the order counts shows only in the engine's state.
		se.basis++
		return Answer{}, err
	}
	// An order to load what is there already counts for nothing.
	if underWay || od.Action != string(accountant.Load) && od.Action != ActionLoadAdapter {
		se.accepted++
	}
	as, err := sq.finished(ctx, se, address, od, underWay)
	if err == nil {
		sq.registry.Observe(time.Since(sent), "order-done", od.Action)
	}
	return as, err
}

func notLeader(cause error) error {
	return &OrderError{Outcome: NotSent, Code: CodeNotLeader, Cause: cause}
}

// unknown reports whether the order may still arrive.
func unknown(err error) bool {
	var oe *OrderError
	return err != nil && (!errors.As(err, &oe) || oe.Outcome == Unknown)
}

// note writes the line that tells of an order.
func (sq *Sequencer) note(od Order, se *sequence, underWay bool, err error) {
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

// finished waits until an order was carried out.
func (sq *Sequencer) finished(ctx context.Context, se *sequence, address string, od Order, underWay bool) (Answer, error) {
	switch {
	case od.Action == ActionLoadAdapter:
		waiter.Sleep(ctx, adapterTime)
		return Answer{Boot: se.boot, Basis: se.basis}, nil
	case od.Action == ActionUnloadAdapter && !underWay:
		return Answer{Boot: se.boot, Basis: se.basis}, nil
	}
	wanted := od.Action == string(accountant.Load)
	for {
		if !waiter.Sleep(ctx, pollInterval) {
			se.basis++
			return Answer{}, &OrderError{Outcome: Unknown, Cause: ctx.Err()}
		}
		st, err := sq.station.State(ctx, od.Server, address)
		if err != nil {
			sq.registry.Inc("order", "unwatched")
			continue
		}
		if st.Boot != se.boot {
			se.follow(st)
			return Answer{}, &OrderError{Outcome: Refused, Code: CodeStaleBoot, Cause: errors.New("engine started again")}
		}
		if st.Accepted < se.accepted || st.Busy {
			continue
		}
		se.follow(st)
		if od.Action == ActionUnloadAdapter {
			if slices.Contains(st.Adapters, od.Adapter) {
				continue
			}
			return sq.answer(se, st), nil
		}
		if st.holds(od.Model) != wanted {
			return Answer{}, &OrderError{Outcome: Refused, Code: CodeConflict, Cause: errors.New("engine did not carry the order out")}
		}
		if !wanted && sq.unloaded != nil {
			sq.unloaded(od.Server)
		}
		return sq.answer(se, st), nil
	}
}
