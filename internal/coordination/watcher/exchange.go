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
	// useExpiry is how long a node counts as a user of a server after its last
	// digest that names the server.
	useExpiry = 12 * time.Second
	// exchangeTimeout bounds the calls of one round.
	exchangeTimeout = 200 * time.Millisecond
	// ownerStateLifetime is the least time for which an owner's answer is used.
	// After that the node uses the server's own report.
	ownerStateLifetime = 6 * time.Second
	// ownerSilenceLimit is how long an owner may leave calls unanswered before
	// the node itself polls those of the owner's servers that it uses. A server
	// may have begun to leave after the owner's last answer.
	ownerSilenceLimit = time.Second
	// lifetimeRounds is the least value of both bounds in rounds, which applies
	// if rounds are far apart.
	lifetimeRounds = 3
	// budgetBytes bounds the bytes per second of one node's calls. The node
	// also answers about as many bytes of other nodes' calls.
	budgetBytes = 1000.0
	// bytesPerOwner and bytesPerServer are the bytes of one call with its
	// answer, per owner and per server in the call.
	bytesPerOwner  = 35.0
	bytesPerServer = 17.0
)

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address and returns its answer.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Owner returns the address of a server's owner, whether that is this node, and
// whether there is an owner.
type Owner func(server string) (address string, self, ok bool)

// use is one node's use of a server, as the node last reported it.
type use struct {
	router.Use
	// at is when the use was reported.
	at time.Time
}

// ownerState is the last answer of an owner about one server.
type ownerState struct {
	messenger.LoadState
	// at is when the call that it answers was sent.
	at time.Time
}

// Exchange exchanges load between nodes. As the owner of some servers, the node
// sums up what other nodes use of them. As a user of other servers, it calls
// each owner once per round and names only the servers in use. It is safe for
// concurrent use, apart from Round.
type Exchange struct {
	node string
	mu   sync.Mutex
	// uses holds the latest uses by server and node.
	uses map[string]map[string]use
	// ownerStates holds the latest answers of owners by server.
	ownerStates map[string]ownerState
	// inUseSince holds since when each server has been in use.
	inUseSince map[string]time.Time
	// lifetime is how long an owner's answer is used.
	lifetime time.Duration
	// silenceLimit is how long an owner may leave calls unanswered.
	silenceLimit time.Duration
	// updated says that ownerStates changed since the last call of changed.
	updated bool
	// leaving reports whether a server takes no new requests.
	leaving func(server string) bool
	// nextRound is when the budget allows the next round.
	nextRound time.Time
	// budget bounds the bytes per second of calls.
	budget float64
}

// ExchangeOption configures an Exchange.
type ExchangeOption func(*Exchange)

// WithByteBudget sets the bound on the bytes per second of this node's calls.
func WithByteBudget(budget float64) ExchangeOption { return func(ex *Exchange) { ex.budget = budget } }

// NewExchange returns the exchange of the node with the id.
func NewExchange(node string, opts ...ExchangeOption) *Exchange {
	ex := &Exchange{
		node:         node,
		lifetime:     ownerStateLifetime,
		silenceLimit: ownerSilenceLimit,
		uses:         map[string]map[string]use{},
		ownerStates:  map[string]ownerState{},
		inUseSince:   map[string]time.Time{},
		leaving:      func(string) bool { return false },
		budget:       budgetBytes,
	}
	for _, opt := range opts {
		opt(ex)
	}
	return ex
}

// Answer records what a peer uses and returns the load of these servers, in the
// order of the digest.
func (ex *Exchange) Answer(now time.Time, ld *messenger.LoadDigest) *messenger.LoadView {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	lv := &messenger.LoadView{}
	for _, lu := range ld.Uses {
		ex.recordUse(now, ld.Node, lu)
		lv.States = append(lv.States, ex.sum(now, ld.Node, lu.Server))
	}
	return lv
}

func (ex *Exchange) recordUse(now time.Time, node string, lu messenger.LoadUse) {
	if ex.uses[lu.Server] == nil {
		ex.uses[lu.Server] = map[string]use{}
	}
	ex.uses[lu.Server][node] = use{router.Use{Requests: lu.Outstanding, Backlog: lu.Backlog, Prefill: lu.Prefill, Slowness: lu.Slowness}, now}
}

// sum adds up the uses of a server by nodes other than node, and removes
// expired uses.
func (ex *Exchange) sum(now time.Time, node, server string) messenger.LoadState {
	ls := messenger.LoadState{Users: 1, Leaving: ex.leaving(server)}
	slowness, told := 0.0, 0
	for id, us := range ex.uses[server] {
		if now.Sub(us.at) > useExpiry {
			delete(ex.uses[server], id)
			continue
		}
		if id == node {
			continue
		}
		ls.Others += us.Requests
		ls.Backlog += us.Backlog
		ls.Prefill += us.Prefill
		ls.Users++
		ls.Age = max(ls.Age, now.Sub(us.at))
		if us.Slowness > 0 {
			slowness += us.Slowness
			told++
		}
	}
	if told > 0 {
		ls.Slowness = slowness / float64(told)
	}
	return ls
}

// Round tells each owner what this node uses of its servers and applies the
// answers. It does nothing before the budget allows the next round. Servers of
// an owner that does not answer fall back on their own reports. Round must not
// be called concurrently.
func (ex *Exchange) Round(ctx context.Context, now func() time.Time, outstanding map[string]router.Use, owner Owner, caller Caller) {
	if now().Before(ex.nextRound) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	ex.trackUse(now(), outstanding)
	digests := ex.digests(now(), outstanding, owner)
	interval := ex.roundInterval(digests)
	ex.nextRound = now().Add(interval)
	ex.setLimits(max(ownerStateLifetime, lifetimeRounds*interval), max(ownerSilenceLimit, lifetimeRounds*interval))
	var wg sync.WaitGroup
	for address, digest := range digests {
		wg.Go(func() {
			sent := now()
			answer, err := caller.Call(ctx, address, digest)
			if lv, ok := answer.(*messenger.LoadView); ok && err == nil {
				ex.recordAnswer(sent, digest, lv)
			}
		})
	}
	wg.Wait()
}

// trackUse records since when servers have been in use, and removes those that
// no longer are.
func (ex *Exchange) trackUse(now time.Time, outstanding map[string]router.Use) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for server := range outstanding {
		if _, ok := ex.inUseSince[server]; !ok {
			ex.inUseSince[server] = now
		}
	}
	for server := range ex.inUseSince {
		if _, ok := outstanding[server]; !ok {
			delete(ex.inUseSince, server)
			delete(ex.ownerStates, server)
		}
	}
}

// unanswered returns the servers in use whose owner has not answered within
// silenceLimit.
func (ex *Exchange) unanswered(now time.Time) map[string]bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	servers := map[string]bool{}
	for server, since := range ex.inUseSince {
		if now.Sub(since) > ex.silenceLimit && now.Sub(ex.ownerStates[server].at) > ex.silenceLimit {
			servers[server] = true
		}
	}
	return servers
}

// changed reports whether an answer has arrived since the last call of changed.
func (ex *Exchange) changed() bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	updated := ex.updated
	ex.updated = false
	return updated
}

// setLimits sets how long an owner's answer is used, and how long an owner may
// leave calls unanswered.
func (ex *Exchange) setLimits(lifetime, silenceLimit time.Duration) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.lifetime, ex.silenceLimit = lifetime, silenceLimit
}

// roundInterval returns the time in which the budget covers the calls.
func (ex *Exchange) roundInterval(digests map[string]*messenger.LoadDigest) time.Duration {
	sum := 0.0
	for _, digest := range digests {
		sum += bytesPerOwner + bytesPerServer*float64(len(digest.Uses))
	}
	return time.Duration(sum / ex.budget * float64(time.Second))
}

// digests returns the uses grouped by the address of the owner. It records the
// uses of this node's own servers, which need no call, directly.
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
		digest.Uses = append(digest.Uses, messenger.LoadUse{Server: server, Outstanding: us.Requests, Backlog: us.Backlog, Prefill: us.Prefill, Slowness: us.Slowness})
	}
	ex.recordAnswer(now, own, ex.Answer(now, own))
	return calls
}

// recordAnswer records the answer to a digest. It ignores an answer of another
// length.
func (ex *Exchange) recordAnswer(at time.Time, ld *messenger.LoadDigest, lv *messenger.LoadView) {
	if len(ld.Uses) != len(lv.States) {
		return
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.updated = true
	for ix, lu := range ld.Uses {
		ex.ownerStates[lu.Server] = ownerState{LoadState: lv.States[ix], at: at}
	}
}

// apply adds the owner's latest answer to a report, unless the answer is too
// old. An answer older than silenceLimit is added only to a report without
// load.
func (ex *Exchange) apply(rp Report, now time.Time) Report {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	st, ok := ex.ownerStates[rp.Server]
	age := now.Sub(st.at)
	if !ok || age > ex.lifetime || age > ex.silenceLimit && !rp.WithoutLoad {
		return rp
	}
	rp.FromOwner = true
	rp.Others, rp.Users, rp.Backlog, rp.Prefill, rp.Slowness = st.Others, st.Users, st.Backlog, st.Prefill, st.Slowness
	rp.Leaving = rp.Leaving || st.Leaving
	rp.Taken = st.at.Add(-st.Age)
	return rp
}
