package tracker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/tracker"
)

var start = time.Unix(1000, 0)

func startPlus(elapsed time.Duration) time.Time { return start.Add(elapsed) }

func server(id string, incarnation, sequence int64, leaving bool) tracker.Server {
	return tracker.Server{ID: id, Incarnation: incarnation, Sequence: sequence, Leaving: leaving}
}

func ids(tk *tracker.Tracker, now time.Time) []string {
	names := []string{}
	for _, sv := range tk.Servers(now) {
		name := sv.ID
		if sv.Leaving {
			name += " leaves"
		}
		names = append(names, name)
	}
	return names
}

// TestLeavingServerStaysLeavingWithinItsIncarnation delivers registrations
// without the leaving mark, older and newer ones, after one with the mark.
func TestLeavingServerStaysLeavingWithinItsIncarnation(t *testing.T) {
	tk := tracker.New()
	tk.Update(start, server("a", 1, 4, false))
	tk.Update(start, server("a", 1, 5, true))
	tk.Update(start, server("a", 1, 4, false))
	require.Equal(t, []string{"a leaves"}, ids(tk, start))
	tk.Update(start, server("a", 1, 6, false))
	require.Equal(t, []string{"a leaves"}, ids(tk, start), "newer beats of the same start change nothing")
	tk.Remove(start, "a")
	tk.Update(start, server("a", 1, 7, false))
	require.Equal(t, []string{"a leaves"}, ids(tk, start), "nor does a registration that comes back")
	tk.Update(start, server("a", 2, 1, false))
	require.Equal(t, []string{"a"}, ids(tk, start), "another start does")
	tk.Update(start, server("a", 1, 99, true))
	require.Equal(t, []string{"a"}, ids(tk, start), "an older start is history")
}

// TestMissingServersStayUntilGracePeriodEnds has registrations expire during an
// outage of the store.
func TestMissingServersStayUntilGracePeriodEnds(t *testing.T) {
	tk := tracker.New()
	tk.Replace(start, []tracker.Server{server("a", 1, 1, false), server("b", 1, 1, false), server("c", 1, 1, true)})
	tk.MarkStoreDown()
	require.Len(t, ids(tk, startPlus(time.Hour)), 3)
	tk.MarkStoreUp(startPlus(time.Hour))
	tk.Replace(startPlus(time.Hour), []tracker.Server{server("a", 1, 9, false)})
	require.Equal(t, []string{"a", "b"}, ids(tk, startPlus(time.Hour+tracker.ReregisterGracePeriod/2)), "one that was leaving is gone at once")
	require.Equal(t, []string{"a"}, ids(tk, startPlus(time.Hour+tracker.ReregisterGracePeriod)))
}

// A server whose registration ended was used like all others after an outage that only
// some nodes had, although it had left.
func TestServersWhoseRegistrationsEndAloneAreUnlisted(t *testing.T) {
	for missing, want := range []int{0, 1, 0, 0} {
		tk := tracker.New()
		all := []tracker.Server{server("a", 1, 1, false), server("b", 1, 1, false), server("c", 1, 1, false)}
		tk.Replace(start, all)
		tk.MarkStoreDown()
		tk.MarkStoreUp(start)
		tk.Replace(start, all[missing:])
		unlisted := 0
		for _, sv := range tk.Servers(start) {
			if sv.Unlisted {
				unlisted++
				require.Equal(t, "a", sv.ID)
			}
		}
		require.Equal(t, want, unlisted, "%d are missing", missing)
		tk.Replace(start, all)
		require.NotContains(t, fmt.Sprintf("%+v", tk.Servers(start)), "Unlisted:true")
	}
}

func TestServerStaysWhenItReregistersAfterOutage(t *testing.T) {
	tk := tracker.New()
	tk.Update(start, server("a", 1, 1, false))
	tk.MarkStoreDown()
	tk.MarkStoreUp(startPlus(time.Minute))
	tk.Remove(startPlus(time.Minute), "a")
	tk.Update(startPlus(time.Minute+time.Second), server("a", 1, 2, false))
	require.Equal(t, []string{"a"}, ids(tk, startPlus(time.Hour)))
}

func TestServerIsRemovedAtOnceWithoutAnOutage(t *testing.T) {
	tk := tracker.New()
	tk.Update(start, server("a", 1, 1, false))
	tk.Remove(start, "a")
	require.Empty(t, ids(tk, start))
}

// TestServersSurviveReturnOfStoreFromOlderCopy has the copy lack one server, its
// leaving mark on another, and the end of a third.
func TestServersSurviveReturnOfStoreFromOlderCopy(t *testing.T) {
	tk := tracker.New()
	tk.Replace(start, []tracker.Server{server("gone", 1, 5, false), server("leaves", 1, 4, false)})
	tk.Update(start, server("leaves", 1, 6, true))
	tk.Update(start, server("new", 1, 1, false))
	tk.Remove(start, "gone")
	require.Equal(t, []string{"leaves leaves", "new"}, ids(tk, start))

	tk.MarkStoreRestored(startPlus(time.Second))
	tk.Replace(startPlus(time.Second), []tracker.Server{server("gone", 1, 5, false), server("leaves", 1, 4, false)})
	require.Equal(t, []string{"leaves leaves", "new"}, ids(tk, startPlus(time.Second)))
	later := startPlus(time.Second + tracker.ReregisterGracePeriod)
	require.Equal(t, []string{"leaves leaves"}, ids(tk, later), "a server that does not register again is gone")
	tk.Update(later, server("gone", 1, 9, false))
	require.Equal(t, []string{"gone", "leaves leaves"}, ids(tk, later), "one that was only silent comes back")
	tk.Update(later, server("gone", 2, 1, false))
	require.Equal(t, []string{"gone", "leaves leaves"}, ids(tk, later), "and so does another start")
}

// Guards against requests to a server that says in its answers that it leaves,
// while its registration still says that it is ready.
func TestServerThatSaysItLeavesIsLeavingWithinItsIncarnation(t *testing.T) {
	tk, now := tracker.New(), time.Unix(1000, 0)
	tk.Replace(now, []tracker.Server{{ID: "a", Incarnation: 1, Sequence: 1}})
	require.False(t, tk.MarkLeaving(now.Add(time.Second), "unknown", now.Add(time.Second)))
	require.False(t, tk.MarkLeaving(now.Add(time.Second), "a", now.Add(-time.Second)), "an answer of a former process")
	require.True(t, tk.MarkLeaving(now.Add(2*time.Second), "a", now.Add(time.Second)))
	require.False(t, tk.MarkLeaving(now.Add(2*time.Second), "a", now.Add(time.Second)), "it is known")
	require.True(t, tk.Servers(now.Add(2 * time.Second))[0].Leaving)
	tk.Update(now.Add(3*time.Second), tracker.Server{ID: "a", Incarnation: 1, Sequence: 2})
	require.True(t, tk.Servers(now.Add(3 * time.Second))[0].Leaving)
	tk.Update(now.Add(4*time.Second), tracker.Server{ID: "a", Incarnation: 2, Sequence: 1})
	require.False(t, tk.Servers(now.Add(4 * time.Second))[0].Leaving, "the next process takes requests")
}
