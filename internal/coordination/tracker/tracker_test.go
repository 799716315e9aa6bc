package tracker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/tracker"
)

var start = time.Unix(1000, 0)

func at(dn time.Duration) time.Time { return start.Add(dn) }

func server(id string, born, seq int64, leaving bool) tracker.Server {
	return tracker.Server{ID: id, Incarnation: born, Sequence: seq, Leaving: leaving}
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

// TestLeavingIsNotTakenBack hears an older registration after the server said
// that it leaves.
func TestLeavingIsNotTakenBack(t *testing.T) {
	tk := tracker.New()
	tk.Heard(start, server("a", 1, 4, false))
	tk.Heard(start, server("a", 1, 5, true))
	tk.Heard(start, server("a", 1, 4, false))
	require.Equal(t, []string{"a leaves"}, ids(tk, start))
	tk.Heard(start, server("a", 1, 6, false))
	require.Equal(t, []string{"a leaves"}, ids(tk, start), "newer beats of the same start change nothing")
	tk.Removed(start, "a")
	tk.Heard(start, server("a", 1, 7, false))
	require.Equal(t, []string{"a leaves"}, ids(tk, start), "nor does a registration that comes back")
	tk.Heard(start, server("a", 2, 1, false))
	require.Equal(t, []string{"a"}, ids(tk, start), "another start does")
	tk.Heard(start, server("a", 1, 99, true))
	require.Equal(t, []string{"a"}, ids(tk, start), "an older start is history")
}

// TestServersOutliveAnOutage drops registrations while the store is away.
func TestServersOutliveAnOutage(t *testing.T) {
	tk := tracker.New()
	tk.Replace(start, []tracker.Server{server("a", 1, 1, false), server("b", 1, 1, false), server("c", 1, 1, true)})
	tk.StoreLost()
	require.Len(t, ids(tk, at(time.Hour)), 3)
	tk.StoreBack(at(time.Hour))
	tk.Replace(at(time.Hour), []tracker.Server{server("a", 1, 9, false)})
	require.Equal(t, []string{"a", "b"}, ids(tk, at(time.Hour+tracker.ReturnGrace/2)), "one that was leaving is gone at once")
	require.Equal(t, []string{"a"}, ids(tk, at(time.Hour+tracker.ReturnGrace)))
}

func TestServerThatRegistersAgainInTimeStays(t *testing.T) {
	tk := tracker.New()
	tk.Heard(start, server("a", 1, 1, false))
	tk.StoreLost()
	tk.StoreBack(at(time.Minute))
	tk.Removed(at(time.Minute), "a")
	tk.Heard(at(time.Minute+time.Second), server("a", 1, 2, false))
	require.Equal(t, []string{"a"}, ids(tk, at(time.Hour)))
}

func TestRemovalCountsAtOnceWhileTheStoreIsStable(t *testing.T) {
	tk := tracker.New()
	tk.Heard(start, server("a", 1, 1, false))
	tk.Removed(start, "a")
	require.Empty(t, ids(tk, start))
}
