package watcher

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/spreader"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// tickInterval is the time between two looks at what is due.
	tickInterval = 250 * time.Millisecond
	// reviewInterval is the time between two looks at who owns what.
	reviewInterval = 500 * time.Millisecond
	// pollInterval is the mean time between two polls of one server.
	pollInterval = time.Second
	// quickInterval is the same for a server that failed or loads something.
	quickInterval = 250 * time.Millisecond
	// adapterInterval is the time between two entries about a server that change
	// its adapters alone, for each server that there is.
	adapterInterval = 2 * time.Second
	// jitterShare is how far an interval is drawn up or down.
	jitterShare = 0.25
	// failuresAllowed is how many polls in a row have to fail before a server
	// counts as not ready.
	failuresAllowed = 3
	// directPolls bounds the polls of servers of which nothing is known that
	// are begun in one review.
	directPolls = 4
	// directKept bounds the servers of which nothing was spread that are polled
	// all the same.
	directKept = 64
	// directGrace is how long a node waits for the table from its peers before
	// it polls servers that it does not own.
	directGrace = 2 * time.Second
)

// tracked is what the node knows of one server. It is guarded by the watcher's
// lock.
type tracked struct {
	server *configurer.BackendServer
	// owned says that this node polls the server for all.
	owned bool
	// direct says that this node polls it for itself.
	direct bool
	// busy says that a poll is on its way.
	busy     bool
	next     time.Time
	failures int
	polled   bool
	report   Report
	// spread is what the server's owner spread, if known.
	spread *residency
	// version is that of the last entry that this node published.
	version     spreader.Version
	publishedAt time.Time
	leavingBoot string
	// staysFrom is the reading of the list from which on the server is no
	// longer named as leaving; 0 if it is.
	staysFrom int64
}

// lost reports whether the owner's polls failed too often.
func (tr *tracked) lost() bool { return tr.failures >= failuresAllowed }

// compose returns the report that counts for the node.
func (tr *tracked) compose(names map[nameHash]string) (Report, bool) {
	if tr.owned && tr.lost() {
		return Report{}, false
	}
	if tr.polled && (tr.owned || tr.direct) {
		return tr.report, true
	}
	if tr.spread == nil || !tr.spread.ready {
		return Report{}, false
	}
	return tr.spread.report(tr.server.Name(), tr.server.Address(), names), true
}

// Run polls what this node owns until the context ends, and keeps the snapshot
// up to date. It waits for no server.
func (wt *Watcher) Run(ctx context.Context, settings func() *configurer.Settings) error {
	defer wt.polls.Wait()
	tk := time.NewTicker(tickInterval)
	defer tk.Stop()
	for {
		if st := settings(); st != nil {
			wt.resolve(st)
			wt.tick(ctx, time.Now(), st.BackendServers())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tk.C:
		}
	}
}

// resolve takes in the names that the settings know.
func (wt *Watcher) resolve(st *configurer.Settings) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if wt.settings == st {
		return
	}
	wt.settings = st
	wt.changed = true
	wt.names = map[nameHash]string{}
	for _, md := range st.Models() {
		wt.names[hashName(md.Name())] = md.Name()
	}
	for _, ad := range st.Adapters() {
		wt.names[hashName(ad.Name())] = ad.Name()
	}
}

// tick begins the polls that are due and puts a new snapshot in place if
// something changed.
func (wt *Watcher) tick(ctx context.Context, now time.Time, servers []*configurer.BackendServer) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if wt.began.IsZero() {
		wt.began = now
	}
	if !now.Before(wt.nextReview) || len(servers) != len(wt.servers) {
		wt.nextReview = now.Add(reviewInterval)
		wt.review(now, servers)
	}
	wt.noteDeparting()
	for _, tr := range wt.servers {
		if (tr.owned || tr.direct) && !tr.busy && !now.Before(tr.next) {
			wt.begin(ctx, tr)
		}
	}
	if wt.changed || wt.exchange != nil && wt.exchange.changed() {
		wt.rebuild(now)
	}
}

// review takes in the servers of the settings and who owns them.
func (wt *Watcher) review(now time.Time, servers []*configurer.BackendServer) {
	wt.track(servers)
	unanswered := map[string]bool{}
	if wt.exchange != nil {
		unanswered = wt.exchange.unanswered(now)
	}
	budget := wt.directBudget(now)
	for name, tr := range wt.servers {
		owned := wt.owns(name)
		if owned != tr.owned {
			wt.changed = true
			tr.owned, tr.failures = owned, 0
			tr.next = now.Add(wt.jitter(quickInterval))
		}
		direct := !owned && (unanswered[name] || tr.direct && tr.spread == nil && !tr.lost())
		if !owned && !direct && tr.spread == nil && budget > 0 {
			budget--
			direct = true
		}
		if direct && !tr.direct {
			tr.failures = 0
			wt.registry.Inc("load-poll", "direct")
		}
		tr.direct = direct
		tr.polled = tr.polled && (owned || direct)
	}
}

// directBudget returns how many more unknown servers the node may poll itself.
func (wt *Watcher) directBudget(now time.Time) int {
	if now.Sub(wt.began) < directGrace {
		return 0
	}
	kept := 0
	for _, tr := range wt.servers {
		if tr.direct {
			kept++
		}
	}
	return min(directPolls, max(directKept-kept, 0))
}

// track follows the servers of the settings.
func (wt *Watcher) track(servers []*configurer.BackendServer) {
	present := make(map[string]bool, len(servers))
	for _, bs := range servers {
		present[bs.Name()] = true
		tr, ok := wt.servers[bs.Name()]
		if !ok {
			tr = &tracked{}
			wt.servers[bs.Name()] = tr
			wt.recall(bs.Name(), tr)
			wt.changed = true
		}
		if tr.server == nil || tr.server.Address() != bs.Address() {
			tr.polled, tr.failures = false, 0
		}
		tr.server = bs
	}
	for name := range wt.servers {
		if !present[name] {
			delete(wt.servers, name)
			wt.changed = true
		}
	}
}

// begin polls a server side by side with others.
func (wt *Watcher) begin(ctx context.Context, tr *tracked) {
	tr.busy = true
	bs := tr.server
	wt.polls.Go(func() {
		rp, err := wt.read(ctx, bs)
		if ctx.Err() != nil {
			return
		}
		wt.mu.Lock()
		defer wt.mu.Unlock()
		tr.busy = false
		wt.take(time.Now(), tr, rp, err)
	})
}

// take takes in the result of a poll and publishes what changed.
func (wt *Watcher) take(now time.Time, tr *tracked, rp Report, err error) {
	wt.changed = true
	if err != nil {
		wt.registry.Inc("load-poll", "failed")
		tr.failures++
		tr.next = now.Add(wt.jitter(quickInterval))
		if tr.lost() {
			tr.polled = false
			wt.publish(now, tr, residency{})
		}
		return
	}
	wt.registry.Inc("load-poll", "read")
	interval := pollInterval
	if len(rp.Loading) > 0 {
		interval = quickInterval
	}
	tr.next = now.Add(wt.jitter(interval))
	rp.BootID = shortBoot(rp.BootID)
	tr.failures, tr.polled, tr.report = 0, true, rp
	rp.Leaving = rp.Leaving || tr.leaves(rp.BootID)
	rs, full := residencyOf(rp)
	if !full {
		wt.registry.Inc("residency", "truncated")
	}
	wt.publish(now, tr, rs)
	if rp.Leaving && tr.owned {
		wt.depart(tr.server.Name(), tr)
	}
}

func (wt *Watcher) jitter(dn time.Duration) time.Duration {
	return time.Duration(float64(dn) * (1 + jitterShare*(2*wt.random.Float64()-1)))
}
