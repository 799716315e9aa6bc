package admitter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	simWarm     = 30 * time.Second
	simMeasured = 90 * time.Second
	// simFits is the load, as a part of all slots, that fits: 99 in 100 of all
	// requests are within their targets.
	simFits = 0.9
	// simOver is three times the load that fits.
	simOver = 3 * simFits
)

func simRun(t *testing.T, deployment string, su simSetup, load float64, seed uint64) *simBench {
	bn := newSimBench(simSettings(t, deployment), su, seed)
	bn.run(load, simWarm, simMeasured, seed)
	good := 0
	for _, tl := range bn.tally {
		good += tl.attained
	}
	perSecond := float64(good) / simMeasured.Seconds() / float64(len(bn.engines))
	t.Logf("%-12s seed %d load %.1f %-32s attained %.4f by class %.4f %.4f %.4f; %.3f/s per accelerator; lowest class finished %d",
		deployment, seed, load, su.name, bn.attained(), bn.attainedOf(0), bn.attainedOf(1), bn.attainedOf(2), perSecond, bn.tally[2].finished)
	return bn
}

func TestAttainmentAgainstNaivePolicies(t *testing.T) {
	for _, deployment := range []string{"harwick-pell", "qurum"} {
		for _, load := range []float64{simFits, simOver} {
			results := map[string]float64{}
			for _, su := range simSetups() {
				results[su.name] = simRun(t, deployment, su, load, 7).attained()
			}
			for name, attained := range results {
				if name != simBest().name {
					require.Greater(t, results[simBest().name], attained, "%s at load %.1f: %s", deployment, load, name)
				}
			}
		}
	}
}

func TestThreeTimesTheLoadThatFits(t *testing.T) {
	for _, deployment := range []string{"harwick-pell", "qurum"} {
		for seed := range uint64(3) {
			fits := simRun(t, deployment, simBest(), simFits, seed)
			assert.GreaterOrEqual(t, fits.attained(), 0.99)
			over := simRun(t, deployment, simBest(), simOver, seed)
			assert.GreaterOrEqual(t, over.attainedOf(0), 0.99)
			assert.GreaterOrEqual(t, over.attainedOf(1), 0.99)
			require.Positive(t, over.tally[2].finished)
		}
	}
}
