// Package network is a stand-in for the network between entry nodes. It
// delivers messages in memory, with faults on demand, and counts their bytes.
//
// # Usage
//
//	nt := network.New(network.WithDelay(time.Millisecond))
//	nt.Listen("10.0.0.1:7", handler)
//	caller := nt.From("10.0.0.1:7")
//	nt.Cut("10.0.0.1:7", "10.0.0.2:7") // one way
//	nt.Kill("10.0.0.2:7")
//	nt.Pause("10.0.0.3:7")
//
// A call over a cut blocks until its context ends, as with lost packets; a call to
// a node that was killed fails at once.
package network

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

var errRefused = errors.New("connection refused")

// Network delivers calls between addresses.
type Network struct {
	delay    time.Duration // of each message, one way
	mu       sync.Mutex
	handlers map[string]messenger.Handler // by address
	cuts     map[[2]string]bool           // pairs of sending and receiving address
	paused   map[string]chan struct{}     // by address; closed by Resume
	bytes    map[string]int64             // sent and received, by address
}

// Option configures a Network in New.
type Option func(*Network)

// WithDelay sets the delay of a message in one direction.
func WithDelay(dn time.Duration) Option { return func(nt *Network) { nt.delay = dn } }

// New returns a network without nodes.
func New(opts ...Option) *Network {
	nt := &Network{
		handlers: map[string]messenger.Handler{},
		cuts:     map[[2]string]bool{},
		paused:   map[string]chan struct{}{},
		bytes:    map[string]int64{},
	}
	for _, opt := range opts {
		opt(nt)
	}
	return nt
}

// Listen registers the handler for calls to the address.
func (nt *Network) Listen(address string, hd messenger.Handler) {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	nt.handlers[address] = hd
}

// Kill removes the handler of the address, as if the node had ended.
func (nt *Network) Kill(address string) {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	delete(nt.handlers, address)
}

// Cut drops all messages from one address to another.
func (nt *Network) Cut(from, to string) { nt.setCut(from, to, true) }

// Heal ends a cut.
func (nt *Network) Heal(from, to string) { nt.setCut(from, to, false) }

func (nt *Network) setCut(from, to string, cut bool) {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	nt.cuts[[2]string{from, to}] = cut
}

// Pause blocks calls from the node at the address, and messages to it, until
// Resume.
func (nt *Network) Pause(address string) {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	if nt.paused[address] == nil {
		nt.paused[address] = make(chan struct{})
	}
}

// Resume ends the pause of the node at the address.
func (nt *Network) Resume(address string) {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	if ch := nt.paused[address]; ch != nil {
		close(ch)
		delete(nt.paused, address)
	}
}

// Wait blocks while the node at the address is paused.
func (nt *Network) Wait(address string) { _ = nt.wait(context.Background(), address) }

func (nt *Network) wait(ctx context.Context, address string) error {
	for {
		nt.mu.Lock()
		ch := nt.paused[address]
		nt.mu.Unlock()
		if ch == nil {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ch:
		}
	}
}

// Bytes returns the bytes that the node at the address sent and received.
func (nt *Network) Bytes(address string) int64 {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	return nt.bytes[address]
}

// From returns a Caller whose calls come from the address.
func (nt *Network) From(address string) *Caller { return &Caller{network: nt, address: address} }

// Caller calls nodes from one address.
type Caller struct {
	network *Network
	address string
}

// Call sends a message to the node at an address and returns its answer. Errors
// are of type messenger.Error: Lost if ctx ends during the delivery of the message
// or its answer, Unreachable if the address has no handler, and Rejected if the
// handler fails.
func (cl *Caller) Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error) {
	nt := cl.network
	nt.Wait(cl.address)
	defer nt.Wait(cl.address)
	if err := nt.deliver(ctx, cl.address, address, call); err != nil {
		return nil, &messenger.Error{Failure: messenger.Lost, Address: address, Cause: err}
	}
	hd, ok := nt.handler(address)
	if !ok {
		return nil, &messenger.Error{Failure: messenger.Unreachable, Address: address, Cause: errRefused}
	}
	answer, err := hd.Handle(ctx, call)
	if err != nil {
		return nil, &messenger.Error{Failure: messenger.Rejected, Address: address, Text: err.Error()}
	}
	if err := nt.deliver(ctx, address, cl.address, answer); err != nil {
		return nil, &messenger.Error{Failure: messenger.Lost, Address: address, Cause: err}
	}
	return answer, nil
}

func (nt *Network) handler(address string) (messenger.Handler, bool) {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	hd, ok := nt.handlers[address]
	return hd, ok
}

// deliver counts the bytes of a message and waits for its delay and for pauses of
// the receiver. Over a cut it blocks until ctx ends.
func (nt *Network) deliver(ctx context.Context, from, to string, ms messenger.Message) error {
	nt.mu.Lock()
	cut := nt.cuts[[2]string{from, to}]
	size := int64(messenger.FrameBytes(ms))
	nt.bytes[from] += size
	if !cut {
		nt.bytes[to] += size
	}
	nt.mu.Unlock()
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	tm := time.NewTimer(nt.delay)
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tm.C:
	}
	return nt.wait(ctx, to)
}
