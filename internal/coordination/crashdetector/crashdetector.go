// Package crashdetector tells the crash of a backend server from other losses of
// connections to it.
//
// A process that ends takes all its connections with it and its address refuses
// new ones. A reset by the network, a cut link, or a server that breaks off some
// of its answers leave the address open, or silent. The detector gathers the
// requests that lost their connections to a server at the same time, and asks
// the address once for all of them.
//
// # Usage
//
//	dt := crashdetector.New(fw.Refuses, crashdetector.WithOnCrash(func(cr crashdetector.Crash) { ... }))
//	dt.Lost("w1", "127.0.0.1:9000", crashdetector.Loss{ID: id, Sent: sent})
package crashdetector

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/coordination/fingerprinter"
	"github.com/lagoonpass/lagoonpass/internal/counter"
)

const (
	// gatherTime is how long the detector waits for other connections that were
	// lost together with the first one.
	gatherTime = 25 * time.Millisecond
	// refuseTimeout bounds the attempt to connect. An address that is silent for
	// as long is cut off or overloaded, which is no crash.
	refuseTimeout = 500 * time.Millisecond
	// maxLosses bounds the losses of one crash.
	maxLosses = 1024
	// maxLogged bounds the requests that a log line names.
	maxLogged = 8
)

// Loss is a request that lost its connection to a server.
type Loss struct {
	// ID is the id of the request.
	ID string
	// Request identifies the request by its content; a repeat has another ID.
	Request fingerprinter.Content
	// Contents are what other requests may have in common with it.
	Contents []fingerprinter.Content
	// Sent is when the request was sent to the server.
	Sent time.Time
	// Answering says that a piece of the answer, such as an event of a stream, had
	// arrived complete.
	Answering bool
}

// Crash is the end of a server's process, as one node sees it.
type Crash struct {
	// Server is the name of the server.
	Server string
	// At is when the first connection was lost.
	At time.Time
	// Losses are the node's requests that lost their connections.
	Losses []Loss
}

// gathered is a possible crash.
type gathered struct {
	Crash
	decided chan struct{}
}

// Detector gathers lost connections. It is safe for concurrent use.
type Detector struct {
	refuses  func(ctx context.Context, address string) bool
	leaving  func(server string) bool
	lostPath func(ctx context.Context, server string) bool
	onCrash  func(Crash)
	registry *counter.Registry

	mu sync.Mutex
	// gathering holds the losses of servers whose addresses are not asked yet.
	gathering map[string]*gathered
}

// Option configures a Detector.
type Option func(*Detector)

// WithOnCrash sets the function that is called for each crash. It must not block.
func WithOnCrash(fn func(Crash)) Option { return func(dt *Detector) { dt.onCrash = fn } }

// WithLeaving sets the function that reports whether a server leaves or is no
// longer registered. The end of its process is then no crash.
func WithLeaving(fn func(server string) bool) Option { return func(dt *Detector) { dt.leaving = fn } }

// WithPath sets the function that reports whether the node, and not the server, is at
// fault, since it has lost its path to the servers like it.
func WithPath(lost func(ctx context.Context, server string) bool) Option {
	return func(dt *Detector) { dt.lostPath = lost }
}

// WithRegistry sets the registry that counts crashes and other losses.
func WithRegistry(rg *counter.Registry) Option { return func(dt *Detector) { dt.registry = rg } }

// New returns a detector. The function refuses reports whether an address refuses
// connections; it returns false if the address accepts one or does not answer.
func New(refuses func(ctx context.Context, address string) bool, opts ...Option) *Detector {
	dt := &Detector{
		refuses:   refuses,
		leaving:   func(string) bool { return false },
		lostPath:  func(context.Context, string) bool { return false },
		onCrash:   func(Crash) {},
		gathering: map[string]*gathered{},
	}
	for _, opt := range opts {
		opt(dt)
	}
	return dt
}

// Lost records that a request lost its connection to the server at the address.
// It does not block; the channel is closed when it is known whether the server
// crashed, after the call of the function for crashes.
func (dt *Detector) Lost(server, address string, ls Loss) (decided <-chan struct{}) {
	dt.mu.Lock()
	defer dt.mu.Unlock()
	cr, ok := dt.gathering[server]
	if !ok {
		cr = &gathered{Crash: Crash{Server: server, At: time.Now()}, decided: make(chan struct{})}
		dt.gathering[server] = cr
		time.AfterFunc(gatherTime, func() { dt.decide(address, cr) })
	}
	if len(cr.Losses) < maxLosses {
		cr.Losses = append(cr.Losses, ls)
	}
	return cr.decided
}

// decide asks the address whether the server has crashed.
func (dt *Detector) decide(address string, cr *gathered) {
	defer close(cr.decided)
	dt.mu.Lock()
	delete(dt.gathering, cr.Server)
	dt.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), refuseTimeout)
	defer cancel()
	refused := dt.refuses(ctx, address)
	line := log.WithFields(log.Fields{"server": cr.Server, "requests": len(cr.Losses), "unanswered": unanswered(cr.Losses)})
	switch {
	case !refused:
		dt.registry.Inc("connection-loss", "server-alive")
		line.Info("connections to backend server lost; it still accepts connections")
	case dt.leaving(cr.Server):
		dt.registry.Inc("connection-loss", "server-left")
		line.Info("connections to backend server lost; it has left")
	case dt.lostPath(ctx, cr.Server):
		dt.registry.Inc("connection-loss", "path-lost")
		line.Info("connections to backend server lost; this node reaches no other one either")
	default:
		dt.registry.Inc("connection-loss", "server-crashed")
		line.Info("backend server crashed")
		dt.onCrash(cr.Crash)
	}
}

// unanswered names the first requests without a piece of their answer, with the
// contents.
func unanswered(losses []Loss) string {
	var names []string
	for _, ls := range losses {
		if ls.Answering || len(names) == maxLogged {
			continue
		}
		names = append(names, ls.ID+"="+fingerprinter.Join(ls.Contents))
	}
	return strings.Join(names, " ")
}
