package keyspacerunner

import (
	"github.com/lagoonpass/lagoonpass/internal/coordination/crashdetector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/downlister"
	"github.com/lagoonpass/lagoonpass/internal/coordination/tracker"
)

// registrations returns the registered servers that do not leave. The end of a server
// that leaves is no outage.
func registrations(servers []tracker.Server) []downlister.Registration {
	all := make([]downlister.Registration, 0, len(servers))
	for _, sv := range servers {
		if !sv.Leaving {
			all = append(all, downlister.Registration{
				Process: downlister.Process{Server: sv.ID, Boot: bootID(sv)}, Address: sv.Address, Sequence: uint64(max(sv.Sequence, 0)),
			})
		}
	}
	return all
}

// otherNodes returns the nodes that are told of servers which are down.
func (rn *Runner) otherNodes() []downlister.Peer {
	var peers []downlister.Peer
	for _, mb := range rn.registrar.View().Members() {
		if mb.ID != rn.identity.ID {
			peers = append(peers, downlister.Peer{ID: mb.ID, Address: mb.PeerAddress})
		}
	}
	return peers
}

// noteCrash takes a server out that has crashed, and records what crashed it.
func (rn *Runner) noteCrash(cr crashdetector.Crash) {
	if rp, ok := rn.watcher.Snapshot().Report(cr.Server); ok {
		rn.downs.Refused(downlister.Process{Server: cr.Server, Boot: rp.BootID})
	}
	rn.isolator.Crashed(cr)
}

// adapterStandings implements admitter.AdapterStandings. The admitter is made before the
// keeper of adapters.
type adapterStandings struct{ rn *Runner }

func (as adapterStandings) Holds(server, adapter string) bool {
	return as.rn.adapters.Holds(server, adapter)
}

func (as adapterStandings) Behind(server, adapter string) bool {
	return as.rn.adapters.Behind(server, adapter)
}

// usableReplicas returns the servers that hold a model and may take requests.
func (rn *Runner) usableReplicas(model string) []string {
	sn := rn.watcher.Snapshot()
	var usable []string
	for _, name := range sn.Replicas(model) {
		if rp, ok := sn.Report(name); ok && !rp.Leaving && !rn.downs.Down(name) {
			usable = append(usable, name)
		}
	}
	return usable
}
