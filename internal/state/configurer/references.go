package configurer

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// heartbeatsPerPeerSilence is the minimum number of heartbeats within
// peer-silence, after which a connection is closed.
const heartbeatsPerPeerSilence = 3

// checkReferences adds a fault for each value that is invalid in combination
// with other keys or sections.
func (rd *reader) checkReferences(st *Settings) {
	for _, ad := range st.Adapters() {
		rd.check("adapter."+ad.name, "model", ad.model, st.models[ad.model] != nil, "a configured model")
	}
	for _, md := range st.Models() {
		rd.checkReplicas(md)
	}
	rd.checkServers(st)
	rd.checkCallers(st)
	rd.checkServices(st)
	rd.checkPools(st)
	rd.checkRoutes(st)
	rd.checkTimeouts(st)
}

// checkPools checks the engine kinds of pools and the pools of models.
func (rd *reader) checkPools(st *Settings) {
	for _, po := range st.Pools() {
		rd.check("pool."+po.name, "kind", po.kind, po.kind == "" || st.kinds[po.kind] != nil, "a configured engine kind")
	}
	for _, md := range st.Models() {
		rd.check("model."+md.name, "pool", md.pool, md.pool == "" || st.pools[md.pool] != nil, "a configured pool")
	}
}

func (rd *reader) checkRoutes(st *Settings) {
	for _, rt := range st.Routes() {
		section := "route." + rt.name
		rd.check(section, "class", rt.class, st.classes[rt.class] != nil, "a configured class")
		valid := strings.HasPrefix(rt.prefix, "/") && strings.HasSuffix(rt.prefix, "/")
		rd.check(section, "prefix", rt.prefix, valid, "a path that begins and ends with /")
		for _, text := range rt.pools {
			wp, ok := parseWeightedPool(text)
			rd.check(section, "pools", text, ok && st.pools[wp.pool] != nil, "configured pools, each as name or name:weight")
		}
	}
}

func (rd *reader) checkReplicas(md *Model) {
	if md.maxReplicas == 0 || md.maxReplicas >= md.minReplicas {
		return
	}
	allowed := fmt.Sprintf("0, or min-replicas %d and more", md.minReplicas)
	rd.fault(rd.sections["model."+md.name], "max-replicas", fmt.Sprint(md.maxReplicas), allowed)
}

func (rd *reader) checkServers(st *Settings) {
	serverAt := map[string]string{}
	for _, bs := range st.BackendServers() {
		section := "backend-server." + bs.name
		rd.check(section, "kind", bs.kind, st.kinds[bs.kind] != nil, "a configured engine kind")
		rd.checkReserves(bs)
		other := serverAt[bs.address]
		rd.check(section, "address", bs.address, other == "", "an address of its own; it is that of "+other)
		serverAt[bs.address] = bs.name
	}
}

// checkReserves requires that the reserves leave memory for weights.
func (rd *reader) checkReserves(bs *BackendServer) {
	if bs.WeightMemory() > 0 {
		return
	}
	sum := fmt.Sprintf("%s + %s", formatBytes(bs.cacheReserve), formatBytes(bs.adapterReserve))
	allowed := "cache-reserve + adapter-reserve below memory " + formatBytes(bs.memory)
	rd.fault(rd.sections["backend-server."+bs.name], "cache-reserve", sum, allowed)
}

func (rd *reader) checkCallers(st *Settings) {
	callerOf := map[string]string{}
	models, adapters := namesOf(st.models), namesOf(st.adapters)
	services, classes := namesOf(st.services), namesOf(st.classes)
	for _, cr := range st.Callers() {
		section := "caller." + cr.name
		for _, hash := range cr.keyHashes {
			other := callerOf[hash]
			rd.check(section, "key-sha256", hash, other == "", "a key of its own; it is that of "+other)
			callerOf[hash] = cr.name
		}
		rd.checkPatterns(section, "models", cr.models, models)
		rd.checkPatterns(section, "adapters", cr.adapters, adapters)
		rd.checkPatterns(section, "services", cr.services, services)
		rd.checkPatterns(section, "classes", cr.classes, classes)
		rd.checkDefaultClass(st, cr)
	}
}

func (rd *reader) checkDefaultClass(st *Settings, cr *Caller) {
	if cr.defaultClass == "" {
		return
	}
	section := "caller." + cr.name
	rd.check(section, "default-class", cr.defaultClass, st.classes[cr.defaultClass] != nil, "a configured class")
	if st.classes[cr.defaultClass] != nil {
		ok := Permitted(cr.classes, cr.defaultClass)
		rd.check(section, "default-class", cr.defaultClass, ok, "one of the caller's classes "+strings.Join(cr.classes, ", "))
	}
}

// checkPatterns adds a fault for each pattern that matches no name, except *.
func (rd *reader) checkPatterns(section, key string, patterns, names []string) {
	for _, pattern := range patterns {
		matches := pattern == "*"
		for _, name := range names {
			matches = matches || Permitted([]string{pattern}, name)
		}
		if !matches {
			rd.check(section, key, pattern, false, "a name that is configured, or a prefix of one with *"+NearestHint(pattern, names))
		}
	}
}

func (rd *reader) checkServices(st *Settings) {
	for _, sv := range st.Services() {
		for _, call := range sv.nonRepeatable {
			method, path, found := strings.Cut(call, " ")
			ok := found && strings.ToUpper(method) == method && strings.HasPrefix(path, "/")
			rd.check("service."+sv.name, "non-repeatable", call, ok, "METHOD /path, * at the end for a prefix")
		}
	}
}

// checkTimeouts requires that each failure is detected before the leases and
// deadlines that depend on the detection expire.
func (rd *reader) checkTimeouts(st *Settings) {
	to := st.timeouts
	rd.checkBelow("peer-silence", to.peerSilence, "lease-lifetime", to.leaseLifetime)
	rd.checkHeartbeat(to)
	rd.checkBelow("engine-silence", to.engineSilence, "lease-lifetime", to.leaseLifetime)
	rd.checkAtLeast("drain", to.drain, "address-answer-lifetime", st.limits.addressAnswerLifetime)
	for _, cs := range st.Classes() {
		section := rd.sections["class."+cs.name]
		if to.engineSilence >= cs.deadline {
			rd.fault(section, "deadline", cs.deadline.String(), "more than engine-silence "+to.engineSilence.String())
		}
		if cs.firstToken >= cs.deadline {
			rd.fault(section, "first-token", cs.firstToken.String(), "less than deadline "+cs.deadline.String())
		}
	}
}

func (rd *reader) checkHeartbeat(to *Timeouts) {
	if heartbeatsPerPeerSilence*to.heartbeat > to.peerSilence {
		allowed := fmt.Sprintf("at most a third of peer-silence %s", to.peerSilence)
		rd.fault(rd.sections["timeouts"], "heartbeat", to.heartbeat.String(), allowed)
	}
}

// checkBelow requires that the duration found is less than the limit, which is
// the value of the key other.
func (rd *reader) checkBelow(key string, found time.Duration, other string, limit time.Duration) {
	if found >= limit {
		allowed := fmt.Sprintf("a time that is found out before %s %s ends", other, limit)
		rd.fault(rd.sections["timeouts"], key, found.String(), allowed)
	}
}

// checkAtLeast requires that the duration found is not less than the limit,
// which is the value of the key other.
func (rd *reader) checkAtLeast(key string, found time.Duration, other string, limit time.Duration) {
	if found < limit {
		rd.fault(rd.sections["timeouts"], key, found.String(), "at least "+other+" "+limit.String())
	}
}

// check adds a fault unless ok.
func (rd *reader) check(section, key, found string, ok bool, allowed string) {
	if !ok {
		rd.fault(rd.sections[section], key, found, allowed)
	}
}

// namesOf returns the keys of the map, sorted.
func namesOf[T any](all map[string]T) []string {
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Permitted reports whether the name matches one of the patterns. A pattern is
// a name, or a prefix followed by *.
func Permitted(patterns []string, name string) bool {
	for _, pattern := range patterns {
		prefix, isPrefix := strings.CutSuffix(pattern, "*")
		if pattern == name || isPrefix && strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}
