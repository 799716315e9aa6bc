// Package adapterkeeper loads adapters on backend servers when requests need
// them, and evicts the least recently used ones.
//
// The owner of a server keeps the table of its adapters in memory and sends
// the orders, one at a time, each with the fencing number of the server's
// record. Other nodes send their requests for adapters to the owner. Its answer
// that an adapter is ready grants a lease: the owner doesn't unload the adapter
// within LeaseTime of the answer, and the requesting node uses the lease for
// less than LeaseTime, counted from its request. A node renews the lease while
// its requests run. A lost renewal or release only delays an unload or a load.
//
// The memory of an unanswered order stays reserved until the engine can no
// longer execute the order: because the engine refuses its fencing number, or
// because the late-order bound has passed. To an engine that ignores fencing
// numbers, the owner sends orders only within half of the bound after a
// successful write of the record. A new owner sends none for half of the bound,
// and reserves memory for two adapters until the whole bound has passed.
// Without a bound, no adapter is loaded on such an engine.
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
	// LeaseTime is how long the owner keeps a ready adapter loaded for a node.
	LeaseTime = 6 * time.Second
	// useMarginDivisor sets the safety margin of a lease: the requesting node
	// stops using it LeaseTime/useMarginDivisor before it ends.
	useMarginDivisor = 6
	// renewInterval is the time between two rounds of renewals.
	renewInterval = LeaseTime / 3
	// renewThreshold is the remaining time at which a lease in use is renewed.
	renewThreshold = LeaseTime - LeaseTime/useMarginDivisor - renewInterval
	// loadRequestTimeout bounds a request to a server's owner.
	loadRequestTimeout = 8 * time.Second
)

// Orders provides the fencing numbers with which this node may send orders.
type Orders interface {
	// Fence returns the fencing numbers for a server, and false if this node does
	// not own it.
	Fence(server string) (orderer.Ownership, bool)
	// Raise requests a new fencing number for a server.
	Raise(server string)
}

// Peers calls other nodes.
type Peers interface {
	// Call sends a message to the peer at the address and returns its answer.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Keeper makes adapters ready on servers: it sends orders to the servers that
// this node owns, and requests to the owners of all other servers.
type Keeper struct {
	orders   Orders
	settings func() *configurer.Settings
	view     func() *prober.View
	peers    Peers
	engines  orderer.Engines
	tokens   orderer.Tokens
	// reportsAdapter reports whether the server's latest report lists the adapter.
	reportsAdapter func(server, adapter string) bool
	// replicas returns the servers that hold a model and take requests; nil if requests
	// do not go elsewhere for the sake of an adapter.
	replicas func(model string) []string
	// lease is how long a lease lasts.
	lease time.Duration
	// waitTimeout is how long a request waits for an adapter on one server.
	waitTimeout time.Duration
	// batchRenewals is set if one message renews all leases in use.
	batchRenewals bool
	registry      *counter.Registry
	now           func() time.Time
	sleep         func(time.Duration)

	mu sync.Mutex
	// servers has the adapter tables of the servers that this node owns or owned.
	servers map[string]*server
	// leases has the leases of this node, on its own servers and on others.
	leases map[target]*lease
	// standings has what owners lately said of servers; see standing.
	standings map[target]standing
}

// Option configures a Keeper.
type Option func(*Keeper)

// WithRegistry sets the registry of the keeper's counters.
func WithRegistry(rg *counter.Registry) Option { return func(kp *Keeper) { kp.registry = rg } }

// WithTokens sets the limit on concurrent adapter loads that all nodes share.
func WithTokens(tk orderer.Tokens) Option { return func(kp *Keeper) { kp.tokens = tk } }

// WithEngines sets the client that sends orders to engines.
func WithEngines(eg orderer.Engines) Option { return func(kp *Keeper) { kp.engines = eg } }

// WithReportedAdapters sets the function that reports whether a server's latest
// report lists an adapter. The keeper uses it while the server's owner is
// unreachable or may not send orders.
func WithReportedAdapters(fn func(server, adapter string) bool) Option {
	return func(kp *Keeper) { kp.reportsAdapter = fn }
}

// WithBatchedLeases sets how long a lease lasts, and renews all leases in use
// with one message to the owner. All servers must have the same owner.
func WithBatchedLeases(lease time.Duration) Option {
	return func(kp *Keeper) { kp.lease, kp.batchRenewals = lease, true }
}

// WithWaitTimeout sets how long a request waits for an adapter on one server.
func WithWaitTimeout(dn time.Duration) Option { return func(kp *Keeper) { kp.waitTimeout = dn } }

// WithReplicas sets the function that returns the servers which hold a model and take
// requests. It makes the keeper answer at once where a request would wait for orders of
// others, and remember which servers can have an adapter.
func WithReplicas(fn func(model string) []string) Option {
	return func(kp *Keeper) { kp.replicas = fn }
}

// WithNow sets the function that returns the current time.
func WithNow(fn func() time.Time) Option { return func(kp *Keeper) { kp.now = fn } }

// New returns a keeper for the node to which the view belongs.
func New(od Orders, settings func() *configurer.Settings, view func() *prober.View, peers Peers, opts ...Option) *Keeper {
	kp := &Keeper{
		orders:         od,
		settings:       settings,
		view:           view,
		peers:          peers,
		engines:        orderer.NewHTTPEngines(forwarder.New()),
		tokens:         orderer.NewLocalTokens(1, 1),
		reportsAdapter: func(string, string) bool { return false },
		now:            time.Now,
		sleep:          time.Sleep,
		lease:          LeaseTime,
		waitTimeout:    loadRequestTimeout,
		servers:        map[string]*server{},
		leases:         map[target]*lease{},
		standings:      map[target]standing{},
	}
	for _, opt := range opts {
		opt(kp)
	}
	return kp
}

// Handle answers a peer's request for an adapter on a server of this node.
func (kp *Keeper) Handle(ctx context.Context, call *messenger.AdapterLoad) *messenger.AdapterState {
	reason := kp.Obtain(ctx, call.Server, call.Adapter)
	as := &messenger.AdapterState{Ready: reason == "", Reason: reason}
	if !as.Ready {
		as.Others = kp.standingsOn(call.Others, call.Adapter)
	}
	return as
}

func (kp *Keeper) owns(server string) bool { return kp.view().OwnsServer(server) }

// rules returns the settings of the server and the adapter's size in bytes. It
// returns false if the settings lack the server or the adapter.
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
	rules = Rules{Lease: kp.lease, TakeTurns: kp.batchRenewals, Prompt: kp.replicas != nil, Address: bs.Address(), Reserve: bs.AdapterReserve(), TakeoverReserve: takeoverReserve(st)}
	if ek, ok := st.EngineKind(bs.Kind()); ok {
		rules.ChecksFencing, rules.CountsOrders, rules.Bound = ek.ChecksFencing(), ek.CountsOrders(), ek.LateOrderBound()
	}
	return rules, ad.Memory(), true
}

// takeoverReserve returns the memory in bytes of the maxUnanswered largest
// adapters.
func takeoverReserve(st *configurer.Settings) int64 {
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

// takeoverTime is how long it usually takes until orders can be sent again after
// a server's owner was lost.
const takeoverTime = 2 * time.Second

// notReady is an ErrNotReady with the time after which another try makes sense.
type notReady struct {
	error
	after time.Duration
}

// Unwrap returns the error without the time.
func (nr *notReady) Unwrap() error { return nr.error }

// RetryAfter returns the time after which another try makes sense.
func (nr *notReady) RetryAfter() time.Duration { return nr.after }

// notReadyError returns the error for a reason for which an adapter is not ready.
func (kp *Keeper) notReadyError(tg target, reason string) error {
	err := errors.Wrapf(ErrNotReady, "%s on %s: %s", tg.adapter, tg.server, reason)
	switch reason {
	case reasonNoRoom:
		return &notReady{err, kp.lease}
	case reasonNoOwner, reasonNewOwner, reasonUnreachable:
		return &notReady{err, takeoverTime}
	}
	return err
}

// ErrNotReady means that an adapter could not be made ready. The request that
// needs it was not sent to the server.
var ErrNotReady = errors.New("adapter is not ready")
