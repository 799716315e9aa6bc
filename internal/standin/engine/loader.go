package engine

import "time"

// WeightStore simulates the duration of loads from a weight store.
type WeightStore interface {
	// LoadModel blocks for the duration of a model load.
	LoadModel()
	// LoadAdapter blocks for the duration of an adapter load.
	LoadAdapter()
}

// WithWeightStore makes the engine load models from ws.
func WithWeightStore(ws WeightStore) Option { return func(eg *Engine) { eg.store = ws } }

// awaitModel blocks for the duration of a model load.
func (eg *Engine) awaitModel() {
	if eg.store != nil {
		eg.store.LoadModel()
	}
	if eg.loadTime > 0 {
		time.Sleep(eg.loadTime)
	}
}
