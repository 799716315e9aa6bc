package watcher

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

const (
	// useForgotten is the time after which a node that told nothing of a
	// server no longer counts as its user.
	useForgotten = 12 * time.Second
	// exchangeTimeout bounds one call to an owner.
	exchangeTimeout = 200 * time.Millisecond
	// viewTrusted is how long an owner's answer counts at least; after that the
	// node falls back on the server's own report.
	viewTrusted = 6 * time.Second
	// ownerSilence is how long an owner may leave calls unanswered before the
	// node polls the owner's servers that it uses itself: what the owner knew
	// last may be that a server is about to leave.
	ownerSilence = time.Second
	// trustedRounds is the same in rounds, if these are far apart.
	trustedRounds = 3
	// budgetBytes bounds what the calls of one node take a second. The node
	// answers about as many bytes of calls of others.
	budgetBytes = 1000.0
	// ownerBytes and serverBytes are the size of one call and its answer, by
	// owner and by server.
	ownerBytes  = 35.0
	serverBytes = 13.0
)

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Owner names the owner of a server: its address, and whether it is this node.
type Owner func(server string) (address string, self, ok bool)

// use is what one node told of one server.
type use struct {
	router.Use
	at time.Time
}

// state is what an owner told of one server.
type state struct {
	messenger.LoadState
	at time.Time
}

// Exchange keeps the load that nodes tell each other: as the owner of some
// servers it sums up what the nodes use of them; as a user of others it asks
// their owners. Only the servers in use are asked for, in one call an owner.
type Exchange struct {
	node  string
	mu    sync.Mutex
	uses  map[string]map[string]use
	views map[string]state
	// asked is since when servers in use have been asked for.
	asked map[string]time.Time
	// trusted is how long an owner's answer counts.
	trusted time.Duration
	// silence is how long an owner may leave calls unanswered.
	silence time.Duration
	// fresh says that views changed.
	fresh bool
	// leaving reports whether a server takes no new work.
	leaving func(server string) bool
	// next is when the budget lets the next round begin.
	next time.Time
	// budget bounds the bytes of calls a second.
	budget float64
}

// ExchangeOption changes an Exchange that is being made.
type ExchangeOption func(*Exchange)

// WithByteBudget sets how many bytes a second the calls of one node take.
func WithByteBudget(budget float64) ExchangeOption { return func(ex *Exchange) { ex.budget = budget } }

// NewExchange returns the exchange of the node of that id.
func NewExchange(node string, opts ...ExchangeOption) *Exchange {
	ex := &Exchange{
		node:    node,
		trusted: viewTrusted,
		silence: ownerSilence,
		uses:    map[string]map[string]use{},
		views:   map[string]state{},
		asked:   map[string]time.Time{},
		leaving: func(string) bool { return false },
		budget:  budgetBytes,
	}
	for _, opt := range opts {
		opt(ex)
	}
	return ex
}

// Answer takes in what a peer uses and returns the load of these servers.
func (ex *Exchange) Answer(now time.Time, ld *messenger.LoadDigest) *messenger.LoadView {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	lv := &messenger.LoadView{}
	for _, lu := range ld.Uses {
		ex.note(now, ld.Node, lu)
		lv.States = append(lv.States, ex.sum(now, ld.Node, lu.Server))
	}
	return lv
}

func (ex *Exchange) note(now time.Time, node string, lu messenger.LoadUse) {
	if ex.uses[lu.Server] == nil {
		ex.uses[lu.Server] = map[string]use{}
	}
	ex.uses[lu.Server][node] = use{router.Use{Requests: lu.Outstanding, Backlog: lu.Backlog}, now}
}

// sum adds up the other nodes' requests and forgets nodes that fell silent.
func (ex *Exchange) sum(now time.Time, node, server string) messenger.LoadState {
	ls := messenger.LoadState{Users: 1, Leaving: ex.leaving(server)}
	for id, us := range ex.uses[server] {
		if now.Sub(us.at) > useForgotten {
			delete(ex.uses[server], id)
			continue
		}
		if id == node {
			continue
		}
		ls.Others += us.Requests
		ls.Backlog += us.Backlog
		ls.Users++
		ls.Age = max(ls.Age, now.Sub(us.at))
	}
	return ls
}

// Round tells each owner what this node uses of its servers and takes in the
// answers, as often as the budget allows. It is called by one goroutine. An owner that can't be reached is left out: its servers fall back on
// their own reports.
func (ex *Exchange) Round(ctx context.Context, now func() time.Time, outstanding map[string]router.Use, owner Owner, caller Caller) {
	if now().Before(ex.next) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	ex.ask(now(), outstanding)
	digests := ex.digests(now(), outstanding, owner)
	interval := ex.roundInterval(digests)
	ex.next = now().Add(interval)
	ex.trust(max(viewTrusted, trustedRounds*interval), max(ownerSilence, trustedRounds*interval))
	var wg sync.WaitGroup
	for address, digest := range digests {
		wg.Go(func() {
			sent := now()
			answer, err := caller.Call(ctx, address, digest)
			if lv, ok := answer.(*messenger.LoadView); ok && err == nil {
				ex.take(sent, digest, lv)
			}
		})
	}
	wg.Wait()
}

// ask notes since when servers have been in use.
func (ex *Exchange) ask(now time.Time, outstanding map[string]router.Use) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for server := range outstanding {
		if _, ok := ex.asked[server]; !ok {
			ex.asked[server] = now
		}
	}
	for server := range ex.asked {
		if _, ok := outstanding[server]; !ok {
			delete(ex.asked, server)
			delete(ex.views, server)
		}
	}
}

// unanswered returns the servers in use whose owner has not answered lately.
func (ex *Exchange) unanswered(now time.Time) map[string]bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	servers := map[string]bool{}
	for server, since := range ex.asked {
		if now.Sub(since) > ex.silence && now.Sub(ex.views[server].at) > ex.silence {
			servers[server] = true
		}
	}
	return servers
}

// changed reports whether an answer came since it was last asked.
func (ex *Exchange) changed() bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	fresh := ex.fresh
	ex.fresh = false
	return fresh
}

// trust sets how long an owner's answer counts, and how long an owner may
// leave calls unanswered.
func (ex *Exchange) trust(trusted, silence time.Duration) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.trusted, ex.silence = trusted, silence
}

// roundInterval is how long the budget takes to pay for the calls.
func (ex *Exchange) roundInterval(digests map[string]*messenger.LoadDigest) time.Duration {
	sum := 0.0
	for _, digest := range digests {
		sum += ownerBytes + serverBytes*float64(len(digest.Uses))
	}
	return time.Duration(sum / ex.budget * float64(time.Second))
}

// digests groups the uses by owner and answers those of this node itself.
func (ex *Exchange) digests(now time.Time, outstanding map[string]router.Use, owner Owner) map[string]*messenger.LoadDigest {
	calls := map[string]*messenger.LoadDigest{}
	own := &messenger.LoadDigest{Node: ex.node}
	for _, server := range slices.Sorted(maps.Keys(outstanding)) {
		us := outstanding[server]
		address, self, ok := owner(server)
		if !ok {
			continue
		}
		digest := own
		if !self {
			if calls[address] == nil {
				calls[address] = &messenger.LoadDigest{Node: ex.node}
			}
			digest = calls[address]
		}
		digest.Uses = append(digest.Uses, messenger.LoadUse{Server: server, Outstanding: us.Requests, Backlog: us.Backlog})
	}
	ex.take(now, own, ex.Answer(now, own))
	return calls
}

// take takes in the answer to a digest; one that does not match it is dropped.
func (ex *Exchange) take(at time.Time, ld *messenger.LoadDigest, lv *messenger.LoadView) {
	if len(ld.Uses) != len(lv.States) {
		return
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.fresh = true
	for ix, lu := range ld.Uses {
		ex.views[lu.Server] = state{LoadState: lv.States[ix], at: at}
	}
}

// apply puts what the owner told into a report, if it is recent.
func (ex *Exchange) apply(rp Report, now time.Time) Report {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	st, ok := ex.views[rp.Server]
	age := now.Sub(st.at)
	if !ok || age > ex.trusted || age > ex.silence && !rp.Unmeasured {
		return rp
	}
	rp.Digested = true
	rp.Others, rp.Users, rp.Backlog = st.Others, st.Users, st.Backlog
	rp.Leaving = rp.Leaving || st.Leaving
	rp.Taken = st.at.Add(-st.Age)
	return rp
}
