package admitter

import (
	"math/rand/v2"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/estimator"
	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
)

// SchedulerOption changes a Scheduler that is being made.
type SchedulerOption func(*Scheduler)

// WithPolicy sets the routing policy.
func WithPolicy(pl router.Policy) SchedulerOption {
	return func(sc *Scheduler) { sc.policy = pl }
}

// WithHealth sets where the health of servers comes from.
func WithHealth(hl Health) SchedulerOption { return func(sc *Scheduler) { sc.health = hl } }

// WithQuota sets the limiter of callers.
func WithQuota(qt Quota) SchedulerOption { return func(sc *Scheduler) { sc.quota = qt } }

// WithLiveNodes tells the scheduler how many nodes are alive.
func WithLiveNodes(fn func() int) SchedulerOption { return func(sc *Scheduler) { sc.nodes = fn } }

// WithLocation sets the node's id, availability zone and region.
func WithLocation(id, zone, region string) SchedulerOption {
	return func(sc *Scheduler) { sc.nodeID, sc.zone, sc.region = id, zone, region }
}

// WithOnGrant makes the scheduler call fn for each entry that leaves the queue,
// granted or refused.
func WithOnGrant(fn func(*Entry)) SchedulerOption { return func(sc *Scheduler) { sc.onGrant = fn } }

// NewScheduler returns a scheduler without settings; Revise and Update come
// before the first Submit.
func NewScheduler(random *rand.Rand, opts ...SchedulerOption) *Scheduler {
	sc := &Scheduler{
		random:   random,
		nodes:    func() int { return 1 },
		queues:   map[string]*modelQueue{},
		servers:  map[string]*serverState{},
		services: map[string]*modelService{},
		table:    router.NewTable(nil, 1),
		onGrant:  func(*Entry) {},
		roles:    map[string]bool{},
		engines:  estimator.New(),
		barred:   map[replica]time.Time{},
		common:   router.NewCommonPrefixes(),
	}
	sc.reading = func(tokens int) time.Duration { return sc.engines.Reading(sc.request.Model, tokens) }
	for _, opt := range opts {
		opt(sc)
	}
	sc.request.Weight = sc.weight
	sc.eligible = func(tg *router.Target) bool { return sc.fits(sc.askedAt, sc.asking, tg) }
	sc.prefills = func(tg *router.Target) bool { return sc.prefillFits(sc.askedAt, tg) }
	if sc.policy == nil {
		sc.policy = router.NewAffinity(random, func() int { return sc.nodes() })
	}
	if sc.quota == nil {
		sc.quota = NewLocalQuota(func() int { return sc.nodes() })
	}
	return sc
}
