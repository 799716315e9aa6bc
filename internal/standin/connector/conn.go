package connector

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// addr is a host and port, or a host alone.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tcp" }

// String implements net.Addr.
func (ad addr) String() string { return string(ad) }

func (ad addr) host() string {
	host, _, err := net.SplitHostPort(string(ad))
	if err != nil {
		return string(ad)
	}
	return host
}

// pipe is one direction of a connection.
type pipe struct {
	// changed uses the network's lock.
	changed *sync.Cond
	data    []byte // written and not yet read
	// ended is set once the sender has closed.
	ended bool
	// broken is set once the connection is reset.
	broken bool
	// lost is set once the network drops all data without an error.
	lost bool
}

// Conn is a net.Conn between two hosts of a Network.
type Conn struct {
	network       *Network
	local, remote addr
	in, out       *pipe
	closed        bool
	readDeadline  deadline
	writeDeadline deadline
}

// deadline is the deadline of one direction. The network's lock guards it.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (dl *deadline) expired() bool { return !dl.at.IsZero() && !time.Now().Before(dl.at) }

// Read implements net.Conn.
func (cn *Conn) Read(into []byte) (int, error) {
	nt := cn.network
	nt.mu.Lock()
	defer nt.mu.Unlock()
	for {
		switch {
		case cn.closed:
			return 0, net.ErrClosed
		case cn.in.broken:
			return 0, syscall.ECONNRESET
		case cn.readDeadline.expired():
			return 0, os.ErrDeadlineExceeded
		case cn.in.lost || nt.blocked(cn.remote.host(), cn.local.host()):
		case len(cn.in.data) > 0:
			count := copy(into, cn.in.data)
			cn.in.data = cn.in.data[count:]
			cn.in.changed.Broadcast()
			return count, nil
		case cn.in.ended:
			return 0, io.EOF
		}
		cn.in.changed.Wait()
	}
}

// Write implements net.Conn.
func (cn *Conn) Write(data []byte) (int, error) {
	nt := cn.network
	nt.mu.Lock()
	defer nt.mu.Unlock()
	sent := 0
	for sent < len(data) {
		switch {
		case cn.closed:
			return sent, net.ErrClosed
		case cn.out.broken:
			return sent, syscall.EPIPE
		case cn.writeDeadline.expired():
			return sent, os.ErrDeadlineExceeded
		case cn.out.lost:
			return len(data), nil
		}
		room := bufferBytes - len(cn.out.data)
		if room == 0 {
			cn.out.changed.Wait()
			continue
		}
		count := min(room, len(data)-sent)
		cn.out.data = append(cn.out.data, data[sent:sent+count]...)
		sent += count
		cn.out.changed.Broadcast()
	}
	return sent, nil
}

// Close implements net.Conn.
func (cn *Conn) Close() error {
	cn.network.mu.Lock()
	defer cn.network.mu.Unlock()
	cn.closed = true
	cn.out.ended = true
	cn.detach()
	return nil
}

// abort resets the connection at both ends.
func (cn *Conn) abort() {
	cn.in.broken, cn.out.broken = true, true
	cn.detach()
}

// detach removes this end from the network, stops its timers and wakes pending
// reads and writes.
func (cn *Conn) detach() {
	delete(cn.network.conns, cn)
	cn.readDeadline.set(cn.in, time.Time{})
	cn.writeDeadline.set(cn.out, time.Time{})
}

// LocalAddr implements net.Conn.
func (cn *Conn) LocalAddr() net.Addr { return cn.local }

// RemoteAddr implements net.Conn.
func (cn *Conn) RemoteAddr() net.Addr { return cn.remote }

// SetDeadline implements net.Conn.
func (cn *Conn) SetDeadline(at time.Time) error {
	_ = cn.SetReadDeadline(at)
	return cn.SetWriteDeadline(at)
}

// SetReadDeadline implements net.Conn.
func (cn *Conn) SetReadDeadline(at time.Time) error {
	cn.network.mu.Lock()
	defer cn.network.mu.Unlock()
	cn.readDeadline.set(cn.in, at)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (cn *Conn) SetWriteDeadline(at time.Time) error {
	cn.network.mu.Lock()
	defer cn.network.mu.Unlock()
	cn.writeDeadline.set(cn.out, at)
	return nil
}

func (dl *deadline) set(pp *pipe, at time.Time) {
	if dl.timer != nil {
		dl.timer.Stop()
		dl.timer = nil
	}
	dl.at = at
	if !at.IsZero() {
		dl.timer = time.AfterFunc(time.Until(at), pp.wake)
	}
	pp.changed.Broadcast()
}

func (pp *pipe) wake() {
	pp.changed.L.Lock()
	defer pp.changed.L.Unlock()
	pp.changed.Broadcast()
}
