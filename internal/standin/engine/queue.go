package engine

import (
	"context"
	"sort"
	"sync"
)

// queue lets requests into the batch in the order of their priority.
type queue struct {
	mu      sync.Mutex
	free    int
	waiting []*waiter
}

type waiter struct {
	priority int
	ready    chan struct{}
}

// enter waits for a place in the batch.
func (qu *queue) enter(ctx context.Context, priority int) error {
	qu.mu.Lock()
	if qu.free > 0 {
		qu.free--
		qu.mu.Unlock()
		return nil
	}
	wt := &waiter{priority: priority, ready: make(chan struct{})}
	at := sort.Search(len(qu.waiting), func(ix int) bool { return qu.waiting[ix].priority > priority })
	qu.waiting = append(qu.waiting, nil)
	copy(qu.waiting[at+1:], qu.waiting[at:])
	qu.waiting[at] = wt
	qu.mu.Unlock()
	select {
	case <-wt.ready:
		return nil
	case <-ctx.Done():
		qu.abandon(wt)
		return ctx.Err()
	}
}

// abandon removes a waiter; a place that it was given meanwhile goes on.
func (qu *queue) abandon(wt *waiter) {
	qu.mu.Lock()
	for ix, candidate := range qu.waiting {
		if candidate == wt {
			qu.waiting = append(qu.waiting[:ix], qu.waiting[ix+1:]...)
			qu.mu.Unlock()
			return
		}
	}
	qu.mu.Unlock()
	qu.leave()
}

// leave gives the place to the next waiter.
func (qu *queue) leave() {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if len(qu.waiting) == 0 {
		qu.free++
		return
	}
	next := qu.waiting[0]
	qu.waiting = qu.waiting[1:]
	close(next.ready)
}

// lengths returns the number of free places and of waiters.
func (qu *queue) lengths() (free, waiting int) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.free, len(qu.waiting)
}
