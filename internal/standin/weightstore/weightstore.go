// Package weightstore is a stand-in for the store that engines load weights
// from. Up to a limit, concurrent loads run at full speed; above it, each takes
// proportionally longer.
//
// # Usage
//
//	ws := weightstore.New(1, 2, 16)
//	eg := engine.New("w1", engine.WithWeightStore(ws))
//	...
//	if ws.PeakModelLoads() > 2 { t.Error("the limit was exceeded") }
package weightstore

import (
	"sync"
	"time"
)

const (
	// adapterTime is the duration of an adapter load at full speed.
	adapterTime = 6 * time.Millisecond
	// steps is the number of parts of a load. The duration of each part depends
	// on the loads that run when it starts, so that a later load slows this one
	// down.
	steps = 10
)

// Store is one weight store.
type Store struct {
	models   loads
	adapters loads
}

// loads simulates and counts the loads of one kind.
type loads struct {
	mu        sync.Mutex
	fullSpeed int           // concurrent loads that run at full speed
	duration  time.Duration // of one load at full speed
	running   int           // loads now
	peak      int           // greatest value of running
	count     int           // loads started so far
}

// New returns a store that runs up to modelsAtOnce model loads and adaptersAtOnce
// adapter loads at full speed. With modelsAtOnce loads running, it loads
// modelsPerSecond models a second; at a rate of 0, a model load takes no time.
func New(modelsPerSecond float64, modelsAtOnce, adaptersAtOnce int) *Store {
	ws := &Store{
		models:   loads{fullSpeed: modelsAtOnce},
		adapters: loads{fullSpeed: adaptersAtOnce, duration: adapterTime},
	}
	if modelsPerSecond > 0 {
		ws.models.duration = time.Duration(float64(modelsAtOnce) / modelsPerSecond * float64(time.Second))
	}
	return ws
}

// LoadModel blocks for the duration of a model load.
func (ws *Store) LoadModel() { ws.models.run() }

// LoadAdapter blocks for the duration of an adapter load.
func (ws *Store) LoadAdapter() { ws.adapters.run() }

// PeakModelLoads returns the greatest number of concurrent model loads so far.
func (ws *Store) PeakModelLoads() int { return ws.models.maxRunning() }

// PeakAdapterLoads returns the greatest number of concurrent adapter loads so
// far.
func (ws *Store) PeakAdapterLoads() int { return ws.adapters.maxRunning() }

// Loads returns the number of model loads started so far.
func (ws *Store) Loads() int {
	ws.models.mu.Lock()
	defer ws.models.mu.Unlock()
	return ws.models.count
}

func (ld *loads) run() {
	ld.begin()
	defer ld.end()
	for range steps {
		time.Sleep(ld.stepTime())
	}
}

func (ld *loads) begin() {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.running++
	ld.count++
	ld.peak = max(ld.peak, ld.running)
}

func (ld *loads) end() {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.running--
}

// stepTime returns the duration of one part of a load at the present number of
// concurrent loads.
func (ld *loads) stepTime() time.Duration {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	slowdown := max(float64(ld.running)/float64(max(ld.fullSpeed, 1)), 1)
	return time.Duration(float64(ld.duration) / steps * slowdown)
}

func (ld *loads) maxRunning() int {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return ld.peak
}
