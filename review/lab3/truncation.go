package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The routes of both cases: answers that are looked up, and streams that can't be resumed.
var unframedRoutes = []route{
	{name: "r-lookup", prefix: "/lookup/", kind: "idempotent", service: "orders-app", timeout: 12000, goal: 3000, attempts: 1},
	{name: "r-stream", prefix: "/stream/", kind: "stream", service: "orders-app", timeout: 12000, goal: 1000, attempts: 1},
}

// judge records an answer, and a violation if it looks complete and is not the worker's.
func (lb *lab) judge(an answer, stream bool) {
	lb.note("client: %s", an)
	if an.status != 200 || !an.whole {
		return
	}
	if want := strings.Join(bodyOf(an.id, stream, pieces), ""); an.body != want {
		lb.violate("MIXED: the answer to %s looks complete and has %d of %d bytes of the worker's body", an.id, len(an.body), len(want))
	}
}

// sendUnframed sends a request whose answer has neither a length nor chunks, and judges the
// answer in the background.
func (lb *lab) sendUnframed(clients *sync.WaitGroup, nd *node, stream bool, deadline time.Duration) {
	path := "/lookup/2f"
	if stream {
		path = "/stream/2f"
	}
	id := newID()
	lb.note("client: sends %s %s to %s", id, path, nd.name)
	clients.Go(func() { lb.judge(send(nd.front, "GET", path, id, "", deadline), stream) })
}

// startUnframed starts two machines, and four workers whose answers have neither a length nor
// chunks.
func (lb *lab) startUnframed() ([]*node, []*worker, error) {
	lb.configure(7, unframedRoutes, plainService("orders-app"))
	workers, err := lb.startWorkers("orders-app", 4)
	if err != nil {
		return nil, nil, err
	}
	nodes, err := lb.startNodes(2, nil)
	if err != nil {
		return nil, nil, err
	}
	time.Sleep(2 * time.Second)
	return nodes, workers, nil
}

// crashAnswers is the number of answers in progress at the crash. Four workers have 384 slots.
const crashAnswers = 160

// plainCrash has one of four workers crash in the middle of its answers, and start again some
// seconds later at another address.
func plainCrash(lb *lab, trouble bool) error {
	nodes, workers, err := lb.startUnframed()
	if err != nil {
		return err
	}
	defer nodes[0].keepLog()
	for round := range 8 {
		var clients sync.WaitGroup
		for ix := range crashAnswers {
			lb.sendUnframed(&clients, nodes[ix%len(nodes)], ix/2%2 == 1, 10*time.Second)
		}
		time.Sleep(900 * time.Millisecond)
		crashed := busiest(workers)
		if trouble {
			lb.note("%d requests run at worker %s", workers[crashed].runs(), workers[crashed].id)
			workers[crashed].crash()
		}
		clients.Wait()
		time.Sleep(2 * time.Second)
		if trouble {
			if workers[crashed], err = lb.startWorker(fmt.Sprintf("i-again%d", round), "orders-app", "127.0.0.1:0", ""); err != nil {
				return err
			}
		}
		time.Sleep(4 * time.Second)
	}
	return nil
}

// drainingCrash has one of four workers, which leaves, crash in the middle of the only answer
// that a machine gets from it, before its time to leave is over.
func drainingCrash(lb *lab, trouble bool) error {
	nodes, workers, err := lb.startUnframed()
	if err != nil {
		return err
	}
	defer nodes[0].keepLog()
	for round := range 6 {
		var clients sync.WaitGroup
		lb.sendUnframed(&clients, nodes[0], round%2 == 1, 10*time.Second)
		time.Sleep(300 * time.Millisecond)
		leaving := busiest(workers)
		workers[leaving].drain()
		time.Sleep(900 * time.Millisecond)
		if trouble {
			workers[leaving].crash()
		}
		clients.Wait()
		time.Sleep(3 * time.Second)
		workers[leaving].remove()
		if workers[leaving], err = lb.startWorker(fmt.Sprintf("i-round%d", round), "orders-app", "127.0.0.1:0", ""); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
	}
	return nil
}

// frozenRestart freezes a machine. Meanwhile one of four workers crashes in the middle of its
// answers to that machine, and starts again at the same address, with another id.
func frozenRestart(lb *lab, trouble bool) error {
	nodes, workers, err := lb.startUnframed()
	if err != nil {
		return err
	}
	defer nodes[0].keepLog()
	for round := range 4 {
		var clients sync.WaitGroup
		for ix := range 12 {
			lb.sendUnframed(&clients, nodes[0], ix%2 == 1, 11*time.Second)
		}
		time.Sleep(500 * time.Millisecond)
		if trouble {
			nodes[0].signal(syscall.SIGSTOP)
			lb.note("%s freezes", nodes[0].name)
			time.Sleep(300 * time.Millisecond)
			crashed := busiest(workers)
			workers[crashed].crash()
			time.Sleep(2500 * time.Millisecond)
			if workers[crashed], err = lb.startWorker(fmt.Sprintf("i-again%d", round), "orders-app", workers[crashed].address, ""); err != nil {
				return err
			}
			time.Sleep(1700 * time.Millisecond)
			nodes[0].signal(syscall.SIGCONT)
			lb.note("%s wakes", nodes[0].name)
		}
		clients.Wait()
		time.Sleep(6 * time.Second)
	}
	return nil
}
