package counter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/counter"
)

func TestValuesContainHistogramPercentiles(t *testing.T) {
	rg := counter.NewRegistry()
	for ix := range 1000 {
		rg.Observe(time.Duration(ix+1)*time.Millisecond, "first-token", "urgent")
	}
	rg.Observe(24*time.Hour, "first-token", "slow")
	rg.Observe(-time.Second, "first-token", "early")
	values := rg.Values()
	require.EqualValues(t, 1000, values["first-token.urgent.count"])
	require.InDelta(t, 500, values["first-token.urgent.p50-ms"], 5)
	require.InDelta(t, 990, values["first-token.urgent.p99-ms"], 10)
	require.InDelta(t, 1000, values["first-token.urgent.max-ms"], 10)
	require.InDelta(t, 600_000, values["first-token.slow.p50-ms"], 6000)
	require.Zero(t, values["first-token.early.p50-ms"])
}

func TestObserveOmitsHistogramsAboveLimit(t *testing.T) {
	rg := counter.NewRegistry()
	for ix := range 1000 {
		rg.Observe(time.Second, "queue-wait", fmt.Sprint(ix))
	}
	require.EqualValues(t, 900, rg.Values()["histograms.omitted"])
	var nilRegistry *counter.Registry
	nilRegistry.Observe(time.Second, "queue-wait")
	require.Empty(t, nilRegistry.Values())
}
