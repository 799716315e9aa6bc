package dispatcher

import (
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

func TestRelayReportsBrokenInvariants(t *testing.T) {
	one, finish := 1, "stop"
	token := func(id string, ix *int) *chunk {
		return &chunk{ID: id, TokenIndex: ix, Choices: []choice{{Text: "x"}}}
	}
	for name, tc := range map[string]struct {
		violate   func(*relay)
		invariant checker.Invariant
	}{
		"foreign chunk":  {func(rl *relay) { _ = rl.pushChunk(token("B", nil), nil) }, checker.OwnAnswer},
		"foreign answer": {func(rl *relay) { _ = rl.pushAnswer(&chunk{ID: "B", Choices: []choice{{FinishReason: &finish}}}, nil) }, checker.OwnAnswer},
		"skipped token":  {func(rl *relay) { _ = rl.pushChunk(token("A", &one), nil) }, checker.CompleteAnswer},
		"no finish":      {func(rl *relay) { _ = rl.finishStream() }, checker.CompleteAnswer},
		"ended early":    {func(rl *relay) { rl.end(nil) }, checker.CompleteAnswer},
		"half an answer": {func(rl *relay) { _ = rl.pushAnswer(&chunk{ID: "A"}, nil) }, checker.CompleteAnswer},
		"dishonest": {func(*relay) {
			assertOutcome("A", refuser.New(refuser.BackendFailed, "x"), true)
		}, checker.NotRunCorrect},
	} {
		t.Run(name, func(t *testing.T) {
			checker.Reset()
			defer checker.Reset()
			tc.violate(newRelay(&atomic.Int64{}, "A", 0))
			require.Len(t, checker.Violations(), 1)
			require.Equal(t, tc.invariant, checker.Violations()[0].Invariant)
		})
	}
}

func TestPushFailsWhenNodeBufferIsFull(t *testing.T) {
	total := &atomic.Int64{}
	total.Store(maxNodeBuffer - 100)
	rl := newRelay(total, "A", 0)
	require.NoError(t, rl.push(contentTypeEvents, make([]byte, 50)))
	require.ErrorIs(t, rl.push(contentTypeEvents, make([]byte, 50)), errNodeBuffer)
	rl.release()
	require.EqualValues(t, maxNodeBuffer-100, total.Load())
	require.ErrorIs(t, rl.push(contentTypeEvents, nil), errCallerGone)
}

func TestPushRemovesLineBreaksFromEvents(t *testing.T) {
	rl := newRelay(&atomic.Int64{}, "A", 0)
	require.NoError(t, rl.push(contentTypeEvents, []byte("{\"id\":\r\n\"A\"}")))
	batch, _ := rl.takePending()
	require.Equal(t, "data: {\"id\":\"A\"}\n\n", string(batch))
}
