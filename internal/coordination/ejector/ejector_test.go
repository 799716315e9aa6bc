package ejector_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonpass/lagoonpass/internal/coordination/ejector"
)

// fixture is the clock and the replica list that an ejector sees.
type fixture struct {
	now      time.Time
	replicas []string
}

func (fx *fixture) ejector(seed uint64) *ejector.Ejector {
	return ejector.New(
		ejector.WithClock(func() time.Time { return fx.now }),
		ejector.WithRandom(rand.New(rand.NewPCG(seed, 0))),
		ejector.WithReplicas(func(string) map[string][]string { return map[string][]string{"m": fx.replicas} }))
}

func failTimes(ej *ejector.Ejector, server string, count int) {
	for range count {
		ej.Failed(server)
	}
}

func TestEjectedServerIsReadmittedGradually(t *testing.T) {
	fx := &fixture{now: time.Unix(0, 0), replicas: []string{"a", "b"}}
	ej := fx.ejector(1)
	failTimes(ej, "a", 4)
	require.Equal(t, 1.0, ej.Weight("a"))
	ej.Failed("a")
	require.Zero(t, ej.Weight("a"))
	fx.now = fx.now.Add(1900 * time.Millisecond)
	require.Zero(t, ej.Weight("a"), "out for 2 s at least")
	fx.now = fx.now.Add(1200 * time.Millisecond)
	first := ej.Weight("a")
	require.Greater(t, first, 0.0)
	require.Less(t, first, 0.3)
	fx.now = fx.now.Add(5 * time.Second)
	require.Greater(t, ej.Weight("a"), first)
	fx.now = fx.now.Add(10 * time.Second)
	require.Equal(t, 1.0, ej.Weight("a"))
	failTimes(ej, "a", 5)
	fx.now = fx.now.Add(3500 * time.Millisecond)
	require.Zero(t, ej.Weight("a"), "out for longer the second time")
}

func TestHighFailureRateEjectsServer(t *testing.T) {
	fx := &fixture{now: time.Unix(0, 0), replicas: []string{"a", "b"}}
	ej := fx.ejector(1)
	for ix := 0; ix < 200 && ej.Weight("a") > 0; ix++ {
		failTimes(ej, "a", 3)
		ej.Succeeded("a")
	}
	require.Zero(t, ej.Weight("a"))
}

// TestNoEjectionsAfterFailingHalfIsDelisted causes the ejection cascade of
// hazard 25: half of the servers fail and disappear from the list, then the
// rest fail too.
func TestNoEjectionsAfterFailingHalfIsDelisted(t *testing.T) {
	fx := &fixture{now: time.Unix(0, 0), replicas: []string{"a", "b", "c", "d"}}
	ej := fx.ejector(1)
	failTimes(ej, "a", 5)
	failTimes(ej, "b", 5)
	fx.replicas = []string{"c", "d"}
	failTimes(ej, "c", 50)
	failTimes(ej, "d", 50)
	require.Zero(t, ej.Weight("a"))
	require.Equal(t, 1.0, ej.Weight("c"))
	require.Equal(t, 1.0, ej.Weight("d"))
}

func TestServerIsReadmittedWhenOtherReplicasDisappear(t *testing.T) {
	fx := &fixture{now: time.Unix(0, 0), replicas: []string{"a", "b"}}
	ej := fx.ejector(1)
	failTimes(ej, "a", 5)
	require.Zero(t, ej.Weight("a"))
	fx.replicas = []string{"a"}
	fx.now = fx.now.Add(1100 * time.Millisecond)
	require.Equal(t, 1.0, ej.Weight("a"), "the only replica stays in")
}

func TestAtLeastHalfOfReplicasKeepFullWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e"}
		fx := &fixture{now: time.Unix(0, 0), replicas: names[:rapid.IntRange(1, 5).Draw(t, "replicas")]}
		ej := fx.ejector(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			server := rapid.SampledFrom(fx.replicas).Draw(t, "server")
			failTimes(ej, server, rapid.IntRange(0, 8).Draw(t, "failures"))
			fx.now = fx.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			whole := 0
			for _, name := range fx.replicas {
				if ej.Weight(name) == 1 {
					whole++
				}
			}
			require.GreaterOrEqual(t, whole, (len(fx.replicas)+1)/2)
		}
	})
}
