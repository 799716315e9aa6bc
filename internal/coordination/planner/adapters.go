package planner

import (
	"maps"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// WithAdapters returns the demand, raised for models of which more adapters are
// wanted at once than the servers that their requests fill have places for. It
// answers loads of many adapters of one model, under which a server runs out of
// places for adapters long before it runs out of slots: a model counts as
// filling as many servers as its adapters fill.
func WithAdapters(st *configurer.Settings, demand Demand, wanted map[string]bool) Demand {
	places := map[string]int{}
	for name := range wanted {
		if ad, ok := st.Adapter(name); ok {
			places[ad.Model()]++
		}
	}
	raised := maps.Clone(demand)
	for model, count := range places {
		md, ok := st.Model(model)
		if !ok {
			continue
		}
		if po, ok := st.Pool(md.Pool()); ok && po.AdapterSlots() > 0 {
			servers := float64(count) / float64(po.AdapterSlots())
			raised[model] = max(raised[model], servers*easyPressure*float64(po.Slots()))
		}
	}
	return raised
}
