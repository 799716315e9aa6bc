package runner

import (
	"slices"

	"github.com/lagoonpass/lagoonpass/internal/coordination/adapterkeeper"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

func (nd *Node) buildAdapters() {
	nd.adapters = adapterkeeper.New(nd.orderer, nd.settings, nd.prober.View, nd.pool,
		adapterkeeper.WithRegistry(nd.registry),
		adapterkeeper.WithEngines(nd.engines()),
		adapterkeeper.WithTokens(sharedTokens{&nd.limits}),
		adapterkeeper.WithReported(nd.reportsAdapter))
}

// settings returns the settings in force, or nil.
func (nd *Node) settings() *configurer.Settings {
	rv := nd.holder.Current()
	if rv == nil {
		return nil
	}
	return rv.Settings()
}

// reportsAdapter reports whether the server's latest report names the adapter.
func (nd *Node) reportsAdapter(server, adapter string) bool {
	rp, ok := nd.watcher.Snapshot().Report(server)
	return ok && slices.Contains(rp.Adapters, adapter)
}
