// Package connector is a stand-in for TCP between VMs: in-memory listeners and
// connections with injected network faults. It runs in real time as well as in a
// bubble of testing/synctest.
//
// # Usage
//
//	nt := connector.New()
//	ln, err := nt.Listen("10.0.0.1:80")
//	cn, err := nt.Host("10.0.0.2").Dial(ctx, "tcp", "10.0.0.1:80")
//	nt.Cut("10.0.0.1", "10.0.0.2") // delays data until Heal
//	nt.Silence("10.0.0.1")         // open connections lose all data
//	nt.Drop("10.0.0.1", true)      // the VM is gone
//
// Hosts are named by IP address.
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
	// dialTimeout bounds Dial if the other end does not answer.
	dialTimeout = time.Second
	// bufferBytes bounds the unread data of one direction of a connection.
	bufferBytes = 64 << 10
	// backlog bounds the connections of a listener that wait for Accept.
	backlog = 128
)

// Network connects all hosts.
type Network struct {
	mu        sync.Mutex
	changed   *sync.Cond           // signals changes of the fields below
	listeners map[string]*Listener // by host and port
	conns     map[*Conn]bool       // open ends of connections
	cuts      map[[2]string]bool   // pairs of sending and receiving host
	paused    map[string]bool      // by host
	gone      map[string]bool      // dropped hosts; true if dropped silently
	closed    bool
}

// New returns a network without listeners and faults.
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

// Listen opens a listener at the host and port. It fails with EADDRINUSE if there
// is one.
func (nt *Network) Listen(address string) (net.Listener, error) {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	if nt.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	ln := &Listener{network: nt, address: addr(address), pending: make(chan *Conn, backlog), done: make(chan struct{})}
	nt.listeners[address] = ln
	return ln, nil
}

// Cut delays all data from one host to another until Heal.
func (nt *Network) Cut(from, to string) {
	nt.update(func() { nt.cuts[[2]string{from, to}] = true })
}

// Heal ends a cut.
func (nt *Network) Heal(from, to string) {
	nt.update(func() { delete(nt.cuts, [2]string{from, to}) })
}

// HealAll ends all cuts and pauses.
func (nt *Network) HealAll() {
	nt.update(func() {
		clear(nt.cuts)
		clear(nt.paused)
	})
}

// Pause delays all data from and to a host until Resume.
func (nt *Network) Pause(host string) { nt.update(func() { nt.paused[host] = true }) }

// Resume ends a pause.
func (nt *Network) Resume(host string) { nt.update(func() { delete(nt.paused, host) }) }

// Wait blocks while the host is paused.
func (nt *Network) Wait(host string) {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	for nt.paused[host] {
		nt.changed.Wait()
	}
}

// Silence drops all data on the open connections of the host, unread or sent from
// now on, in both directions. New connections work.
func (nt *Network) Silence(host string) {
	nt.update(func() {
		for cn := range nt.conns {
			if cn.local.host() == host || cn.remote.host() == host {
				cn.out.lost = true
			}
		}
	})
}

// Reset resets all open connections of the host, at both ends.
func (nt *Network) Reset(host string) { nt.update(func() { nt.reset(host) }) }

// Drop removes the host for good. If silent is set, its peers see no error on
// their connections, and new connections get no answer; otherwise connections
// are reset and new ones refused.
func (nt *Network) Drop(host string, silent bool) {
	nt.update(func() {
		if !silent {
			nt.reset(host)
		}
		for cn := range nt.conns {
			switch host {
			case cn.local.host():
				cn.closed = true
				cn.detach()
			case cn.remote.host():
				cn.out.lost = true
			}
		}
		nt.gone[host] = silent
	})
}

// Crash resets all open connections of the host, and refuses new ones until
// Restart, as when the processes of the host end.
func (nt *Network) Crash(host string) {
	nt.update(func() {
		nt.reset(host)
		nt.gone[host] = false
	})
}

// Restart has a host that crashed accept connections again.
func (nt *Network) Restart(host string) { nt.update(func() { delete(nt.gone, host) }) }

// Close resets all connections and refuses new ones.
func (nt *Network) Close() {
	nt.update(func() {
		nt.closed = true
		for cn := range nt.conns {
			cn.abort()
		}
	})
}

// update runs apply with the lock held and wakes all pending calls.
func (nt *Network) update(apply func()) {
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

// blocked reports whether data from one host to another is delayed.
func (nt *Network) blocked(from, to string) bool {
	return nt.cuts[[2]string{from, to}] || nt.paused[from] || nt.paused[to]
}

// Host returns the host with the IP address.
func (nt *Network) Host(ip string) *Host { return &Host{network: nt, ip: ip} }

// Host opens connections from one IP address.
type Host struct {
	network *Network
	ip      string
}

// Dial opens a connection to the host and port. It waits at most dialTimeout and
// fails with ECONNREFUSED if nothing listens there.
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

func (nt *Network) wake() { nt.update(func() {}) }

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
	near, far := nt.newPair(from, to)
	select {
	case ln.pending <- far:
		return near, nil
	default:
		near.abort()
		return nil, errors.New("listener backlog is full")
	}
}

// unanswered reports whether a new connection gets no answer at present.
func (nt *Network) unanswered(from, to string) bool {
	return !nt.closed && (nt.gone[to] || nt.blocked(from, to) || nt.blocked(to, from))
}

func (nt *Network) dropped(ad addr) bool {
	_, dropped := nt.gone[ad.host()]
	return dropped
}

func (nt *Network) newPair(from, to addr) (near, far *Conn) {
	forth, back := &pipe{changed: sync.NewCond(&nt.mu)}, &pipe{changed: sync.NewCond(&nt.mu)}
	near = &Conn{network: nt, local: from, remote: to, in: back, out: forth}
	far = &Conn{network: nt, local: to, remote: from, in: forth, out: back}
	nt.conns[near], nt.conns[far] = true, true
	return near, far
}

// Listener is a net.Listener of a Network.
type Listener struct {
	network *Network
	address addr
	pending chan *Conn    // not yet accepted
	done    chan struct{} // closed by Close
	once    sync.Once
}

// Accept implements net.Listener.
func (ln *Listener) Accept() (net.Conn, error) {
	select {
	case cn := <-ln.pending:
		return cn, nil
	case <-ln.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections that were not accepted are reset.
func (ln *Listener) Close() error {
	ln.once.Do(func() {
		close(ln.done)
		ln.network.update(func() {
			delete(ln.network.listeners, string(ln.address))
			for len(ln.pending) > 0 {
				(<-ln.pending).abort()
			}
		})
	})
	return nil
}

// Addr implements net.Listener.
func (ln *Listener) Addr() net.Addr { return ln.address }
