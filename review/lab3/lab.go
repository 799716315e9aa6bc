package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/lagoonpass/lagoonpass/platform/standin"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	// heartbeat is the interval between two registrations of a worker, and
	// expiry the silence after which the platform removes its entry.
	heartbeat = 1200 * time.Millisecond
	expiry    = 3 * heartbeat
	// startLimit bounds the start of a process.
	startLimit = 20 * time.Second
	metrics    = "9600"
	host       = "ficu95.example"
)

// lab is the stand-in of the platform: its store, its machines and its workers.
type lab struct {
	dir    string
	record *os.File
	store  *standin.Store
	server *http.Server
	// address is that of the store.
	address string
	ports   [4]int

	mu        sync.Mutex
	began     time.Time
	processes []*exec.Cmd
	violated  []string
}

// note writes a line to the record.
func (lb *lab) note(format string, args ...any) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	_, _ = fmt.Fprintf(lb.record, "%8.3f s  %s\n", time.Since(lb.began).Seconds(), fmt.Sprintf(format, args...))
}

// violate records that a rule was broken.
func (lb *lab) violate(format string, args ...any) {
	lb.note("BROKEN: "+format, args...)
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.violated = append(lb.violated, fmt.Sprintf(format, args...))
}

// newLab starts the store. The record and the files go to the folder.
func newLab(folder string) (*lab, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	lb := &lab{dir: dir, record: record, store: standin.NewStore(), began: time.Now()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	lb.address = ln.Addr().String()
	lb.server = &http.Server{Handler: lb.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = lb.server.Serve(ln) }()
	return lb, nil
}

// end ends all processes that the lab started.
func (lb *lab) end() {
	lb.mu.Lock()
	processes := lb.processes
	lb.mu.Unlock()
	for _, cmd := range processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
	for _, cmd := range processes {
		_ = cmd.Wait()
	}
	_ = lb.server.Close()
	_ = os.RemoveAll(lb.dir)
}

// start starts a process that end will end.
func (lb *lab) start(cmd *exec.Cmd) error {
	if err := cmd.Start(); err != nil {
		return err
	}
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.processes = append(lb.processes, cmd)
	return nil
}

// node is a machine of the system.
type node struct {
	name, ip string
	front    string
	ready    string
	cmd      *exec.Cmd
	settings string
	log      string
}

// freeIPs returns loopback addresses on which the port of the metrics is free.
func freeIPs(count int) ([]string, error) {
	var ips []string
	for third := os.Getpid() % 200; len(ips) < count && third < 250; third++ {
		ip := fmt.Sprintf("127.9.%d.%d", third+1, len(ips)+2)
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, metrics))
		if err != nil {
			continue
		}
		_ = ln.Close()
		ips = append(ips, ip)
	}
	if len(ips) < count {
		return nil, errors.New("no loopback addresses are free")
	}
	return ips, nil
}

// freePorts returns ports that are free on all of the addresses.
func freePorts(ips []string) (ports [4]int, err error) {
	for ix := range ports {
		for try := 0; ; try++ {
			ln, err := net.Listen("tcp", net.JoinHostPort(ips[0], "0"))
			if err != nil || try > 50 {
				return ports, fmt.Errorf("no free port: %w", err)
			}
			port := ln.Addr().(*net.TCPAddr).Port
			_ = ln.Close()
			free := true
			for _, ip := range ips[1:] {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
				if err != nil {
					free = false
					break
				}
				_ = ln.Close()
			}
			if free {
				ports[ix] = port
				break
			}
		}
	}
	return ports, nil
}

// startNodes starts the system on so many machines and waits until all are ready. The store
// of a machine is at storeOf(name), by default the lab's.
func (lb *lab) startNodes(count int, storeOf func(name string) (string, error)) ([]*node, error) {
	ips, err := freeIPs(count)
	if err != nil {
		return nil, err
	}
	if lb.ports, err = freePorts(ips); err != nil {
		return nil, err
	}
	var nodes []*node
	for ix, ip := range ips {
		name := fmt.Sprintf("front-nw-%c-1", 'a'+ix)
		address := lb.address
		if storeOf != nil {
			if address, err = storeOf(name); err != nil {
				return nil, err
			}
		}
		nd, err := lb.newNode(name, ip, "nw-"+string(rune('a'+ix)), address, ips)
		if err != nil {
			return nil, err
		}
		if err := lb.run(nd); err != nil {
			return nil, err
		}
		nodes = append(nodes, nd)
	}
	for _, nd := range nodes {
		if err := nd.awaitReady(); err != nil {
			return nil, err
		}
		lb.note("%s is ready", nd.name)
	}
	return nodes, nil
}

// newNode writes the settings of a machine, with the figures of the sheet of hp-dosing.
func (lb *lab) newNode(name, ip, zone, store string, ips []string) (*node, error) {
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	var seeds []string
	for _, other := range ips[:min(3, len(ips))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", other, lb.ports[3]))
	}
	settings := map[string]any{
		"node": name, "role": "entry", "machine_class": "front", "serves": []string{"front", "control", "directory"},
		"ip": ip, "zone": zone, "region": "north-west",
		"zones":      map[string]string{"nw-a": "north-west", "nw-b": "north-west", "nw-c": "north-west"},
		"listen":     map[string]string{"front": at(lb.ports[0]), "ready": at(lb.ports[1]), "control": at(lb.ports[3]), "directory": at(lb.ports[2])},
		"port_range": []int{lb.ports[3], lb.ports[3]},
		"seeds":      seeds, "bootstrap": true, "loss_counts": false,
		"limits":   map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": 544, "max_fds": 8200, "link_mbps": 2000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "directory", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"},
		"tolerate":  map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 3000, "ack_ms": 4000, "sync_s": 4, "drain_ms": 2000,
			"grace_s": 8, "loss_slack_ms": 200, "apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000, "budget_ratio": 0.2,
			"budget_window_s": 10, "retry_slack": 58, "recover_s": 12, "pass_ms": 120, "retry_after_s": 0, "fencing_enforced": false,
			"lease_ms": 3000, "thaw_ms": 300, "ceiling_window_s": 5, "ceiling_over": 1.1, "ttl_max_s": 5,
		},
		"provider": map[string]any{"addr": store, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(lb.dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	return &node{name: name, ip: ip, front: at(lb.ports[0]), ready: at(lb.ports[1]), settings: path, log: filepath.Join(lb.dir, name+".log")}, nil
}

// run starts the process of a machine with the command of the deploy file.
func (lb *lab) run(nd *node) error {
	out, err := os.OpenFile(nd.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/lagoonpass-platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LAGOONPASS_SETTINGS=" + nd.settings}
	cmd.Stdout, cmd.Stderr = out, out
	nd.cmd = cmd
	return lb.start(cmd)
}

func (nd *node) signal(sg syscall.Signal) { _ = nd.cmd.Process.Signal(sg) }

// awaitReady asks the machine as the platform does until it is ready.
func (nd *node) awaitReady() error {
	cl := http.Client{Timeout: time.Second}
	for began := time.Now(); time.Since(began) < startLimit; time.Sleep(50 * time.Millisecond) {
		rs, err := cl.Get("http://" + nd.ready + "/ready")
		if err != nil {
			continue
		}
		_ = rs.Body.Close()
		if rs.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s does not become ready", nd.name)
}

// keepLog copies what the machine logged to the folder of the case, if KEEP names one.
func (nd *node) keepLog() {
	if folder := os.Getenv("KEEP"); folder != "" {
		text, err := os.ReadFile(nd.log)
		if err == nil {
			_ = os.WriteFile(filepath.Join(folder, nd.name+".log"), text, 0o600)
		}
	}
}

// route is a route of the operator's configuration.
type route struct {
	name, prefix, kind, service string
	timeout, goal               int
	attempts                    int
	resumable                   bool
}

// configure writes a configuration to the store.
func (lb *lab) configure(version int, routes []route, services ...map[string]any) {
	var all []map[string]any
	for _, rt := range routes {
		one := map[string]any{
			"name": rt.name, "host": host, "prefix": rt.prefix, "kind": rt.kind, "timeout_ms": rt.timeout, "goal_ms": rt.goal,
			"prio": 1, "service": rt.service, "attempts": rt.attempts,
		}
		if rt.kind == "stream" {
			one["sticky"], one["resumable"], one["gap_aim_ms"] = true, rt.resumable, 500
		}
		all = append(all, one)
	}
	text, _ := json.Marshal(map[string]any{
		"version": version, "routes": all, "services": services,
		"limits": map[string]int{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	lb.store.Put("op/config", text)
	lb.note("the operator writes configuration %d", version)
}

// plainService is a service without models.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 500, "proto": "h1", "tls": false}
}

// engineService is a service of workers that have room for one of the models each.
func engineService(name string, models ...string) map[string]any {
	var all []map[string]any
	for _, model := range models {
		all = append(all, map[string]any{"name": model, "weights_mb": 80000, "load_s": 1.3, "adapters": 0, "adapter_mb": 40})
	}
	service := plainService(name)
	service["engine"] = map[string]any{
		"slots": 96, "kv_capacity": 199005, "kv_token_bytes": 131072, "link_mbps": 260000, "weights_mb": 83000,
		"adapter_slots": 8, "loads_per_s": 1.1, "models": all,
	}
	return service
}

// startWorkers starts so many workers of the service, without models.
func (lb *lab) startWorkers(service string, count int) ([]*worker, error) {
	var all []*worker
	for ix := range count {
		wk, err := lb.startWorker(fmt.Sprintf("i-first%d", ix), service, "127.0.0.1:0", "")
		if err != nil {
			return nil, err
		}
		all = append(all, wk)
	}
	return all, nil
}
