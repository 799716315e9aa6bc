package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// drainLimit is drain_ms of the settings.
const drainLimit = 2 * time.Second

// storePath is the path of one machine to the store: a proxy that can reset all connections.
type storePath struct {
	listener net.Listener
	store    string
	mu       sync.Mutex
	cut      bool
	open     map[net.Conn]bool
}

func newStorePath(store string) (*storePath, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	sp := &storePath{listener: ln, store: store, open: map[net.Conn]bool{}}
	go sp.serve()
	return sp, nil
}

func (sp *storePath) serve() {
	for {
		cn, err := sp.listener.Accept()
		if err != nil {
			return
		}
		go sp.forward(cn)
	}
}

// reset closes a connection with a reset.
func reset(cn net.Conn) {
	if tc, ok := cn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = cn.Close()
}

func (sp *storePath) forward(cn net.Conn) {
	sp.mu.Lock()
	if sp.cut {
		sp.mu.Unlock()
		reset(cn)
		return
	}
	sp.open[cn] = true
	sp.mu.Unlock()
	defer func() {
		sp.mu.Lock()
		delete(sp.open, cn)
		sp.mu.Unlock()
		_ = cn.Close()
	}()
	to, err := net.Dial("tcp", sp.store)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	go func() {
		_, _ = io.Copy(to, cn)
		_ = to.Close()
	}()
	_, _ = io.Copy(cn, to)
}

// setCut cuts the path, with a reset of its connections, or heals it.
func (sp *storePath) setCut(cut bool) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.cut = cut
	for cn := range sp.open {
		reset(cn)
	}
}

// leaderName returns the name of the machine that leads, or "".
func (lb *lab) leaderName(nodes []*node) string {
	en, err := lb.store.Get(context.Background(), "lagoonpass/leader")
	if err != nil {
		return ""
	}
	for _, nd := range nodes {
		if strings.HasPrefix(string(en.Value), nd.name) {
			return nd.name
		}
	}
	return ""
}

// models are the models of leavingUnseen; each worker has room for one.
var models = []string{"m1", "m2", "m3", "m4"}

// leavingUnseen has the entry of one of four workers removed while one machine, that which
// leads, is partitioned from the store. The other machines reach the store all the time.
func leavingUnseen(lb *lab, trouble bool) error {
	routes := []route{{name: "r-order", prefix: "/quick/", kind: "non_idempotent", service: "contract-llm", timeout: 1500, goal: 300, attempts: 1}}
	lb.configure(7, routes, engineService("contract-llm", models...))
	var workers []*worker
	for _, model := range models {
		wk, err := lb.startWorker("i-first-"+model, "contract-llm", "127.0.0.1:0", model)
		if err != nil {
			return err
		}
		workers = append(workers, wk)
	}
	paths := map[string]*storePath{}
	nodes, err := lb.startNodes(3, func(name string) (string, error) {
		sp, err := newStorePath(lb.address)
		if err != nil {
			return "", err
		}
		paths[name] = sp
		return sp.listener.Addr().String(), nil
	})
	if err != nil {
		return err
	}
	for _, nd := range nodes {
		defer nd.keepLog()
	}
	for round := range 4 {
		time.Sleep(6 * time.Second)
		leader := lb.leaderName(nodes)
		if leader == "" {
			return errors.New("no machine leads")
		}
		if trouble {
			paths[leader].setCut(true)
			lb.note("%s, which leads, is partitioned from the store", leader)
		}
		time.Sleep(300 * time.Millisecond)
		model := models[round]
		workers[round].remove()
		lb.traffic(nodes, leader, model, workers[round], time.Now())
		if trouble {
			paths[leader].setCut(false)
			lb.note("%s reaches the store again", leader)
		}
		workers[round].crash()
		if workers[round], err = lb.startWorker(fmt.Sprintf("i-round%d-%s", round, model), "contract-llm", "127.0.0.1:0", model); err != nil {
			return err
		}
	}
	return nil
}

// traffic sends requests for the model to the machines that are not cut, for 4 s from the
// removal of the worker's entry on.
func (lb *lab) traffic(nodes []*node, leader, model string, wk *worker, removed time.Time) {
	var clients sync.WaitGroup
	for time.Since(removed) < 4*time.Second {
		for _, nd := range nodes {
			if nd.name == leader {
				continue
			}
			clients.Go(func() {
				id, sent := newID(), time.Since(removed)
				an := send(nd.front, "POST", "/quick/2f", id, "order", 1500*time.Millisecond, "Model: "+model, "Token-Count: 100,10")
				lb.note("client: %s, sent to %s %d ms after the removal, seal %q", an, nd.name, sent.Milliseconds(), an.seal)
				if an.seal == "seal-"+wk.id && sent > drainLimit {
					lb.violate("DRAIN: %s reached %s from %s more than %d ms after its entry was removed", id, wk.id, nd.name, sent.Milliseconds())
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
}
