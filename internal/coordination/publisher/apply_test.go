package publisher_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/examples"
	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// settingsFiles returns valid settings files that contain the value.
func settingsFiles(t testing.TB, value int) []configurer.File {
	files, err := examples.Files("harwick-pell")
	require.NoError(t, err)
	text := fmt.Sprintf("[limits]\nqueue-requests = %d\n", 1000+value)
	return append(files, configurer.File{Name: "95-test.ini", Text: text})
}

// largeFiles returns valid settings files of which one takes several parts.
func largeFiles(t testing.TB, value int) []configurer.File {
	var text strings.Builder
	sum := sha256.Sum256(nil)
	for range 17500 {
		sum = sha256.Sum256(sum[:])
		text.WriteString("; " + hex.EncodeToString(sum[:]) + "\n")
	}
	return append(settingsFiles(t, value), configurer.File{Name: "96-large.ini", Text: text.String()})
}

// faultyStore fails selected writes, which are counted from one.
type faultyStore struct {
	storer.Store
	mu     sync.Mutex
	writes int
	before func(write int) bool // reports whether the write fails without effect
	after  func(write int) bool // reports whether the write's answer is lost
}

// Swap implements storer.Store.
func (fs *faultyStore) Swap(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	fs.mu.Lock()
	fs.writes++
	write := fs.writes
	fs.mu.Unlock()
	if fs.before != nil && fs.before(write) {
		return 0, &storer.Error{Op: "swap", Key: key, Kind: storer.Unavailable}
	}
	written, err := fs.Store.Swap(ctx, key, value, revision)
	if fs.after != nil && fs.after(write) {
		return 0, &storer.Error{Op: "swap", Key: key, Kind: storer.Uncertain}
	}
	return written, err
}

func apply(t testing.TB, st storer.Store, value int, base int64) *publisher.Revision {
	rv, err := publisher.Apply(t.Context(), st, settingsFiles(t, value), "op", base)
	require.NoError(t, err)
	return rv
}

// TestApplySucceedsWhenAnyAnswerIsLost guards against hazard 3: a write takes
// effect, but its answer is lost.
func TestApplySucceedsWhenAnyAnswerIsLost(t *testing.T) {
	for lost := 1; lost <= len(settingsFiles(t, 1))+2; lost++ {
		me := platform.NewMemory()
		st := &faultyStore{Store: me, after: func(write int) bool { return write == lost }}
		rv := apply(t, st, 1, 0)
		require.EqualValues(t, 1, rv.Number())
		found, err := publisher.Load(t.Context(), me)
		require.NoError(t, err)
		require.Equal(t, rv.Hash(), found.Hash())
	}
}

// TestApplySucceedsWhenLaterRevisionFollowsLostAnswer guards against hazard 3:
// the answer of the write is lost, and another operator applies the next
// revision.
func TestApplySucceedsWhenLaterRevisionFollowsLostAnswer(t *testing.T) {
	me := platform.NewMemory()
	headWrite := len(settingsFiles(t, 1)) + 2 // The record and one part for each file are written before.
	st := &faultyStore{Store: me}
	st.after = func(write int) bool {
		if write == headWrite {
			apply(t, me, 2, 1)
		}
		return write == headWrite
	}
	require.EqualValues(t, 1, apply(t, st, 1, 0).Number())
}

// TestPartlyWrittenRevisionIsNeverRead guards against hazard 7: Apply stops
// between two writes of settings of about a megabyte.
func TestPartlyWrittenRevisionIsNeverRead(t *testing.T) {
	me := platform.NewMemory()
	apply(t, me, 1, 0)
	files := largeFiles(t, 2)
	counted := &faultyStore{Store: me}
	_, err := publisher.Apply(t.Context(), counted, files, "op", 1)
	require.NoError(t, err)
	require.Equal(t, 6, counted.writes, "a record, the changed file, three parts of the large one and the head")
	for cut := 2; cut <= counted.writes; cut++ {
		me := platform.NewMemory()
		apply(t, me, 1, 0)
		st := &faultyStore{Store: me, before: func(write int) bool { return write >= cut }}
		_, err := publisher.Apply(t.Context(), st, files, "op", 1)
		require.Error(t, err)
		rv, err := publisher.Load(t.Context(), me)
		require.NoError(t, err)
		require.EqualValues(t, 1, rv.Number())
		again, err := publisher.Apply(t.Context(), me, files, "op", 1)
		require.NoError(t, err)
		found, err := publisher.LoadRevision(t.Context(), me, 2)
		require.NoError(t, err)
		require.Equal(t, again.Hash(), found.Hash())
		require.Equal(t, files, found.Files())
	}
}

func TestApplyReportsChangesOfConcurrentRevision(t *testing.T) {
	me := platform.NewMemory()
	apply(t, me, 1, 0)
	apply(t, me, 2, 1)
	_, err := publisher.Apply(t.Context(), me, settingsFiles(t, 3), "late", 1)
	require.ErrorIs(t, err, publisher.ErrConflict)
	var er *publisher.ConflictError
	require.ErrorAs(t, err, &er)
	require.EqualValues(t, 2, er.Number)
	require.Equal(t, []publisher.Change{
		{File: "95-test.ini", Section: "limits", Key: "queue-requests", Old: "1001", New: "1002"},
	}, er.Changes)
}

func TestApplyReportsAllFaults(t *testing.T) {
	files := append(settingsFiles(t, 1), configurer.File{Name: "99-bad.ini", Text: "[limits]\nqueue-requests = no\nqueue-bytes = no\n"})
	_, err := publisher.Apply(t.Context(), platform.NewMemory(), files, "op", 0)
	var er *publisher.InvalidError
	require.ErrorAs(t, err, &er)
	require.Len(t, er.Faults, 2)
}

func TestApplyRefusesModelThatFitsNowhere(t *testing.T) {
	files := append(settingsFiles(t, 1), configurer.File{Name: "99-large.ini", Text: "[model.giant]\nmemory = 100TiB\n"})
	_, err := publisher.Apply(t.Context(), platform.NewMemory(), files, "op", 0)
	var er *publisher.InvalidError
	require.ErrorAs(t, err, &er)
	require.Contains(t, er.Error(), "model.giant")
}

func TestHistoryKeepsFiftyRevisionsAndDeletesOlder(t *testing.T) {
	me := platform.NewMemory()
	const count = 60
	for ix := range int64(count) {
		apply(t, me, int(ix), ix)
	}
	lines, err := publisher.History(t.Context(), me)
	require.NoError(t, err)
	require.Len(t, lines, 50)
	require.EqualValues(t, count, lines[0].Number)
	rv, err := publisher.LoadRevision(t.Context(), me, 11)
	require.NoError(t, err)
	require.EqualValues(t, 11, rv.Number())
	_, err = publisher.LoadRevision(t.Context(), me, 10)
	require.ErrorIs(t, err, publisher.ErrNotFound)
	parts, err := me.List(t.Context(), "config/part/")
	require.NoError(t, err)
	unchanged := len(settingsFiles(t, 0)) - 1
	require.Len(t, parts, 50+unchanged)
	back := apply(t, me, int(rv.Number())-1, count)
	require.Equal(t, rv.Hash(), back.Hash(), "going back to old content is a new revision")
	require.EqualValues(t, count+1, back.Number())
}

// operation is a read or a write of the latest revision, as an operation on a
// linearizable register.
type operation struct {
	apply  bool // a write; otherwise a read
	base   int64
	author string
}

// registerState is the latest revision number and its author.
type registerState struct {
	number int64
	author string
}

// result is the result of an operation.
type result struct {
	registerState
	conflict, uncertain bool // Apply failed with a ConflictError, or with any other error
}

var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(before, in, out any) []any {
		was, op, oc := before.(registerState), in.(operation), out.(result)
		applied := registerState{op.base + 1, op.author}
		switch {
		case !op.apply && oc.uncertain:
			return []any{was}
		case !op.apply && oc.registerState == was:
			return []any{was}
		case !op.apply:
			return nil
		case oc.uncertain && was.number == op.base:
			return []any{was, applied}
		case oc.uncertain || oc.conflict && was.number != op.base:
			return []any{was}
		case !oc.conflict && was.number == op.base:
			return []any{applied}
		}
		return nil
	},
	Equal: func(one, two any) bool { return one == two },
}

func TestRevisionIsLinearizable(t *testing.T) {
	for seed := range 5 {
		synctest.Test(t, func(t *testing.T) {
			me := platform.NewMemory()
			me.SetLatency(5 * time.Millisecond)
			var mu sync.Mutex
			var history []porcupine.Operation
			record := func(client int, op operation, run func() result) {
				began := time.Now().UnixNano()
				oc := run()
				mu.Lock()
				defer mu.Unlock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: op, Output: oc, Call: began, Return: time.Now().UnixNano(),
				})
			}
			var running sync.WaitGroup
			for client := range 4 {
				running.Go(func() {
					st := &faultyStore{Store: me, after: func(write int) bool { return (write*7+seed+client)%5 == 0 }}
					for round := range 6 {
						base := loadRecorded(t, st, client, record)
						author := fmt.Sprintf("%d-%d", client, round)
						op := operation{apply: true, base: base, author: author}
						record(client, op, func() result {
							_, err := publisher.Apply(t.Context(), st, settingsFiles(t, client), author, base)
							var er *publisher.ConflictError
							conflict := err != nil && errorAs(err, &er)
							return result{conflict: conflict, uncertain: err != nil && !conflict}
						})
					}
				})
			}
			running.Wait()
			require.True(t, porcupine.CheckOperations(register.ToModel(), history))
		})
	}
}

// loadRecorded reads the latest revision, records the read and returns the
// number.
func loadRecorded(t *testing.T, st storer.Store, client int, record func(int, operation, func() result)) (base int64) {
	record(client, operation{}, func() result {
		rv, err := publisher.Load(t.Context(), st)
		if err != nil {
			return result{}
		}
		base = rv.Number()
		return result{registerState: registerState{rv.Number(), rv.Author()}}
	})
	return base
}
