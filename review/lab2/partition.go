package main

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["large-body"] = playLargeBody }

const (
	// cutTime is how long a node is partitioned from all workers.
	cutTime = 6 * time.Second
	// largeBytes is body_bytes: the longest body that a client may send.
	largeBytes = 4194304
	// keptAnswers is how many lifetimes clients keep an answer of the directory at most.
	keptAnswers = 3
)

// traffic is the requests of one kind that each node gets at an interval.
type traffic struct {
	name, path      string
	interval, limit time.Duration
	body            []byte
}

// playLargeBody partitions one of the nodes from all workers, while each node gets the
// same traffic: streams, orders, and one large request a second. The clients of the
// partitioned node leave it when they may no longer keep the directory's answer.
func playLargeBody(lb *lab) (bool, error) {
	large := largeBytes
	if os.Getenv("LARGE") == "0" {
		large = 600
	}
	kinds := []traffic{
		{"ask", "/stream/a", 50 * time.Millisecond, 15 * time.Second, []byte("ask")},
		{"order", "/order-in/a", 250 * time.Millisecond, 4 * time.Second, []byte("order")},
		{"large", "/read/a", time.Second, 4 * time.Second, bytes.Repeat([]byte("x"), large)},
	}
	lb.linked = true
	var workers []*worker
	for ix := range 3 {
		wk, err := lb.newWorker(fmt.Sprintf("w%d", ix+1), "llm")
		if err != nil {
			return false, err
		}
		workers = append(workers, wk)
	}
	lb.store.Put("op/config", []byte(config))
	if err := lb.startNodes(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	away := lb.nodes[0]
	cutAt := time.Now()
	var open sync.WaitGroup
	if lb.trouble {
		lb.note("%s is partitioned from all workers", away.name)
		setCuts(workers, away, true)
		open.Go(func() {
			time.Sleep(cutTime)
			lb.note("%s has its path to the workers again", away.name)
			setCuts(workers, away, false)
		})
	}
	var leaveAt atomic.Int64
	leaveAt.Store(cutAt.Add(cutTime).UnixNano())
	open.Go(func() { lb.watchDirectory(away, cutAt.Add(cutTime), &leaveAt) })
	var mu sync.Mutex
	lost, late := map[*node]int{}, map[*node]int{}
	for ix, nd := range lb.nodes {
		cl := newClient()
		for _, tr := range kinds {
			open.Go(func() {
				for number := 0; time.Since(cutAt) < cutTime && (nd != away || time.Now().UnixNano() < leaveAt.Load()); number++ {
					open.Go(func() {
						id := fmt.Sprintf("%s-%d-%d", tr.name, ix+1, number)
						an := lb.send(cl, nd, "POST", tr.path, id, tr.body, tr.limit, nil)
						mu.Lock()
						defer mu.Unlock()
						switch {
						case an.served() || !brokenOff(workers, id):
						case an.err != nil:
							lost[nd]++
						default:
							late[nd]++
						}
					})
					time.Sleep(tr.interval)
				}
			})
		}
	}
	open.Wait()
	for _, nd := range lb.nodes {
		lb.note("%s: %d connections closed without a complete answer to a request that it had passed on and a worker ran until the node broke it off; %d such requests answered with a failure",
			nd.name, lost[nd], late[nd])
	}
	return lost[away] > maxLost, nil
}

func setCuts(workers []*worker, nd *node, cut bool) {
	for _, wk := range workers {
		wk.link.setCut(nd, cut)
	}
}

// brokenOff reports whether a worker ran the request until the system broke it off.
func brokenOff(workers []*worker, id string) bool {
	return slices.ContainsFunc(workers, func(wk *worker) bool {
		wk.mu.Lock()
		defer wk.mu.Unlock()
		return strings.HasPrefix(wk.ends[id], "broken off by the node")
	})
}

// watchDirectory asks another node for addresses until it no longer names the node, and
// stores when the last client leaves the node then.
func (lb *lab) watchDirectory(nd *node, until time.Time, leaveAt *atomic.Int64) {
	other := lb.nodes[len(lb.nodes)-1]
	for ; time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		addresses, lifetime, err := other.resolve()
		if err == nil && len(addresses) > 0 && !slices.Contains(addresses, nd.front) {
			leaveAt.Store(time.Now().Add(keptAnswers * lifetime).UnixNano())
			lb.note("the directory no longer names %s; the last clients leave it %v later", nd.name, keptAnswers*lifetime)
			return
		}
	}
}
