package runner

import (
	"slices"

	"github.com/lagoonpass/lagoonpass/internal/coordination/adapterkeeper"
)

func (nd *Node) buildAdapters() {
	nd.adapters = adapterkeeper.New(nd.orderer, nd.settings, nd.prober.View, nd.pool,
		adapterkeeper.WithRegistry(nd.registry),
		adapterkeeper.WithEngines(nd.engines()),
		adapterkeeper.WithTokens(sharedTokens{&nd.limits}),
		adapterkeeper.WithReportedAdapters(nd.reportsAdapter))
}

// reportsAdapter reports whether the server's latest report lists the adapter.
func (nd *Node) reportsAdapter(server, adapter string) bool {
	rp, ok := nd.watcher.Snapshot().Report(server)
	return ok && slices.Contains(rp.Adapters, adapter)
}
