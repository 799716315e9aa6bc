// Package versionkeeper keeps at which version of their software backend servers began
// streams. A stream may go on only at the version that began it, also when its caller
// takes it up at another node.
//
// Each node remembers the streams that it served. While all servers of a pool, and those
// of the pools that share a route with it, have had one version for as long as callers
// take up streams, nothing else is needed. Otherwise, and while its copy of the servers is
// not current, a node also tells a few others, which a hash of the stream's request names;
// a node that does not know a stream asks these. A stream of which no node knows the
// version goes on only if the pools of its route had a single one.
//
// A node knows by itself which versions a pool has had since the node started. For the
// time before, the store has the version of each pool that has had a single one, and a
// mark for each pool that has had several. Without such a record, a node that has started
// lately believes only another one that has followed the servers for longer.
//
// A node that has not heard of a new version yet takes the former one for the only one.
// A version that is new in its pool therefore begins no streams, unless there is no other,
// until all nodes in touch have heard of it.
//
// # Usage
//
//	kp := versionkeeper.New(pool, "n1", members, versionkeeper.WithAge(age))
//	go kp.Run(ctx)
//	kp.Configure(time.Now(), routes)          // of the configuration in force
//	kp.Update(time.Now(), processes)          // the servers that are registered
//	kp.Began("attempt-7", process)            // at the first event
//	origin, ok := kp.Find(ctx, "attempt-7", routes[0])
package versionkeeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const (
	// maxAge is the age of the node's copy of the servers up to which it is current.
	maxAge = 1200 * time.Millisecond
	// restartLag is how long a node may take the events of a server that was started
	// again for those of its former process.
	restartLag = 3 * time.Second
	// registrationLag is how long after its start a server is registered at the latest.
	registrationLag = 500 * time.Millisecond
	// retellTime is how far back streams are told when a second version appears.
	retellTime = 30 * time.Second
	// tellInterval is the time in which streams are told together.
	tellInterval = 25 * time.Millisecond
	// reviewInterval is the time between two looks at whether pools have several
	// versions.
	reviewInterval = 250 * time.Millisecond
	// callTimeout bounds the calls that tell other nodes, and of the store.
	callTimeout = 300 * time.Millisecond
	// askTimeout bounds the question where a stream began.
	askTimeout = 250 * time.Millisecond
	// toldNodes is the number of nodes that are told of a stream, and askedNodes of
	// those that are asked. One may have joined between.
	toldNodes  = 3
	askedNodes = 4
)

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address and returns its answer.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Keeper is the memory of one node. It is safe for concurrent use.
type Keeper struct {
	caller Caller
	self   string
	// members returns the nodes, including this one.
	members func() []prober.Member
	// age returns how old the node's copy of the servers may be.
	age      func() time.Duration
	leads    func() bool
	store    storer.Keyspace // nil if nothing is kept there
	prefix   string          // of the keys in the store
	registry *counter.Registry
	wake     chan struct{} // has an element while pending is not empty

	mu        sync.Mutex
	history   *History
	routes    routes
	records   *records
	processes map[string]Process // by server
	// certain has the pools whose streams need not be told.
	certain map[string]bool
	pending map[uint64]record // streams to be told
	// lackingSince is when the node first found that the store lacks a mark or a record,
	// by key.
	lackingSince map[string]time.Time
	reviewedAt   time.Time // when reviewLocked last ran
}

// Option configures a Keeper.
type Option func(*Keeper)

// WithAge sets the function that returns how old the node's copy of the servers may
// be; by default it is current.
func WithAge(age func() time.Duration) Option { return func(kp *Keeper) { kp.age = age } }

// WithStore makes the node keep the versions of pools in the store, under the prefix, and
// remove what no longer holds while leads returns true. The Keeper has to be told of
// changes there with Replace and Apply.
func WithStore(st storer.Keyspace, prefix string, leads func() bool) Option {
	return func(kp *Keeper) { kp.store, kp.prefix, kp.leads = st, prefix, leads }
}

// WithRegistry sets the registry that counts streams.
func WithRegistry(rg *counter.Registry) Option { return func(kp *Keeper) { kp.registry = rg } }

// New returns the keeper of the node with the id self.
func New(ca Caller, self string, members func() []prober.Member, opts ...Option) *Keeper {
	kp := &Keeper{
		caller:    ca,
		self:      self,
		members:   members,
		age:       func() time.Duration { return 0 },
		leads:     func() bool { return false },
		wake:      make(chan struct{}, 1),
		history:   NewHistory(),
		records:   newRecords(),
		processes: map[string]Process{},
		certain:   map[string]bool{},
		pending:   map[uint64]record{},

		lackingSince: map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(kp)
	}
	return kp
}

// Configure records the routes whose streams callers may take up. A route keeps the pools
// that it had before as those of earlier streams.
func (kp *Keeper) Configure(now time.Time, next []Route) {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	kp.routes.update(now, next)
	kp.reviewLocked(now)
}

// Update records the registered servers.
func (kp *Keeper) Update(now time.Time, processes []Process) {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	for _, pr := range processes {
		known, ok := kp.processes[pr.Server]
		if ok && known.Incarnation != pr.Incarnation && known.Software != pr.Software {
			kp.doubtLocked(now, known)
		}
		kp.processes[pr.Server] = pr
	}
	kp.history.Update(now, processes)
	kp.reviewLocked(now)
	if len(kp.processes) > 2*len(processes) {
		kp.processes = map[string]Process{}
		for _, pr := range processes {
			kp.processes[pr.Server] = pr
		}
	}
}

// doubtLocked makes the streams uncertain that may have begun at the next process of the
// server before its registration arrived.
func (kp *Keeper) doubtLocked(now time.Time, former Process) {
	for id, rc := range kp.records.since(now.Add(-restartLag), func(rc record) bool { return rc.server == former.Server }) {
		rc.software = ""
		kp.records.put(id, rc)
		kp.queueLocked(id, rc)
	}
}

// Process returns the last known process of a server.
func (kp *Keeper) Process(server string) Process {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	return kp.processes[server]
}

// Settled reports whether all nodes can be assumed to know of the process's version.
func (kp *Keeper) Settled(now time.Time, pr Process) bool {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	return kp.history.Settled(now, pr.Pool, pr.Software)
}

// Certain reports whether a server of the pool whose connection was opened at the time
// is the process that Process returns: the pool has had one version, or the node's copy
// of the servers is newer than the connection.
func (kp *Keeper) Certain(pool string, opened time.Time) bool {
	now := time.Now()
	kp.mu.Lock()
	defer kp.mu.Unlock()
	_, sole := kp.soleLocked(now, pool)
	return sole || opened.Before(now.Add(-kp.age()-registrationLag))
}

// Began records that the process brought the first event of the request's stream.
func (kp *Keeper) Began(id string, pr Process) {
	now := time.Now()
	kp.mu.Lock()
	defer kp.mu.Unlock()
	hash := xxhash.Sum64String(id)
	kp.records.put(hash, record{pool: pr.Pool, software: pr.Software, server: pr.Server, at: now})
	if !kp.certainLocked(now, pr.Pool) {
		rc, _ := kp.records.get(hash)
		kp.queueLocked(hash, rc)
	}
}

// queueLocked has other nodes told of a stream.
func (kp *Keeper) queueLocked(id uint64, rc record) {
	kp.pending[id] = rc
	select {
	case kp.wake <- struct{}{}:
	default:
	}
}

// soleLocked returns the only version that the pool has had lately, or false if there
// were several or the node can't know.
func (kp *Keeper) soleLocked(now time.Time, pool string) (string, bool) {
	if kp.age() > maxAge {
		return "", false
	}
	return kp.history.Sole(now, pool)
}

// certainLocked reports whether any node, also one that starts later, can tell where
// streams of the pool begin without being told.
func (kp *Keeper) certainLocked(now time.Time, pool string) bool {
	if _, sole := kp.soleLocked(now, pool); !sole || !kp.history.Vouched(now, pool) {
		return false
	}
	for _, set := range kp.routes.sharedSets(now) {
		if slices.Contains(set, pool) && kp.soleOfLocked(now, set) == nil {
			return false
		}
	}
	return true
}

// reviewLocked has the latest streams told of pools that have ceased to be certain. After
// a gap, in which a version may have come and gone unseen, the history begins anew.
func (kp *Keeper) reviewLocked(now time.Time) {
	if kp.age() > settleTime || !kp.reviewedAt.IsZero() && now.Sub(kp.reviewedAt) > settleTime {
		kp.history.Interrupt(now)
	}
	kp.reviewedAt = now
	for name := range kp.history.pools {
		certain := kp.certainLocked(now, name)
		if kp.certain[name] && !certain {
			log.WithFields(log.Fields{"pool": name, "versions": kp.history.Seen(now, name), "age-ms": kp.age().Milliseconds()}).
				Info("streams of a pool may begin at several versions; other nodes are told where they begin")
			for id, rc := range kp.records.since(now.Add(-retellTime), func(rc record) bool { return rc.pool == name }) {
				kp.queueLocked(id, rc)
			}
		}
		kp.certain[name] = certain
	}
}

// Origin is where a stream began.
type Origin struct {
	// Pool is the pool, and Software the version of its software.
	Pool, Software string
}

// Find returns where the stream of the request began, or false if that is not known.
// The route is the one on which its caller takes it up.
func (kp *Keeper) Find(ctx context.Context, id string, rt Route) (Origin, bool) {
	hash := xxhash.Sum64String(id)
	kp.mu.Lock()
	rc, known := kp.records.get(hash)
	now := time.Now()
	key := routeKey{rt.Host, rt.Prefix}
	pools := kp.routes.poolsOf(now, key, rt.Pools)
	sole, covers := kp.soleOfLocked(now, pools), kp.history.covers(now)
	vouched := !slices.ContainsFunc(sole, func(ps messenger.PoolSoftware) bool { return !kp.history.Vouched(now, ps.Pool) })
	kp.mu.Unlock()
	if known {
		return Origin{rc.pool, rc.software}, rc.software != ""
	}
	rp := kp.ask(ctx, &messenger.StreamQuery{ID: hash, Sole: sole, Route: key.String()})
	if rp.known {
		kp.registry.Inc("stream", "origin-told")
		return rp.origin, rp.origin.Software != ""
	}
	// Without an answer, a node that has just started may miss a version that has ended
	// since, while the pool's mark is not written yet.
	certain := len(sole) > 0 && !rp.contradicted && (vouched || rp.covered) && (rp.heard || covers)
	log.WithFields(log.Fields{
		"resumes": id, "pools": pools, "single-version": len(sole) > 0, "vouched": vouched, "follows-long-enough": covers,
		"answers": rp.answers, "contradicted": rp.contradicted, "covered": rp.covered, "certain": certain,
	}).Info("no node has a record of a stream")
	if !certain {
		kp.registry.Inc("stream", "origin-unknown")
		return Origin{}, false
	}
	kp.registry.Inc("stream", "origin-inferred")
	return Origin{sole[0].Pool, sole[0].Software}, true
}

// soleOfLocked returns the only version of each of the pools that have had servers lately,
// or nil if there is none, a pool had several, or the pools differ.
func (kp *Keeper) soleOfLocked(now time.Time, pools []string) []messenger.PoolSoftware {
	var all []messenger.PoolSoftware
	for _, name := range pools {
		if kp.unusedLocked(now, name) {
			continue
		}
		software, ok := kp.soleLocked(now, name)
		if !ok || len(all) > 0 && all[0].Software != software {
			return nil
		}
		all = append(all, messenger.PoolSoftware{Pool: name, Software: software})
	}
	return all
}

// unusedLocked reports whether the pool has had no servers lately, so that no stream can
// have begun there.
func (kp *Keeper) unusedLocked(now time.Time, pool string) bool {
	return kp.age() <= maxAge && !kp.history.since.IsZero() && !kp.history.marked[pool] && len(kp.history.Seen(now, pool)) == 0
}

// reply is what the nodes that were asked about a stream answer together.
type reply struct {
	// origin is where the stream began, if known.
	origin Origin
	known  bool
	// contradicted says that a node has seen another version than the query names.
	contradicted bool
	// covered says that a node has followed the servers for streamMemory.
	covered bool
	// answers is the number of nodes that answered; heard is set if there are some, or
	// no node to ask.
	answers int
	heard   bool
}

// ask asks the nodes that were told of the stream.
func (kp *Keeper) ask(ctx context.Context, query *messenger.StreamQuery) reply {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := kp.witnesses(query.ID, askedNodes)
	answers := make(chan *messenger.StreamOrigin, len(asked))
	for _, address := range asked {
		go func() {
			answer, _ := kp.caller.Call(ctx, address, query)
			so, _ := answer.(*messenger.StreamOrigin)
			answers <- so
		}()
	}
	rp := reply{heard: len(asked) == 0}
	for range asked {
		so := <-answers
		if so == nil {
			continue
		}
		rp.answers++
		rp.heard = true
		if so.Known {
			rp.origin, rp.known = Origin{so.Pool, so.Software}, true
			return rp
		}
		rp.contradicted = rp.contradicted || so.Contradicts
		rp.covered = rp.covered || so.Covers
	}
	return rp
}

// witnesses returns the addresses of the nodes that are told of a stream, without this
// one. They are in different availability zones if there are as many.
func (kp *Keeper) witnesses(id uint64, count int) []string {
	type ranked struct {
		member prober.Member
		rank   uint64
	}
	var all []ranked
	for _, mb := range kp.members() {
		var dg xxhash.Digest
		dg.ResetWithSeed(id)
		_, _ = dg.WriteString(mb.ID)
		all = append(all, ranked{mb, dg.Sum64()})
	}
	slices.SortFunc(all, func(one, two ranked) int {
		if one.rank < two.rank {
			return -1
		}
		return 1
	})
	zones := map[string]bool{}
	var chosen, others []prober.Member
	for _, rk := range all {
		if zones[rk.member.Zone] {
			others = append(others, rk.member)
			continue
		}
		zones[rk.member.Zone] = true
		chosen = append(chosen, rk.member)
	}
	chosen = append(chosen, others...)
	var addresses []string
	for _, mb := range chosen[:min(len(chosen), count)] {
		if mb.ID != kp.self {
			addresses = append(addresses, mb.PeerAddress)
		}
	}
	return addresses
}

// Handle answers a message of a peer. It returns nil if the message is of another
// kind.
func (kp *Keeper) Handle(call messenger.Message) messenger.Message {
	now := time.Now()
	kp.mu.Lock()
	defer kp.mu.Unlock()
	switch tc := call.(type) {
	case *messenger.StreamsBegun:
		for _, bs := range tc.Groups {
			for _, id := range bs.IDs {
				kp.records.put(id, record{pool: bs.Pool, software: bs.Software, at: now})
			}
			if bs.Software != "" {
				kp.history.Note(now, bs.Pool, bs.Software)
			}
		}
		return &messenger.StreamsNoted{}
	case *messenger.StreamQuery:
		rc, ok := kp.records.get(tc.ID)
		so := &messenger.StreamOrigin{Known: ok, Pool: rc.pool, Software: rc.software, Covers: kp.history.covers(now) && kp.age() <= maxAge}
		for _, ps := range tc.Sole {
			for _, version := range kp.history.Seen(now, ps.Pool) {
				so.Contradicts = so.Contradicts || version != ps.Software
			}
		}
		so.Contradicts = so.Contradicts || kp.servedElsewhereLocked(now, tc)
		return so
	}
	return nil
}

// servedElsewhereLocked reports whether the stream of the query may have begun in a pool
// that the asking node does not know of, and at another version.
func (kp *Keeper) servedElsewhereLocked(now time.Time, query *messenger.StreamQuery) bool {
	if len(query.Sole) == 0 || query.Route == "" {
		return false
	}
	for _, pool := range kp.routes.poolsOf(now, parseRouteKey(query.Route), nil) {
		for _, version := range kp.history.Seen(now, pool) {
			if version != query.Sole[0].Software {
				return true
			}
		}
	}
	return false
}

// Run tells other nodes of streams and keeps the store up to date until the context
// ends, and returns nil.
func (kp *Keeper) Run(ctx context.Context) error {
	tk := time.NewTicker(reviewInterval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tk.C:
			kp.mu.Lock()
			kp.reviewLocked(time.Now())
			kp.mu.Unlock()
			kp.updateStore(ctx)
		case <-kp.wake:
			kp.tell(ctx)
		}
	}
}

// tell tells other nodes of the streams that are pending, a little later, together.
func (kp *Keeper) tell(ctx context.Context) {
	tm := time.NewTimer(tellInterval)
	defer tm.Stop()
	select {
	case <-ctx.Done():
	case <-tm.C:
	}
	kp.mu.Lock()
	pending := kp.pending
	kp.pending = map[uint64]record{}
	kp.mu.Unlock()
	byNode := map[string]map[record][]uint64{}
	for id, rc := range pending {
		kind := record{pool: rc.pool, software: rc.software}
		for _, address := range kp.witnesses(id, toldNodes) {
			if byNode[address] == nil {
				byNode[address] = map[record][]uint64{}
			}
			byNode[address][kind] = append(byNode[address][kind], id)
		}
	}
	for address, groups := range byNode {
		call := &messenger.StreamsBegun{}
		for rc, ids := range groups {
			call.Groups = append(call.Groups, messenger.BegunStreams{Pool: rc.pool, Software: rc.software, IDs: ids})
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			if _, err := kp.caller.Call(ctx, address, call); err != nil {
				kp.registry.Inc("stream", "origin-untold")
			}
		}()
	}
}
