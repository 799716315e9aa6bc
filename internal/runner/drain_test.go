package runner_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDrainBeginsPlannedStopAndEndsNode(t *testing.T) {
	rg := newRig(t)
	rg.nodes[0].Drain()
	rg.nodes[0].Drain()
	<-rg.pauses
	require.Equal(t, 200, rg.call(http.DefaultClient, 0, "/v1/completions", `{"model":"m","max_tokens":1}`).StatusCode, "serves on")
	rg.endPause <- time.Now()
	err := <-rg.ended[0]
	rg.ended[0] <- err
	require.NoError(t, err)
}
