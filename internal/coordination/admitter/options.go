package admitter

import (
	"math/rand/v2"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/estimator"
	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/coordination/throttler"
)

// SchedulerOption configures a Scheduler.
type SchedulerOption func(*Scheduler)

// WithPolicy sets the routing policy; the default is router.NewAffinity.
func WithPolicy(pl router.Policy) SchedulerOption {
	return func(sc *Scheduler) { sc.policy = pl }
}

// WithHealth sets the source of server health; by default every weight is 1.
func WithHealth(hl Health) SchedulerOption { return func(sc *Scheduler) { sc.health = hl } }

// WithReachability sets what knows which servers are down; by default none is.
func WithReachability(rc Reachability) SchedulerOption {
	return func(sc *Scheduler) { sc.reachability = rc }
}

// WithAdapterStandings sets what knows where adapters can be used; by default only the
// servers' reports tell.
func WithAdapterStandings(as AdapterStandings) SchedulerOption {
	return func(sc *Scheduler) { sc.adapters = as }
}

// WithQuota sets the quota of callers; the default is a LocalQuota.
func WithQuota(qt Quota) SchedulerOption { return func(sc *Scheduler) { sc.quota = qt } }

// WithLiveNodes sets the function that returns the number of live nodes; the
// default returns 1.
func WithLiveNodes(fn func() int) SchedulerOption { return func(sc *Scheduler) { sc.liveNodes = fn } }

// WithLocation sets the node's id, availability zone and region.
func WithLocation(id, zone, region string) SchedulerOption {
	return func(sc *Scheduler) { sc.nodeID, sc.zone, sc.region = id, zone, region }
}

// WithConnections sets the function that returns how many connections to the server at the
// address the node's requests may have; 0, the default, means no limit.
func WithConnections(fn func(address string) int) SchedulerOption {
	return func(sc *Scheduler) { sc.connections = fn }
}

// WithSignals says that the scheduler observes what servers say in their answers.
func WithSignals() SchedulerOption { return func(sc *Scheduler) { sc.signals = true } }

// WithMembers sets the function that returns the ids of the nodes that may use the servers
// of a pool, and share their limits; by default the node has these for itself.
func WithMembers(fn func(pool string) []string) SchedulerOption {
	return func(sc *Scheduler) { sc.members = fn }
}

// WithOnDecision sets a function that is called for each entry that leaves the
// queue, granted or refused. Withdrawn entries are left out.
func WithOnDecision(fn func(*Entry)) SchedulerOption {
	return func(sc *Scheduler) { sc.onDecision = fn }
}

// NewScheduler returns a Scheduler without settings and servers. Call
// ApplySettings and Update before the first Submit.
func NewScheduler(random *rand.Rand, opts ...SchedulerOption) *Scheduler {
	sc := &Scheduler{
		random:         random,
		liveNodes:      func() int { return 1 },
		places:         map[string]place{},
		connections:    func(string) int { return 0 },
		members:        func(string) []string { return nil },
		queues:         map[string]*modelQueue{},
		servers:        map[string]*serverState{},
		stats:          map[string]*modelStats{},
		callers:        newCallerUses(),
		meanMemory:     map[string]float64{},
		table:          router.NewTable(nil, 1),
		onDecision:     func(*Entry) {},
		splitModels:    map[string]bool{},
		engines:        estimator.New(),
		excluded:       map[replica]time.Time{},
		commonPrefixes: router.NewCommonPrefixes(),
		reachability:   allReachable{},
		absences:       map[string]time.Time{},
	}
	sc.prefillTime = func(tokens int) time.Duration { return sc.engines.PrefillTime(sc.request.Model, tokens) }
	for _, opt := range opts {
		opt(sc)
	}
	sc.throttle = throttler.New(sc.nodeID, func(server string) []string {
		if tg, ok := sc.table.Target(server); ok {
			return sc.members(tg.Pool)
		}
		return nil
	})
	sc.request.Weight = sc.weight
	if sc.adapters != nil {
		sc.request.HasAdapter = func(tg *router.Target) bool { return sc.adapters.Holds(tg.Name, sc.request.Adapter) }
	}
	sc.eligible = func(tg *router.Target) bool { return sc.fits(sc.choosingAt, sc.choosing, tg) }
	sc.eligiblePrefill = func(tg *router.Target) bool { return sc.prefillServerFits(sc.choosingAt, tg) }
	if sc.policy == nil {
		sc.policy = router.NewAffinity(random, func() int { return sc.liveNodes() })
	}
	if sc.quota == nil {
		sc.quota = NewLocalQuota(func() int { return sc.liveNodes() })
	}
	return sc
}
