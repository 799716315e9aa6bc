// Package admitter decides when a request may go to a backend server, and to
// which one.
//
// Requests wait in the node, not in the engines: a Scheduler sends a backend
// server no more than its window, which is its slots less what other nodes use,
// and never less than the node's fair part. What waits is ordered by class, by
// fairness between callers and by deadline. A request that has no chance to
// meet its deadline is refused at once.
//
// The Scheduler is a plain state machine that takes the time as a parameter;
// the Admitter puts a lock and the waiting around it.
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
// The control loop calls Refresh once a pass, so that what waits learns of new
// load, new replicas and a new configuration.
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
	// GrantBalanced says that each grant is given back exactly once.
	GrantBalanced checker.Invariant = "grant-balanced"
	// WindowKept says that no grant exceeds a server's window.
	WindowKept checker.Invariant = "window-kept"
	// QueueBounded says that the queue keeps within its limits.
	QueueBounded checker.Invariant = "queue-bounded"
)

// Health says how much of its normal share of work a server should get, from 0
// for none to 1 for all.
type Health interface {
	// Weight returns the part of its share that the server should get now.
	Weight(server string) float64
}

// Admitter holds the requests that wait on one node.
type Admitter struct {
	watch     *watcher.Watcher
	now       func() time.Time
	mu        sync.Mutex
	scheduler *Scheduler
	tables    *tableBuilder
	seen      *watcher.Snapshot
	settings  *configurer.Settings
	nodes     func() int
	registry  *counter.Registry
	options   []SchedulerOption
}

// Option changes an Admitter that is being made.
type Option func(*Admitter)

// WithNow makes the admitter read the time from fn.
func WithNow(fn func() time.Time) Option { return func(ad *Admitter) { ad.now = fn } }

// WithNodes tells the admitter how many nodes are alive.
func WithNodes(fn func() int) Option { return func(ad *Admitter) { ad.nodes = fn } }

// WithCounters makes the admitter count in the registry.
func WithCounters(rg *counter.Registry) Option { return func(ad *Admitter) { ad.registry = rg } }

// WithScheduler passes options to the scheduler.
func WithScheduler(opts ...SchedulerOption) Option {
	return func(ad *Admitter) { ad.options = append(ad.options, opts...) }
}

// New returns an admitter over the watched servers.
func New(wt *watcher.Watcher, hl Health, random *rand.Rand, opts ...Option) *Admitter {
	ad := &Admitter{
		watch:  wt,
		now:    time.Now,
		tables: newTableBuilder(),
		nodes:  func() int { return 1 },
	}
	for _, opt := range opts {
		opt(ad)
	}
	base := []SchedulerOption{WithHealth(hl), WithLiveNodes(ad.nodes)}
	ad.scheduler = NewScheduler(random, append(base, ad.options...)...)
	return ad
}

// Admit waits until the request may be sent, or refuses it. A refusal has
// outcome not-run.
func (ad *Admitter) Admit(ctx context.Context, st *configurer.Settings, tk *Ticket) (*Grant, *refuser.Refusal) {
	ad.mu.Lock()
	ad.ensure(st)
	en, rf := ad.scheduler.Submit(ad.now(), tk)
	ad.mu.Unlock()
	if rf != nil {
		return nil, ad.refuse(rf)
	}
	select {
	case <-en.ready:
	case <-ctx.Done():
		ad.withdraw(en)
	}
	if en.refusal != nil {
		return nil, ad.refuse(en.refusal)
	}
	if err := ctx.Err(); err != nil {
		ad.giveBack(en, Result{})
		return nil, ad.refuse(leftRefusal(err))
	}
	ad.registry.Inc("admission-grant", tk.Class.Name())
	en.grant = Grant{server: en.target.Name, address: en.target.Address, entry: en, admitter: ad}
	return &en.grant, nil
}

// Refresh takes in the latest load and configuration, and grants what has
// become possible.
func (ad *Admitter) Refresh(st *configurer.Settings) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.refresh(st)
	ad.scheduler.Tick(ad.now())
	ad.registry.Set(int64(ad.scheduler.Waiting()), "admission-queue", "requests")
	ad.registry.Set(ad.scheduler.WaitingBytes(), "admission-queue", "bytes")
}

// Revise puts a new configuration in force. Requests that wait for something
// that it removed are refused.
func (ad *Admitter) Revise(st *configurer.Settings) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.refresh(st)
}

// Outstanding returns the requests of this node on each server that it uses,
// for the exchange of load.
func (ad *Admitter) Outstanding() map[string]router.Use {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.scheduler.Outstanding(ad.now())
}

// refresh takes in a new snapshot or new settings, with the lock held.
func (ad *Admitter) refresh(st *configurer.Settings) {
	now := ad.now()
	sn := ad.watch.Snapshot()
	if sn == ad.seen && st == ad.settings {
		return
	}
	if st != ad.settings {
		ad.scheduler.Revise(now, st)
	}
	ad.seen, ad.settings = sn, st
	ad.scheduler.Update(now, ad.tables.build(st, sn, ad.nodes(), now))
}

// ensure takes in a new snapshot. The settings of a request count only at the
// very start: later ones come through Refresh and Revise alone, as a request
// may have been read under an older revision than the one in force.
func (ad *Admitter) ensure(st *configurer.Settings) {
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

func (ad *Admitter) giveBack(en *Entry, rs Result) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.scheduler.Finish(ad.now(), en, rs)
}

func (ad *Admitter) refuse(rf *refuser.Refusal) *refuser.Refusal {
	ad.registry.Inc("admission-refusal", string(rf.Reason()))
	return rf
}

func leftRefusal(err error) *refuser.Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return refuser.New(refuser.DeadlinePassed, "the deadline passed before the request could be sent")
	}
	return refuser.New(refuser.Cancelled, "the caller left before the request could be sent")
}
