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
// A server that leaves as planned closes its listener and then ends what it runs, so that its
// address refuses connections as well. Its answers end one by one, while a process that ends
// takes all its connections with it. Of such a server an answer is truncated only if others
// broke off together with it and none goes on.
//
// # Usage
//
//	dt := truncationdetector.New(fw.Refuses, truncationdetector.WithState(state))
//	an := dt.Begin("id7", process, "127.0.0.1:9000") // the request is about to be sent
//	defer an.End()
//	an.Heard()                // at each piece of the answer
//	...                       // the answer has neither a length nor chunks, and has ended
//	if an.Truncated(ctx) {
//		...               // the caller must not take it for a complete one
//	}
package truncationdetector

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/coordination/versionkeeper"
	"github.com/lagoonpass/lagoonpass/internal/counter"
)

const (
	// askTimeout bounds the questions to the server. An address that is silent for as long
	// is cut off or overloaded, and its process has not ended.
	askTimeout = 250 * time.Millisecond
	// togetherTime is the longest time between the ends of two answers that broke off with
	// the same process.
	togetherTime = 100 * time.Millisecond
	// maxSilence is the longest silence of a server during an answer after which the end of
	// its registration is taken for a planned one. A registration outlasts the crash of its
	// server by several intervals between registrations, and nothing is heard meanwhile.
	maxSilence = time.Second
)

// State is what a node knows of a process.
type State int

// The states of a process.
const (
	// Running means that the process is the last known one of its server.
	Running State = iota
	// Leaving means that it has said that it leaves.
	Leaving
	// Unlisted means that its registration has ended without that.
	Unlisted
	// Stopped means that the time has come at which it stops, whatever it runs.
	Stopped
	// Replaced means that a later process has the name or the address of its server.
	Replaced
)

// String returns the state in kebab case.
func (st State) String() string {
	return []string{Running: "running", Leaving: "leaving", Unlisted: "unlisted", Stopped: "stopped", Replaced: "replaced"}[st]
}

// Detector judges the answers of backend servers. It is safe for concurrent use.
type Detector struct {
	refuses  func(ctx context.Context, address string) bool
	state    func(ctx context.Context, pr versionkeeper.Process, address string) State
	registry *counter.Registry

	mu sync.Mutex
	// inProgress has the answers that have not ended, by address.
	inProgress map[string]map[*Answer]bool
	// broken has the answers that ended with their connections in the last togetherTime,
	// in the order of their ends.
	broken []*Answer
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
		refuses:    refuses,
		state:      func(context.Context, versionkeeper.Process, string) State { return Running },
		inProgress: map[string]map[*Answer]bool{},
	}
	for _, opt := range opts {
		opt(dt)
	}
	return dt
}

// Answer is the answer to one request. It must be used by one goroutine only.
type Answer struct {
	dt      *Detector
	id      string
	process versionkeeper.Process
	address string
	// heard is when the server last sent something, and silence the longest time in which
	// it sent nothing.
	heard   time.Time
	silence time.Duration
	// brokeOff is when the answer ended with its connection, or zero.
	brokeOff time.Time
}

// Begin records that the request with the id is sent to the process at the address.
func (dt *Detector) Begin(id string, pr versionkeeper.Process, address string) *Answer {
	an := &Answer{dt: dt, id: id, process: pr, address: address, heard: time.Now()}
	dt.mu.Lock()
	defer dt.mu.Unlock()
	if dt.inProgress[address] == nil {
		dt.inProgress[address] = map[*Answer]bool{}
	}
	dt.inProgress[address][an] = true
	return an
}

// Heard records that a piece of the answer has come.
func (an *Answer) Heard() {
	now := time.Now()
	an.silence = max(an.silence, now.Sub(an.heard))
	an.heard = now
}

// End records that the answer has ended, in whatever way.
func (an *Answer) End() {
	an.dt.mu.Lock()
	defer an.dt.mu.Unlock()
	an.dt.endLocked(an)
}

// BreakOff records that the answer has ended with its connection.
func (an *Answer) BreakOff() {
	an.dt.mu.Lock()
	defer an.dt.mu.Unlock()
	if !an.brokeOff.IsZero() {
		return
	}
	an.brokeOff = time.Now()
	an.dt.endLocked(an)
	an.dt.broken = slices.DeleteFunc(an.dt.broken, func(other *Answer) bool { return an.brokeOff.Sub(other.brokeOff) > togetherTime })
	an.dt.broken = append(an.dt.broken, an)
}

func (dt *Detector) endLocked(an *Answer) {
	answers := dt.inProgress[an.address]
	delete(answers, an)
	if len(answers) == 0 {
		delete(dt.inProgress, an.address)
	}
}

// Truncated reports whether the answer, which has just ended with its connection, may lack
// its end.
func (an *Answer) Truncated(ctx context.Context) bool {
	an.Heard()
	an.BreakOff()
	state, refused, truncated := an.judge(ctx)
	if !refused && !truncated {
		return false
	}
	line := log.WithFields(log.Fields{
		"request": an.id, "server": an.process.Server, "address": an.address, "incarnation": an.process.Incarnation,
		"process": state.String(), "refused": refused, "silence-ms": an.silence.Milliseconds(),
	})
	if !truncated {
		line.Info("answer ended with its connection; its server leaves")
		return false
	}
	an.dt.registry.Inc("truncated", state.String())
	line.Info("answer ended with its connection and may lack its end")
	return true
}

// judge returns what is known of the process, whether its address refuses connections, and
// whether the answer may lack its end.
func (an *Answer) judge(ctx context.Context) (state State, refused, truncated bool) {
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	state = an.dt.state(askCtx, an.process, an.address)
	if state == Replaced {
		return state, false, true
	}
	if !an.dt.refuses(askCtx, an.address) {
		return state, false, false
	}
	switch {
	case state == Leaving, state == Unlisted && an.silence < maxSilence:
		return state, true, an.endedWithProcess(ctx)
	default:
		return state, true, true
	}
}

// endedWithProcess reports whether other answers of the server broke off together with this
// one and none goes on. While others are in progress, it waits for their ends.
func (an *Answer) endedWithProcess(ctx context.Context) bool {
	if an.dt.goesOn(an.address) {
		select {
		case <-time.After(time.Until(an.brokeOff.Add(togetherTime))):
		case <-ctx.Done():
		}
	}
	return !an.dt.goesOn(an.address) && an.brokeOffWithOthers()
}

// goesOn reports whether an answer from the address is in progress.
func (dt *Detector) goesOn(address string) bool {
	dt.mu.Lock()
	defer dt.mu.Unlock()
	return len(dt.inProgress[address]) > 0
}

// brokeOffWithOthers reports whether other answers of the server broke off together with this
// one.
func (an *Answer) brokeOffWithOthers() bool {
	an.dt.mu.Lock()
	defer an.dt.mu.Unlock()
	return slices.ContainsFunc(an.dt.broken, func(other *Answer) bool {
		return other != an && other.address == an.address && other.brokeOff.Sub(an.brokeOff).Abs() <= togetherTime
	})
}
