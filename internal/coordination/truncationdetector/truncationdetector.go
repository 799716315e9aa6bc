// Package truncationdetector tells complete answers from truncated ones where only the end
// of the connection ends an answer. Without a length or chunks, an answer that its server has
// written to the end looks like one whose process ended in the middle of it.
//
// An answer is truncated if the process that wrote it has ended unexpectedly. The address of
// a process that has ended refuses connections, until a later process listens there. By the
// time at which the end of an answer arrives, that may be so: a network path that was cut
// delivers it seconds late. The detector therefore asks first what has become of the process,
// and then the address.
//
// # Usage
//
//	dt := truncationdetector.New(fw.Refuses, truncationdetector.WithState(state))
//	...                       // the answer has neither a length nor chunks, and has ended
//	if dt.Truncated(ctx, truncationdetector.Answer{ID: id, Process: process, Address: address}) {
//		...               // the caller must not take it for a complete one
//	}
package truncationdetector

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/coordination/versionkeeper"
	"github.com/lagoonpass/lagoonpass/internal/counter"
)

// askTimeout bounds the questions to the server. An address that is silent for as long is cut
// off or overloaded, and its process has not ended.
const askTimeout = 250 * time.Millisecond

// State is what a node knows of a process.
type State int

// The states of a process.
const (
	// Running means that the process is the last known one of its server.
	Running State = iota
	// Replaced means that a later process has the name or the address of its server.
	Replaced
)

// String returns the state in kebab case.
func (st State) String() string {
	return map[State]string{Running: "running", Replaced: "replaced"}[st]
}

// Answer is an answer that ended with its connection.
type Answer struct {
	// ID is that of the request.
	ID string
	// Process is the process to which the request was sent, at the address.
	Process versionkeeper.Process
	Address string
}

// Detector judges the answers of backend servers. It is safe for concurrent use.
type Detector struct {
	refuses  func(ctx context.Context, address string) bool
	state    func(ctx context.Context, pr versionkeeper.Process, address string) State
	registry *counter.Registry
}

// Option configures a Detector.
type Option func(*Detector)

// WithState sets the function that returns what is known of the process at the address. By
// default all processes are Running.
func WithState(state func(ctx context.Context, pr versionkeeper.Process, address string) State) Option {
	return func(dt *Detector) { dt.state = state }
}

// WithRegistry sets the registry that counts truncated answers.
func WithRegistry(rg *counter.Registry) Option { return func(dt *Detector) { dt.registry = rg } }

// New returns a detector. The function refuses reports whether an address refuses
// connections; it returns false if the address accepts one or does not answer.
func New(refuses func(ctx context.Context, address string) bool, opts ...Option) *Detector {
	dt := &Detector{
		refuses: refuses,
		state:   func(context.Context, versionkeeper.Process, string) State { return Running },
	}
	for _, opt := range opts {
		opt(dt)
	}
	return dt
}

// Truncated reports whether the answer, which has just ended, may lack its end.
func (dt *Detector) Truncated(ctx context.Context, an Answer) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	state := dt.state(ctx, an.Process, an.Address)
	if state != Replaced && !dt.refuses(ctx, an.Address) {
		return false
	}
	dt.registry.Inc("truncated", state.String())
	log.WithFields(log.Fields{"request": an.ID, "server": an.Process.Server, "address": an.Address, "incarnation": an.Process.Incarnation, "process": state.String()}).
		Info("answer ended with its connection and may lack its end")
	return true
}
