package versionkeeper

import (
	"slices"
	"strings"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Route says which pools serve the streams of requests for a host and a path prefix.
type Route struct {
	// Host and Prefix select the requests: the longest prefix that matches applies.
	Host, Prefix string
	// Pools are the names of the pools.
	Pools []string
}

// NewRoute returns the host, prefix and pools of a configured route.
func NewRoute(rt *configurer.Route) Route {
	route := Route{Host: rt.Host(), Prefix: rt.Prefix()}
	for _, wp := range rt.WeightedPools() {
		route.Pools = append(route.Pools, wp.Pool())
	}
	return route
}

// routeKey identifies a route by the requests that it selects. Its name may change.
type routeKey struct{ host, prefix string }

// String returns the host followed by the prefix.
func (rk routeKey) String() string { return rk.host + rk.prefix }

// parseRouteKey parses what String returns.
func parseRouteKey(text string) routeKey {
	host, _, _ := strings.Cut(text, "/")
	return routeKey{host, text[len(host):]}
}

// routes remembers to which pools requests lead, and led within streamMemory.
type routes struct {
	byKey map[routeKey]*routeHistory
	// shared has the sets of pools, of two or more, that a stream of one route may have
	// begun in.
	shared [][]string
	// expires is when shared has to be computed anew, or zero.
	expires time.Time
}

// routeHistory is the pools of one route.
type routeHistory struct {
	pools []string
	// former has the pools that no longer serve the route, and when they last did.
	former map[string]time.Time
}

// update records the routes of a configuration that comes into force.
func (rs *routes) update(now time.Time, next []Route) {
	byKey := make(map[routeKey]*routeHistory, len(next))
	for _, rt := range next {
		byKey[routeKey{rt.Host, rt.Prefix}] = &routeHistory{pools: rt.Pools}
	}
	for key, rh := range byKey {
		if before := lookup(rs.byKey, key); before != nil {
			rh.inherit(now, before)
		}
	}
	for key, before := range rs.byKey {
		if _, kept := byKey[key]; kept {
			continue
		}
		if rh := lookup(byKey, key); rh != nil {
			rh.inherit(now, before)
		}
	}
	rs.byKey = byKey
	rs.refresh(now)
}

// lookup returns the route that serves the requests of the key: that of the key itself,
// or the one with the longest prefix of its prefix; nil if there is none.
func lookup(byKey map[routeKey]*routeHistory, key routeKey) *routeHistory {
	for {
		if rh, ok := byKey[key]; ok || key.prefix == "" {
			return rh
		}
		key.prefix = key.prefix[:len(key.prefix)-1]
	}
}

// inherit adds the pools of a route whose requests this one serves now.
func (rh *routeHistory) inherit(now time.Time, before *routeHistory) {
	add := func(pool string, last time.Time) {
		if slices.Contains(rh.pools, pool) || now.Sub(last) >= streamMemory || !last.After(rh.former[pool]) {
			return
		}
		if rh.former == nil {
			rh.former = map[string]time.Time{}
		}
		rh.former[pool] = last
	}
	for _, pool := range before.pools {
		add(pool, now)
	}
	for pool, last := range before.former {
		add(pool, last)
	}
}

// all returns the pools in which a stream of the route may have begun.
func (rh *routeHistory) all(now time.Time) []string {
	pools := slices.Clone(rh.pools)
	for pool, last := range rh.former {
		if now.Sub(last) < streamMemory {
			pools = append(pools, pool)
		}
	}
	return pools
}

// poolsOf returns the given pools and those in which streams of the route may have begun.
func (rs *routes) poolsOf(now time.Time, key routeKey, pools []string) []string {
	pools = slices.Clone(pools)
	if rh := lookup(rs.byKey, key); rh != nil {
		for _, pool := range rh.all(now) {
			if !slices.Contains(pools, pool) {
				pools = append(pools, pool)
			}
		}
	}
	return pools
}

// sharedSets returns the sets of pools that streams of one route may have begun in.
func (rs *routes) sharedSets(now time.Time) [][]string {
	if !rs.expires.IsZero() && !now.Before(rs.expires) {
		rs.refresh(now)
	}
	return rs.shared
}

// refresh computes the sets of pools and when the next former pool is forgotten.
func (rs *routes) refresh(now time.Time) {
	rs.shared, rs.expires = nil, time.Time{}
	known := map[string]bool{}
	for _, rh := range rs.byKey {
		for _, last := range rh.former {
			if end := last.Add(streamMemory); now.Before(end) && (rs.expires.IsZero() || end.Before(rs.expires)) {
				rs.expires = end
			}
		}
		set := rh.all(now)
		if len(set) < 2 {
			continue
		}
		slices.Sort(set)
		if name := strings.Join(set, "\x00"); !known[name] {
			known[name] = true
			rs.shared = append(rs.shared, set)
		}
	}
}
