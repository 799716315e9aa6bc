// Package accountant keeps the memory ledger of one backend server: the loaded
// copies, the intended copies and the orders that may still arrive. It does no
// I/O; the owner of the ledger writes the encoded ledger to the platform's
// store before it sends an order.
//
// Memory stays reserved for every copy of a model that is loaded, being
// loaded or being unloaded, and for every copy that an earlier order may still
// load. An attempt is one sending of one order. It ends in one of four ways:
// the engine answers; the order provably was not sent; the engine refuses it
// because of a newer fencing number or another boot id; or the late-order
// bound passes after the current owner first saw it.
//
// # Usage
//
//	lg, err := accountant.Decode(value, now)
//	lg.TakeOver("n1", now)
//	if lg.Fits(limit, cp, bytes) {
//		at := lg.Begin(accountant.Load, cp, bytes, now)
//		// Write lg.Encode() to the store, then send the order.
//		lg.MarkExecuted(at.Fence())
//	}
package accountant

import "time"

// Action is the effect of an order on the memory of a backend server.
type Action string

// The actions.
const (
	// Load brings a copy of a model into memory.
	Load Action = "load-model"
	// Unload takes a copy of a model out of memory.
	Unload Action = "unload-model"
	// SetRole changes the role and with it the memory reserved for KV cache.
	SetRole Action = "set-role"
)

// State is the progress of an entry of the ledger.
type State uint8

// The states of an entry.
const (
	// IntendedLoad means that a load is recorded but not confirmed.
	IntendedLoad State = iota + 1
	// Loaded means that the engine confirmed the load.
	Loaded
	// IntendedUnload means that an unload is recorded but not confirmed.
	IntendedUnload
)

// Copy is one version of a model. Each copy has memory of its own.
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

// Entry is one copy that uses memory or may use it.
type Entry struct {
	Copy
	bytes int64
	state State
}

// Bytes returns the memory of the copy in bytes.
func (en Entry) Bytes() int64 { return en.bytes }

// State returns the progress of the copy.
func (en Entry) State() State { return en.state }

// Attempt is one sending of an order whose outcome is unknown. Its fencing
// number is unique on its server.
type Attempt struct {
	Copy
	fence     int64
	action    Action
	bytes     int64     // most memory that the order may take
	boot      string    // boot id of the target engine; empty if unknown
	firstSeen time.Time // when the current owner first saw the attempt
}

// Fence returns the fencing number of the order.
func (at Attempt) Fence() int64 { return at.fence }

// Action returns the action of the order.
func (at Attempt) Action() Action { return at.action }

// Bytes returns the most memory, in bytes, that the order may take.
func (at Attempt) Bytes() int64 { return at.bytes }

// Boot returns the boot id of the target engine.
func (at Attempt) Boot() string { return at.boot }

// Resident is a copy that an engine reports to have in memory.
type Resident struct {
	Copy
	bytes int64
	ready bool // the copy serves requests
}

// NewResident returns an engine's report on a copy.
func NewResident(cp Copy, bytes int64, ready bool) Resident { return Resident{cp, bytes, ready} }

// Ready reports whether the copy serves requests.
func (rs Resident) Ready() bool { return rs.ready }
