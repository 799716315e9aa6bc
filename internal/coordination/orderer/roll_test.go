package orderer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const rollSettings = `
[engine-kind.k]
checks-fencing = yes
[backend-server.w1]
kind = k
address = 127.0.0.1:1
zone = z1
memory = 100MiB
[backend-server.w2]
kind = k
address = 127.0.0.1:2
zone = z2
memory = 100MiB
[backend-server.w3]
kind = k
address = 127.0.0.1:3
zone = z3
memory = 100MiB
[model.a]
memory = 60MiB
min-replicas = 2
version = %d
`

// TestVersionRollsReplicaByReplica changes the version of a model on servers
// that have memory for one copy each.
func TestVersionRollsReplicaByReplica(t *testing.T) {
	servers := []string{"w1", "w2", "w3"}
	rg := newRig(t, true, servers...)
	goals := func(version int) (all []*Goal) {
		st, faults := configurer.Parse([]configurer.File{{Name: "a.ini", Text: fmt.Sprintf(rollSettings, version)}})
		require.Empty(t, faults)
		plan := planner.Initial(st, planner.AllUsable)
		for _, bs := range st.BackendServers() {
			gl := GoalOf(st, bs, plan.Models(bs.Name()))
			gl.address, gl.limit, gl.roleBytes, gl.role = bs.Name(), testMemory, 0, ""
			gl.desired = []DesiredCopy{NewDesiredCopy("a", gl.desired[0].Version(), 60)}
			all = append(all, gl)
		}
		return all
	}
	var rcs []*reconciler
	for ix, gl := range goals(1) {
		rcs = append(rcs, rg.owner("n1", servers[ix], *gl))
	}
	rg.runFor(30*time.Second, rcs...)
	for ix, gl := range goals(2) {
		require.True(t, rg.engines[servers[ix]].Ready("a", "1"))
		rcs[ix].goal = gl
	}
	for range 180 {
		for _, rc := range rcs {
			if tk := rc.next(rg.now); tk != nil {
				rc.done(rg.now, rg.perform(tk))
			}
			require.GreaterOrEqual(t, rg.replicas("a"), 2, "replicas change one after the other")
		}
		rg.now = rg.now.Add(time.Second)
	}
	for _, server := range servers {
		require.True(t, rg.engines[server].Ready("a", "2"), server)
	}
	require.Empty(t, checker.Violations())
}

// replicas returns the number of engines that serve the model.
func (rg *rig) replicas(model string) int {
	count := 0
	for _, eg := range rg.engines {
		if eg.Serves(model) {
			count++
		}
	}
	return count
}
