// Package downlister keeps the list of the backend servers that are down, so that no
// request is sent to an address that refuses connections.
//
// The first refused connection of a node takes the server out for all its requests. The
// node notifies a few others, which pass it on. A notified node prefers other servers
// and finds out itself, after a random delay; a report of a second node confirms the
// first. So a node that has lost its path to the servers does not harm the others. A
// new process or address ends an outage at once. Otherwise the node probes the server,
// with one connection at a time.
//
// A List decides, without clock, lock or network; a Lister adds these.
//
// # Usage
//
//	ls := downlister.New("n1", connect, downlister.WithPeers(pool, members))
//	ls.Update(registrations)
//	go ls.Run(ctx)
//	if ls.Down("w1") { ... } // choose another server
//	ls.Refused(downlister.Process{Server: "w1", Boot: "17"})
package downlister

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

const (
	// stepInterval is the time between two checks for due probes, and noticeInterval that
	// between two messages.
	stepInterval   = 20 * time.Millisecond
	noticeInterval = 100 * time.Millisecond
	// probeTimeout bounds a probe. An address that is silent as long is not known to
	// be down.
	probeTimeout = 500 * time.Millisecond
	// maxProbes bounds the probes that begin in one step, for the smallest machines.
	maxProbes = 8
	// callTimeout bounds a message to a peer.
	callTimeout = 500 * time.Millisecond
	// fanout is the number of peers that a node notifies. With several nodes that find an
	// outage out at once it reaches nearly all nodes.
	fanout = 3
	// bytesPerSecond bounds the messages of this node, and burstBytes those sent at once.
	bytesPerSecond = 1000
	burstBytes     = 1000
	// askTimeout bounds the question for a peer's build, and maxAsked the peers that are
	// asked in one round.
	askTimeout = 100 * time.Millisecond
	maxAsked   = 2 * fanout
	// frameOverhead is an estimate of what the transport adds to a message.
	frameOverhead = 40
)

// Connect opens a connection to an address, which need not stay open.
type Connect func(ctx context.Context, address string) error

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address and returns its answer.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Peer is another node.
type Peer struct{ ID, Address string }

// Lister keeps the list of one node. It is safe for concurrent use.
type Lister struct {
	connect Connect
	caller  Caller
	peers   func() []Peer
	// doubtful reports whether the node may have lost its path to servers like the named one.
	doubtful func(server string) bool
	registry *counter.Registry
	wake     chan struct{}
	// states has the servers that are suspected or down. Readers need no lock; writers
	// replace the map.
	states atomic.Pointer[map[string]state]

	mu   sync.Mutex
	list *List
	// boots has the boot of each process by server and the number that messages use.
	boots  map[bootKey]string
	random *rand.Rand

	// knows says whether the build of a peer knows ServerNotice, by id. It is used by
	// notify only, as are random and the two fields that follow.
	knows    map[string]bool
	tokens   float64
	filledAt time.Time
}

// state is what requests need to know of a server.
type state struct {
	down           bool
	suspectedUntil time.Time
}

// bootKey identifies a process in a message.
type bootKey struct {
	server string
	boot   uint32
}

// Option configures a Lister.
type Option func(*Lister)

// WithPeers sets the nodes that are notified of outages, and how they are called.
func WithPeers(ca Caller, peers func() []Peer) Option {
	return func(lr *Lister) { lr.caller, lr.peers = ca, peers }
}

// WithDoubt sets the function that reports whether the node may have lost its path to
// servers like the named one. Other nodes are not notified of these while it may have.
func WithDoubt(fn func(server string) bool) Option { return func(lr *Lister) { lr.doubtful = fn } }

// WithRegistry sets the registry that counts outages, probes and messages.
func WithRegistry(rg *counter.Registry) Option { return func(lr *Lister) { lr.registry = rg } }

// New returns the list of the node with the id.
func New(id string, connect Connect, opts ...Option) *Lister {
	lr := &Lister{
		connect:  connect,
		peers:    func() []Peer { return nil },
		doubtful: func(string) bool { return false },
		wake:     make(chan struct{}, 1),
		list:     NewList(number(id), newRandom()),
		boots:    map[bootKey]string{},
		random:   newRandom(),
		knows:    map[string]bool{},
		tokens:   burstBytes,
	}
	lr.states.Store(&map[string]state{})
	for _, opt := range opts {
		opt(lr)
	}
	return lr
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// number returns the number that messages use for an id.
func number(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Update replaces the registered servers.
func (lr *Lister) Update(all []Registration) {
	lr.mu.Lock()
	clear(lr.boots)
	for _, rg := range all {
		lr.boots[bootKey{rg.Server, number(rg.Boot)}] = rg.Boot
	}
	ended := lr.list.Update(time.Now(), all)
	lr.publishLocked()
	lr.mu.Unlock()
	for _, pr := range ended {
		lr.logEnd(pr, "it registered anew")
	}
}

func (lr *Lister) publishLocked() {
	next := make(map[string]state, len(lr.list.outages))
	for server, ou := range lr.list.outages {
		next[server] = state{ou.down(), ou.suspectedUntil}
	}
	lr.states.Store(&next)
}

// Refused records that the process refused a connection of this node.
func (lr *Lister) Refused(pr Process) {
	lr.mu.Lock()
	took := lr.list.Refused(time.Now(), pr)
	lr.publishLocked()
	lr.mu.Unlock()
	if took {
		lr.logDown(pr, "it refused a connection of this node")
	}
	lr.signal()
}

// Lost records that connections to the server were lost.
func (lr *Lister) Lost(server string) {
	lr.mu.Lock()
	lr.list.Lost(time.Now(), server)
	lr.publishLocked()
	lr.mu.Unlock()
	lr.signal()
}

// Down reports whether the server gets no requests.
func (lr *Lister) Down(server string) bool { return (*lr.states.Load())[server].down }

// Suspected reports whether the server gets requests only if there is no other.
func (lr *Lister) Suspected(server string) bool {
	st, ok := (*lr.states.Load())[server]
	return ok && !st.down && time.Now().Before(st.suspectedUntil)
}

// Return returns the expected time until a server that is down returns.
func (lr *Lister) Return(server string) time.Duration {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	return lr.list.Return(time.Now(), server)
}

// Forget forgets the outages of the servers, because the node was at fault.
func (lr *Lister) Forget(servers []string) {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	lr.list.Forget(servers)
	lr.publishLocked()
}

// Outages returns the number of servers that are down and that of suspected ones.
func (lr *Lister) Outages() (down, suspected int) {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	return lr.list.Outages(time.Now())
}

// Handle applies a notice of another node.
func (lr *Lister) Handle(call *messenger.ServerNotice) *messenger.ServerNoted {
	now := time.Now()
	lr.mu.Lock()
	marks := make([]Mark, 0, len(call.Marks))
	for _, sm := range call.Marks {
		if boot, ok := lr.boots[bootKey{sm.Server, sm.Boot}]; ok {
			marks = append(marks, Mark{Process: Process{sm.Server, boot}, Reached: sm.Reached, Origin: sm.Origin, At: now.Add(-sm.Age)})
		}
	}
	took, ended := lr.list.Learn(now, marks)
	lr.publishLocked()
	lr.mu.Unlock()
	for _, pr := range took {
		lr.logDown(pr, "two other nodes were refused")
	}
	for _, pr := range ended {
		lr.logEnd(pr, "another node reached it")
	}
	lr.signal()
	return &messenger.ServerNoted{}
}

func (lr *Lister) logDown(pr Process, why string) {
	lr.registry.Inc("server-down", "out")
	log.WithFields(log.Fields{"server": pr.Server, "incarnation": pr.Boot, "why": why}).Info("backend server is down and gets no requests")
}

func (lr *Lister) logEnd(pr Process, why string) {
	lr.registry.Inc("server-down", "returned")
	log.WithFields(log.Fields{"server": pr.Server, "incarnation": pr.Boot, "why": why}).Info("backend server is no longer down")
}

func (lr *Lister) signal() {
	select {
	case lr.wake <- struct{}{}:
	default:
	}
}

// Run probes servers and notifies other nodes until the context ends.
func (lr *Lister) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		// A peer that is asked for its build may take long to answer; probes go on.
		waiter.Every(ctx, noticeInterval, func() { lr.notify(ctx, time.Now()) })
	})
	tk := time.NewTicker(stepInterval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tk.C:
		case <-lr.wake:
		}
		if len(*lr.states.Load()) > 0 {
			lr.probe(ctx, time.Now())
		}
	}
}

// probe begins the probes that are due.
func (lr *Lister) probe(ctx context.Context, now time.Time) {
	lr.mu.Lock()
	due := lr.list.Due(now, maxProbes)
	lr.publishLocked()
	lr.mu.Unlock()
	for _, pb := range due {
		go lr.probeOne(ctx, pb)
	}
}

func (lr *Lister) probeOne(ctx context.Context, pb Probe) {
	began := time.Now()
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := lr.connect(probeCtx, pb.Address)
	rs := Unknown
	switch {
	case err == nil:
		rs = Accepted
	case errors.Is(err, syscall.ECONNREFUSED):
		rs = Refused
	case probeCtx.Err() != nil, errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH), errors.Is(err, syscall.ETIMEDOUT):
		rs = Silent
	}
	lr.registry.Inc("server-down", "probe", rs.String())
	lr.mu.Lock()
	took, ended := lr.list.Probed(began, time.Now(), pb.Process, rs)
	lr.publishLocked()
	lr.mu.Unlock()
	if took {
		lr.logDown(pb.Process, "it refused a probe")
	}
	if ended {
		lr.logEnd(pb.Process, "it accepted a probe")
	}
}

// notify sends a few peers what they may not know, within the bounds on bytes and time.
func (lr *Lister) notify(ctx context.Context, now time.Time) {
	if lr.caller == nil {
		return
	}
	nodes := len(lr.peers()) + 1
	lr.mu.Lock()
	lr.list.SetNodes(nodes)
	waiting := len(lr.list.pending)
	lr.mu.Unlock()
	if waiting == 0 {
		return
	}
	lr.tokens = min(lr.tokens+now.Sub(lr.filledAt).Seconds()*bytesPerSecond, burstBytes)
	lr.filledAt = now
	peers := lr.choosePeers(ctx)
	if len(peers) == 0 {
		return
	}
	count := int(lr.tokens/float64(len(peers))-frameOverhead) / messenger.ServerMarkBytes
	if count <= 0 {
		return
	}
	lr.mu.Lock()
	marks := lr.list.PendingNotices(now, count, lr.doubtful)
	lr.mu.Unlock()
	sn := &messenger.ServerNotice{}
	for _, mk := range marks {
		sn.Marks = append(sn.Marks, messenger.ServerMark{Server: mk.Server, Boot: number(mk.Boot), Reached: mk.Reached, Origin: mk.Origin, Age: now.Sub(mk.At)})
	}
	if len(sn.Marks) == 0 {
		return
	}
	for _, pe := range peers {
		lr.spend(sn)
		go lr.call(ctx, pe, sn)
	}
}

func (lr *Lister) spend(ms messenger.Message) {
	size := messenger.FrameBytes(ms) + frameOverhead
	lr.tokens -= float64(size)
	lr.registry.Add(int64(size), "server-down", "notice-bytes")
}

func (lr *Lister) call(ctx context.Context, pe Peer, ms messenger.Message) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := lr.caller.Call(ctx, pe.Address, ms); err != nil {
		lr.registry.Inc("server-down", "untold")
	}
}

// choosePeers returns random peers whose build knows ServerNotice. Builds that do not
// would close the connection. A peer that has not been asked is asked.
func (lr *Lister) choosePeers(ctx context.Context) (chosen []Peer) {
	all := lr.peers()
	lr.random.Shuffle(len(all), func(ix, jx int) { all[ix], all[jx] = all[jx], all[ix] })
	asked := 0
	for _, pe := range all {
		if len(chosen) == fanout || asked == maxAsked {
			break
		}
		knows, known := lr.knows[pe.ID]
		if !known {
			asked++
			knows = lr.ask(ctx, pe)
		}
		if knows {
			chosen = append(chosen, pe)
		}
	}
	lr.forget(all)
	return chosen
}

// ask asks a peer for its build.
func (lr *Lister) ask(ctx context.Context, pe Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	lr.spend(&messenger.Check{})
	answer, err := lr.caller.Call(ctx, pe.Address, &messenger.Check{})
	if err != nil {
		return false
	}
	ck, ok := answer.(*messenger.Checked)
	lr.knows[pe.ID] = ok && ck.Build >= messenger.BuildServerNotice
	return lr.knows[pe.ID]
}

// forget removes what is known of peers that are gone.
func (lr *Lister) forget(present []Peer) {
	if len(lr.knows) <= 2*len(present)+fanout {
		return
	}
	ids := make(map[string]bool, len(present))
	for _, pe := range present {
		ids[pe.ID] = true
	}
	for id := range lr.knows {
		if !ids[id] {
			delete(lr.knows, id)
		}
	}
}
