package runner

import (
	"github.com/lagoonpass/lagoonpass/internal/coordination/downlister"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// registrations returns the servers that report and do not leave. On this interface each
// node finds out by itself which of them are down.
func (nd *Node) registrations(st *configurer.Settings) []downlister.Registration {
	sn := nd.watcher.Snapshot()
	var all []downlister.Registration
	for _, bs := range st.BackendServers() {
		if rp, ok := sn.Report(bs.Name()); ok && !rp.Leaving {
			all = append(all, downlister.Registration{
				Process: downlister.Process{Server: rp.Server, Boot: rp.BootID}, Address: rp.Address, Sequence: rp.Sequence,
			})
		}
	}
	return all
}
