// Package configurer reads the operators' settings: a folder of INI files,
// merged in the order of their names, section by section and key by key.
//
// # Usage
//
//	st, faults := configurer.ReadFolder("examples/qurum")
//	for _, ft := range faults {
//		fmt.Println(ft)
//	}
//	md, ok := st.Model("route-summary")
//
// Sections are named kind.name, as in [model.route-summary]; sections without
// a name, such as [limits], occur once. Every fault names its file, line and
// key, what was found and what is allowed.
package configurer

import (
	"fmt"
	"sort"
)

// Fault is one mistake in the settings.
type Fault struct {
	// File is the name of the file within the folder.
	File string
	// Line counts from one; zero means the file as a whole.
	Line int
	// Section is the section's full name.
	Section string
	// Key is the key, or empty if the section as a whole is at fault.
	Key string
	// Found is the text that was read.
	Found string
	// Allowed says what may stand there.
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

// Settings is one checked configuration. It is never changed after it was
// read, so that it may be shared between goroutines.
type Settings struct {
	models   map[string]*Model
	adapters map[string]*Adapter
	callers  map[string]*Caller
	classes  map[string]*Class
	kinds    map[string]*EngineKind
	servers  map[string]*BackendServer
	services map[string]*Service
	pools    map[string]*Pool
	routes   map[string]*Route
	limits   *Limits
	records  *Records
	retries  *Retries
	timeouts *Timeouts
	planning *Planning
	sections map[string]*section
	inOrder  lists
}

// lists holds the named sections in the order of their names. They are shared
// by all users of the settings and may not be changed.
type lists struct {
	models   []*Model
	adapters []*Adapter
	callers  []*Caller
	classes  []*Class
	servers  []*BackendServer
	services []*Service
	pools    []*Pool
	routes   []*Route
}

// sort fills the lists once all sections are read.
func (st *Settings) sort() {
	st.inOrder = lists{
		models:   ordered(st.models),
		adapters: ordered(st.adapters),
		callers:  ordered(st.callers),
		classes:  ordered(st.classes),
		servers:  ordered(st.servers),
		services: ordered(st.services),
		pools:    ordered(st.pools),
		routes:   ordered(st.routes),
	}
}

// Place returns the file and line in which a key was written last, or those of
// its section.
func (st *Settings) Place(section, key string) (file string, line int) {
	sc, ok := st.sections[section]
	if !ok {
		return "", 0
	}
	if en, ok := sc.keys[key]; ok {
		return en.file, en.line
	}
	return sc.file, sc.line
}

// Model returns the model of that name.
func (st *Settings) Model(name string) (*Model, bool) { return lookup(st.models, name) }

// Models returns all models in the order of their names.
func (st *Settings) Models() []*Model { return st.inOrder.models }

// Adapter returns the adapter of that name.
func (st *Settings) Adapter(name string) (*Adapter, bool) { return lookup(st.adapters, name) }

// Adapters returns all adapters in the order of their names.
func (st *Settings) Adapters() []*Adapter { return st.inOrder.adapters }

// Caller returns the caller of that name.
func (st *Settings) Caller(name string) (*Caller, bool) { return lookup(st.callers, name) }

// Callers returns all callers in the order of their names.
func (st *Settings) Callers() []*Caller { return st.inOrder.callers }

// Class returns the priority class of that name.
func (st *Settings) Class(name string) (*Class, bool) { return lookup(st.classes, name) }

// Classes returns all priority classes in the order of their names.
func (st *Settings) Classes() []*Class { return st.inOrder.classes }

// EngineKind returns the kind of backend server of that name.
func (st *Settings) EngineKind(name string) (*EngineKind, bool) { return lookup(st.kinds, name) }

// BackendServer returns the backend server of that name.
func (st *Settings) BackendServer(name string) (*BackendServer, bool) {
	return lookup(st.servers, name)
}

// BackendServers returns all backend servers in the order of their names.
func (st *Settings) BackendServers() []*BackendServer { return st.inOrder.servers }

// Service returns the plain service of that name.
func (st *Settings) Service(name string) (*Service, bool) { return lookup(st.services, name) }

// Services returns all plain services in the order of their names.
func (st *Settings) Services() []*Service { return st.inOrder.services }

// Pool returns the pool of that name.
func (st *Settings) Pool(name string) (*Pool, bool) { return lookup(st.pools, name) }

// Pools returns all pools in the order of their names.
func (st *Settings) Pools() []*Pool { return st.inOrder.pools }

// Routes returns all routes in the order of their names.
func (st *Settings) Routes() []*Route { return st.inOrder.routes }

// Limits returns what all nodes share.
func (st *Settings) Limits() *Limits { return st.limits }

// Records returns the settings of the at-most-once record.
func (st *Settings) Records() *Records { return st.records }

// Retries returns the settings of retries.
func (st *Settings) Retries() *Retries { return st.retries }

// Timeouts returns the detection times.
func (st *Settings) Timeouts() *Timeouts { return st.timeouts }

// Planning returns the weights of placement.
func (st *Settings) Planning() *Planning { return st.planning }

func lookup[T any](all map[string]T, name string) (T, bool) {
	found, ok := all[name]
	return found, ok
}

func ordered[T any](all map[string]T) []T {
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
