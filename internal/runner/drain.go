package runner

import "sync"

// drainer begins a planned stop at an operator's request.
type drainer struct {
	// requested is closed when the planned stop was requested.
	requested chan struct{}
	once      sync.Once
}

func newDrainer() *drainer { return &drainer{requested: make(chan struct{})} }

// Drain begins the node's planned stop. Further calls have no effect.
func (dr *drainer) Drain() { dr.once.Do(func() { close(dr.requested) }) }
