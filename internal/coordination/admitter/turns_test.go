package admitter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
)

// turnsOf returns the turns of each node at the servers of a pool, of which the nodes with
// the ids may use that of the name.
func turnsOf(nodes, servers int, members []string) map[string][]turns {
	now := time.Unix(1000, 0)
	all := map[string][]turns{}
	for ix := range nodes {
		id := fmt.Sprint("n", ix)
		sc := NewScheduler(rand.New(rand.NewPCG(1, 2)), WithLocation(id, "z", ""), WithSignals(), WithMembers(func(string) []string { return members }))
		var targets []*router.Target
		for jx := range servers {
			targets = append(targets, &router.Target{Name: fmt.Sprint("w", jx), Pool: "p", Slots: brittleSlots, Load: &router.Load{}})
		}
		sc.Update(now, router.NewTable(targets, nodes))
		for _, tg := range targets {
			all[id] = append(all[id], sc.brittleTurns(now, tg))
		}
	}
	return all
}

// The nodes' shares of a brittle server exceeded its slots at times, since each drew its own,
// and were far from them at others; nodes that can't reach it held shares.
func TestSharesOfABrittleServerAddUpToItsSlots(t *testing.T) {
	for _, tc := range []struct{ nodes, members int }{{1, 1}, {3, 3}, {4, 4}, {7, 7}, {24, 24}, {24, 16}, {24, 3}, {360, 360}} {
		t.Run(fmt.Sprint(tc.members, " of ", tc.nodes, " nodes"), func(t *testing.T) {
			var members []string
			for ix := range tc.members {
				members = append(members, fmt.Sprint("n", ix))
			}
			all := turnsOf(tc.nodes, 2, members)
			for ix := range 400 {
				now := time.Unix(2000, 0).Add(time.Duration(ix) * minTurn)
				for server := range 2 {
					sum := 0
					for id, tns := range all {
						if slices.Contains(members, id) {
							sum += tns[server].share(now)
						}
					}
					require.Equal(t, brittleSlots*brittleShare/100, sum)
				}
			}
		})
	}
}

// A node's turns at the servers of a pool came at the same time and none for long after, or
// all at one server.
func TestTurnsOfANodeAreSpreadOverTime(t *testing.T) {
	for id, tns := range turnsOf(24, 3, nil) {
		for ix := range 100 {
			now := time.Unix(2000, 0).Add(time.Duration(ix) * minTurn / 3)
			wait := min(tns[0].wait(now), tns[1].wait(now), tns[2].wait(now))
			require.LessOrEqual(t, wait, 2*minTurn, "24 nodes, 12 slots: node %s", id)
		}
		for server, tn := range tns {
			require.LessOrEqual(t, tn.wait(time.Unix(2000, 0)), 6*minTurn, "node %s, server %d", id, server)
		}
	}
}
