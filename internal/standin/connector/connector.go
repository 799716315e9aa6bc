// Package connector is a stand-in for TCP between VMs: listeners and
// connections in memory, with the faults that a network has. It runs in real
// time as well as in a bubble of testing/synctest.
//
// # Usage
//
//	nt := connector.New()
//	ln, err := nt.Listen("10.0.0.1:80")
//	cn, err := nt.Host("10.0.0.2").Dial(ctx, "tcp", "10.0.0.1:80")
//	nt.Cut("10.0.0.1", "10.0.0.2") // what is sent arrives after Heal
//	nt.Silence("10.0.0.1")         // open connections are silent for good
//	nt.Drop("10.0.0.1", true)      // the VM is gone
//
// Hosts are IP numbers.
package connector

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// dialTimeout bounds the opening of a connection whose other end does not
	// answer.
	dialTimeout = time.Second
	// bufferBytes is what one direction of a connection holds unread.
	bufferBytes = 64 << 10
	// backlog is the connections that wait to be accepted.
	backlog = 128
)

// Network is all hosts.
type Network struct {
	mu        sync.Mutex
	changed   *sync.Cond
	listeners map[string]*Listener
	conns     map[*Conn]bool
	cuts      map[[2]string]bool
	paused    map[string]bool
	gone      map[string]bool
	closed    bool
}

// New returns a network without listeners.
func New() *Network {
	nt := &Network{
		listeners: map[string]*Listener{},
		conns:     map[*Conn]bool{},
		cuts:      map[[2]string]bool{},
		paused:    map[string]bool{},
		gone:      map[string]bool{},
	}
	nt.changed = sync.NewCond(&nt.mu)
	return nt
}

// Listen opens a listener at the host and port.
func (nt *Network) Listen(address string) (net.Listener, error) {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	if nt.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	ln := &Listener{network: nt, address: addr(address), accepted: make(chan *Conn, backlog), done: make(chan struct{})}
	nt.listeners[address] = ln
	return ln, nil
}

// Cut holds back all that one host sends to another until Heal.
func (nt *Network) Cut(from, to string) {
	nt.change(func() { nt.cuts[[2]string{from, to}] = true })
}

// Heal ends a cut.
func (nt *Network) Heal(from, to string) {
	nt.change(func() { delete(nt.cuts, [2]string{from, to}) })
}

// HealAll ends all cuts and pauses.
func (nt *Network) HealAll() {
	nt.change(func() {
		clear(nt.cuts)
		clear(nt.paused)
	})
}

// Pause holds back all that a host sends and receives until Resume.
func (nt *Network) Pause(host string) { nt.change(func() { nt.paused[host] = true }) }

// Resume ends a pause.
func (nt *Network) Resume(host string) { nt.change(func() { delete(nt.paused, host) }) }

// Wait returns once the host is not paused.
func (nt *Network) Wait(host string) {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	for nt.paused[host] {
		nt.changed.Wait()
	}
}

// Silence loses all that is sent from now on over the connections that the
// host has open. New connections work.
func (nt *Network) Silence(host string) {
	nt.change(func() {
		for cn := range nt.conns {
			if cn.local.host() == host || cn.remote.host() == host {
				cn.out.lost = true
			}
		}
	})
}

// Reset closes all connections that the host has open, at both ends.
func (nt *Network) Reset(host string) { nt.change(func() { nt.reset(host) }) }

// Drop ends the host for good: with silent, its peers are not told that their
// connections are gone and no answer comes to new ones; otherwise connections
// are closed and new ones refused.
func (nt *Network) Drop(host string, silent bool) {
	nt.change(func() {
		if !silent {
			nt.reset(host)
		}
		for cn := range nt.conns {
			switch host {
			case cn.local.host():
				cn.closed = true
				cn.forget()
			case cn.remote.host():
				cn.out.lost = true
			}
		}
		nt.gone[host] = silent
	})
}

// Close closes all connections and refuses new ones.
func (nt *Network) Close() {
	nt.change(func() {
		nt.closed = true
		for cn := range nt.conns {
			cn.abort()
		}
	})
}

func (nt *Network) change(apply func()) {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	apply()
	nt.changed.Broadcast()
	for cn := range nt.conns {
		cn.in.changed.Broadcast()
	}
}

func (nt *Network) reset(host string) {
	for cn := range nt.conns {
		if cn.local.host() == host || cn.remote.host() == host {
			cn.abort()
		}
	}
}

// holds reports whether nothing passes from one host to another for now.
func (nt *Network) holds(from, to string) bool {
	return nt.cuts[[2]string{from, to}] || nt.paused[from] || nt.paused[to]
}

// Host returns the end of the network at an IP number.
func (nt *Network) Host(ip string) *Host { return &Host{network: nt, ip: ip} }

// Host opens connections.
type Host struct {
	network *Network
	ip      string
}

// Dial opens a connection to the host and port.
func (hs *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nt := hs.network
	stop := context.AfterFunc(ctx, nt.wake)
	defer stop()
	cn, err := nt.connect(ctx, addr(hs.ip), addr(address))
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: addr(address), Err: err}
	}
	return cn, nil
}

func (nt *Network) wake() { nt.change(func() {}) }

func (nt *Network) connect(ctx context.Context, from, to addr) (*Conn, error) {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	for nt.unanswered(from.host(), to.host()) {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		nt.changed.Wait()
	}
	ln := nt.listeners[string(to)]
	if nt.closed || nt.dropped(from) || nt.dropped(to) || ln == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := nt.pair(from, to)
	select {
	case ln.accepted <- far:
		return near, nil
	default:
		near.abort()
		return nil, errors.New("backlog is full")
	}
}

// unanswered reports whether an attempt to connect gets no answer for now.
func (nt *Network) unanswered(from, to string) bool {
	return !nt.closed && (nt.gone[to] || nt.holds(from, to) || nt.holds(to, from))
}

func (nt *Network) dropped(ad addr) bool {
	_, dropped := nt.gone[ad.host()]
	return dropped
}

func (nt *Network) pair(from, to addr) (near, far *Conn) {
	forth, back := &pipe{changed: sync.NewCond(&nt.mu)}, &pipe{changed: sync.NewCond(&nt.mu)}
	near = &Conn{network: nt, local: from, remote: to, in: back, out: forth}
	far = &Conn{network: nt, local: to, remote: from, in: forth, out: back}
	nt.conns[near], nt.conns[far] = true, true
	return near, far
}

// Listener is a net.Listener.
type Listener struct {
	network  *Network
	address  addr
	accepted chan *Conn
	done     chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (ln *Listener) Accept() (net.Conn, error) {
	select {
	case cn := <-ln.accepted:
		return cn, nil
	case <-ln.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections that were not accepted are reset.
func (ln *Listener) Close() error {
	ln.once.Do(func() {
		close(ln.done)
		ln.network.change(func() {
			delete(ln.network.listeners, string(ln.address))
			for len(ln.accepted) > 0 {
				(<-ln.accepted).abort()
			}
		})
	})
	return nil
}

// Addr implements net.Listener.
func (ln *Listener) Addr() net.Addr { return ln.address }
