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

// settings returns valid files that differ by the value.
func settings(t testing.TB, value int) []configurer.File {
	files, err := examples.Files("harwick-pell")
	require.NoError(t, err)
	text := fmt.Sprintf("[limits]\nqueue-requests = %d\n", 1000+value)
	return append(files, configurer.File{Name: "95-test.ini", Text: text})
}

// large returns valid files that take several parts.
func large(t testing.TB, value int) []configurer.File {
	var text strings.Builder
	sum := sha256.Sum256(nil)
	for range 17500 {
		sum = sha256.Sum256(sum[:])
		text.WriteString("; " + hex.EncodeToString(sum[:]) + "\n")
	}
	return append(settings(t, value), configurer.File{Name: "96-large.ini", Text: text.String()})
}

// faulty fails chosen writes: before they take effect, or after.
type faulty struct {
	storer.Store
	mu     sync.Mutex
	writes int
	before func(write int) bool
	after  func(write int) bool
}

// Swap implements storer.Store.
func (fs *faulty) Swap(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
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
	rv, err := publisher.Apply(t.Context(), st, settings(t, value), "op", base)
	require.NoError(t, err)
	return rv
}

// Hazard 3: an answer is lost after the write took effect, at any write.
func TestApplyWithLostAnswersIsSettled(t *testing.T) {
	for lost := 1; lost <= len(settings(t, 1))+2; lost++ {
		me := platform.NewMemory()
		st := &faulty{Store: me, after: func(write int) bool { return write == lost }}
		rv := apply(t, st, 1, 0)
		require.EqualValues(t, 1, rv.Number())
		found, err := publisher.Load(t.Context(), me)
		require.NoError(t, err)
		require.Equal(t, rv.Hash(), found.Hash())
	}
}

// Hazard 3: the answer is lost and another operator applies on top of it.
func TestApplyWithLostAnswerUnderALaterRevision(t *testing.T) {
	me := platform.NewMemory()
	headWrite := len(settings(t, 1)) + 2 // A record and a part for each file come before.
	st := &faulty{Store: me}
	st.after = func(write int) bool {
		if write == headWrite {
			apply(t, me, 2, 1)
		}
		return write == headWrite
	}
	require.EqualValues(t, 1, apply(t, st, 1, 0).Number())
}

// Hazard 7: settings near a megabyte, half of them written.
func TestHalfWrittenRevisionIsNeverSeen(t *testing.T) {
	me := platform.NewMemory()
	apply(t, me, 1, 0)
	files := large(t, 2)
	counted := &faulty{Store: me}
	_, err := publisher.Apply(t.Context(), counted, files, "op", 1)
	require.NoError(t, err)
	require.Equal(t, 6, counted.writes, "a record, the changed file, three parts of the large one and the head")
	for cut := 2; cut <= counted.writes; cut++ {
		me := platform.NewMemory()
		apply(t, me, 1, 0)
		st := &faulty{Store: me, before: func(write int) bool { return write >= cut }}
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

func TestOfTwoRacingOperatorsOneIsToldWhatChanged(t *testing.T) {
	me := platform.NewMemory()
	apply(t, me, 1, 0)
	apply(t, me, 2, 1)
	_, err := publisher.Apply(t.Context(), me, settings(t, 3), "late", 1)
	require.ErrorIs(t, err, publisher.ErrRaced)
	var er *publisher.RacedError
	require.ErrorAs(t, err, &er)
	require.EqualValues(t, 2, er.Number)
	require.Equal(t, []publisher.Change{
		{File: "95-test.ini", Section: "limits", Key: "queue-requests", Old: "1001", New: "1002"},
	}, er.Changes)
}

func TestInvalidSettingsCarryAllFaults(t *testing.T) {
	files := append(settings(t, 1), configurer.File{Name: "99-bad.ini", Text: "[limits]\nqueue-requests = no\nqueue-bytes = no\n"})
	_, err := publisher.Apply(t.Context(), platform.NewMemory(), files, "op", 0)
	var er *publisher.InvalidError
	require.ErrorAs(t, err, &er)
	require.Len(t, er.Faults, 2)
}

func TestSettingsWithoutRoomForAModelAreRefused(t *testing.T) {
	files := append(settings(t, 1), configurer.File{Name: "99-large.ini", Text: "[model.giant]\nmemory = 100TiB\n"})
	_, err := publisher.Apply(t.Context(), platform.NewMemory(), files, "op", 0)
	var er *publisher.InvalidError
	require.ErrorAs(t, err, &er)
	require.Contains(t, er.Error(), "model.giant")
}

func TestHistoryKeepsTheLatestAndCollectsTheRest(t *testing.T) {
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
	require.ErrorIs(t, err, publisher.ErrGone)
	parts, err := me.List(t.Context(), "config/part/")
	require.NoError(t, err)
	unchanged := len(settings(t, 0)) - 1
	require.Len(t, parts, 50+unchanged)
	back := apply(t, me, int(rv.Number())-1, count)
	require.Equal(t, rv.Hash(), back.Hash(), "going back to old content is a new revision")
	require.EqualValues(t, count+1, back.Number())
}

// step is an operation on the register that the revision is.
type step struct {
	apply  bool
	base   int64
	author string
}

// state is the register: the latest number and who wrote it.
type state struct {
	number int64
	author string
}

// outcome is the result of a step.
type outcome struct {
	state
	raced, unsettled bool
}

var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(before, in, out any) []any {
		was, sp, oc := before.(state), in.(step), out.(outcome)
		applied := state{sp.base + 1, sp.author}
		switch {
		case !sp.apply && oc.unsettled:
			return []any{was}
		case !sp.apply && oc.state == was:
			return []any{was}
		case !sp.apply:
			return nil
		case oc.unsettled && was.number == sp.base:
			return []any{was, applied}
		case oc.unsettled || oc.raced && was.number != sp.base:
			return []any{was}
		case !oc.raced && was.number == sp.base:
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
			record := func(client int, sp step, run func() outcome) {
				began := time.Now().UnixNano()
				oc := run()
				mu.Lock()
				defer mu.Unlock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: sp, Output: oc, Call: began, Return: time.Now().UnixNano(),
				})
			}
			var running sync.WaitGroup
			for client := range 4 {
				running.Go(func() {
					st := &faulty{Store: me, after: func(write int) bool { return (write*7+seed+client)%5 == 0 }}
					for round := range 6 {
						base := loadOnce(t, st, client, record)
						author := fmt.Sprintf("%d-%d", client, round)
						sp := step{apply: true, base: base, author: author}
						record(client, sp, func() outcome {
							_, err := publisher.Apply(t.Context(), st, settings(t, client), author, base)
							var er *publisher.RacedError
							raced := err != nil && errorAs(err, &er)
							return outcome{raced: raced, unsettled: err != nil && !raced}
						})
					}
				})
			}
			running.Wait()
			require.True(t, porcupine.CheckOperations(register.ToModel(), history))
		})
	}
}

func loadOnce(t *testing.T, st storer.Store, client int, record func(int, step, func() outcome)) (base int64) {
	record(client, step{}, func() outcome {
		rv, err := publisher.Load(t.Context(), st)
		if err != nil {
			return outcome{}
		}
		base = rv.Number()
		return outcome{state: state{rv.Number(), rv.Author()}}
	})
	return base
}
