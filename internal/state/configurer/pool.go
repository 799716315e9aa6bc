package configurer

import (
	"slices"
	"strings"
	"time"
)

// Pool is a group of identical backend servers that serve the same models.
type Pool struct {
	named
	kind         string
	memory       int64
	adapterSlots int
	slots        int
	cacheTokens  int
	connections  int
	// cacheTokenBytes and cacheMegabits are 0 if servers don't fetch cached tokens
	// from each other.
	cacheTokenBytes int64
	cacheMegabits   float64
}

// Kind returns the name of the servers' engine kind, or an empty string if they
// run plain services.
func (po *Pool) Kind() string { return po.kind }

// Memory returns the memory of one server for weights and adapters, in bytes.
func (po *Pool) Memory() int64 { return po.memory }

// AdapterSlots returns the number of adapters that one server can hold.
func (po *Pool) AdapterSlots() int { return po.adapterSlots }

// Slots returns the number of requests that one server runs concurrently at
// full speed.
func (po *Pool) Slots() int { return po.slots }

// CacheTokens returns the size of one server's KV cache, in tokens, that
// running requests and cached prompts share; zero means that it is unknown.
func (po *Pool) CacheTokens() int { return po.cacheTokens }

// Connections returns the number of connections that one server accepts.
func (po *Pool) Connections() int { return po.connections }

// CacheTransferTime returns the time in which a server fetches that many cached tokens
// from another one, or false if servers of the pool don't.
func (po *Pool) CacheTransferTime(tokens int) (time.Duration, bool) {
	if po.cacheTokenBytes <= 0 || po.cacheMegabits <= 0 {
		return 0, false
	}
	bits := float64(tokens) * float64(po.cacheTokenBytes) * 8
	return time.Duration(bits / (po.cacheMegabits * 1e6) * float64(time.Second)), true
}

// Route defines how to serve requests for a host and a path prefix.
type Route struct {
	named
	host          string
	prefix        string
	pools         []string
	class         string
	repeatable    bool
	streams       bool
	resumable     bool
	timeLimit     time.Duration
	pauseTarget   time.Duration
	abandonAfter  time.Duration
	attemptLimit  int
	authenticated bool
}

// Host returns the host that the route matches.
func (rt *Route) Host() string { return rt.host }

// Prefix returns the path prefix that the route matches.
func (rt *Route) Prefix() string { return rt.prefix }

// Class returns the name of the priority class of the requests.
func (rt *Route) Class() string { return rt.class }

// Repeatable reports whether a request may run more than once.
func (rt *Route) Repeatable() bool { return rt.repeatable }

// Streams reports whether the answers are event streams.
func (rt *Route) Streams() bool { return rt.streams }

// Resumable reports whether another server may resume a broken stream.
func (rt *Route) Resumable() bool { return rt.resumable }

// TimeLimit returns the maximum time from a request's arrival to its deadline.
func (rt *Route) TimeLimit() time.Duration { return rt.timeLimit }

// PauseTarget returns the target for the longest pause between two events.
func (rt *Route) PauseTarget() time.Duration { return rt.pauseTarget }

// AbandonAfter returns the time without an event, also before the first one, after which
// callers abandon a stream.
func (rt *Route) AbandonAfter() time.Duration { return rt.abandonAfter }

// AttemptLimit returns the maximum number of servers that one request may
// reach.
func (rt *Route) AttemptLimit() int { return rt.attemptLimit }

// Authenticated reports whether requests need the key of a caller.
func (rt *Route) Authenticated() bool { return rt.authenticated }

// WeightedPool is a pool with its weight in a route.
type WeightedPool struct {
	pool   string
	weight int
}

// Pool returns the name of the pool.
func (wp WeightedPool) Pool() string { return wp.pool }

// Weight returns the pool's weight relative to the other pools of the route.
func (wp WeightedPool) Weight() int { return wp.weight }

// WeightedPools returns the pools of the route with their weights.
func (rt *Route) WeightedPools() []WeightedPool {
	weighted := make([]WeightedPool, 0, len(rt.pools))
	for _, text := range rt.pools {
		if wp, ok := parseWeightedPool(text); ok {
			weighted = append(weighted, wp)
		}
	}
	return weighted
}

// parseWeightedPool parses "pool" or "pool:weight". The default weight is 1.
func parseWeightedPool(text string) (WeightedPool, bool) {
	name, weight, weighted := strings.Cut(text, ":")
	if !weighted {
		return WeightedPool{pool: name, weight: 1}, name != ""
	}
	count, ok := parseCount(weight)
	return WeightedPool{pool: name, weight: count}, ok && name != ""
}

// RouteTable maps requests to routes.
type RouteTable struct {
	// byHost holds the routes of each host, from the longest to the shortest
	// prefix.
	byHost map[string][]*Route
}

// NewRouteTable returns a table of the routes.
func NewRouteTable(routes []*Route) *RouteTable {
	tb := &RouteTable{byHost: map[string][]*Route{}}
	for _, rt := range routes {
		tb.byHost[rt.host] = append(tb.byHost[rt.host], rt)
	}
	for _, all := range tb.byHost {
		slices.SortStableFunc(all, func(one, two *Route) int { return len(two.prefix) - len(one.prefix) })
	}
	return tb
}

// Find returns the route of the host with the longest prefix that matches the
// path.
func (tb *RouteTable) Find(host, path string) (*Route, bool) {
	for _, rt := range tb.byHost[host] {
		if strings.HasPrefix(path, rt.prefix) {
			return rt, true
		}
	}
	return nil, false
}

// BackendServerOption configures a BackendServer.
type BackendServerOption func(*BackendServer)

// WithAddress sets the host and port.
func WithAddress(address string) BackendServerOption {
	return func(bs *BackendServer) { bs.address = address }
}

// WithZone sets the availability zone.
func WithZone(zone string) BackendServerOption { return func(bs *BackendServer) { bs.zone = zone } }

// WithSlots sets the number of requests that the server runs concurrently.
func WithSlots(slots int) BackendServerOption { return func(bs *BackendServer) { bs.slots = slots } }

// WithPool adds the server to the pool and applies the pool's settings. The
// memory reserved for adapters is adapterBytes for each adapter slot.
func WithPool(po *Pool, adapterBytes int64) BackendServerOption {
	return func(bs *BackendServer) {
		bs.pool, bs.kind, bs.memory, bs.slots = po.name, po.kind, po.memory, po.slots
		bs.adapterReserve = int64(po.adapterSlots) * adapterBytes
		bs.cacheTokens = po.cacheTokens
	}
}

// NewBackendServer returns a server that is discovered rather than configured.
// It has the mixed role and one accelerator.
func NewBackendServer(name string, opts ...BackendServerOption) *BackendServer {
	bs := &BackendServer{named: named{name}, role: RoleMixed, accelerators: 1}
	for _, opt := range opts {
		opt(bs)
	}
	return bs
}

// WithBackendServers returns a copy of the settings with the servers in place
// of its own.
func (st *Settings) WithBackendServers(servers []*BackendServer) *Settings {
	cp := *st
	cp.servers = make(map[string]*BackendServer, len(servers))
	for _, bs := range servers {
		cp.servers[bs.name] = bs
	}
	cp.sorted.servers = sortedByName(cp.servers)
	return &cp
}

// MaxAdapterMemory returns the size of the largest adapter of a pool's models,
// in bytes. Servers limit the number of adapters rather than their total size,
// so each adapter counts as much as the largest.
func (st *Settings) MaxAdapterMemory(pool string) int64 {
	largest := int64(0)
	for _, ad := range st.Adapters() {
		if md, ok := st.Model(ad.model); ok && md.pool == pool {
			largest = max(largest, ad.memory)
		}
	}
	return largest
}
