package planner

// Reason is why a pass added a replica.
type Reason string

// The reasons of changes.
const (
	// ReasonMissing means that the model had fewer replicas than it needs to be
	// served.
	ReasonMissing Reason = "missing"
	// ReasonAtRisk means that all replicas of the model were on servers that may not
	// serve, such as those that are down.
	ReasonAtRisk Reason = "at-risk"
	// ReasonSpare means that the model had no replica to lose.
	ReasonSpare Reason = "spare"
	// ReasonZone means that all replicas of the model were in one zone.
	ReasonZone Reason = "zone"
	// ReasonDemand means that the model's replicas could not serve its demand.
	ReasonDemand Reason = "demand"
	// ReasonEven means that each replica of the model carried several times the
	// demand of another model's.
	ReasonEven Reason = "even"
)

// Change is a replica that a pass added.
type Change struct {
	model   string
	server  string
	reason  Reason
	evicted []string
}

// Model returns the name of the model that got the replica.
func (ch Change) Model() string { return ch.model }

// Server returns the name of the backend server of the replica.
func (ch Change) Server() string { return ch.server }

// Reason returns why the replica was added.
func (ch Change) Reason() Reason { return ch.reason }

// Evicted returns the names of the models whose replicas on the server made
// room.
func (ch Change) Evicted() []string { return ch.evicted }

// Changes returns the replicas that the last pass added.
func (pl *Planner) Changes() []Change { return pl.changes }

// addReplica evicts the victims' replicas on the server and places a replica of
// the model there.
func (wk *workspace) addReplica(mi, si int, reason Reason, victims []int) {
	ch := Change{model: wk.models[mi].name, server: wk.servers[si].name, reason: reason}
	for _, victim := range victims {
		ch.evicted = append(ch.evicted, wk.models[victim].name)
	}
	wk.changes = append(wk.changes, ch)
	wk.evict(victims, si)
	wk.place(mi, si)
}
