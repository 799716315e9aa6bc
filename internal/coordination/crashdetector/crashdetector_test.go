package crashdetector_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/crashdetector"
)

// TestOnlyServersThatRefuseConnectionsCrashed tells a crash from a reset, a
// planned stop and a server that breaks off answers.
func TestOnlyServersThatRefuseConnectionsCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked atomic.Int64
		refuses := func(_ context.Context, address string) bool { asked.Add(1); return address != "up" }
		var crashes []crashdetector.Crash
		dt := crashdetector.New(refuses,
			crashdetector.WithLeaving(func(server string) bool { return server == "leaving" }),
			crashdetector.WithOnCrash(func(cr crashdetector.Crash) { crashes = append(crashes, cr) }))
		began := time.Now()
		dt.Lost("w1", "down", crashdetector.Loss{ID: "one"})
		dt.Lost("w1", "down", crashdetector.Loss{ID: "two", Answering: true})
		dt.Lost("leaving", "down", crashdetector.Loss{ID: "three"})
		dt.Lost("w2", "up", crashdetector.Loss{ID: "four"})
		time.Sleep(time.Second)
		synctest.Wait()
		require.EqualValues(t, 3, asked.Load(), "one connection per server")
		require.Equal(t, []crashdetector.Crash{{Server: "w1", At: began, Losses: []crashdetector.Loss{{ID: "one"}, {ID: "two", Answering: true}}}}, crashes)
	})
}

func TestLossesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		count := 0
		dt := crashdetector.New(func(context.Context, string) bool { return true },
			crashdetector.WithOnCrash(func(cr crashdetector.Crash) { count = len(cr.Losses) }))
		for range 5000 {
			dt.Lost("w1", "down", crashdetector.Loss{})
		}
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 1024, count)
	})
}

// A node that lost its path to all servers took the resets for crashes, and had the
// contents of its requests excluded on all nodes.
func TestLossOfPathIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crashes, lost := 0, true
		dt := crashdetector.New(func(context.Context, string) bool { return true },
			crashdetector.WithPath(func(_ context.Context, server string) bool { return lost && server == "w1" }),
			crashdetector.WithOnCrash(func(crashdetector.Crash) { crashes++ }))
		<-dt.Lost("w1", "down", crashdetector.Loss{})
		require.Zero(t, crashes)
		lost = false
		<-dt.Lost("w1", "down", crashdetector.Loss{})
		require.Equal(t, 1, crashes)
	})
}
