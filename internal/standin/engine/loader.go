package engine

import "time"

// WeightStore is where an engine loads from.
type WeightStore interface {
	// LoadModel takes as long as the load of a model.
	LoadModel()
	// LoadAdapter takes as long as the load of an adapter.
	LoadAdapter()
}

// WithWeightStore makes the engine load from ws.
func WithWeightStore(ws WeightStore) Option { return func(eg *Engine) { eg.store = ws } }

// awaitModel takes as long as the load of a model.
func (eg *Engine) awaitModel() {
	if eg.store != nil {
		eg.store.LoadModel()
	}
	if eg.loadTime > 0 {
		time.Sleep(eg.loadTime)
	}
}
