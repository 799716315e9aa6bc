package orderer_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
)

// station is an engine that counts its orders.
type station struct {
	mu       sync.Mutex
	boot     string
	accepted int64
	busy     time.Time
	models   []string
	adapters []string
	lose     bool
	late     func()
	fences   []int64
}

func (sn *station) State(context.Context, string, string) (orderer.EngineState, error) {
	sn.mu.Lock()
	defer sn.mu.Unlock()
	st := orderer.EngineState{Boot: sn.boot, Accepted: sn.accepted, Busy: time.Now().Before(sn.busy), Adapters: slices.Clone(sn.adapters)}
	if !st.Busy {
		for _, name := range sn.models {
			st.Residents = append(st.Residents, accountant.NewCopy(name, "v1"))
		}
	}
	return st, nil
}

func (sn *station) Place(_ context.Context, _ string, od orderer.Order, accepted int64) (bool, error) {
	sn.mu.Lock()
	defer sn.mu.Unlock()
	if sn.lose {
		sn.lose = false
		sn.late = func() { _ = sn.carryOut(od, accepted) }
		return false, &orderer.OrderError{Outcome: orderer.Unknown, Cause: errors.New("no answer")}
	}
	if err := sn.carryOut(od, accepted); err != nil {
		return false, err
	}
	return true, nil
}

func (sn *station) carryOut(od orderer.Order, accepted int64) error {
	if accepted != sn.accepted || time.Now().Before(sn.busy) {
		return &orderer.OrderError{Outcome: orderer.Refused, Code: orderer.CodeConflict, Cause: errors.New("409")}
	}
	sn.accepted++
	sn.fences = append(sn.fences, od.Fence)
	switch od.Action {
	case string(accountant.Load):
		sn.models = append(sn.models, od.Model)
		sn.busy = time.Now().Add(2 * time.Second)
	case string(accountant.Unload):
		sn.models = slices.DeleteFunc(sn.models, func(name string) bool { return name == od.Model })
	case orderer.ActionLoadAdapter:
		sn.adapters = append(sn.adapters, od.Adapter)
	}
	return nil
}

func newSequencer(sn *station, leads *bool) *orderer.Sequencer {
	return orderer.NewSequencer(sn, func() (int64, bool) { return 7, *leads }, func(string) int64 { return 10 }, counter.NewRegistry())
}

func code(err error) string {
	var oe *orderer.OrderError
	if errors.As(err, &oe) {
		return oe.Code
	}
	return ""
}

func inspect(t *testing.T, sq *orderer.Sequencer) orderer.Answer {
	t.Helper()
	as, err := sq.Send(t.Context(), "a", orderer.Order{Server: "w", Action: orderer.ActionInspect})
	require.NoError(t, err)
	return as
}

// TestOrderWaitsUntilItIsCarriedOut loads a model, which takes 2 s.
func TestOrderWaitsUntilItIsCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sn, leads := &station{boot: "b1"}, true
		sq := newSequencer(sn, &leads)
		as := inspect(t, sq)
		began := time.Now()
		as, err := sq.Send(t.Context(), "a", orderer.Order{Server: "w", Action: string(accountant.Load), Model: "m", Basis: as.Basis})
		require.NoError(t, err)
		require.GreaterOrEqual(t, time.Since(began), 2*time.Second)
		require.Len(t, as.Residents, 1)
		require.Equal(t, []int64{7}, sn.fences, "the term is the fencing number")
	})
}

// TestNothingIsOrderedOnAnOldBasis has an order carried out late, after its
// sender gave it up: the next one is refused until the engine was looked at.
func TestNothingIsOrderedOnAnOldBasis(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sn, leads := &station{boot: "b1", lose: true}, true
		sq := newSequencer(sn, &leads)
		as := inspect(t, sq)
		load := orderer.Order{Server: "w", Action: string(accountant.Load), Model: "m", Basis: as.Basis}
		_, err := sq.Send(t.Context(), "a", load)
		require.Error(t, err)
		sn.late()
		other := orderer.Order{Server: "w", Action: string(accountant.Load), Model: "n", Basis: as.Basis}
		_, err = sq.Send(t.Context(), "a", other)
		require.Equal(t, orderer.CodeConflict, code(err))
		_, err = sq.Send(t.Context(), "a", orderer.Order{Server: "w", Action: orderer.ActionInspect})
		require.Error(t, err, "what a busy engine will hold does not show")
		time.Sleep(3 * time.Second)
		as = inspect(t, sq)
		require.Len(t, as.Residents, 1)
		other.Basis = as.Basis
		_, err = sq.Send(t.Context(), "a", other)
		require.NoError(t, err)
		require.Equal(t, []string{"m", "n"}, sn.models)
	})
}

// TestLateOrderIsOutlived has an order arrive after another one was accepted.
func TestLateOrderIsOutlived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sn, leads := &station{boot: "b1", lose: true}, true
		sq := newSequencer(sn, &leads)
		as := inspect(t, sq)
		_, err := sq.Send(t.Context(), "a", orderer.Order{Server: "w", Action: string(accountant.Load), Model: "m", Basis: as.Basis})
		require.Error(t, err)
		as = inspect(t, sq)
		_, err = sq.Send(t.Context(), "a", orderer.Order{Server: "w", Action: string(accountant.Load), Model: "n", Basis: as.Basis})
		require.NoError(t, err)
		sn.late()
		require.Equal(t, []string{"n"}, sn.models)
	})
}

// TestNoOrderWithoutLeadership loses the leadership before an order.
func TestNoOrderWithoutLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sn, leads := &station{boot: "b1"}, true
		sq := newSequencer(sn, &leads)
		as := inspect(t, sq)
		leads = false
		_, err := sq.Send(t.Context(), "a", orderer.Order{Server: "w", Action: string(accountant.Load), Model: "m", Basis: as.Basis})
		require.Equal(t, orderer.CodeNotLeader, code(err))
		require.Empty(t, sn.models)
	})
}

// TestAdapterDoesNotWaitForAModel orders an adapter while a model is loaded.
func TestAdapterDoesNotWaitForAModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sn, leads := &station{boot: "b1"}, true
		sq := newSequencer(sn, &leads)
		as := inspect(t, sq)
		go func() {
			_, _ = sq.Send(t.Context(), "a", orderer.Order{Server: "w", Action: string(accountant.Load), Model: "m", Basis: as.Basis})
		}()
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		_, err := sq.Send(t.Context(), "a", orderer.Order{Server: "w", Action: orderer.ActionLoadAdapter, Adapter: "m/a1", Basis: as.Basis})
		require.Error(t, err)
		require.Less(t, time.Since(began), time.Second)
		time.Sleep(5 * time.Second)
	})
}

// TestEngineThatStartedAgain refuses an order for its earlier start.
func TestEngineThatStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sn, leads := &station{boot: "b1"}, true
		sq := newSequencer(sn, &leads)
		inspect(t, sq)
		sn.boot = "b2"
		as := inspect(t, sq)
		_, err := sq.Send(t.Context(), "a", orderer.Order{Server: "w", Action: string(accountant.Load), Model: "m", Boot: "b1", Basis: as.Basis})
		require.Equal(t, orderer.CodeStaleBoot, code(err))
	})
}

// TestRetiredBeforeUnloaded tells of a replica before its unload is ordered.
func TestRetiredBeforeUnloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sn, leads := &station{boot: "b1", models: []string{"m"}}, true
		sq := newSequencer(sn, &leads)
		var told, dropped []string
		sq.OnRetire(func(_ context.Context, server, model string) {
			told = append(told, server+" "+model)
			require.Equal(t, []string{"m"}, sn.models)
		})
		sq.OnUnload(func(server string) { dropped = append(dropped, server) })
		as := inspect(t, sq)
		_, err := sq.Send(t.Context(), "a", orderer.Order{Server: "w", Action: string(accountant.Unload), Model: "m", Basis: as.Basis})
		require.NoError(t, err)
		require.Equal(t, []string{"w m"}, told)
		require.Equal(t, []string{"w"}, dropped)
	})
}

// mostWithin returns how many of the times lie within one window at the most.
func mostWithin(times []time.Time, window time.Duration) int {
	most := 0
	for ix, from := range times {
		count := 0
		for _, at := range times[ix:] {
			if at.Sub(from) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// TestLoadsKeepToTheRate takes tokens as fast as they come: in no window of 5 s
// are there more than the rate allows, and three.
func TestLoadsKeepToTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 1.1
		rt := orderer.NewRateTokens(rate, 10, 10, time.Now())
		var taken []time.Time
		time.Sleep(30 * time.Second)
		for range 30 {
			release, err := rt.Take(t.Context(), orderer.LimitWeightStore)
			require.NoError(t, err)
			release()
			taken = append(taken, time.Now())
		}
		require.LessOrEqual(t, float64(mostWithin(taken, 5*time.Second)), rate*5+3)
	})
}

// TestNextLeaderKeepsToTheRate has a leader take over from one that used up
// all tokens: the two together keep to the rate.
func TestNextLeaderKeepsToTheRate(t *testing.T) {
	for _, rate := range []float64{0.5, 1.1, 2.1, 13} {
		synctest.Test(t, func(t *testing.T) {
			var taken []time.Time
			for range 4 {
				rt := orderer.NewRateTokens(rate, 100, 10, time.Now())
				time.Sleep(5 * time.Second)
				for began := time.Now(); time.Since(began) < 2*time.Second; {
					release, err := rt.Take(t.Context(), orderer.LimitWeightStore)
					require.NoError(t, err)
					release()
					taken = append(taken, time.Now())
				}
			}
			require.LessOrEqual(t, float64(mostWithin(taken, 5*time.Second)), rate*5*1.1+3, "rate %v", rate)
		})
	}
}

// TestOrderNeedsItsEntry has the record of orders refuse a server, and then
// answers get lost: what is not entered is not sent, and an order without an
// answer is told as such.
func TestOrderNeedsItsEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sn, leads := &station{boot: "b1"}, true
		sq := newSequencer(sn, &leads)
		var refused error
		var ended []bool
		sq.OnOrder(func(_ context.Context, server string) (func(bool), error) {
			require.Equal(t, "w", server)
			if refused != nil {
				return nil, refused
			}
			return func(answered bool) { ended = append(ended, answered) }, nil
		})
		as := inspect(t, sq)
		load := orderer.Order{Server: "w", Action: string(accountant.Load), Model: "m", Basis: as.Basis}
		refused = errors.New("another VM sent orders lately")
		_, err := sq.Send(t.Context(), "a", load)
		require.Equal(t, orderer.CodeNotLeader, code(err))
		require.Zero(t, sn.accepted)
		require.Empty(t, ended)
		refused = nil
		_, err = sq.Send(t.Context(), "a", load)
		require.NoError(t, err)
		require.Equal(t, []bool{true}, ended)
		as = inspect(t, sq)
		sn.lose = true
		_, err = sq.Send(t.Context(), "a", orderer.Order{Server: "w", Action: string(accountant.Load), Model: "n", Basis: as.Basis})
		require.Error(t, err)
		require.Equal(t, []bool{true, false}, ended)
	})
}
