package watcher

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/gossiper"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// tickInterval is the time between two checks of what is due.
	tickInterval = 250 * time.Millisecond
	// reviewInterval is the time between two reviews of who owns which server.
	reviewInterval = 500 * time.Millisecond
	// pollInterval is the mean time between two polls of a server.
	pollInterval = time.Second
	// fastPollInterval is the same for a server whose last poll failed, or that
	// is loading.
	fastPollInterval = 250 * time.Millisecond
	// adapterInterval times the number of servers is the least time between two
	// entries about a server that change only its adapters.
	adapterInterval = 2 * time.Second
	// jitterShare is the largest relative deviation of an interval, up or down.
	jitterShare = 0.25
	// failureLimit is the number of failed polls in a row after which a server
	// counts as not ready.
	failureLimit = 3
	// newDirectPerReview bounds how many servers without an entry become
	// directly polled in one review.
	newDirectPerReview = 4
	// maxDirect is the number of directly polled servers from which on servers
	// without an entry are no longer added.
	maxDirect = 64
	// directGracePeriod is how long a node waits for entries from its peers
	// before it polls servers that it does not own.
	directGracePeriod = 2 * time.Second
)

// trackedServer is the state of one server. It is guarded by the watcher's
// mutex.
type trackedServer struct {
	server *configurer.BackendServer
	// owned says that this node owns the server and polls it for all nodes.
	owned bool
	// direct says that this node polls the server for itself although it does
	// not own it.
	direct bool
	// polling says that a poll is in progress.
	polling bool
	// nextPoll is when the next poll is due.
	nextPoll time.Time
	// failures counts the failed polls in a row.
	failures int
	// polled says that report is the result of a poll.
	polled bool
	report Report
	// gossiped is the residency that the server's owner published; nil if
	// unknown.
	gossiped *residency
	// version is the version of the last entry that this node published.
	version     gossiper.Version
	publishedAt time.Time
	// leavingBoot is the boot that is leaving; empty if none is.
	leavingBoot string
	// unlistedFrom is the number of the first read of the list that no longer
	// named the server as leaving; 0 if the list names it, or the server is not
	// leaving.
	unlistedFrom int64
}

// unreachable reports whether too many polls in a row failed.
func (tr *trackedServer) unreachable() bool { return tr.failures >= failureLimit }

// effectiveReport returns the last poll result if this node polls the server,
// or else the gossiped residency, and whether there is either.
func (tr *trackedServer) effectiveReport(names map[nameHash]string) (Report, bool) {
	if tr.owned && tr.unreachable() {
		return Report{}, false
	}
	if tr.polled && (tr.owned || tr.direct) {
		return tr.report, true
	}
	if tr.gossiped == nil || !tr.gossiped.ready {
		return Report{}, false
	}
	return tr.gossiped.report(tr.server.Name(), tr.server.Address(), names), true
}

// Run polls this node's servers until the context ends, and keeps the snapshot
// up to date. It always returns nil.
func (wt *Watcher) Run(ctx context.Context, settings func() *configurer.Settings) error {
	defer wt.polls.Wait()
	tk := time.NewTicker(tickInterval)
	defer tk.Stop()
	for {
		if st := settings(); st != nil {
			wt.applySettings(st)
			wt.tick(ctx, time.Now(), st.BackendServers())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tk.C:
		}
	}
}

// applySettings indexes the names in the settings by hash.
func (wt *Watcher) applySettings(st *configurer.Settings) {
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

// tick starts the polls that are due and stores a new snapshot if something
// changed.
func (wt *Watcher) tick(ctx context.Context, now time.Time, servers []*configurer.BackendServer) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if wt.startedAt.IsZero() {
		wt.startedAt = now
	}
	if !now.Before(wt.nextReview) || len(servers) != len(wt.servers) {
		wt.nextReview = now.Add(reviewInterval)
		wt.review(now, servers)
	}
	wt.markListedLeaving()
	for _, tr := range wt.servers {
		if (tr.owned || tr.direct) && !tr.polling && !now.Before(tr.nextPoll) {
			wt.startPoll(ctx, tr)
		}
	}
	if wt.changed || wt.exchange != nil && wt.exchange.changed() {
		wt.rebuildSnapshot(now)
	}
}

// review applies the settings' servers and decides which of them this node
// polls.
func (wt *Watcher) review(now time.Time, servers []*configurer.BackendServer) {
	wt.syncServers(servers)
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
			tr.nextPoll = now.Add(wt.jitter(fastPollInterval))
		}
		direct := !owned && (unanswered[name] || tr.direct && tr.gossiped == nil && !tr.unreachable())
		if !owned && !direct && tr.gossiped == nil && budget > 0 {
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

// directBudget returns how many more servers without an entry the node may
// start to poll directly.
func (wt *Watcher) directBudget(now time.Time) int {
	if now.Sub(wt.startedAt) < directGracePeriod {
		return 0
	}
	count := 0
	for _, tr := range wt.servers {
		if tr.direct {
			count++
		}
	}
	return min(newDirectPerReview, max(maxDirect-count, 0))
}

// syncServers makes the tracked servers those of the settings.
func (wt *Watcher) syncServers(servers []*configurer.BackendServer) {
	present := make(map[string]bool, len(servers))
	for _, bs := range servers {
		present[bs.Name()] = true
		tr, ok := wt.servers[bs.Name()]
		if !ok {
			tr = &trackedServer{}
			wt.servers[bs.Name()] = tr
			wt.loadEntries(bs.Name(), tr)
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

// startPoll polls a server in a goroutine.
func (wt *Watcher) startPoll(ctx context.Context, tr *trackedServer) {
	tr.polling = true
	bs := tr.server
	wt.polls.Go(func() {
		rp, err := wt.read(ctx, bs)
		if ctx.Err() != nil {
			return
		}
		wt.mu.Lock()
		defer wt.mu.Unlock()
		tr.polling = false
		wt.applyPoll(time.Now(), tr, rp, err)
	})
}

// applyPoll applies the result of a poll and publishes what changed.
func (wt *Watcher) applyPoll(now time.Time, tr *trackedServer, rp Report, err error) {
	wt.changed = true
	if err != nil {
		wt.registry.Inc("load-poll", "failed")
		tr.failures++
		tr.nextPoll = now.Add(wt.jitter(fastPollInterval))
		if tr.unreachable() {
			tr.polled = false
			wt.publish(now, tr, residency{})
		}
		return
	}
	wt.registry.Inc("load-poll", "read")
	interval := pollInterval
	if len(rp.Loading) > 0 {
		interval = fastPollInterval
	}
	tr.nextPoll = now.Add(wt.jitter(interval))
	rp.BootID = shortBoot(rp.BootID)
	tr.failures, tr.polled, tr.report = 0, true, rp
	rp.Leaving = rp.Leaving || tr.bootIsLeaving(rp.BootID)
	rs, complete := residencyOf(rp)
	if !complete {
		wt.registry.Inc("residency", "truncated")
	}
	wt.publish(now, tr, rs)
	if rp.Leaving && tr.owned {
		wt.markLeaving(tr.server.Name(), tr)
	}
}

// jitter returns dn, made longer or shorter by a random share of it, at most
// jitterShare.
func (wt *Watcher) jitter(dn time.Duration) time.Duration {
	return time.Duration(float64(dn) * (1 + jitterShare*(2*wt.random.Float64()-1)))
}
