package storer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

func TestMeterStopsAtBudgetAndServesOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		me := platform.NewMemory()
		rg := counter.NewRegistry()
		mt := storer.NewMeter(me, rg, storer.WithCallBudget(storer.NewCallBudget(10, 10)))
		spend := func(pp storer.Purpose) (made int) {
			for storer.Is(getMissingKey(mt.For(pp)), storer.NotFound) {
				made++
			}
			return made
		}
		require.Equal(t, 10, spend(storer.PurposePlan), "half of the bucket is left to others")
		require.Equal(t, 10, spend(storer.PurposeOwnership))
		require.Zero(t, spend(storer.PurposeRecord), "the budget is hard")
		time.Sleep(time.Second)
		require.Zero(t, spend(storer.PurposePlan))
		require.Equal(t, 10, spend(storer.PurposeRecord))
		reads, _ := me.Calls()
		require.EqualValues(t, 30, reads)
		require.EqualValues(t, 10, rg.Values()["store-read.plan"])
		require.EqualValues(t, 2, rg.Values()["store-budget.plan"])
	})
}

func getMissingKey(st storer.Store) error {
	_, err := st.Get(context.Background(), "nothing")
	return err
}

func TestMeterRejectsMostCallsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		me := platform.NewMemory()
		draw := func() float64 { return 0.5 }
		mt := storer.NewMeter(me, counter.NewRegistry(), storer.WithCircuitBreaker(draw))
		st := mt.For(storer.PurposeOwnership)
		me.SetDown(true)
		for range 60 * 100 {
			require.True(t, storer.Is(getMissingKey(st), storer.Unavailable))
			time.Sleep(10 * time.Millisecond)
		}
		reads, _ := me.Calls()
		require.Less(t, reads, int64(100), "of 6,000 calls in a minute")
		me.SetDown(false)
		time.Sleep(time.Second)
		require.True(t, storer.Is(getMissingKey(st), storer.NotFound))
		require.True(t, storer.Is(getMissingKey(st), storer.NotFound))
	})
}

// TestSwapSettledResolvesLostAnswers covers hazard 3: the answer is lost before
// or after the write takes effect.
func TestSwapSettledResolvesLostAnswers(t *testing.T) {
	isOwn := func(value []byte) bool { return string(value) == "mine" }
	swap := func(me *platform.Memory) error {
		_, err := storer.SwapSettled(t.Context(), me, "k", []byte("mine"), 0, isOwn)
		return err
	}
	after := platform.NewMemory()
	after.LoseAnswers(1)
	require.NoError(t, swap(after))
	before := platform.NewMemory()
	before.LoseWrites(1)
	require.True(t, storer.Is(swap(before), storer.Uncertain), "a delayed write may still arrive")
	rival := platform.NewMemory()
	_, err := rival.Swap(t.Context(), "k", []byte("rival"), 0)
	require.NoError(t, err)
	require.True(t, storer.Is(swap(rival), storer.Conflict))
}

func TestClientReportsWhetherWriteMayHaveTakenEffect(t *testing.T) {
	me := platform.NewMemory()
	sv := httptest.NewServer(platform.Handler(me, func() []platform.VM { return nil }))
	cl := storer.NewClient(sv.URL)
	first, err := cl.Swap(t.Context(), "k", []byte("v"), 0)
	require.NoError(t, err)
	me.LoseAnswers(1)
	_, err = cl.Swap(t.Context(), "k", []byte("w"), first)
	require.True(t, storer.Is(err, storer.Uncertain))
	en, err := cl.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Equal(t, "w", string(en.Value), "the write took effect, and only once")
	_, err = cl.Swap(t.Context(), "k", []byte("x"), first)
	require.True(t, storer.Is(err, storer.Conflict))
	require.NoError(t, cl.Delete(t.Context(), "k", en.Revision))
	_, err = cl.Get(t.Context(), "k")
	require.True(t, storer.Is(err, storer.NotFound))
	sv.Close()
	_, err = cl.Swap(t.Context(), "k", []byte("y"), 0)
	require.True(t, storer.Is(err, storer.Unavailable), "the connection was never opened")
}

func TestClientTimesOutWhenServiceIsSilent(t *testing.T) {
	release := make(chan struct{})
	sv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer sv.Close()
	defer close(release)
	cl := storer.NewClient(sv.URL, storer.WithHTTPClient(&http.Client{Timeout: 50 * time.Millisecond}))
	_, err := cl.Get(t.Context(), "k")
	require.True(t, storer.Is(err, storer.Unavailable))
	_, err = cl.Swap(t.Context(), "k", nil, 0)
	require.True(t, storer.Is(err, storer.Uncertain))
}
