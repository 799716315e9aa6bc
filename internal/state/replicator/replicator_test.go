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

// copied is a sink that keeps the values.
type copied struct {
	values   map[string]string
	replaced int
	lost     int
	regained int
}

func (cp *copied) Replace(entries []storer.Entry) {
	cp.replaced++
	cp.values = map[string]string{}
	for _, en := range entries {
		cp.values[en.Key] = string(en.Value)
	}
}

func (cp *copied) Apply(changes []storer.Change) {
	for _, ch := range changes {
		if ch.Deleted {
			delete(cp.values, ch.Key)
			continue
		}
		cp.values[ch.Key] = string(ch.Value)
	}
}

func (cp *copied) Lost()     { cp.lost++ }
func (cp *copied) Regained() { cp.regained++ }

// TestCopyFollows writes, removes, loses the store and the history.
func TestCopyFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log.SetLevel(log.FatalLevel)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ks, cp := platform.NewKeyspace(), &copied{}
		ks.Put("p/a", []byte("1"))
		ks.Put("q/a", []byte("other"))
		go func() { _ = replicator.New(ks, "p/", cp).Run(ctx) }()
		settle := func() {
			time.Sleep(5 * time.Second)
			synctest.Wait()
		}
		settle()
		require.Equal(t, map[string]string{"p/a": "1"}, cp.values)
		ks.Put("p/b", []byte("2"))
		ks.Take("p/a")
		settle()
		require.Equal(t, map[string]string{"p/b": "2"}, cp.values)
		require.Equal(t, 1, cp.replaced, "changes are enough")

		ks.SetDown(true)
		settle()
		require.Equal(t, 1, cp.lost, "an outage is told once")
		ks.Put("p/c", []byte("3"))
		ks.Compact()
		ks.SetDown(false)
		settle()
		require.Equal(t, 1, cp.regained)
		require.Equal(t, 2, cp.replaced, "the whole is taken again once history is gone")
		require.Equal(t, map[string]string{"p/b": "2", "p/c": "3"}, cp.values)
		cancel()
		settle()
	})
}
