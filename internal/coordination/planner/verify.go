package planner

import (
	"fmt"
	"strings"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Verify returns a fault for each model whose minimum replicas do not fit on
// the backend servers, with the memory required and available.
func Verify(st *configurer.Settings) []configurer.Fault {
	wk := newWorkspace(Input{Settings: st, Usable: AllUsable}, expectedDemand(st))
	wk.repair()
	var faults []configurer.Fault
	for mi := range wk.models {
		if md := &wk.models[mi]; len(md.replicas) < md.minReplicas {
			ft := wk.shortageFault(md)
			ft.File, ft.Line = st.Position(ft.Section, ft.Key)
			faults = append(faults, ft)
		}
	}
	return faults
}

// shortageFault returns the fault of a model whose replicas do not fit.
func (wk *workspace) shortageFault(md *modelState) configurer.Fault {
	required, available, largest := int64(0), int64(0), int64(0)
	for ix := range wk.models {
		required += int64(wk.models[ix].minReplicas) * wk.models[ix].memory
	}
	for si := range wk.servers {
		available += wk.servers[si].capacity
		largest = max(largest, wk.servers[si].free)
	}
	found := fmt.Sprintf("%d of %d replicas placed, %s each", len(md.replicas), md.minReplicas, mebibytes(md.memory))
	parts := []string{
		fmt.Sprintf("the least replicas of all models take %s of %s", mebibytes(required), mebibytes(available)),
		fmt.Sprintf("the most that is left on one of %d backend servers is %s", len(wk.servers), mebibytes(largest)),
	}
	return configurer.Fault{
		Section: "model." + md.name,
		Key:     "memory",
		Found:   found,
		Allowed: "room for every replica; " + strings.Join(parts, "; "),
	}
}

func mebibytes(count int64) string {
	const mebibyte = 1 << 20
	return fmt.Sprintf("%dMiB", count/mebibyte)
}
