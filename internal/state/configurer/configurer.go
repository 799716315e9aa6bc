// Package configurer parses the operators' settings: a folder of INI files,
// merged in the order of their names, section by section and key by key.
//
// # Usage
//
//	st, faults, err := configurer.ReadFolder("examples/qurum")
//	if err != nil {
//		return err
//	}
//	for _, ft := range faults {
//		fmt.Println(ft)
//	}
//	md, ok := st.Model("route-summary")
//
// Sections are named kind.name, as in [model.route-summary]; sections without
// a name, such as [limits], occur once. Every fault gives its file, line and
// key, the value found and the values allowed.
package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"
)

// Fault is one invalid section, key or value of the settings.
type Fault struct {
	// File is the name of the file within the folder, or empty if the invalid
	// value is a default.
	File string
	// Line is the line number, from one; zero means the file as a whole.
	Line int
	// Section is the section's full name.
	Section string
	// Key is the key, or empty if the fault concerns the whole section.
	Key string
	// Found is the invalid text.
	Found string
	// Allowed describes the valid texts.
	Allowed string
}

// Error implements error.
func (ft Fault) Error() string {
	where := fmt.Sprintf("%s:%d", ft.File, ft.Line)
	if ft.File == "" {
		where = "defaults"
	}
	if ft.Section != "" {
		where += ": [" + ft.Section + "]"
	}
	if ft.Key != "" {
		where += " " + ft.Key
	}
	return fmt.Sprintf("%s: found %q; allowed: %s", where, ft.Found, ft.Allowed)
}

// Settings is one valid configuration. It is immutable, so goroutines may share
// it.
type Settings struct {
	models   map[string]*Model
	adapters map[string]*Adapter
	callers  map[string]*Caller
	classes  map[string]*Class
	kinds    map[string]*EngineKind // engine kinds
	servers  map[string]*BackendServer
	services map[string]*Service
	pools    map[string]*Pool
	routes   map[string]*Route
	limits   *Limits
	records  *Records
	retries  *Retries
	timeouts *Timeouts
	planning *Planning
	sections map[string]*section // merged sections by full name
	sorted   sortedLists
	// byKeyHash holds the callers by the SHA-256 of each of their API keys.
	byKeyHash map[[sha256.Size]byte]*Caller
}

// sortedLists holds the named sections sorted by name. All users of the
// settings share these slices, so they must not modify them.
type sortedLists struct {
	models   []*Model
	adapters []*Adapter
	callers  []*Caller
	classes  []*Class
	servers  []*BackendServer
	services []*Service
	pools    []*Pool
	routes   []*Route
}

// sort fills st.sorted after all sections are parsed.
func (st *Settings) sort() {
	st.sorted = sortedLists{
		models:   sortedByName(st.models),
		adapters: sortedByName(st.adapters),
		callers:  sortedByName(st.callers),
		classes:  sortedByName(st.classes),
		servers:  sortedByName(st.servers),
		services: sortedByName(st.services),
		pools:    sortedByName(st.pools),
		routes:   sortedByName(st.routes),
	}
	st.byKeyHash = map[[sha256.Size]byte]*Caller{}
	for _, cr := range st.sorted.callers {
		for _, text := range cr.keyHashes {
			var hash [sha256.Size]byte
			if _, err := hex.Decode(hash[:], []byte(text)); err == nil {
				st.byKeyHash[hash] = cr
			}
		}
	}
}

// Position returns the file and line that set a key's value, or those of the
// section if no file sets the key. It returns "" and 0 if no file has the
// section.
func (st *Settings) Position(section, key string) (file string, line int) {
	sc, ok := st.sections[section]
	if !ok {
		return "", 0
	}
	if en, ok := sc.keys[key]; ok {
		return en.file, en.line
	}
	return sc.file, sc.line
}

// Model returns the model with the name.
func (st *Settings) Model(name string) (*Model, bool) { return lookup(st.models, name) }

// Models returns all models, sorted by name.
func (st *Settings) Models() []*Model { return st.sorted.models }

// Adapter returns the adapter with the name.
func (st *Settings) Adapter(name string) (*Adapter, bool) { return lookup(st.adapters, name) }

// Adapters returns all adapters, sorted by name.
func (st *Settings) Adapters() []*Adapter { return st.sorted.adapters }

// Caller returns the caller with the name.
func (st *Settings) Caller(name string) (*Caller, bool) { return lookup(st.callers, name) }

// CallerByKey returns the caller to whom the API key belongs. It looks the key up by
// its hash, so that the time it takes tells nothing about the keys of others.
func (st *Settings) CallerByKey(key string) (*Caller, bool) {
	cr, ok := st.byKeyHash[sha256.Sum256([]byte(key))]
	return cr, ok
}

// ClassOf returns the class by which the caller's requests of a class are served: if the
// caller has a rank of its own, the one with that rank and the same target for the first
// token, or the class itself if there is none that the caller may use.
func (st *Settings) ClassOf(cr *Caller, cs *Class) *Class {
	rank, ok := cr.Rank()
	if !ok || rank == cs.rank {
		return cs
	}
	for _, other := range st.sorted.classes {
		if other.rank == rank && other.firstToken == cs.firstToken && Permitted(cr.classes, other.name) {
			return other
		}
	}
	return cs
}

// Callers returns all callers, sorted by name.
func (st *Settings) Callers() []*Caller { return st.sorted.callers }

// Class returns the priority class with the name.
func (st *Settings) Class(name string) (*Class, bool) { return lookup(st.classes, name) }

// Classes returns all priority classes, sorted by name.
func (st *Settings) Classes() []*Class { return st.sorted.classes }

// EngineKind returns the kind of backend server with the name.
func (st *Settings) EngineKind(name string) (*EngineKind, bool) { return lookup(st.kinds, name) }

// BackendServer returns the backend server with the name.
func (st *Settings) BackendServer(name string) (*BackendServer, bool) {
	return lookup(st.servers, name)
}

// BackendServers returns all backend servers, sorted by name.
func (st *Settings) BackendServers() []*BackendServer { return st.sorted.servers }

// Service returns the plain service with the name.
func (st *Settings) Service(name string) (*Service, bool) { return lookup(st.services, name) }

// Services returns all plain services, sorted by name.
func (st *Settings) Services() []*Service { return st.sorted.services }

// Pool returns the pool with the name.
func (st *Settings) Pool(name string) (*Pool, bool) { return lookup(st.pools, name) }

// Pools returns all pools, sorted by name.
func (st *Settings) Pools() []*Pool { return st.sorted.pools }

// Routes returns all routes, sorted by name.
func (st *Settings) Routes() []*Route { return st.sorted.routes }

// Limits returns the limits of the entry nodes.
func (st *Settings) Limits() *Limits { return st.limits }

// Records returns the settings of at-most-once records and of jobs.
func (st *Settings) Records() *Records { return st.records }

// Retries returns the settings of retries.
func (st *Settings) Retries() *Retries { return st.retries }

// Timeouts returns the timeouts of failure detection, leases and drains.
func (st *Settings) Timeouts() *Timeouts { return st.timeouts }

// Planning returns the settings of model placement.
func (st *Settings) Planning() *Planning { return st.planning }

func lookup[T any](all map[string]T, name string) (T, bool) {
	found, ok := all[name]
	return found, ok
}

func sortedByName[T any](all map[string]T) []T {
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	out := make([]T, 0, len(all))
	for _, name := range names {
		out = append(out, all[name])
	}
	return out
}
