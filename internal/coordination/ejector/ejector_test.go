package ejector_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonpass/lagoonpass/internal/coordination/ejector"
)

type world struct {
	now      time.Time
	replicas []string
}

func (wd *world) ejector(seed uint64) *ejector.Ejector {
	return ejector.New(
		ejector.WithClock(func() time.Time { return wd.now }),
		ejector.WithRandom(rand.New(rand.NewPCG(seed, 0))),
		ejector.WithReplicas(func(string) map[string][]string { return map[string][]string{"m": wd.replicas} }))
}

func failTimes(ej *ejector.Ejector, server string, count int) {
	for range count {
		ej.Failed(server)
	}
}

func TestServerIsTakenOutAndLetBackGradually(t *testing.T) {
	wd := &world{now: time.Unix(0, 0), replicas: []string{"a", "b"}}
	ej := wd.ejector(1)
	failTimes(ej, "a", 4)
	require.Equal(t, 1.0, ej.Weight("a"))
	ej.Failed("a")
	require.Zero(t, ej.Weight("a"))
	wd.now = wd.now.Add(1900 * time.Millisecond)
	require.Zero(t, ej.Weight("a"), "out for 2 s at least")
	wd.now = wd.now.Add(1200 * time.Millisecond)
	first := ej.Weight("a")
	require.Greater(t, first, 0.0)
	require.Less(t, first, 0.3)
	wd.now = wd.now.Add(5 * time.Second)
	require.Greater(t, ej.Weight("a"), first)
	wd.now = wd.now.Add(10 * time.Second)
	require.Equal(t, 1.0, ej.Weight("a"))
	failTimes(ej, "a", 5)
	wd.now = wd.now.Add(3500 * time.Millisecond)
	require.Zero(t, ej.Weight("a"), "out for longer the second time")
}

func TestHighRateOfFailuresTakesOut(t *testing.T) {
	wd := &world{now: time.Unix(0, 0), replicas: []string{"a", "b"}}
	ej := wd.ejector(1)
	for ix := 0; ix < 200 && ej.Weight("a") > 0; ix++ {
		failTimes(ej, "a", 3)
		ej.Succeeded("a")
	}
	require.Zero(t, ej.Weight("a"))
}

// TestFailingHalfTakesNoMoreOut causes the ejection cascade of hazard 25: the
// half that failed disappears from the list, then the rest fails too.
func TestFailingHalfTakesNoMoreOut(t *testing.T) {
	wd := &world{now: time.Unix(0, 0), replicas: []string{"a", "b", "c", "d"}}
	ej := wd.ejector(1)
	failTimes(ej, "a", 5)
	failTimes(ej, "b", 5)
	wd.replicas = []string{"c", "d"}
	failTimes(ej, "c", 50)
	failTimes(ej, "d", 50)
	require.Zero(t, ej.Weight("a"))
	require.Equal(t, 1.0, ej.Weight("c"))
	require.Equal(t, 1.0, ej.Weight("d"))
}

func TestFloorIsRestoredWhenReplicasGo(t *testing.T) {
	wd := &world{now: time.Unix(0, 0), replicas: []string{"a", "b"}}
	ej := wd.ejector(1)
	failTimes(ej, "a", 5)
	require.Zero(t, ej.Weight("a"))
	wd.replicas = []string{"a"}
	wd.now = wd.now.Add(1100 * time.Millisecond)
	require.Equal(t, 1.0, ej.Weight("a"), "the only replica stays in")
}

func TestFloorHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e"}
		wd := &world{now: time.Unix(0, 0), replicas: names[:rapid.IntRange(1, 5).Draw(t, "replicas")]}
		ej := wd.ejector(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			server := rapid.SampledFrom(wd.replicas).Draw(t, "server")
			failTimes(ej, server, rapid.IntRange(0, 8).Draw(t, "failures"))
			wd.now = wd.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			whole := 0
			for _, name := range wd.replicas {
				if ej.Weight(name) == 1 {
					whole++
				}
			}
			require.GreaterOrEqual(t, whole, (len(wd.replicas)+1)/2)
		}
	})
}
