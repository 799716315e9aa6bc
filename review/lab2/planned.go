package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["worker-leaves"] = playWorkerLeaves }

const (
	// servingTime is how long a worker that drains goes on accepting requests: drain_ms
	// and a little longer.
	servingTime = 3 * time.Second
	// streamPause is the time between two events of a stream of some five seconds.
	streamPause = 70 * time.Millisecond
)

// playWorkerLeaves has one of the workers drain, serve on, and exit once it has ended all
// that it runs, while clients read streams that end with the worker's connection.
func playWorkerLeaves(lb *lab) (bool, error) {
	var workers []*worker
	for ix := range 3 {
		wk, err := lb.newWorker(fmt.Sprintf("w%d", ix+1), "llm")
		if err != nil {
			return false, err
		}
		wk.pause, wk.unframed = streamPause, os.Getenv("FRAMED") != "1"
		workers = append(workers, wk)
	}
	lb.store.Put("op/config", []byte(config))
	if err := lb.startNodes(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var open sync.WaitGroup
	served, lost := 0, 0
	until := time.Now().Add(10 * time.Second)
	if lb.trouble {
		open.Go(func() {
			time.Sleep(5 * time.Second)
			workers[0].leave(servingTime)
		})
	}
	for ix, nd := range lb.nodes {
		cl := newClient()
		open.Go(func() {
			every(until, 100*time.Millisecond, &open, func(number int) {
				id := fmt.Sprintf("s%d-%d", ix+1, number)
				an := lb.send(cl, nd, "POST", "/stream/a", id, []byte("ask"), 15*time.Second, nil)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case an.served():
					served++
				case endedWell(workers, id):
					lost++
				}
			})
		})
	}
	open.Wait()
	lb.note("%d answers complete; %d broken off by the node although their worker had made and sent all of them", served, lost)
	return lost > maxLost, nil
}

// endedWell reports whether a worker ran the request to a good end.
func endedWell(workers []*worker, id string) bool {
	for _, wk := range workers {
		wk.mu.Lock()
		how := wk.ends[id]
		wk.mu.Unlock()
		if how == "done" {
			return true
		}
	}
	return false
}
