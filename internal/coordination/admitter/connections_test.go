package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
)

// In a fleet with more nodes than half a server's connections, nodes granted requests for
// which they had no connection, and refused them beside free slots.
func TestRequestsWaitForAConnectionOfTheNode(t *testing.T) {
	bs := newBrittleSim(t, 1, 1)
	sc := NewScheduler(rand.New(rand.NewPCG(1, 73)), WithLocation("n0", "z", ""), WithLiveNodes(func() int { return 40 }),
		WithConnections(func(string) int { return 1 }))
	sc.ApplySettings(bs.now, bs.st)
	var targets []*router.Target
	for _, name := range []string{"w0", "w1"} {
		targets = append(targets, &router.Target{Name: name, Address: name, Pool: "p", Slots: brittleSlots, Models: []string{"m"}, Load: &router.Load{}})
	}
	sc.Update(bs.now, router.NewTable(targets, 40))
	var entries []*Entry
	granted := func() int {
		count := 0
		for _, en := range entries {
			if en.Granted() {
				count++
			}
		}
		return count
	}
	for range 4 {
		tk := &Ticket{ID: "r", MaxTokens: 1, Deadline: bs.now.Add(1500 * time.Millisecond)}
		tk.Caller, _ = bs.st.Caller("c")
		tk.Class, _ = bs.st.Class("c")
		tk.Model, _ = bs.st.Model("m")
		en, rf := sc.Submit(bs.now, tk)
		require.Nil(t, rf)
		entries = append(entries, en)
	}
	require.Equal(t, 2, granted())
	sc.Finish(bs.now.Add(20*time.Millisecond), entries[0], Result{Duration: 20 * time.Millisecond})
	require.True(t, entries[2].Granted(), "the next one has the connection")
	require.False(t, entries[3].Granted())
	require.Equal(t, 2, granted(), "the first has ended")
}
