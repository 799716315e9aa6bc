package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lagoonpass/lagoonpass/platform/standin"
)

// program is the program of the deploy file, from the repository's root.
const program = "target/lagoonpass-platform"

// config is the operator's configuration of a small deployment. Its limits are those
// that the users' pages print.
const config = `{"version": 7, "routes": [
{"name": "r-stream", "host": "h.example", "prefix": "/stream/", "kind": "stream", "timeout_ms": 15000, "goal_ms": 600, "prio": 0, "service": "llm", "attempts": 1, "sticky": true, "resumable": false, "gap_aim_ms": 500},
{"name": "r-order", "host": "h.example", "prefix": "/order-in/", "kind": "non_idempotent", "timeout_ms": 4000, "goal_ms": 300, "prio": 2, "service": "llm", "attempts": 1},
{"name": "r-read", "host": "h.example", "prefix": "/read/", "kind": "idempotent", "timeout_ms": 4000, "goal_ms": 300, "prio": 2, "service": "llm", "attempts": 2}],
"services": [
{"name": "llm", "health_path": "/healthz", "max_conns": 500}],
"limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}`

// lab has the processes and stand-ins of one case.
type lab struct {
	trouble bool
	start   time.Time
	temp    string
	store   *standin.Store
	// storeAddress is where nodes reach the store.
	storeAddress string
	// linked has workers started behind links.
	linked bool

	mu     sync.Mutex
	record *os.File
	nodes  []*node
}

func newLab(folder string) (*lab, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	lb := &lab{trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), temp: temp, store: standin.NewStore(), record: record}
	lb.storeAddress, err = serve(lb.store)
	return lb, err
}

// serve serves a handler on a free loopback port and returns its address.
func serve(hd http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(ln, hd) }()
	return ln.Addr().String(), nil
}

// note writes a line with the time into the record.
func (lb *lab) note(format string, args ...any) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	fmt.Fprintf(lb.record, "%8.3f s  %s\n", time.Since(lb.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes.
func (lb *lab) close() {
	for _, nd := range lb.nodes {
		nd.kill()
	}
	_ = os.RemoveAll(lb.temp)
	_ = lb.record.Close()
}

// node is the process of one entry node.
type node struct {
	name, front, ready, directory, settings string
	lb                                      *lab
	process                                 *exec.Cmd
	ended                                   chan struct{}
}

// startNodes starts the nodes and waits until all are ready.
func (lb *lab) startNodes(count int) error {
	for ix := range count {
		nd, err := lb.newNode(ix)
		if err != nil {
			return err
		}
		lb.nodes = append(lb.nodes, nd)
	}
	for _, nd := range lb.nodes {
		if err := nd.start(); err != nil {
			return err
		}
	}
	return lb.awaitReady()
}

func (lb *lab) awaitReady() error {
	for _, nd := range lb.nodes {
		until := time.Now().Add(20 * time.Second)
		for !nd.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("node %s is not ready", nd.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	lb.note("all %d nodes are ready", len(lb.nodes))
	return nil
}

// newNode writes the settings of a node, which are those of a small deployment.
func (lb *lab) newNode(ix int) (*node, error) {
	// The port for metrics is fixed; no other lab uses these addresses.
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, 11+ix)
	var ports []int
	for range 5 {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	address := func(ix int) string { return net.JoinHostPort(ip, strconv.Itoa(ports[ix])) }
	name := "front-" + strconv.Itoa(ix+1)
	settings := map[string]any{
		"node": name, "role": "entry", "machine_class": "front", "serves": []string{"front", "control", "directory"},
		"ip": ip, "zone": "z1", "region": "r1", "zones": map[string]string{"z1": "r1"},
		"listen":     map[string]string{"front": address(0), "ready": address(1), "directory": address(2), "control": address(4)},
		"port_range": []int{ports[3], ports[3]}, "seeds": []string{}, "bootstrap": true, "loss_counts": false,
		"limits":   map[string]any{"cpu_share": 1.2, "cores": 2, "memory_mb": 804, "max_fds": 12300, "link_mbps": 3000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"},
		"tolerate":  map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 3000, "ack_ms": 4000, "sync_s": 4, "drain_ms": 2000,
			"grace_s": 8, "loss_slack_ms": 200, "apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000, "budget_ratio": 0.2,
			"budget_window_s": 10, "retry_slack": 58, "recover_s": 12, "pass_ms": 120, "retry_after_s": 0, "fencing_enforced": false,
			"lease_ms": 3000, "thaw_ms": 300, "ceiling_window_s": 5, "ceiling_over": 1.1, "ttl_max_s": 5,
		},
		"provider": map[string]any{"addr": lb.storeAddress, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(lb.temp, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	return &node{name: name, front: address(0), ready: address(1), directory: address(2), settings: path, lb: lb}, nil
}

// start starts the process with the command of the deploy file.
func (nd *node) start() error {
	out, err := os.OpenFile(filepath.Join(nd.lb.temp, nd.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LAGOONPASS_SETTINGS=" + nd.settings}
	cmd.Stdout, cmd.Stderr = out, out
	// The process ends with the lab, also if the lab is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	nd.process, nd.ended = cmd, make(chan struct{})
	go func() {
		err := cmd.Wait()
		nd.lb.note("process of %s ended: %v", nd.name, err)
		close(nd.ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (nd *node) signal(sg syscall.Signal) {
	nd.lb.note("%s gets %v", nd.name, sg)
	_ = nd.process.Process.Signal(sg)
}

func (nd *node) kill() {
	if nd.process == nil {
		return
	}
	_ = nd.process.Process.Kill()
	<-nd.ended
}

func (nd *node) isReady() bool {
	rs, err := http.Get("http://" + nd.ready + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = rs.Body.Close() }()
	return rs.StatusCode == http.StatusOK
}

// owns reports whether the process has the other end of an accepted connection.
func (nd *node) owns(cn net.Conn) bool {
	inode := inodeOf(cn)
	folder := fmt.Sprintf("/proc/%d/fd", nd.process.Process.Pid)
	files, _ := os.ReadDir(folder)
	for _, fl := range files {
		if target, _ := os.Readlink(filepath.Join(folder, fl.Name())); inode != "" && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// inodeOf returns the inode of the socket at the other end of an accepted connection.
func inodeOf(cn net.Conn) string {
	local, remote := hexAddress(cn.RemoteAddr()), hexAddress(cn.LocalAddr())
	text, _ := os.ReadFile("/proc/self/net/tcp")
	for line := range strings.SplitSeq(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 9 && fields[1] == local && fields[2] == remote {
			return fields[9]
		}
	}
	return ""
}

// hexAddress returns an address as /proc/net/tcp names it.
func hexAddress(ad net.Addr) string {
	tcp, ok := ad.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

// maxLost is the number of requests that LOST allows.
const maxLost = 3
