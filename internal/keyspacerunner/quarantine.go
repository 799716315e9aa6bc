package keyspacerunner

import (
	"github.com/lagoonpass/lagoonpass/internal/coordination/registrar"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// ownSink receives the system's own keys: the registrations of nodes, the contents
// that are kept from servers, and the versions of the pools' software.
type ownSink struct {
	*registrar.Registrar
	runner *Runner
}

// Replace implements replicator.Sink.
func (ow ownSink) Replace(entries []storer.Entry) {
	ow.Registrar.Replace(entries)
	ow.runner.shareBudget()
	ow.runner.isolator.Replace(entries)
	ow.runner.versions.Replace(entries)
}

// Apply implements replicator.Sink.
func (ow ownSink) Apply(changes []storer.Change) {
	ow.Registrar.Apply(changes)
	ow.runner.isolator.Apply(changes)
	ow.runner.versions.Apply(changes)
}

// StoreRestored implements replicator.Sink.
func (ow ownSink) StoreRestored(era int64) {
	ow.Registrar.StoreRestored(era)
	ow.runner.isolator.StoreRestored()
}

// peerAddresses returns the addresses of the other nodes.
func (rn *Runner) peerAddresses() []string {
	var addresses []string
	for _, mb := range rn.registrar.View().Members() {
		if mb.ID != rn.identity.ID {
			addresses = append(addresses, mb.PeerAddress)
		}
	}
	return addresses
}

// leaderAddress returns the address of the leader and whether that is this node.
func (rn *Runner) leaderAddress() (address string, self, ok bool) {
	leader, ok := rn.registrar.Leader()
	return leader.PeerAddress, leader.ID == rn.identity.ID, ok
}

// leads reports whether this node leads.
func (rn *Runner) leads() bool {
	_, self, ok := rn.leaderAddress()
	return self && ok
}

// hasLeft reports whether a server leaves or is no longer registered.
func (rn *Runner) hasLeft(server string) bool {
	rp, ok := rn.watcher.Snapshot().Report(server)
	return !ok || rp.Leaving
}
