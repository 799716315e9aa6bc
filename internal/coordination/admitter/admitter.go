// Package admitter decides when a request may go to a backend server, and to
// which one.
//
// Requests queue in the node, not in the engines. A Scheduler sends a backend
// server at most its window of requests: the server's slots minus those that
// other nodes use, but at least the node's fair share. The queue is ordered by
// class, by fairness between callers and by deadline. A request that can't meet
// its deadline is refused at once.
//
// A first token comes only after the engine has processed the prompt. This
// phase is called prefill; the prompts that wait for it on a server are the
// server's backlog.
//
// The Scheduler is a state machine that takes the time as a parameter; the
// Admitter adds the lock and blocks the callers that wait.
//
// # Usage
//
//	ad := admitter.New(watcher, health, random, admitter.WithNodes(liveNodes))
//	gr, rf := ad.Admit(ctx, settings, ticket)
//	if rf != nil {
//		return rf // nothing was sent
//	}
//	defer func() { gr.Done(result) }()
//	send(gr.Address())
//
// The control loop calls Refresh once per pass, so that waiting requests can
// use new load reports, new replicas and a new configuration.
package admitter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/coordination/watcher"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// Invariants of admission.
const (
	// GrantBalanced says that each grant is released exactly once.
	GrantBalanced checker.Invariant = "grant-balanced"
	// WindowKept says that no grant exceeds the server's window.
	WindowKept checker.Invariant = "window-kept"
	// QueueBounded says that the queue stays within its limits.
	QueueBounded checker.Invariant = "queue-bounded"
)

// gaugeInterval is the time between two updates of the gauges of servers and callers.
const gaugeInterval = time.Second

// Health weights servers by their health.
type Health interface {
	// Weight returns the fraction of its normal share of work that the server
	// should get now, from 0 (none) to 1 (all).
	Weight(server string) float64
}

// Admitter queues the requests of one node. It is safe for concurrent use.
type Admitter struct {
	watch *watcher.Watcher
	now   func() time.Time
	// mu guards the fields up to settings.
	mu        sync.Mutex
	scheduler *Scheduler
	tables    *tableBuilder
	// lastSnapshot and settings are what the scheduler's table was built from;
	// nil before the first request or Refresh.
	lastSnapshot *watcher.Snapshot
	settings     *configurer.Settings
	// gaugedAt is the time of the last update of the gauges of servers and callers.
	gaugedAt time.Time
	// liveNodes returns the number of live nodes.
	liveNodes func() int
	// registry counts grants and refusals; may be nil.
	registry         *counter.Registry
	schedulerOptions []SchedulerOption
}

// Option configures an Admitter.
type Option func(*Admitter)

// WithNow sets the clock; the default is time.Now.
func WithNow(fn func() time.Time) Option { return func(ad *Admitter) { ad.now = fn } }

// WithNodes sets the function that returns the number of live nodes; the
// default returns 1.
func WithNodes(fn func() int) Option { return func(ad *Admitter) { ad.liveNodes = fn } }

// WithCounters sets the registry of the admitter's metrics.
func WithCounters(rg *counter.Registry) Option { return func(ad *Admitter) { ad.registry = rg } }

// WithScheduler passes options to the scheduler.
func WithScheduler(opts ...SchedulerOption) Option {
	return func(ad *Admitter) { ad.schedulerOptions = append(ad.schedulerOptions, opts...) }
}

// New returns an Admitter for the servers that the watcher observes.
func New(wt *watcher.Watcher, hl Health, random *rand.Rand, opts ...Option) *Admitter {
	ad := &Admitter{
		watch:     wt,
		now:       time.Now,
		tables:    newTableBuilder(),
		liveNodes: func() int { return 1 },
	}
	for _, opt := range opts {
		opt(ad)
	}
	base := []SchedulerOption{WithHealth(hl), WithLiveNodes(ad.liveNodes)}
	ad.scheduler = NewScheduler(random, append(base, ad.schedulerOptions...)...)
	return ad
}

// Admit blocks until the request may be sent, and returns a grant that the
// caller must release with Done. It returns a refusal with outcome not-run if
// the request is refused or ctx ends first.
func (ad *Admitter) Admit(ctx context.Context, st *configurer.Settings, tk *Ticket) (*Grant, *refuser.Refusal) {
	ad.mu.Lock()
	ad.refreshForRequest(st)
	en, rf := ad.scheduler.Submit(ad.now(), tk)
	ad.mu.Unlock()
	if rf != nil {
		return nil, ad.countRefusal(rf)
	}
	select {
	case <-en.ready:
	case <-ctx.Done():
		ad.withdraw(en)
	}
	if en.refusal != nil {
		return nil, ad.countRefusal(en.refusal)
	}
	if err := ctx.Err(); err != nil {
		ad.release(en, Result{})
		return nil, ad.countRefusal(contextRefusal(err))
	}
	ad.registry.Inc("admission-grant", tk.Class.Name())
	en.grant = Grant{server: en.target.Name, address: en.target.Address, entry: en, admitter: ad}
	return &en.grant, nil
}

// Refresh applies the latest load and configuration, refuses requests whose
// deadline has passed, and grants waiting requests that now have room.
func (ad *Admitter) Refresh(st *configurer.Settings) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.refresh(st)
	now := ad.now()
	ad.scheduler.Tick(now)
	if now.Sub(ad.gaugedAt) >= gaugeInterval {
		ad.gaugedAt = now
		for name, value := range ad.scheduler.gauges(now) {
			ad.registry.Set(value, "admission", name)
		}
	}
	ad.registry.Set(int64(ad.scheduler.Waiting()), "admission-queue", "requests")
	ad.registry.Set(ad.scheduler.WaitingBytes(), "admission-queue", "bytes")
}

// ApplySettings applies a new configuration. It refuses waiting requests that
// need something that the configuration no longer has.
func (ad *Admitter) ApplySettings(st *configurer.Settings) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.refresh(st)
}

// Outstanding returns, by server name, the number and the prefill backlog of
// this node's in-flight requests, for the load exchange between nodes.
func (ad *Admitter) Outstanding() map[string]router.Use {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.scheduler.Outstanding(ad.now())
}

// refresh applies a new snapshot or new settings. The caller holds mu.
func (ad *Admitter) refresh(st *configurer.Settings) {
	now := ad.now()
	sn := ad.watch.Snapshot()
	if sn == ad.lastSnapshot && st == ad.settings {
		return
	}
	if st != ad.settings {
		ad.scheduler.ApplySettings(now, st)
	}
	ad.lastSnapshot, ad.settings = sn, st
	ad.scheduler.Update(now, ad.tables.build(st, sn, ad.liveNodes(), now))
}

// refreshForRequest applies a new snapshot. The settings of a request are used
// only if there are none yet: a request may have been parsed under an older
// revision, so that later settings come through Refresh and ApplySettings
// alone.
func (ad *Admitter) refreshForRequest(st *configurer.Settings) {
	if ad.settings != nil {
		st = ad.settings
	}
	ad.refresh(st)
}

func (ad *Admitter) withdraw(en *Entry) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.scheduler.Withdraw(ad.now(), en)
}

func (ad *Admitter) release(en *Entry, rs Result) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.scheduler.Finish(ad.now(), en, rs)
}

func (ad *Admitter) countRefusal(rf *refuser.Refusal) *refuser.Refusal {
	ad.registry.Inc("admission-refusal", string(rf.Reason()))
	return rf
}

func contextRefusal(err error) *refuser.Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return refuser.New(refuser.DeadlinePassed, "the deadline passed before the request could be sent")
	}
	return refuser.New(refuser.Cancelled, "the caller left before the request could be sent")
}
