package runner

import "sync"

// drainer lets an operator begin the planned stop of a running node.
type drainer struct {
	requested chan struct{}
	once      sync.Once
}

func newDrainer() *drainer { return &drainer{requested: make(chan struct{})} }

// Drain begins the node's planned stop. It may be called more than once.
func (dr *drainer) Drain() { dr.once.Do(func() { close(dr.requested) }) }
