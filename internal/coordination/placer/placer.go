// Package placer keeps the plan of models in force: it collects demand, lets
// the planner change the plan, and spreads each new plan to all nodes.
//
// One node at a time holds the plan, by the claim on Resource. The plan is one
// value in the platform's store, written by compare-and-swap with the claim's
// epoch, so that plans form one chain whoever writes them: of two nodes that
// take themselves for the holder, one write counts, and the other node reads it
// before it plans again. A plan is in force only once its write is known to
// have taken effect. A new holder goes on from the record, with the moves made
// lately and the demand seen, and never from nothing.
//
// Every node fetches a newer plan from peers as soon as it hears of its number,
// from the store if no peer has it, and never puts an older one in force. With
// the store down the last plan stays in force and nothing new is planned.
//
// # Usage
//
//	pc := placer.New(nodeID, store, claimer, prober.View, pool, prober.Spreader())
//	pc.Tick(ctx, time.Now(), placer.Situation{...}) // about once a second
//	if rc := pc.Current(); rc != nil { rc.Plan().Models("w1") }
//
// Tick is called by one goroutine. Current and Handle are safe in any.
package placer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/spreader"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const (
	// Resource names the claim of the plan's holder.
	Resource = "planner"
	// key is where the plan is in the store, and the entry that spreads its
	// number.
	key = "plan"
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
)

// PlanForward says that a node never puts an older plan in force.
const PlanForward checker.Invariant = "plan-forward"

// ErrUnexpected means that a peer gave an answer of another kind.
var ErrUnexpected = errors.New("unexpected answer from a peer")

// Claims gives the plan one holder at a time.
type Claims interface {
	// Hold returns the epoch under which the node holds the resource.
	Hold(ctx context.Context, resource string) (int64, error)
}

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Situation is what the node knows when it plans.
type Situation struct {
	// Settings are the settings in force.
	Settings *configurer.Settings
	// Usable says which backend servers may hold models.
	Usable planner.Usable
	// Silent says which backend servers do not answer; one that leaves and says
	// so is not silent. Nil means those that are not usable.
	Silent func(server string) bool
	// Serving says by the reports which replicas serve.
	Serving func(model, server string) bool
	// Held returns the models that serve on a server.
	Held func(server string) []string
	// Demand measures what the node's own callers want. It is called once
	// in a planning interval.
	Demand func() planner.Demand
}

// Placer keeps the plan on one node.
type Placer struct {
	self     string
	store    storer.Store
	claims   Claims
	view     func() *prober.View
	caller   Caller
	spread   *spreader.Spreader
	random   *rand.Rand
	registry *counter.Registry
	current  atomic.Pointer[planner.Record]
	reports  *Collector

	settings  *configurer.Settings
	nextPass  time.Time
	nextFetch time.Time
	wanted    spreader.Version
	tenure    tenure
}

// Option changes a Placer that is being made.
type Option func(*Placer)

// WithRandom sets the source of choices among peers.
func WithRandom(random *rand.Rand) Option { return func(pc *Placer) { pc.random = random } }

// WithRegistry counts what the placer does.
func WithRegistry(rg *counter.Registry) Option { return func(pc *Placer) { pc.registry = rg } }

// New returns the placer of the node self, without a plan.
func New(self string, st storer.Store, cl Claims, view func() *prober.View, caller Caller, sp *spreader.Spreader, opts ...Option) *Placer {
	pc := &Placer{
		self:    self,
		store:   st,
		claims:  cl,
		view:    view,
		caller:  caller,
		spread:  sp,
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

// Tick learns of newer plans, and reports demand and plans when that is due:
// once in an interval, when the settings have changed, and while there is no
// plan.
func (pc *Placer) Tick(ctx context.Context, now time.Time, sn Situation) {
	pc.follow(ctx, now)
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

// install puts a plan in force unless it is older than the one that is.
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
		pc.spread.Publish(key, versionOf(rc), nil)
		return true
	}
}

func checkForward(old, rc *planner.Record) {
	ok := old == nil || rc.Newer(old) && rc.Number() > old.Number()
	checker.Assert(PlanForward, ok, "plan %d is put in force in place of another", rc.Number())
}

func versionOf(rc *planner.Record) spreader.Version {
	if rc == nil {
		return spreader.Version{}
	}
	return spreader.Version{Epoch: rc.Epoch(), Seq: rc.Number()}
}

// Handle answers peers that report demand or fetch the plan.
func (pc *Placer) Handle(call messenger.Message) (messenger.Message, error) {
	rc := pc.Current()
	switch ms := call.(type) {
	case *messenger.DemandReport:
		pc.reports.Note(time.Now(), ms)
		vn := versionOf(rc)
		return &messenger.DemandReceived{Epoch: vn.Epoch, Number: vn.Seq}, nil
	case *messenger.PlanFetch:
		wanted := spreader.Version{Epoch: ms.Epoch, Seq: ms.Number}
		if rc == nil || wanted.Newer(versionOf(rc)) {
			return &messenger.PlanFetched{}, nil
		}
		value, err := rc.Encode()
		return &messenger.PlanFetched{Record: value}, err
	}
	return nil, ErrUnexpected
}
