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

// TestVersionRollsReplicaByReplica puts a new version in force on servers that
// have room for one copy each.
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
			gl.wants = []Want{NewWant("a", gl.wants[0].Version(), 60)}
			all = append(all, gl)
		}
		return all
	}
	var kps []*keeper
	for ix, gl := range goals(1) {
		kps = append(kps, rg.owner("n1", servers[ix], *gl))
	}
	rg.settle(30*time.Second, kps...)
	for ix, gl := range goals(2) {
		require.True(t, rg.engines[servers[ix]].Ready("a", "1"))
		kps[ix].goal = gl
	}
	for range 180 {
		for _, kp := range kps {
			if tk := kp.next(rg.now); tk != nil {
				kp.done(rg.now, rg.perform(tk))
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
