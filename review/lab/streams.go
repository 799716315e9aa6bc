package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"
)

// The zones of the deployment.
var zones = []string{"pnw-west-a", "pnw-west-b", "pnw-west-c"}

// model is the model of all services with engines.
const model = "m0"

// service returns the configuration of a service; an engine holds one model.
func service(name string, engine bool) map[string]any {
	sv := map[string]any{"name": name, "health_path": "/healthz", "max_conns": 200, "proto": "h1", "tls": false}
	if engine {
		sv["engine"] = map[string]any{
			"slots": 24, "kv_capacity": 82737, "weights_mb": 200000.0, "adapter_slots": 8, "loads_per_s": 3.0,
			"models": []map[string]any{{"name": model, "weights_mb": 42700.0, "load_s": 2.6, "adapters": 0, "adapter_mb": 14.0, "warm_s": 0.27, "disk_s": 0.35}},
		}
	}
	return sv
}

// publish writes a configuration to the store, as the operator does.
func (lb *lab) publish(version int, routes, services []map[string]any) error {
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": bodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	lb.note("operator: %s", body)
	lb.store.Put("op/config", body)
	return nil
}

// bodyBytes is the limit body_bytes of the configuration.
const bodyBytes = 4194304

const (
	// letterPath is the prefix of the route of resumable streams, letterDeadline the time
	// of their clients, and letterEvents their number of events. Clients begin
	// lettersPerSecond of them a second.
	letterPath       = "/letter/"
	letterDeadline   = 15 * time.Second
	letterEvents     = 47
	lettersPerSecond = 11
)

// streamRoute returns the route of resumable streams without its services.
func streamRoute() map[string]any {
	return map[string]any{
		"name": "r-letter", "host": host, "prefix": letterPath, "kind": "stream", "timeout_ms": letterDeadline.Milliseconds(), "goal_ms": 3000,
		"prio": 2, "attempts": 2, "sticky": true, "resumable": true, "gap_aim_ms": 150,
	}
}

// prepare makes a store, the workers and four machines.
func (lb *lab) prepare(routes, services []map[string]any, workers []*worker) error {
	var err error
	if lb.store, err = newStore(); err != nil {
		return err
	}
	if err := lb.publish(7, routes, services); err != nil {
		return err
	}
	for _, wk := range workers {
		if err := lb.addWorker(wk); err != nil {
			return err
		}
	}
	for _, zone := range machineZones {
		if err := lb.addNode(zone); err != nil {
			return err
		}
	}
	return nil
}

// start prepares the machines and starts all of them.
func (lb *lab) start(routes, services []map[string]any, workers []*worker) error {
	if err := lb.prepare(routes, services, workers); err != nil {
		return err
	}
	return lb.startNodes()
}

// modelWorkers returns workers of a service that hold its model.
func modelWorkers(service, software string, count, events int, gap time.Duration) []*worker {
	var all []*worker
	for ix := range count {
		all = append(all, &worker{
			id: "i-" + service + "-" + software + "-" + strconv.Itoa(ix), service: service, zone: zones[ix%len(zones)], slots: 24,
			events: events, gap: gap, software: software, models: []string{model},
		})
	}
	return all
}

// killNodes kills the processes of the nodes at one time and starts them again.
func (lb *lab) killNodes(nodes []*node, meanwhile func() error) error {
	var kills sync.WaitGroup
	for _, nd := range nodes {
		kills.Go(nd.kill)
	}
	kills.Wait()
	if err := meanwhile(); err != nil {
		return err
	}
	time.Sleep(restartDelay)
	for _, nd := range nodes {
		if err := nd.start(); err != nil {
			return err
		}
	}
	return nil
}

// judgeTakenUp checks the rule LOST on streams that clients take up: of those that were
// taken up at machines in touch, the share that goes on against that of the new streams
// which begin at machines in touch after the time.
func judgeTakenUp(all []*stream, from time.Time) verdict {
	var taken, goesOn, begun, fresh int
	statuses := map[int]int{}
	for _, st := range all {
		takenUp, wentOn := false, false
		for _, ty := range st.tries {
			switch {
			case !ty.inTouch:
			case ty.takesUp:
				takenUp, wentOn = true, wentOn || ty.events > 0
				statuses[ty.status]++
			case ty.sent.After(from):
				fresh++
				if ty.events > 0 {
					begun++
				}
			}
		}
		if takenUp {
			taken++
		}
		if wentOn {
			goesOn++
		}
	}
	vd := verdict{text: fmt.Sprintf("LOST held: %d streams were taken up at machines in touch, %d went on; %d of %d new streams began; tries to take up by status: %v", taken, goesOn, begun, fresh, statuses)}
	if taken >= 12 && fresh > 0 && 2*goesOn*fresh < taken*begun {
		vd.broken, vd.text = true, "LOST broken"+vd.text[len("LOST held"):]
	}
	return vd
}

// playSplit splits a route of resumable streams over two services, whose workers run
// different software, and kills one of four nodes.
func playSplit(lb *lab) (verdict, error) {
	const events, gap = letterEvents, 250 * time.Millisecond
	route := streamRoute()
	route["split"] = []map[string]any{{"service": "kiosk-llm", "weight": 90}, {"service": "kiosk-next", "weight": 10}}
	workers := append(modelWorkers("kiosk-llm", "v1", 6, events, gap), modelWorkers("kiosk-next", "v2", 4, events, gap)...)
	if err := lb.start([]map[string]any{route}, []map[string]any{service("kiosk-llm", true), service("kiosk-next", true)}, workers); err != nil {
		return verdict{}, err
	}
	sp := streamPlan{path: letterPath + "2f", model: model, deadline: letterDeadline, events: events, retries: 3, pause: 300 * time.Millisecond}
	killed := make(chan error, 1)
	var at time.Time
	go func() {
		time.Sleep(12 * time.Second)
		at = time.Now()
		if !lb.trouble {
			killed <- nil
			return
		}
		killed <- lb.killNodes(lb.nodes[:1], func() error { return nil })
	}()
	all := lb.send(sp, lettersPerSecond, 18*time.Second)
	if err := <-killed; err != nil {
		return verdict{}, err
	}
	return judgeTakenUp(all, at), nil
}

// playRestart has workers of two versions serve side by side and kills the processes of
// all nodes at one time.
func playRestart(lb *lab) (verdict, error) {
	const events, gap = letterEvents, 250 * time.Millisecond
	route := streamRoute()
	route["service"] = "kiosk-llm"
	workers := append(modelWorkers("kiosk-llm", "v1", 3, events, gap), modelWorkers("kiosk-llm", "v2", 3, events, gap)...)
	if err := lb.start([]map[string]any{route}, []map[string]any{service("kiosk-llm", true)}, workers); err != nil {
		return verdict{}, err
	}
	sp := streamPlan{path: letterPath + "2f", model: model, deadline: letterDeadline, events: events, retries: 6, pause: 1200 * time.Millisecond}
	killed := make(chan error, 1)
	var at time.Time
	go func() {
		time.Sleep(6 * time.Second)
		at = time.Now()
		if !lb.trouble {
			killed <- nil
			return
		}
		killed <- lb.killNodes(lb.nodes, func() error { return nil })
	}()
	all := lb.send(sp, lettersPerSecond, 16*time.Second)
	if err := <-killed; err != nil {
		return verdict{}, err
	}
	return judgeTakenUp(all, at), nil
}

// playUpgrade kills the processes of all nodes at one time; meanwhile all workers start
// again under their ids, with the next version of their software.
func playUpgrade(lb *lab) (verdict, error) {
	const events, gap = letterEvents, 250 * time.Millisecond
	route := streamRoute()
	route["service"] = "kiosk-llm"
	workers := modelWorkers("kiosk-llm", "v1", 6, events, gap)
	if err := lb.start([]map[string]any{route}, []map[string]any{service("kiosk-llm", true)}, workers); err != nil {
		return verdict{}, err
	}
	sp := streamPlan{path: letterPath + "2f", model: model, deadline: letterDeadline, events: events, retries: 8, pause: 1200 * time.Millisecond}
	killed := make(chan error, 1)
	go func() {
		time.Sleep(6 * time.Second)
		if !lb.trouble {
			killed <- nil
			return
		}
		killed <- lb.killNodes(lb.nodes, func() error {
			for _, wk := range lb.workers {
				wk.end()
			}
			for _, wk := range lb.workers {
				if err := wk.restart("v2"); err != nil {
					return err
				}
				lb.note("%s: starts again at v2, without models", wk.id)
			}
			return nil
		})
	}()
	all := lb.send(sp, lettersPerSecond, 16*time.Second)
	if err := <-killed; err != nil {
		return verdict{}, err
	}
	return judgeOrder(all), nil
}

// judgeOrder checks the rule ORDER: no more than two streams hold events of two versions.
func judgeOrder(all []*stream) verdict {
	joined, faults, complete := 0, 0, 0
	for _, st := range all {
		if len(st.versions) > 1 {
			joined++
		}
		if st.fault != "" {
			faults++
		}
		if st.complete {
			complete++
		}
	}
	text := fmt.Sprintf(": %d of %d streams hold events of two software versions, %d have events out of order; %d are complete", joined, len(all), faults, complete)
	if joined > 2 || faults > 0 {
		return verdict{broken: true, text: "ORDER broken" + text}
	}
	return verdict{text: "ORDER held" + text}
}

// playRoll has workers of two versions serve side by side and stops the machines one after
// the other with SIGTERM, each of which starts again.
func playRoll(lb *lab) (verdict, error) {
	const events, gap = letterEvents, 300 * time.Millisecond
	route := streamRoute()
	route["service"] = "kiosk-llm"
	workers := append(modelWorkers("kiosk-llm", "v1", 3, events, gap), modelWorkers("kiosk-llm", "v2", 3, events, gap)...)
	if err := lb.start([]map[string]any{route}, []map[string]any{service("kiosk-llm", true)}, workers); err != nil {
		return verdict{}, err
	}
	sp := streamPlan{path: letterPath + "2f", model: model, deadline: letterDeadline, events: events, retries: 6, pause: 1200 * time.Millisecond}
	var rolls sync.WaitGroup
	at := time.Now()
	if lb.trouble {
		rolls.Go(func() {
			time.Sleep(6 * time.Second)
			for _, nd := range lb.nodes {
				rolls.Go(nd.roll)
				time.Sleep(2 * time.Second)
			}
		})
	}
	all := lb.send(sp, lettersPerSecond, 24*time.Second)
	rolls.Wait()
	return judgeTakenUp(all, at), nil
}
