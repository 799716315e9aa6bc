// Package weightstore is a stand-in for the store that engines load weights
// from: so many loads at once run at full speed, and more than that each take
// proportionally longer.
//
// # Usage
//
//	ws := weightstore.New(1, 2, 16)
//	eg := engine.New("w1", engine.WithWeightStore(ws))
//	...
//	if ws.MostAtOnce() > 2 { t.Error("the limit was exceeded") }
package weightstore

import (
	"sync"
	"time"
)

const (
	// adapterTime is how long an adapter takes at full speed.
	adapterTime = 6 * time.Millisecond
	// slices is the number of parts in which a transfer waits, so that others
	// that start meanwhile slow it down.
	slices = 10
)

// Store is one weight store.
type Store struct {
	models   lane
	adapters lane
}

// lane is one kind of transfer.
type lane struct {
	mu     sync.Mutex
	atOnce int
	each   time.Duration
	now    int
	most   int
	count  int
}

// New returns a store that gives so many models a second, modelsAtOnce at full
// speed, and adaptersAtOnce adapters at full speed. A rate of 0 takes no time.
func New(modelsPerSecond float64, modelsAtOnce, adaptersAtOnce int) *Store {
	ws := &Store{
		models:   lane{atOnce: modelsAtOnce},
		adapters: lane{atOnce: adaptersAtOnce, each: adapterTime},
	}
	if modelsPerSecond > 0 {
		ws.models.each = time.Duration(float64(modelsAtOnce) / modelsPerSecond * float64(time.Second))
	}
	return ws
}

// LoadModel takes as long as the load of a model.
func (ws *Store) LoadModel() { ws.models.transfer() }

// LoadAdapter takes as long as the load of an adapter.
func (ws *Store) LoadAdapter() { ws.adapters.transfer() }

// MostAtOnce returns the greatest number of models that were loaded at once.
func (ws *Store) MostAtOnce() int { return ws.models.greatest() }

// MostAdaptersAtOnce returns the greatest number of adapters in transit.
func (ws *Store) MostAdaptersAtOnce() int { return ws.adapters.greatest() }

// Loads returns the number of model loads.
func (ws *Store) Loads() int {
	ws.models.mu.Lock()
	defer ws.models.mu.Unlock()
	return ws.models.count
}

func (ln *lane) transfer() {
	ln.enter()
	defer ln.leave()
	for range slices {
		time.Sleep(ln.slice())
	}
}

func (ln *lane) enter() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.now++
	ln.count++
	ln.most = max(ln.most, ln.now)
}

func (ln *lane) leave() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.now--
}

// slice returns how long one part of a transfer takes now.
func (ln *lane) slice() time.Duration {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	crowd := max(float64(ln.now)/float64(max(ln.atOnce, 1)), 1)
	return time.Duration(float64(ln.each) / slices * crowd)
}

func (ln *lane) greatest() int {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.most
}
