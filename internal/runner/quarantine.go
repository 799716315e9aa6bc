package runner

import (
	"github.com/lagoonpass/lagoonpass/internal/coordination/crashdetector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/dispatcher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/isolator"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
)

// quarantineResource names the resource whose owner grants trials of excluded
// content.
const quarantineResource = "quarantine"

// quarantine returns the options that keep requests which crash backend servers
// from them, on all nodes.
func (nd *Node) quarantine(fw *forwarder.Forwarder) []dispatcher.Option {
	nd.isolator = isolator.New(nd.pool, nd.peerAddresses, nd.quarantineOwner, isolator.WithRegistry(nd.registry))
	dt := crashdetector.New(fw.Refuses, crashdetector.WithLeaving(nd.leavingServer),
		crashdetector.WithRegistry(nd.registry), crashdetector.WithOnCrash(nd.isolator.Crashed))
	return []dispatcher.Option{dispatcher.WithCrashes(dt), dispatcher.WithQuarantine(nd.isolator)}
}

// peerAddresses returns the addresses of the other nodes that are not dead.
func (nd *Node) peerAddresses() []string {
	var addresses []string
	for _, mb := range nd.prober.View().Members() {
		if mb.ID != nd.identity.ID() && mb.State != prober.Dead {
			addresses = append(addresses, mb.PeerAddress)
		}
	}
	return addresses
}

func (nd *Node) quarantineOwner() (address string, self, ok bool) {
	owner, ok := nd.prober.View().Owner(quarantineResource)
	return owner.PeerAddress, owner.ID == nd.identity.ID(), ok
}

// leavingServer reports whether a backend server leaves or is not known.
func (nd *Node) leavingServer(name string) bool {
	rp, ok := nd.watcher.Snapshot().Report(name)
	return !ok || rp.Leaving
}
