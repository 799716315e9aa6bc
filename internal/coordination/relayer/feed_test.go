package relayer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// valueSink keeps the values of keys.
type valueSink map[string]string

func (vs valueSink) Replace(entries []storer.Entry) {
	clear(vs)
	for _, en := range entries {
		vs[en.Key] = string(en.Value)
	}
}

func (vs valueSink) Apply(changes []storer.Change) {
	for _, ch := range changes {
		if ch.Deleted {
			delete(vs, ch.Key)
			continue
		}
		vs[ch.Key] = string(ch.Value)
	}
}

func (valueSink) StoreDown()          {}
func (valueSink) StoreUp()            {}
func (valueSink) StoreRestored(int64) {}

// A watch is answered in era 7, and before its changes are applied a peer's copy
// of era 8 comes in. The changes are of no use then: their revisions were given out
// again.
func TestChangesOfFormerEraAreNotApplied(t *testing.T) {
	values := valueSink{}
	fd := &feed{sink: values, clock: func() time.Duration { return 0 }, entries: map[string]storer.Entry{}}
	rd := &reader{feed: fd, era: 7}
	rd.Replace([]storer.Entry{{Key: "k", Value: []byte("one"), Revision: 5}})
	rd.advance(7, 5)
	fd.take(messenger.FeedPart{
		Whole: true, Era: 8, Revision: 6,
		Changes: []messenger.FeedChange{{Key: "k", Value: []byte("two"), Revision: 4}},
	})
	require.Equal(t, valueSink{"k": "two"}, values)

	rd.Apply([]storer.Change{{Entry: storer.Entry{Key: "k", Value: []byte("lost"), Revision: 9}}})
	rd.advance(7, 9)
	require.Equal(t, valueSink{"k": "two"}, values)
	_, _, revision := fd.positions()
	require.Equal(t, int64(6), revision)

	rd.StoreRestored(8)
	rd.Apply([]storer.Change{{Entry: storer.Entry{Key: "k", Value: []byte("three"), Revision: 7}}})
	require.Equal(t, valueSink{"k": "three"}, values)
}

// The pages of a list are read one after the other, so that later ones may have changes
// after the list's revision. A follower whose copy is of that revision lacked these
// changes for ever.
func TestFollowerGetsChangesThatAListHadAlready(t *testing.T) {
	source, copied := valueSink{}, valueSink{}
	newFeed := func(sk valueSink) *feed {
		return &feed{sink: sk, clock: func() time.Duration { return 0 }, entries: map[string]storer.Entry{}}
	}
	from, to := newFeed(source), newFeed(copied)
	entry := func(key string, revision int64) storer.Entry { return storer.Entry{Key: key, Revision: revision} }
	to.Replace([]storer.Entry{entry("changed", 3), entry("removed", 4)})
	to.advance(0, 5)

	from.Replace([]storer.Entry{entry("changed", 6), entry("added", 7)})
	from.advance(0, 5)
	rd := &reader{feed: from}
	rd.Apply([]storer.Change{{Entry: entry("changed", 6)}, {Entry: entry("added", 7)}, {Entry: entry("removed", 8), Deleted: true}})
	from.advance(0, 8)

	pt, ok := from.part(to.messagePosition())
	require.True(t, ok)
	to.take(pt)
	require.Equal(t, from.entries, to.entries)
	require.Equal(t, source, copied)
}
