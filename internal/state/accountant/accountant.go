// Package accountant keeps the memory ledger of one backend server: what is
// loaded, what is meant to be, and which orders may still arrive there. It
// only computes; its owner writes the encoded ledger to the platform's store
// before it sends an order.
//
// Memory stays reserved for every copy of a model that is loaded, being
// loaded or being unloaded, and for every copy that an order sent earlier may
// still load. An attempt, which is one sending of one order, ends when the
// engine answered it, when it provably was not sent, when a newer fencing
// number or another boot id makes an engine refuse it, or when the late-order
// bound has passed since the present owner first saw it.
//
// # Usage
//
//	lg, err := accountant.Decode(value, now)
//	lg.TakeOver("n1", batch, now)
//	if lg.Fits(limit, cp, bytes) {
//		at := lg.Begin(accountant.Load, cp, bytes, now)
//		... write lg.Encode(), then send the order ...
//		lg.Answered(at.Fence())
//	}
package accountant

import "time"

// Action is what an order does to the memory of a backend server.
type Action string

// The actions.
const (
	// Load brings a copy of a model into memory.
	Load Action = "load-model"
	// Unload takes a copy of a model out of memory.
	Unload Action = "unload-model"
	// SetRole changes the role and so the memory kept for KV cache.
	SetRole Action = "set-role"
)

// State is how far an entry of the ledger is.
type State uint8

// The states of an entry.
const (
	// IntendedLoad means that a load was recorded and is not confirmed.
	IntendedLoad State = iota + 1
	// Loaded means that the engine confirmed the load.
	Loaded
	// IntendedUnload means that an unload was recorded and is not confirmed.
	IntendedUnload
)

// Copy is one version of a model, which holds memory of its own.
type Copy struct {
	model   string
	version string
}

// NewCopy returns the copy of a version of a model.
func NewCopy(model, version string) Copy { return Copy{model, version} }

// Model returns the name of the model.
func (cp Copy) Model() string { return cp.model }

// Version returns the version of the weights.
func (cp Copy) Version() string { return cp.version }

// Entry is one copy that holds or may hold memory.
type Entry struct {
	Copy
	bytes int64
	state State
}

// Bytes returns the memory that the copy takes.
func (en Entry) Bytes() int64 { return en.bytes }

// State returns how far the copy is.
func (en Entry) State() State { return en.state }

// Attempt is one sending of an order whose outcome is unknown. Its fencing
// number is unique on its server.
type Attempt struct {
	Copy
	fence  int64
	action Action
	bytes  int64
	boot   string
	seen   time.Time
}

// Fence returns the fencing number of the order.
func (at Attempt) Fence() int64 { return at.fence }

// Action returns what the order does.
func (at Attempt) Action() Action { return at.action }

// Bytes returns the memory that the order may take.
func (at Attempt) Bytes() int64 { return at.bytes }

// Boot returns the boot id of the engine that the order is meant for.
func (at Attempt) Boot() string { return at.boot }

// Resident is a copy that an engine says is in its memory.
type Resident struct {
	Copy
	bytes int64
	ready bool
}

// NewResident returns what an engine says of a copy.
func NewResident(cp Copy, bytes int64, ready bool) Resident { return Resident{cp, bytes, ready} }

// Ready reports whether the copy serves requests.
func (rs Resident) Ready() bool { return rs.ready }
