package keyspacerunner

import (
	"slices"
	"sync/atomic"
)

// cutOff is the set of pools whose servers a node does not reach while other nodes do. It
// has one writer. The zero value is empty.
type cutOff struct {
	lost atomic.Pointer[[]string]
}

// from reports whether the node is cut off from the pool.
func (co *cutOff) from(pool string) bool { return slices.Contains(co.pools(), pool) }

// pools returns the pools from which the node is cut off. The slice must not be modified.
func (co *cutOff) pools() []string {
	if lost := co.lost.Load(); lost != nil {
		return *lost
	}
	return nil
}

// fromAll reports whether the node is cut off from all of the pools.
func (co *cutOff) fromAll(pools []string) bool {
	for _, pool := range pools {
		if !co.from(pool) {
			return false
		}
	}
	return len(pools) > 0
}

func (co *cutOff) set(pool string, yes bool) {
	lost := slices.DeleteFunc(slices.Clone(co.pools()), func(other string) bool { return other == pool })
	if yes {
		lost = append(lost, pool)
	}
	co.lost.Store(&lost)
}
