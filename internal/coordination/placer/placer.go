// Package placer maintains the plan that assigns models to backend servers. It
// collects demand from all nodes, runs the planner, and distributes each new
// plan to all nodes.
//
// One node at a time holds the plan: the node with the claim on Resource. The
// plan is a single value in the platform's store. It contains the claim's epoch
// and is written by compare-and-swap, so that plans form one chain. If two
// nodes both act as the holder, one write succeeds, and the other node reads
// that plan before it plans again. A plan comes into force only once its write
// is confirmed. A new holder continues from the stored record, which contains
// the recent moves and the observed demand.
//
// Every node fetches a newer plan as soon as it learns its number, from peers
// or else from the store, and never replaces its plan by an older one. During
// an outage of the store the last plan stays in force and no new plan is made.
//
// # Usage
//
//	pc := placer.New(nodeID, store, claimer, prober.View, pool, prober.Gossiper())
//	pc.Tick(ctx, time.Now(), placer.Situation{...}) // about once per second
//	if rc := pc.Current(); rc != nil { rc.Plan().Models("w1") }
//
// Tick must be called by one goroutine only. Current and Handle are safe for
// concurrent use.
package placer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/gossiper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const (
	// Resource is the name of the claim that the holder of the plan has.
	Resource = "planner"
	// storeKey is the key of the plan in the store, and of the gossip entry with
	// the plan's version.
	storeKey = "plan"
	// callTimeout is the timeout of one call to a peer.
	callTimeout = time.Second
)

// PlanForward is the invariant that a node never replaces its plan by an older
// one.
const PlanForward checker.Invariant = "plan-forward"

// ErrUnexpected is returned by Handle for a message that is neither a demand
// report nor a plan fetch.
var ErrUnexpected = errors.New("unexpected answer from a peer")

// Claims grants a resource to one node at a time.
type Claims interface {
	// Hold returns the epoch under which this node holds the resource, or an
	// error if it doesn't hold it.
	Hold(ctx context.Context, resource string) (int64, error)
}

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address and returns its answer.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Situation is a node's input to a planning pass.
type Situation struct {
	// Settings are the settings in force.
	Settings *configurer.Settings
	// Usable reports whether a backend server may hold models.
	Usable planner.Usable
	// Silent reports whether a backend server does not answer. A server that
	// announced that it leaves is not silent. If Silent is nil, the servers that
	// are not usable count as silent.
	Silent func(server string) bool
	// Serving reports whether the model's replica on the server is ready,
	// according to the server's reports.
	Serving func(model, server string) bool
	// ReportedModels returns the models that a server serves.
	ReportedModels func(server string) []string
	// Demand measures the demand of this node's own callers. It is called once
	// per planning interval.
	Demand func() planner.Demand
}

// Placer maintains the plan on one node.
type Placer struct {
	self   string
	store  storer.Store
	claims Claims
	view   func() *prober.View
	caller Caller
	// gossip publishes the version of the plan in force and receives newer ones.
	gossip   *gossiper.Gossiper
	random   *rand.Rand
	registry *counter.Registry
	// current is the record of the plan in force, or nil.
	current atomic.Pointer[planner.Record]
	// reports are the demand reports of all nodes, including this one.
	reports *Collector

	// settings are the settings of the last planning pass.
	settings *configurer.Settings
	// nextPass is when the next planning pass is due.
	nextPass time.Time
	// nextFetch is the earliest time of the next fetch after a failed one.
	nextFetch time.Time
	// newest is the newest plan version that this node knows of.
	newest gossiper.Version
	term   term
}

// Option configures a Placer.
type Option func(*Placer)

// WithRandom sets the random source for retry delays, samples and the choice of
// peers.
func WithRandom(random *rand.Rand) Option { return func(pc *Placer) { pc.random = random } }

// WithRegistry sets the registry of the placer's counters.
func WithRegistry(rg *counter.Registry) Option { return func(pc *Placer) { pc.registry = rg } }

// New returns a Placer for the node self. It has no plan until the first Tick.
func New(self string, st storer.Store, cl Claims, view func() *prober.View, caller Caller, gp *gossiper.Gossiper, opts ...Option) *Placer {
	pc := &Placer{
		self:    self,
		store:   st,
		claims:  cl,
		view:    view,
		caller:  caller,
		gossip:  gp,
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		reports: NewCollector(),
	}
	for _, opt := range opts {
		opt(pc)
	}
	return pc
}

// Current returns the record of the plan in force, or nil.
func (pc *Placer) Current() *planner.Record { return pc.current.Load() }

// Tick fetches a newer plan if there is one. Once per planning interval it
// reports demand and runs a planning pass. A pass also runs when the settings
// have changed and while there is no plan.
func (pc *Placer) Tick(ctx context.Context, now time.Time, sn Situation) {
	pc.fetchNewer(ctx, now)
	due := !now.Before(pc.nextPass)
	if due {
		pc.nextPass = now.Add(sn.Settings.Planning().Interval())
		pc.report(ctx, now, sn)
	}
	if due || pc.settings != sn.Settings || pc.Current() == nil {
		pc.pass(ctx, now, sn)
		pc.settings = sn.Settings
	}
}

// install puts a plan in force if it is newer than the current one, and reports
// whether it did.
func (pc *Placer) install(rc *planner.Record) bool {
	for {
		old := pc.current.Load()
		if old != nil && !rc.Newer(old) {
			return false
		}
		if !pc.current.CompareAndSwap(old, rc) {
			continue
		}
		checkForward(old, rc)
		pc.registry.Inc("plan", "in-force")
		pc.registry.Set(rc.Number(), "plan", "number")
		pc.gossip.Publish(storeKey, versionOf(rc), nil)
		return true
	}
}

func checkForward(old, rc *planner.Record) {
	ok := old == nil || rc.Newer(old) && rc.Number() > old.Number()
	checker.Assert(PlanForward, ok, "plan %d is put in force in place of another", rc.Number())
}

func versionOf(rc *planner.Record) gossiper.Version {
	if rc == nil {
		return gossiper.Version{}
	}
	return gossiper.Version{Epoch: rc.Epoch(), Seq: rc.Number()}
}

// Handle answers demand reports and plan fetches of peers. It returns
// ErrUnexpected for other messages.
func (pc *Placer) Handle(call messenger.Message) (messenger.Message, error) {
	rc := pc.Current()
	switch ms := call.(type) {
	case *messenger.DemandReport:
		pc.reports.Note(time.Now(), ms)
		vn := versionOf(rc)
		return &messenger.DemandReceived{Epoch: vn.Epoch, Number: vn.Seq}, nil
	case *messenger.PlanFetch:
		requested := gossiper.Version{Epoch: ms.Epoch, Seq: ms.Number}
		if rc == nil || requested.Newer(versionOf(rc)) {
			return &messenger.PlanFetched{}, nil
		}
		value, err := rc.Encode()
		return &messenger.PlanFetched{Record: value}, err
	}
	return nil, ErrUnexpected
}
