// Package pathwatcher tells whether a node has lost its path to the backend servers of a
// pool, while it still reaches its peers and the store. Each of the servers then looks bad
// from this node and good from all others, so that servers must not be blamed for it.
//
// Each pool has a path of its own, since a node may lose the servers of one and reach
// those of another. The evidence is what happens to new connections: existing ones may
// live on while new ones are refused. Requests give some of it; while they give none, or
// too little, the Watcher calls a few servers itself. A node without traffic calls some a
// second.
//
// # Usage
//
//	wt := pathwatcher.New(servers, ping, activity, pathwatcher.WithOnChange(fn))
//	go wt.Run(ctx)
//	fw := forwarder.New(forwarder.WithOnConnect(wt.Connected), forwarder.WithOnSilence(wt.Silent))
//	if wt.Detached("pool-a") { ... } // use another path
package pathwatcher

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/counter"
)

const (
	// pingTimeout bounds one call. It is shorter than any deadline, and longer than
	// an answer that needs no slot takes on a busy server.
	pingTimeout = 250 * time.Millisecond
	// confirmCount is the number of servers that are called to confirm the path.
	confirmCount = 8
	// tickInterval is the time between two looks at the evidence.
	tickInterval = 100 * time.Millisecond
)

// Server is a backend server to call.
type Server struct {
	// Name is the server's name, Address its host and port, and Pool the name of its pool.
	Name, Address, Pool string
}

// ErrNotCalled means that a server was not called, since no further connection to it is
// allowed. It counts as missed only if requests on the allowed ones end without a byte.
var ErrNotCalled = errors.New("pathwatcher: server not called")

// Ping calls a server over a new connection, and returns nil if it answers anything.
type Ping func(ctx context.Context, sv Server) error

// Activity is what the node's requests do at a server. forwarder.Forwarder implements it.
type Activity interface {
	// InUse returns the number of connections on which a request is in progress.
	InUse(address string) int64
	// LastHeard returns when the server last sent something, or the zero time.
	LastHeard(address string) time.Time
}

// Watcher watches the paths of one node. It is safe for concurrent use.
type Watcher struct {
	servers  func() []Server
	ping     Ping
	activity Activity
	onChange func(pool string, detached bool)
	registry *counter.Registry
	wake     chan struct{}
	// notCalled counts the calls that were not made for want of a connection.
	notCalled atomic.Int64

	mu     sync.Mutex
	listed []Server // the servers of the last step
	// byName and byAddress have the listed servers, and paths those to the pools by name.
	byName, byAddress map[string]Server
	paths             map[string]*path
}

// Option configures a Watcher.
type Option func(*Watcher)

// WithOnChange sets a function that is called when the node becomes detached from a pool
// or ceases to be. It must not block.
func WithOnChange(fn func(pool string, detached bool)) Option {
	return func(wt *Watcher) { wt.onChange = fn }
}

// WithRegistry sets the registry that counts calls and changes.
func WithRegistry(rg *counter.Registry) Option { return func(wt *Watcher) { wt.registry = rg } }

// New returns the watcher of a node that has all paths. The function servers returns a
// slice that is never modified.
func New(servers func() []Server, ping Ping, ac Activity, opts ...Option) *Watcher {
	wt := &Watcher{
		servers:   servers,
		ping:      ping,
		activity:  ac,
		onChange:  func(string, bool) {},
		wake:      make(chan struct{}, 1),
		byName:    map[string]Server{},
		byAddress: map[string]Server{},
		paths:     map[string]*path{},
	}
	for _, opt := range opts {
		opt(wt)
	}
	return wt
}

// Detached reports whether the node has lost its path to the servers of the pool.
func (wt *Watcher) Detached(pool string) bool {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	pt, ok := wt.paths[pool]
	return ok && pt.detached()
}

// DetachedFrom reports whether the node has lost its path to the server's pool.
func (wt *Watcher) DetachedFrom(server string) bool {
	wt.mu.Lock()
	pool := wt.byName[server].Pool
	wt.mu.Unlock()
	return wt.Detached(pool)
}

// Lost returns the pools to which the node has lost its path, in order of their names.
func (wt *Watcher) Lost() []string {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	var pools []string
	for pool, pt := range wt.paths {
		if pt.detached() {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// Pools returns the pools that have servers, in order of their names.
func (wt *Watcher) Pools() []string {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return slices.Sorted(maps.Keys(wt.paths))
}

// Doubtful reports whether the node may have lost its path to the server's pool: it misses
// some of the servers and does not know enough of the others, or it is detached.
func (wt *Watcher) Doubtful(server string) bool {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	pt, ok := wt.paths[wt.byName[server].Pool]
	return ok && pt.doubtful(time.Now())
}

// Misses reports whether the node lately failed to reach the server, or has lost its path
// to the server's pool and hears nothing of it.
func (wt *Watcher) Misses(server string) bool {
	now := time.Now()
	wt.mu.Lock()
	defer wt.mu.Unlock()
	pt, ok := wt.paths[wt.byName[server].Pool]
	if !ok {
		return false
	}
	return pt.evidence.Misses(now, server) || pt.detached() && now.Sub(pt.lastHeard(wt.activity)) >= silenceTime
}

// Missed returns the names of a few servers of the pool that the node lately failed to
// reach.
func (wt *Watcher) Missed(pool string) []string {
	now := time.Now()
	wt.mu.Lock()
	defer wt.mu.Unlock()
	pt, ok := wt.paths[pool]
	if !ok {
		return nil
	}
	var names []string
	for name := range pt.evidence.servers {
		if pt.evidence.Misses(now, name) && len(names) < confirmCount {
			names = append(names, name)
		}
	}
	return names
}

// Confirm calls a few servers of the pool other than the named one and reports whether
// one answers.
func (wt *Watcher) Confirm(ctx context.Context, pool, except string) bool {
	return wt.confirm(ctx, func(sv Server) bool { return sv.Pool == pool && sv.Name != except })
}

// ConfirmOthers calls a few servers outside the pool and reports whether one answers.
func (wt *Watcher) ConfirmOthers(ctx context.Context, pool string) bool {
	return wt.confirm(ctx, func(sv Server) bool { return sv.Pool != pool })
}

func (wt *Watcher) confirm(ctx context.Context, eligible func(Server) bool) bool {
	var servers []Server
	for _, sv := range wt.servers() {
		if eligible(sv) {
			servers = append(servers, sv)
		}
	}
	shuffle(servers)
	return wt.reach(ctx, servers[:min(confirmCount, len(servers))], 1)
}

// Reaches calls the named servers and reports whether most of them answer.
func (wt *Watcher) Reaches(ctx context.Context, names []string) bool {
	var called []Server
	for _, sv := range wt.servers() {
		if slices.Contains(names, sv.Name) {
			called = append(called, sv)
		}
	}
	return len(called) > 0 && wt.reach(ctx, called, len(called)/2+1)
}

// reach calls the servers and reports whether as many answer as wanted.
func (wt *Watcher) reach(ctx context.Context, servers []Server, wanted int) bool {
	results := make(chan bool, len(servers))
	for _, sv := range servers {
		go func() { results <- wt.call(ctx, sv) }()
	}
	for range servers {
		if <-results {
			wanted--
		}
		if wanted == 0 {
			return true
		}
	}
	return false
}

// Connected records the result of the first exchange on a connection to the server at
// the address. An open connection proves nothing before its first answer.
func (wt *Watcher) Connected(address string, err error) {
	now := time.Now()
	wt.mu.Lock()
	sv, listed := wt.byAddress[address]
	switch {
	case !listed:
	case err == nil:
		wt.paths[sv.Pool].evidence.Reached(now, sv.Name)
	default:
		wt.paths[sv.Pool].evidence.Missed(now, sv.Name)
	}
	wt.mu.Unlock()
	if err != nil {
		wt.notify()
	}
}

// Silent records that a request to the server at the address ended without a byte of it.
func (wt *Watcher) Silent(address string) {
	wt.mu.Lock()
	sv, listed := wt.byAddress[address]
	if listed {
		wt.paths[sv.Pool].evidence.Silent(time.Now(), sv.Name)
	}
	wt.mu.Unlock()
	if listed {
		wt.notify()
	}
}

// notify has the next step follow at once.
func (wt *Watcher) notify() {
	select {
	case wt.wake <- struct{}{}:
	default:
	}
}

// Run watches until the context ends, and returns nil.
func (wt *Watcher) Run(ctx context.Context) error {
	tk := time.NewTicker(tickInterval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tk.C:
		case <-wt.wake:
		}
		wt.step(ctx)
	}
}

// step decides and calls servers if that is due.
func (wt *Watcher) step(ctx context.Context) {
	now := time.Now()
	servers := wt.servers()
	wt.mu.Lock()
	gone := wt.listLocked(now, servers)
	var called []Server
	doubtful, idle := false, 0
	for _, pt := range wt.paths {
		pt.observe(now, wt.activity)
		doubtful = doubtful || pt.doubtful(now)
		idle += count(pt.idle(now))
	}
	for _, pt := range wt.paths {
		if interval, ok := pt.interval(now, doubtful, idle); ok && now.Sub(pt.calledAt) >= interval {
			pt.calledAt = now
			called = append(called, pt.choose(now)...)
		}
	}
	wt.mu.Unlock()
	for _, pool := range gone {
		wt.onChange(pool, false)
	}
	for _, pool := range wt.Pools() {
		wt.decide(now, pool)
	}
	for _, sv := range called {
		go wt.call(ctx, sv)
	}
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func shuffle(servers []Server) {
	rand.Shuffle(len(servers), func(ix, jx int) { servers[ix], servers[jx] = servers[jx], servers[ix] })
}

// listLocked takes up a changed list of servers. It returns the pools that have no more
// servers and from which the node was detached.
func (wt *Watcher) listLocked(now time.Time, servers []Server) (gone []string) {
	if len(servers) == len(wt.listed) && (len(servers) == 0 || &servers[0] == &wt.listed[0]) {
		return nil
	}
	wt.listed = servers
	wt.byName, wt.byAddress = make(map[string]Server, len(servers)), make(map[string]Server, len(servers))
	pools := map[string][]Server{}
	for _, sv := range servers {
		wt.byName[sv.Name], wt.byAddress[sv.Address] = sv, sv
		pools[sv.Pool] = append(pools[sv.Pool], sv)
	}
	for pool, pt := range wt.paths {
		if len(pools[pool]) > 0 {
			continue
		}
		if pt.detached() {
			gone = append(gone, pool)
		}
		delete(wt.paths, pool)
	}
	for pool, listed := range pools {
		pt, ok := wt.paths[pool]
		if !ok {
			pt = newPath(now)
			wt.paths[pool] = pt
		}
		pt.list(listed)
	}
	return gone
}

// call calls a server, records the result and reports whether it answered. A call that
// took much longer than its timeout says that this node stood still.
func (wt *Watcher) call(ctx context.Context, sv Server) (reached bool) {
	began := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	err := wt.ping(callCtx, sv)
	now := time.Now()
	silent := errors.Is(callCtx.Err(), context.DeadlineExceeded)
	wt.mu.Lock()
	pt, ok := wt.paths[sv.Pool]
	if !ok {
		// A node that answers another one's question may have taken no step yet.
		pt = newPath(time.Time{})
		pt.list([]Server{sv})
	}
	heard := pt.lastHeard(wt.activity)
	switch {
	case errors.Is(err, ErrNotCalled):
		wt.registry.Inc("path", "not-called")
		wt.notCalled.Add(1)
		// The connections that are open tell instead.
		reached = !pt.detached() && now.Sub(heard) < silenceTime
		if !pt.evidence.Suspects(sv.Name) || heard.After(pt.evidence.silentSince(sv.Name).Add(-pingTimeout)) {
			wt.mu.Unlock()
			return reached
		}
		wt.registry.Inc("path", "missed")
		pt.evidence.Missed(now, sv.Name)
	case ctx.Err() != nil, now.Sub(began) > 2*pingTimeout:
		wt.mu.Unlock()
		return false
	case silent && heard.After(began):
		// Others answer meanwhile: this server, or this node, is slow.
		wt.mu.Unlock()
		return false
	case err == nil:
		wt.registry.Inc("path", "reached")
		pt.evidence.Reached(now, sv.Name)
	default:
		wt.registry.Inc("path", "missed")
		pt.evidence.Missed(now, sv.Name)
	}
	wt.mu.Unlock()
	wt.decide(now, sv.Pool)
	return err == nil
}

// decide updates whether the node is detached from the pool.
func (wt *Watcher) decide(now time.Time, pool string) {
	wt.mu.Lock()
	pt, ok := wt.paths[pool]
	if !ok || !pt.decide(now) {
		wt.mu.Unlock()
		return
	}
	detached := pt.detached()
	missed, reached, _ := pt.evidence.count(now)
	line := log.WithFields(log.Fields{
		"pool": pool, "missed": missed, "reached": reached, "servers": len(pt.servers),
		"quiet-ms": now.Sub(pt.lastHeard(wt.activity)).Milliseconds(), "not-called": wt.notCalled.Load(),
	})
	wt.mu.Unlock()
	if detached {
		wt.registry.Inc("path", "lost")
		line.Warn("node has lost its path to the backend servers")
	} else {
		line.Info("node has its path to the backend servers again")
	}
	wt.onChange(pool, detached)
}
