package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// leaseTime is the bound lease_ms.
	leaseTime = 3 * time.Second
	// drillModels is the number of models, which are loaded one after the other as far as
	// they fit, and drillWorkers that of the workers.
	drillModels  = 14
	drillWorkers = 2
	// orderTime bounds the wait for the first orders, and drillLength is how long orders
	// are followed after the drill.
	orderTime   = 20 * time.Second
	drillLength = 12 * time.Second
)

// given is an order that reached a worker.
type given struct {
	worker, holder string
	fence          int64
	at             time.Time
}

// orders are the orders of a case, in the order of arrival.
type orders struct {
	mu  sync.Mutex
	all []given
}

func (os *orders) note(worker, holder string, fence int64) {
	os.mu.Lock()
	defer os.mu.Unlock()
	os.all = append(os.all, given{worker, holder, fence, time.Now()})
}

func (os *orders) list() []given {
	os.mu.Lock()
	defer os.mu.Unlock()
	return slices.Clone(os.all)
}

// workers returns how many workers got orders.
func (os *orders) workers() int {
	seen := map[string]bool{}
	for _, gn := range os.list() {
		seen[gn.worker] = true
	}
	return len(seen)
}

// playDrill has the store come back from a copy that is older than the first orders, and
// kills the processes of all nodes meanwhile. The machine that gave the orders stays dark.
func playDrill(lb *lab) (verdict, error) {
	route := streamRoute()
	route["service"] = "kiosk-llm"
	sv := service("kiosk-llm", true)
	engine, _ := sv["engine"].(map[string]any)
	var models []map[string]any
	for ix := range drillModels {
		models = append(models, map[string]any{"name": fmt.Sprintf("m%d", ix), "weights_mb": 42700.0, "load_s": 2.6, "adapters": 0, "adapter_mb": 14.0, "warm_s": 0.27, "disk_s": 0.35})
	}
	engine["models"] = models
	workers := modelWorkers("kiosk-llm", "v1", drillWorkers, letterEvents, 100*time.Millisecond)
	for _, wk := range workers {
		wk.models = nil
	}
	if err := lb.prepare([]map[string]any{route}, []map[string]any{sv}, workers); err != nil {
		return verdict{}, err
	}
	time.Sleep(300 * time.Millisecond)
	lb.store.Copy()
	lb.note("copy of the store")
	for _, nd := range lb.nodes {
		if err := nd.start(); err != nil {
			return verdict{}, err
		}
	}
	for until := time.Now().Add(orderTime); lb.orders.workers() < drillWorkers; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			return verdict{}, errors.New("no orders")
		}
	}
	time.Sleep(100 * time.Millisecond)
	if lb.trouble {
		if err := lb.drill(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(drillLength)
	return judgeHolders(lb.orders.list()), nil
}

// drill kills all processes, returns the store to its copy, and starts all nodes but the
// one that gave the last order.
func (lb *lab) drill() error {
	var kills sync.WaitGroup
	for _, nd := range lb.nodes {
		kills.Go(nd.kill)
	}
	kills.Wait()
	all := lb.orders.list()
	lb.store.Restore()
	lb.note("the store has come back from the copy")
	for _, wk := range lb.workers {
		wk.register()
	}
	time.Sleep(restartDelay / 2)
	for _, nd := range lb.nodes {
		if nd.name == all[len(all)-1].holder {
			continue
		}
		if err := nd.start(); err != nil {
			return err
		}
	}
	return nil
}

// judgeHolders checks the rule ONE: no two holders take turns at a worker within lease_ms,
// and no fencing number falls or has two holders.
func judgeHolders(all []given) verdict {
	last := map[string]given{}
	broken, turns, shortest := 0, 0, time.Duration(0)
	for _, gn := range all {
		former, ok := last[gn.worker]
		last[gn.worker] = gn
		if !ok || former.holder == gn.holder && former.fence <= gn.fence {
			continue
		}
		turns++
		gap := gn.at.Sub(former.at)
		if shortest == 0 || gap < shortest {
			shortest = gap
		}
		if gap < leaseTime || gn.fence <= former.fence {
			broken++
		}
	}
	text := fmt.Sprintf(": %d orders; holders took turns at a worker %d times, of which %d within %v; the shortest time between was %v", len(all), turns, broken, leaseTime, shortest.Round(time.Millisecond))
	if broken > 0 {
		return verdict{broken: true, text: "ONE broken" + text}
	}
	return verdict{text: "ONE held" + text}
}
