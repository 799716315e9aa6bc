package replicator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/replicator"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// recordingSink stores the values and counts the calls.
type recordingSink struct {
	values   map[string]string
	replaced int
	lost     int
	regained int
	era      int64
}

func (rs *recordingSink) Replace(entries []storer.Entry) {
	rs.replaced++
	rs.values = map[string]string{}
	for _, en := range entries {
		rs.values[en.Key] = string(en.Value)
	}
}

func (rs *recordingSink) Apply(changes []storer.Change) {
	for _, ch := range changes {
		if ch.Deleted {
			delete(rs.values, ch.Key)
			continue
		}
		rs.values[ch.Key] = string(ch.Value)
	}
}

func (rs *recordingSink) StoreDown() { rs.lost++ }
func (rs *recordingSink) StoreUp()   { rs.regained++ }

func (rs *recordingSink) StoreRestored(era int64) { rs.era = era }

// TestReplicatorFollowsChangesAndRecoversFromOutage writes and removes keys,
// then makes the store unavailable and compacts its history.
func TestReplicatorFollowsChangesAndRecoversFromOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log.SetLevel(log.FatalLevel)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ks, rs := platform.NewKeyspace(), &recordingSink{}
		ks.Put("p/a", []byte("1"))
		ks.Put("q/a", []byte("other"))
		go func() { _ = replicator.New(ks, "p/", rs).Run(ctx) }()
		wait := func() {
			time.Sleep(5 * time.Second)
			synctest.Wait()
		}
		wait()
		require.Equal(t, map[string]string{"p/a": "1"}, rs.values)
		ks.Put("p/b", []byte("2"))
		ks.Remove("p/a")
		wait()
		require.Equal(t, map[string]string{"p/b": "2"}, rs.values)
		require.Equal(t, 1, rs.replaced, "changes are enough")

		ks.SetDown(true)
		wait()
		require.Equal(t, 1, rs.lost, "an outage is told once")
		ks.Put("p/c", []byte("3"))
		ks.Compact()
		ks.SetDown(false)
		wait()
		require.Equal(t, 1, rs.regained)
		require.Equal(t, 2, rs.replaced, "the whole is taken again once history is gone")
		require.Equal(t, map[string]string{"p/b": "2", "p/c": "3"}, rs.values)
		cancel()
		wait()
	})
}

// TestReplicatorReloadsAfterStoreReturnedFromOlderCopy has a revision given out
// again for another key. A watch from there alone would miss that key.
func TestReplicatorReloadsAfterStoreReturnedFromOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log.SetLevel(log.FatalLevel)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ks, rs := platform.NewKeyspace(), &recordingSink{}
		ks.SetEra(7)
		ks.Put("p/a", []byte("1"))
		ks.Copy()
		go func() { _ = replicator.New(platform.NewLink(ks), "p/", rs).Run(ctx) }()
		time.Sleep(5 * time.Second)
		ks.Put("p/lost", []byte("2"))
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, map[string]string{"p/a": "1", "p/lost": "2"}, rs.values)

		ks.Restore()
		ks.Put("p/again", []byte("3")) // the revision of p/lost
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, map[string]string{"p/a": "1", "p/again": "3"}, rs.values)
		require.Equal(t, int64(8), rs.era)
		cancel()
		time.Sleep(5 * time.Second)
	})
}
