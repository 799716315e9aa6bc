package storer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// A slow answer of the former era arrives after one of the new. What it says is
// no longer so, and a write that it confirms may be gone.
func TestAnswerOfFormerEraIsNotBelieved(t *testing.T) {
	var es storer.Eras
	require.NoError(t, es.Judge("get", "k", storer.Lookup, 0, 7, nil))
	require.NoError(t, es.Judge("get", "k", storer.Lookup, 7, 8, nil), "a read needs no premises")
	err := es.Judge("get", "k", storer.Lookup, 7, 7, nil)
	require.True(t, storer.Is(err, storer.Unavailable), "%v", err)
	err = es.Judge("commit", "k", storer.ConditionalWrite, 7, 7, nil)
	require.True(t, storer.Is(err, storer.Uncertain), "%v", err)
	require.Equal(t, int64(8), es.Era())
}

// A call that was sent in the former era is executed in the new one, where its
// revision or lease was given out again.
func TestCallAcrossErasDoesNotCountAsDone(t *testing.T) {
	var es storer.Eras
	require.NoError(t, es.Judge("get", "k", storer.Lookup, 0, 7, nil))
	for class, kind := range map[storer.CallClass]storer.Kind{
		storer.Continuation:     storer.TooOld,
		storer.LeaseRenewal:     storer.NotFound,
		storer.ConditionalWrite: storer.Uncertain,
	} {
		err := es.Judge("op", "k", class, 7, 8, nil)
		require.True(t, storer.Is(err, kind), "%v", err)
	}
	conflict := &storer.Error{Kind: storer.Conflict}
	require.ErrorIs(t, es.Judge("commit", "k", storer.ConditionalWrite, 7, 8, conflict), conflict, "a refused write changed nothing")
}

func TestTransactionWithPremisesOfAnotherEraIsNotSent(t *testing.T) {
	var es storer.Eras
	require.NoError(t, es.Admit(storer.Transaction{}), "a store without eras")
	require.NoError(t, es.Judge("get", "k", storer.Lookup, 0, 8, nil))
	require.NoError(t, es.Admit(storer.Transaction{Era: 8}))
	require.NoError(t, es.Admit(storer.Transaction{}), "premises that were read before the store named eras")
	require.True(t, storer.Is(es.Admit(storer.Transaction{Era: 7}), storer.Conflict))
}

// An older store names no era; its answers are neither of a former nor of a new
// one.
func TestAnswerWithoutEraIsBelieved(t *testing.T) {
	var es storer.Eras
	require.NoError(t, es.Judge("renew", "", storer.LeaseRenewal, 0, 0, nil))
	require.NoError(t, es.Judge("get", "k", storer.Lookup, 0, 3, nil))
	require.NoError(t, es.Judge("renew", "", storer.LeaseRenewal, 3, 0, nil))
	require.Equal(t, int64(3), es.Era())
}
