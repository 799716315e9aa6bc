package orderer

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Want is a copy of a model that a backend server should hold.
type Want struct {
	accountant.Copy
	bytes int64
}

// NewWant returns the wish for a copy that takes that many bytes.
func NewWant(model, version string, bytes int64) Want {
	return Want{accountant.NewCopy(model, version), bytes}
}

// Bytes returns the memory that the copy takes.
func (wn Want) Bytes() int64 { return wn.bytes }

// Goal is what one backend server should come to.
type Goal struct {
	server         string
	address        string
	limit          int64
	adapterReserve int64
	adapterBytes   int64
	checksFencing  bool
	countsOrders   bool
	bound          time.Duration
	role           string
	roleBytes      int64
	wants          []Want
	minReplicas    map[string]int
}

// Server returns the name of the backend server.
func (gl *Goal) Server() string { return gl.server }

// Goals makes the goals of one configuration.
type Goals struct {
	settings     *configurer.Settings
	adapterBytes int64
	minReplicas  map[string]int
}

// NewGoals returns the goals of the settings. They share what does not depend
// on the server.
func NewGoals(st *configurer.Settings) *Goals {
	gs := &Goals{settings: st, minReplicas: map[string]int{}}
	for _, ad := range st.Adapters() {
		gs.adapterBytes = max(gs.adapterBytes, ad.Memory())
	}
	for _, md := range st.Models() {
		gs.minReplicas[md.Name()] = md.MinReplicas()
	}
	return gs
}

// Settings returns the settings that the goals are of.
func (gs *Goals) Settings() *configurer.Settings { return gs.settings }

// GoalOf returns the goal of a server that should hold the models named.
func GoalOf(st *configurer.Settings, bs *configurer.BackendServer, models []string) *Goal {
	return NewGoals(st).Of(bs, models)
}

// Of returns the goal of a server that should hold the models named.
func (gs *Goals) Of(bs *configurer.BackendServer, models []string) *Goal {
	st := gs.settings
	gl := &Goal{
		server:         bs.Name(),
		address:        bs.Address(),
		limit:          bs.Memory() - bs.AdapterReserve(),
		adapterReserve: bs.AdapterReserve(),
		role:           string(bs.Role()),
		roleBytes:      bs.CacheReserve(),
		adapterBytes:   gs.adapterBytes,
		minReplicas:    gs.minReplicas,
	}
	if ek, ok := st.EngineKind(bs.Kind()); ok {
		gl.checksFencing = ek.ChecksFencing()
		gl.countsOrders = ek.CountsOrders()
		gl.bound = ek.LateOrderBound()
		if !ek.TakesRoles() {
			gl.role = ""
		}
	}
	for _, name := range models {
		if md, ok := st.Model(name); ok {
			gl.wants = append(gl.wants, NewWant(name, md.Version(), md.Memory()))
		}
	}
	return gl
}

// want returns the copy of the model that the server should hold.
func (gl *Goal) want(model string) (Want, bool) {
	for _, wn := range gl.wants {
		if wn.Model() == model {
			return wn, true
		}
	}
	return Want{}, false
}

// wantsCopy reports whether the server should hold just that copy.
func (gl *Goal) wantsCopy(cp accountant.Copy) bool {
	wn, ok := gl.want(cp.Model())
	return ok && wn.Copy == cp
}

// lateBound returns the bound that the sender of an order has to keep.
func (gl *Goal) lateBound() time.Duration {
	if gl.checksFencing {
		return 0
	}
	return gl.bound
}
