package orderer

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// DesiredCopy is a copy of a model that a backend server should hold in memory.
type DesiredCopy struct {
	accountant.Copy
	bytes int64
}

// NewDesiredCopy returns a desired copy that takes the given number of bytes.
func NewDesiredCopy(model, version string, bytes int64) DesiredCopy {
	return DesiredCopy{accountant.NewCopy(model, version), bytes}
}

// Bytes returns the memory that the copy takes, in bytes.
func (dc DesiredCopy) Bytes() int64 { return dc.bytes }

// Goal is the desired state of one backend server.
type Goal struct {
	server         string
	address        string
	limit          int64         // bytes for models and the role
	adapterReserve int64         // bytes reserved for adapters
	adapterBytes   int64         // bytes of the largest adapter
	checksFencing  bool          // the engine refuses old fencing numbers
	countsOrders   bool          // the engine accepts an order only with its current order count
	lateOrderBound time.Duration // longest delay of an order; 0 if unknown
	role           string        // empty if the engine takes no roles
	roleBytes      int64         // bytes that the role reserves
	desired        []DesiredCopy
	minReplicas    map[string]int // by model
}

// Server returns the name of the backend server.
func (gl *Goal) Server() string { return gl.server }

// Goals makes the goals for the servers of one configuration.
type Goals struct {
	settings     *configurer.Settings
	adapterBytes int64          // bytes of the largest adapter
	minReplicas  map[string]int // by model
}

// NewGoals returns the goals for the settings. The goals share the values that
// do not depend on the server.
func NewGoals(st *configurer.Settings) *Goals {
	gs := &Goals{settings: st, minReplicas: map[string]int{}}
	for _, ad := range st.Adapters() {
		gs.adapterBytes = max(gs.adapterBytes, ad.Memory())
	}
	// Where idle models yield, the plan decides about last replicas as well.
	if !st.Planning().IdleModelsYield() {
		for _, md := range st.Models() {
			gs.minReplicas[md.Name()] = md.MinReplicas()
		}
	}
	return gs
}

// Settings returns the settings from which the goals are made.
func (gs *Goals) Settings() *configurer.Settings { return gs.settings }

// GoalOf returns the goal of a server that should hold the named models.
func GoalOf(st *configurer.Settings, bs *configurer.BackendServer, models []string) *Goal {
	return NewGoals(st).Of(bs, models)
}

// Of returns the goal of a server that should hold the named models. It ignores
// names that are not in the settings.
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
		gl.lateOrderBound = ek.LateOrderBound()
		if !ek.AcceptsRoleOrders() {
			gl.role = ""
		}
	}
	for _, name := range models {
		if md, ok := st.Model(name); ok {
			gl.desired = append(gl.desired, NewDesiredCopy(name, md.Version(), md.Memory()))
		}
	}
	return gl
}

// desiredCopy returns the copy of the model that the server should hold, and
// false if it should hold none.
func (gl *Goal) desiredCopy(model string) (DesiredCopy, bool) {
	for _, dc := range gl.desired {
		if dc.Model() == model {
			return dc, true
		}
	}
	return DesiredCopy{}, false
}

// desires reports whether the server should hold exactly this copy.
func (gl *Goal) desires(cp accountant.Copy) bool {
	dc, ok := gl.desiredCopy(cp.Model())
	return ok && dc.Copy == cp
}

// senderBound returns the late-order bound that the sender of an order must
// observe, or 0 if the engine checks fencing numbers.
func (gl *Goal) senderBound() time.Duration {
	if gl.checksFencing {
		return 0
	}
	return gl.lateOrderBound
}
