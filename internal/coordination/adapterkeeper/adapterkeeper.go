// Package adapterkeeper has adapters loaded on backend servers when requests
// need them, and unloaded by least recent use.
//
// The node that owns a server keeps the table of its adapters in memory and
// sends the orders, one at a time, each with the fencing number of the server's
// record. Other nodes ask it. An answer that an adapter is ready is a lease:
// the owner does not unload the adapter before LeaseTime has passed since it
// answered, and the node that asked uses the answer for less than that since it
// asked. While requests run, their node renews the lease; a lost renewal or
// release costs nothing but time.
//
// Memory for an order that was not answered stays reserved until the engine can
// no longer carry it out: because it refuses the order's fencing number, or
// because the late-order bound has passed. Against engines that ignore fencing
// numbers the owner sends only within half of the bound after a write of the
// record that took effect; a new owner sends nothing for as long, and holds
// back the room of two adapters until the whole bound has passed. Where there
// is no bound, nothing is loaded.
//
// # Usage
//
//	kp := adapterkeeper.New(orders, settings, view, peers, adapterkeeper.WithRegistry(registry))
//	go kp.Run(ctx)
//	release, err := kp.Ensure(ctx, "w1", adapter)
//	if err == nil {
//		defer release()
//	}
package adapterkeeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
)

const (
	// LeaseTime is how long a ready adapter stays for the node that asked.
	LeaseTime = 6 * time.Second
	// useDivisor is the part of a lease by which a node stops using it sooner
	// than the owner, counted from when it asked.
	useDivisor = 6
	// renewInterval is the time between two renewals.
	renewInterval = LeaseTime / 3
	// renewAfter is the rest of the use time at which a lease is renewed.
	renewAfter = LeaseTime - LeaseTime/useDivisor - renewInterval
	// askTimeout bounds a question to a server's owner.
	askTimeout = 8 * time.Second
)

// Orders tells with which fencing numbers this node may send orders.
type Orders interface {
	// Fence returns the mandate for a server that the node owns.
	Fence(server string) (orderer.Mandate, bool)
	// Raise asks for a new fencing number.
	Raise(server string)
}

// Peers calls other nodes.
type Peers interface {
	// Call sends a message to the peer at the address.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Keeper makes adapters ready on servers: on its own servers by orders, on
// those of others by asking their owners.
type Keeper struct {
	orders   Orders
	settings func() *configurer.Settings
	view     func() *prober.View
	peers    Peers
	engines  orderer.Engines
	tokens   orderer.Tokens
	reported func(server, adapter string) bool
	lease    time.Duration
	patience time.Duration
	together bool
	registry *counter.Registry
	now      func() time.Time
	sleep    func(time.Duration)

	mu      sync.Mutex
	servers map[string]*server
	leases  map[target]*lease
}

// Option changes a Keeper that is being made.
type Option func(*Keeper)

// WithRegistry makes the keeper count in rg.
func WithRegistry(rg *counter.Registry) Option { return func(kp *Keeper) { kp.registry = rg } }

// WithTokens sets the limit of adapters in transit that all nodes share.
func WithTokens(tk orderer.Tokens) Option { return func(kp *Keeper) { kp.tokens = tk } }

// WithEngines sets how engines are reached.
func WithEngines(eg orderer.Engines) Option { return func(kp *Keeper) { kp.engines = eg } }

// WithReported tells whether a server's latest report names an adapter, for
// when the server's owner can't be reached.
func WithReported(fn func(server, adapter string) bool) Option {
	return func(kp *Keeper) { kp.reported = fn }
}

// WithShortLeases sets how long a lease lasts. Leases in use are renewed all in
// one message to the owner, which has to be the same for all servers.
func WithShortLeases(lease time.Duration) Option {
	return func(kp *Keeper) { kp.lease, kp.together = lease, true }
}

// WithPatience sets how long a request waits for an adapter on one server.
func WithPatience(dn time.Duration) Option { return func(kp *Keeper) { kp.patience = dn } }

// WithNow makes the keeper read the time from fn.
func WithNow(fn func() time.Time) Option { return func(kp *Keeper) { kp.now = fn } }

// New returns a keeper for the node whose view it is.
func New(od Orders, settings func() *configurer.Settings, view func() *prober.View, peers Peers, opts ...Option) *Keeper {
	kp := &Keeper{
		orders:   od,
		settings: settings,
		view:     view,
		peers:    peers,
		engines:  orderer.NewHTTPEngines(forwarder.New()),
		tokens:   orderer.NewLocalTokens(1, 1),
		reported: func(string, string) bool { return false },
		now:      time.Now,
		sleep:    time.Sleep,
		lease:    LeaseTime,
		patience: askTimeout,
		servers:  map[string]*server{},
		leases:   map[target]*lease{},
	}
	for _, opt := range opts {
		opt(kp)
	}
	return kp
}

// Handle answers a peer that wants an adapter on a server of this node.
func (kp *Keeper) Handle(ctx context.Context, call *messenger.AdapterLoad) *messenger.AdapterState {
	reason := kp.Obtain(ctx, call.Server, call.Adapter)
	return &messenger.AdapterState{Ready: reason == "", Reason: reason}
}

func (kp *Keeper) owns(server string) bool { return kp.view().OwnsServer(server) }

// rules returns what the settings say of the server, and the adapter's size.
func (kp *Keeper) rules(server, adapter string) (rules Rules, bytes int64, ok bool) {
	st := kp.settings()
	if st == nil {
		return Rules{}, 0, false
	}
	bs, found := st.BackendServer(server)
	ad, known := st.Adapter(adapter)
	if !found || !known {
		return Rules{}, 0, false
	}
	rules = Rules{Lease: kp.lease, Address: bs.Address(), Reserve: bs.AdapterReserve(), Spare: largestTwo(st)}
	if ek, ok := st.EngineKind(bs.Kind()); ok {
		rules.ChecksFencing, rules.CountsOrders, rules.Bound = ek.ChecksFencing(), ek.CountsOrders(), ek.LateOrderBound()
	}
	return rules, ad.Memory(), true
}

func largestTwo(st *configurer.Settings) int64 {
	var sizes []int64
	for _, ad := range st.Adapters() {
		sizes = append(sizes, ad.Memory())
	}
	slices.Sort(sizes)
	sum := int64(0)
	for _, size := range sizes[max(0, len(sizes)-maxUnanswered):] {
		sum += size
	}
	return sum
}

// ErrNotReady means that an adapter could not be made ready; nothing was sent
// for the request that wanted it.
var ErrNotReady = errors.New("adapter is not ready")
