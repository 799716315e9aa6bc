package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonpass/lagoonpass/internal/coordination/retrier"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// TestRetriesStayBelowTheirShare draws traffic with outages and checks the
// share of retries since the start and in every window of 200 attempts.
func TestRetriesStayBelowTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{0, 0.01, 0.05, 0.1}).Draw(t, "share")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		phases := rapid.SliceOfN(rapid.Float64Range(0, 1), 1, 6).Draw(t, "failure rates")
		bd := retrier.NewBudget()
		var attempts []bool
		for _, rate := range phases {
			for range 500 {
				bd.Sent()
				attempts = append(attempts, false)
				for random.Float64() < rate && bd.Take(share) {
					attempts = append(attempts, true)
				}
				if random.Float64() >= rate {
					bd.Succeeded(share)
				}
			}
		}
		checkShare(t, attempts, share)
	})
}

func checkShare(t *rapid.T, attempts []bool, share float64) {
	const window = 200
	all, recent := 0, 0
	for ix, retry := range attempts {
		if retry {
			all++
			recent++
		}
		if ix >= window && attempts[ix-window] {
			recent--
		}
		if float64(all) > share*float64(ix+1-all) {
			t.Fatalf("%d retries in the first %d attempts", all, ix+1)
		}
		if ix >= window-1 && float64(recent) > share*float64(window-recent) {
			t.Fatalf("%d retries in the %d attempts up to %d", recent, window, ix+1)
		}
	}
}

func TestMostFailuresWithinBudgetAreRetried(t *testing.T) {
	bd := retrier.NewBudget()
	require.False(t, bd.Take(0.1), "no retry without traffic")
	taken := 0
	for ix := range 1000 {
		bd.Sent()
		if ix%20 == 0 && bd.Take(0.1) {
			taken++
		}
		bd.Succeeded(0.1)
	}
	require.Greater(t, taken, 45, "5 in 100 fail and nearly all are retried")
}

func TestBackoffDoublesUpToLimit(t *testing.T) {
	st, faults := configurer.Parse([]configurer.File{{Name: "1.ini", Text: "[retries]\nbackoff = 100ms\nmax-backoff = 1s\n"}})
	require.Empty(t, faults)
	random := rand.New(rand.NewPCG(1, 1))
	for retry, most := range []time.Duration{0, 100, 200, 400, 800, 1000, 1000} {
		if retry == 0 {
			continue
		}
		most *= time.Millisecond
		for range 100 {
			delay := retrier.Backoff(st.Retries(), retry, random)
			require.GreaterOrEqual(t, delay, most/2)
			require.LessOrEqual(t, delay, most)
		}
	}
}

func TestFingerprintIsExcludedAfterTwoCrashes(t *testing.T) {
	now := time.Unix(0, 0)
	sp := retrier.NewSuspects()
	require.Equal(t, 1, sp.CountCrash(7, now))
	require.Zero(t, sp.ExcludedFor(7, now))
	require.Equal(t, 2, sp.CountCrash(7, now))
	require.Equal(t, time.Minute, sp.ExcludedFor(7, now))
	require.Zero(t, sp.ExcludedFor(7, now.Add(time.Minute)), "it expires")
	require.Equal(t, 1, sp.CountCrash(7, now.Add(time.Minute)), "old deaths do not count")
	sp.CountCrash(8, now)
	sp.Remove(8)
	require.Equal(t, 1, sp.CountCrash(8, now), "a whole answer clears it")
}

func TestOldestFingerprintIsDroppedAtLimit(t *testing.T) {
	sp := retrier.NewSuspects()
	start := time.Unix(0, 0)
	for ix := range uint64(5000) {
		sp.CountCrash(ix, start.Add(time.Duration(ix)*time.Millisecond))
	}
	require.Equal(t, 1, sp.CountCrash(0, start.Add(5*time.Second)), "the oldest was dropped")
	require.Equal(t, 2, sp.CountCrash(4999, start.Add(5*time.Second)), "the newest was not")
}
