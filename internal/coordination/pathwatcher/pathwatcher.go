// Package pathwatcher tells whether a node has lost its path to the backend servers,
// while it still reaches its peers and the store. Each server then looks bad from this
// node and good from all others, so that servers must not be blamed for it.
//
// The evidence is what happens to new connections: existing ones may live on while new
// ones are refused. Requests give some of it; while they give none, or too little, the
// Watcher calls a few servers itself. A node without traffic calls one a second.
//
// # Usage
//
//	wt := pathwatcher.New(servers, ping, activity, pathwatcher.WithOnChange(fn))
//	go wt.Run(ctx)
//	fw := forwarder.New(forwarder.WithOnConnect(wt.Connected))
//	if wt.Detached() { ... } // use another path
package pathwatcher

import (
	"context"
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
	// pingCount is the number of servers that are called at once, and undecidedCount
	// that while a node misses servers and has to know whether others are reached.
	pingCount      = 2
	undecidedCount = 4
	// confirmCount is the number of servers that are called to confirm the path.
	confirmCount = 8
	// tickInterval is the time between two looks at the evidence.
	tickInterval = 100 * time.Millisecond
	// silenceTime is how long no server sends anything, while requests wait, before
	// servers are called. idleTime is that time without requests.
	silenceTime = 300 * time.Millisecond
	idleTime    = time.Second
	// detachedInterval is the time between two calls of a detached node, and
	// undecidedInterval that of a node that misses servers.
	detachedInterval  = 250 * time.Millisecond
	undecidedInterval = 50 * time.Millisecond
)

// Server is a backend server to call.
type Server struct {
	// Name is the server's name, Address its host and port, and Pool the name of its pool.
	Name, Address, Pool string
}

// ErrNotCalled means that a server was not called, since no further connection to it is
// allowed. What is known of it does not change.
var ErrNotCalled = errors.New("pathwatcher: server not called")

// Ping calls a server over a new connection, and returns nil if it answers anything.
type Ping func(ctx context.Context, sv Server) error

// Activity is what the node's requests do. forwarder.Forwarder implements it.
type Activity interface {
	// InUse returns the number of connections on which a request is in progress.
	InUse() int64
	// LastHeard returns when a server last sent something.
	LastHeard() time.Time
}

// Watcher watches the path of one node. It is safe for concurrent use.
type Watcher struct {
	servers  func() []Server
	ping     Ping
	activity Activity
	onChange func(detached bool)
	registry *counter.Registry
	wake     chan struct{}
	detached atomic.Bool
	// notCalled counts the calls that were not made for want of a connection.
	notCalled atomic.Int64

	mu       sync.Mutex
	evidence *Evidence
	listed   []Server          // the servers of the last step
	pools    map[string]bool   // by name, whether all of its servers that are known are missed
	names    map[string]string // server by address
	pingedAt time.Time
}

// Option configures a Watcher.
type Option func(*Watcher)

// WithOnChange sets a function that is called when the node becomes detached or ceases
// to be. It must not block.
func WithOnChange(fn func(detached bool)) Option { return func(wt *Watcher) { wt.onChange = fn } }

// WithRegistry sets the registry that counts calls and changes.
func WithRegistry(rg *counter.Registry) Option { return func(wt *Watcher) { wt.registry = rg } }

// New returns the watcher of a node that has the path. The function servers returns a
// slice that is never modified.
func New(servers func() []Server, ping Ping, ac Activity, opts ...Option) *Watcher {
	wt := &Watcher{
		servers:  servers,
		ping:     ping,
		activity: ac,
		onChange: func(bool) {},
		wake:     make(chan struct{}, 1),
		evidence: NewEvidence(),
		names:    map[string]string{},
		pools:    map[string]bool{},
	}
	for _, opt := range opts {
		opt(wt)
	}
	return wt
}

// Detached reports whether the node has lost its path to the servers.
func (wt *Watcher) Detached() bool { return wt.detached.Load() }

// Doubtful reports whether the node may have lost its path to the servers: it misses some
// and does not know enough of the others, or it is detached.
func (wt *Watcher) Doubtful() bool {
	if wt.Detached() {
		return true
	}
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.evidence.Undecided(time.Now(), len(wt.listed))
}

// Misses reports whether the node lately failed to reach the server.
func (wt *Watcher) Misses(server string) bool {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	ct, ok := wt.evidence.servers[server]
	return ok && ct.isMissed(time.Now())
}

// Missed returns the names of a few servers that the node lately failed to reach.
func (wt *Watcher) Missed() []string {
	now := time.Now()
	wt.mu.Lock()
	defer wt.mu.Unlock()
	var names []string
	for name, ct := range wt.evidence.servers {
		if ct.isMissed(now) && len(names) < confirmCount {
			names = append(names, name)
		}
	}
	return names
}

// Confirm calls a few servers and reports whether one answers.
func (wt *Watcher) Confirm(ctx context.Context) bool {
	servers := slices.Clone(wt.servers())
	rand.Shuffle(len(servers), func(ix, jx int) { servers[ix], servers[jx] = servers[jx], servers[ix] })
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
	wt.mu.Lock()
	name, ok := wt.names[address]
	switch {
	case !ok:
	case err == nil:
		wt.evidence.Reached(time.Now(), name)
	default:
		wt.evidence.Missed(time.Now(), name)
	}
	wt.mu.Unlock()
	if err == nil {
		return
	}
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
	wt.listLocked(servers)
	var called []Server
	if interval, ok := wt.intervalLocked(now, len(servers)); ok && now.Sub(wt.pingedAt) >= interval {
		wt.pingedAt = now
		called = wt.chooseLocked(now, slices.Clone(servers))
	}
	wt.mu.Unlock()
	wt.decide(now, len(servers))
	wt.logPools(now)
	for _, sv := range called {
		go wt.call(ctx, sv)
	}
}

// listLocked takes up a changed list of servers.
func (wt *Watcher) listLocked(servers []Server) {
	if len(servers) == len(wt.listed) && (len(servers) == 0 || &servers[0] == &wt.listed[0]) {
		return
	}
	wt.listed = servers
	names := make(map[string]bool, len(servers))
	wt.names = make(map[string]string, len(servers))
	for _, sv := range servers {
		names[sv.Name], wt.names[sv.Address] = true, sv.Name
	}
	wt.evidence.Keep(names)
}

// chooseLocked returns the servers to call: those of which nothing is known first.
func (wt *Watcher) chooseLocked(now time.Time, servers []Server) []Server {
	rand.Shuffle(len(servers), func(ix, jx int) { servers[ix], servers[jx] = servers[jx], servers[ix] })
	slices.SortStableFunc(servers, func(one, two Server) int {
		return wt.evidence.latest(one.Name).Compare(wt.evidence.latest(two.Name))
	})
	count := pingCount
	if !wt.detached.Load() && wt.evidence.Undecided(now, len(servers)) {
		count = undecidedCount
	}
	return servers[:min(count, len(servers))]
}

// intervalLocked returns the time between two calls now, or false if none are needed.
func (wt *Watcher) intervalLocked(now time.Time, servers int) (time.Duration, bool) {
	quiet := now.Sub(wt.activity.LastHeard())
	switch {
	case wt.detached.Load():
		return detachedInterval, true
	case wt.evidence.Undecided(now, servers):
		return undecidedInterval, true
	case wt.activity.InUse() > 0 && quiet >= silenceTime:
		return silenceTime, true
	case quiet >= idleTime:
		return idleTime, true
	}
	return 0, false
}

// call calls a server, records the result and reports whether it answered. A call that
// took much longer than its timeout says that this node stood still.
func (wt *Watcher) call(ctx context.Context, sv Server) (reached bool) {
	began := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	err := wt.ping(callCtx, sv)
	now := time.Now()
	if errors.Is(err, ErrNotCalled) {
		wt.registry.Inc("path", "not-called")
		wt.notCalled.Add(1)
		// The connections that are open tell instead.
		return !wt.Detached() && now.Sub(wt.activity.LastHeard()) < silenceTime
	}
	if ctx.Err() != nil || now.Sub(began) > 2*pingTimeout {
		return false
	}
	if errors.Is(callCtx.Err(), context.DeadlineExceeded) && wt.activity.LastHeard().After(began) {
		// Others answer meanwhile: this server, or this node, is slow.
		return false
	}
	wt.mu.Lock()
	if err == nil {
		wt.registry.Inc("path", "reached")
		wt.evidence.Reached(now, sv.Name)
	} else {
		wt.registry.Inc("path", "missed")
		wt.evidence.Missed(now, sv.Name)
	}
	wt.mu.Unlock()
	wt.decide(now, len(wt.servers()))
	return err == nil
}

// decide updates whether the node is detached.
func (wt *Watcher) decide(now time.Time, servers int) {
	wt.mu.Lock()
	detached := wt.evidence.Detached(now, servers)
	missed, reached, _ := wt.evidence.count(now)
	changed := wt.detached.Swap(detached) != detached
	wt.mu.Unlock()
	if !changed {
		return
	}
	line := log.WithFields(log.Fields{"missed": missed, "reached": reached, "servers": servers, "quiet-ms": now.Sub(wt.activity.LastHeard()).Milliseconds()})
	if detached {
		wt.registry.Inc("path", "lost")
		line.Warn("node has lost its path to the backend servers")
	} else {
		line.Info("node has its path to the backend servers again")
	}
	wt.onChange(detached)
}

// logPools logs each pool that begins or ceases to have servers that are missed and none
// that is reached meanwhile.
func (wt *Watcher) logPools(now time.Time) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	missed, reached := map[string]int{}, map[string]int{}
	for _, sv := range wt.listed {
		ct, ok := wt.evidence.servers[sv.Name]
		switch {
		case !ok:
		case ct.isMissed(now):
			missed[sv.Pool]++
		case now.Sub(ct.reached) < missLifetime:
			reached[sv.Pool]++
		}
	}
	for _, sv := range wt.listed {
		lost := missed[sv.Pool] > 0 && reached[sv.Pool] == 0
		if lost == wt.pools[sv.Pool] {
			continue
		}
		wt.pools[sv.Pool] = lost
		log.WithFields(log.Fields{
			"pool": sv.Pool, "lost": lost, "missed": missed[sv.Pool], "reached": reached[sv.Pool],
			"not-called": wt.notCalled.Load(),
		}).Info("servers of a pool that this node misses")
	}
}
