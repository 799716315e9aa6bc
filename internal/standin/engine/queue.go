package engine

import (
	"context"
	"sort"
	"sync"
)

// queue admits requests to the batch, the smallest priority value first and in
// order of arrival within a priority.
type queue struct {
	mu      sync.Mutex
	free    int       // free slots of the batch
	waiting []*waiter // in order of admission
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	ready    chan struct{} // closed when the waiter gets a slot
}

// acquire waits for a slot of the batch.
func (qu *queue) acquire(ctx context.Context, priority int) error {
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

// abandon removes a cancelled waiter. If the waiter got a slot meanwhile, abandon
// releases that slot.
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
	qu.release()
}

// release passes the slot to the next waiter, or frees it if there is none.
func (qu *queue) release() {
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

// lengths returns the number of free slots and of waiters.
func (qu *queue) lengths() (free, waiting int) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.free, len(qu.waiting)
}
