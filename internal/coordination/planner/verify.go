package planner

import (
	"fmt"
	"strings"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Verify returns a fault for each model that cannot keep the replicas it is
// configured with, with the arithmetic.
func Verify(st *configurer.Settings) []configurer.Fault {
	wk := newWork(Input{Settings: st, Usable: All}, expectedDemand(st))
	wk.repair()
	var faults []configurer.Fault
	for mi := range wk.models {
		if md := &wk.models[mi]; len(md.replicas) < md.least {
			ft := wk.lacking(md)
			ft.File, ft.Line = st.Place(ft.Section, ft.Key)
			faults = append(faults, ft)
		}
	}
	return faults
}

// lacking tells why a model cannot have its replicas.
func (wk *work) lacking(md *workModel) configurer.Fault {
	wanted, room, largest := int64(0), int64(0), int64(0)
	for ix := range wk.models {
		wanted += int64(wk.models[ix].least) * wk.models[ix].memory
	}
	for si := range wk.servers {
		room += wk.servers[si].capacity
		largest = max(largest, wk.servers[si].free)
	}
	found := fmt.Sprintf("%d of %d replicas placed, %s each", len(md.replicas), md.least, mebibytes(md.memory))
	parts := []string{
		fmt.Sprintf("the least replicas of all models take %s of %s", mebibytes(wanted), mebibytes(room)),
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
