package publisher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/gossiper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const (
	// resource is the key that selects the designated nodes and the key of the
	// gossip entry with the latest revision number.
	resource = "configuration"
	// pollersPerRegion is the number of designated nodes in each region.
	pollersPerRegion = 3
	// pollInterval is the time between two polls of a designated node.
	pollInterval = 250 * time.Millisecond
	// tickInterval is the time between two calls of Tick.
	tickInterval = pollInterval / 2
	// fallbackInterval is the shortest time between two polls of any other node.
	// The time is random, at most twice as long.
	fallbackInterval = time.Minute
	// minBackoff and maxBackoff bound the delay after a failed poll or fetch.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 5 * time.Second
	// fetchTimeout bounds the fetch of one part from a peer.
	fetchTimeout = time.Second
	// extraPeers is the number of peers that a fetch tries after the designated
	// nodes.
	extraPeers = 2
	// bootstrapPeers is the number of peers that a node without a revision asks
	// at once.
	bootstrapPeers = 8
	// bootstrapDelay is the time from the first known peer until a node without a
	// revision takes one from its peers. By then it knows more of them.
	bootstrapDelay = 2 * time.Second
)

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Follower puts newer revisions in force on one node. Run and Tick must not be
// called concurrently.
type Follower struct {
	holder   *Holder
	store    storer.Store
	view     func() *prober.View // current cluster membership
	caller   Caller
	gossip   *gossiper.Gossiper
	random   *rand.Rand // source of jitter and of the choice of peers
	registry *counter.Registry

	nextPoll      time.Time     // earliest time of the next poll
	nextFetch     time.Time     // earliest time of the next fetch
	nextBootstrap time.Time     // earliest time of the next bootstrap
	pollBackoff   time.Duration // delay after the last failed poll; zero after a success
	fetchBackoff  time.Duration // delay after the last failed fetch; zero after a success
	slowPolling   bool          // the node is not designated and polls at fallbackInterval
	firstPeerSeen time.Time     // when the view first held a peer; zero before
	wake          chan struct{} // signals that the announced revision number changed
}

// FollowerOption configures a Follower.
type FollowerOption func(*Follower)

// WithRandom sets the source of jitter and of the choice of peers.
func WithRandom(random *rand.Rand) FollowerOption {
	return func(fo *Follower) { fo.random = random }
}

// WithRegistry sets the registry of the follower's metrics; the default is
// none.
func WithRegistry(rg *counter.Registry) FollowerOption {
	return func(fo *Follower) { fo.registry = rg }
}

// NewFollower returns a follower that puts revisions from the store or from
// peers in force in hd.
func NewFollower(hd *Holder, st storer.Store, view func() *prober.View, caller Caller, gp *gossiper.Gossiper, opts ...FollowerOption) *Follower {
	fo := &Follower{
		holder: hd,
		store:  st,
		view:   view,
		caller: caller,
		gossip: gp,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wake:   make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(fo)
	}
	gp.Subscribe(fo.onEntry)
	return fo
}

// onEntry wakes the follower when gossip changes the revision number.
func (fo *Follower) onEntry(key string, _ gossiper.Version, _ []byte) {
	if key != resource {
		return
	}
	select {
	case fo.wake <- struct{}{}:
	default:
	}
}

// Run calls Tick regularly until the context ends, and returns nil.
func (fo *Follower) Run(ctx context.Context) error {
	tk := time.NewTicker(tickInterval)
	defer tk.Stop()
	for {
		fo.Tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tk.C:
		case <-fo.wake:
		}
	}
}

// LatestKnown returns the highest revision number that the node knows from
// gossip or has in force.
func (fo *Follower) LatestKnown() int64 {
	vn, _, _ := fo.gossip.Get(resource)
	return max(vn.Epoch, fo.holder.Number())
}

// Tick polls the head if a poll is due, asks several peers while no revision is
// in force, and fetches a known newer revision.
func (fo *Follower) Tick(ctx context.Context) {
	now := time.Now()
	if fo.pollDue(now) {
		fo.poll(ctx)
	}
	if fo.holder.Number() == 0 && fo.bootstrapDue(now) {
		fo.nextBootstrap = now.Add(pollInterval)
		fo.bootstrap(ctx)
	}
	if number := fo.holder.Number(); number > 0 && fo.LatestKnown() > number && !now.Before(fo.nextFetch) {
		fo.fetch(ctx, fo.LatestKnown())
	}
}

// bootstrapDue reports whether the node should take a revision from its peers.
// It waits for bootstrapDelay, because the first known peer may have an old
// one.
func (fo *Follower) bootstrapDue(now time.Time) bool {
	if fo.firstPeerSeen.IsZero() && len(fo.view().Members()) > 1 {
		fo.firstPeerSeen = now
	}
	delayed := !fo.firstPeerSeen.IsZero() && now.Sub(fo.firstPeerSeen) >= bootstrapDelay
	return delayed && !now.Before(fo.nextBootstrap)
}

// pollDue reports whether the node should poll. A node polls at once when it
// becomes designated.
func (fo *Follower) pollDue(now time.Time) bool {
	isDesignated := fo.isDesignated()
	if isDesignated && fo.slowPolling {
		fo.slowPolling = false
		fo.nextPoll = now
	}
	if !isDesignated && !fo.slowPolling && fo.holder.Number() > 0 {
		fo.slowPolling = true
		fo.nextPoll = now.Add(fo.jitter(2 * fallbackInterval))
	}
	return !now.Before(fo.nextPoll)
}

func (fo *Follower) isDesignated() bool {
	vw := fo.view()
	for _, mb := range fo.designatedNodes(vw) {
		if mb.ID == vw.Self() {
			return true
		}
	}
	return false
}

// designatedNodes returns the nodes of the own region that poll the head.
func (fo *Follower) designatedNodes(vw *prober.View) []prober.Member {
	self, _ := vw.Member(vw.Self())
	return vw.Designated(resource, self.Region, pollersPerRegion)
}

// poll reads the head and puts its revision in force if it is newer.
func (fo *Follower) poll(ctx context.Context) {
	now := time.Now()
	hd, _, err := readHead(ctx, fo.store)
	fo.schedulePoll(now, err)
	if err != nil {
		fo.countFailure(err)
		return
	}
	switch inForce := fo.holder.Number(); {
	case hd.number < inForce:
		fo.registry.Inc(resource, "older")
	case hd.number > inForce:
		fo.loadFromStore(ctx, hd)
	}
}

func (fo *Follower) loadFromStore(ctx context.Context, hd head) {
	rv, err := loadHead(ctx, fo.store, hd, fo.holder.parts())
	if err != nil {
		fo.countFailure(err)
		return
	}
	fo.adopt(rv, "store")
}

// schedulePoll sets the next poll, with a backoff if the store did not answer.
func (fo *Follower) schedulePoll(now time.Time, err error) {
	if err != nil && !errors.Is(err, ErrNoRevision) && !errors.Is(err, ErrCorrupt) {
		fo.pollBackoff = min(max(2*fo.pollBackoff, minBackoff), maxBackoff)
		fo.nextPoll = now.Add(fo.jitter(fo.pollBackoff))
		return
	}
	fo.pollBackoff = 0
	fo.nextPoll = now.Add(pollInterval)
	if fo.slowPolling {
		fo.nextPoll = now.Add(fo.jitter(2 * fallbackInterval))
	}
}

// countFailure counts a failed read of the store, and logs a corrupt value.
func (fo *Follower) countFailure(err error) {
	switch {
	case errors.Is(err, ErrNoRevision):
	case errors.Is(err, ErrCorrupt):
		fo.holder.corruptReads.Add(1)
		fo.registry.Inc(resource, "corrupt")
		log.WithError(err).Error("stored configuration is corrupt; the node keeps the revision in force")
	default:
		fo.registry.Inc(resource, "unread")
	}
}

// fetch gets a known revision from the designated nodes, from extraPeers other
// peers, or else from the store.
func (fo *Follower) fetch(ctx context.Context, number int64) {
	vw := fo.view()
	peers := fo.pickPeers(fo.designatedNodes(vw), pollersPerRegion)
	peers = append(peers, fo.pickPeers(vw.Members(), extraPeers)...)
	for _, mb := range peers {
		if fo.fetchFrom(ctx, vw, mb, number) && fo.holder.Number() >= number {
			fo.fetchBackoff = 0
			return
		}
	}
	fo.poll(ctx)
	if fo.holder.Number() < number {
		fo.fetchBackoff = min(max(2*fo.fetchBackoff, minBackoff), maxBackoff)
		fo.nextFetch = time.Now().Add(fo.jitter(fo.fetchBackoff))
	}
}

// bootstrap asks several peers for their revisions and puts the highest in
// force unless gossip has announced a higher one.
func (fo *Follower) bootstrap(ctx context.Context) {
	vw := fo.view()
	answers := make(chan *Revision)
	peers := fo.pickPeers(vw.Members(), bootstrapPeers)
	for _, mb := range peers {
		go func() {
			rv, _ := fo.download(ctx, mb.PeerAddress, 0)
			answers <- rv
		}()
	}
	var highest *Revision
	for range peers {
		if rv := <-answers; rv != nil && (highest == nil || rv.Number() > highest.Number()) {
			highest = rv
		}
	}
	if highest != nil && highest.Number() >= fo.LatestKnown() {
		fo.adopt(highest, "peer")
	}
}

func (fo *Follower) fetchFrom(ctx context.Context, vw *prober.View, mb prober.Member, number int64) bool {
	if mb.ID == vw.Self() || mb.State == prober.Dead {
		return false
	}
	rv, err := fo.download(ctx, mb.PeerAddress, number)
	if err != nil {
		fo.registry.Inc(resource, "unfetched")
		return false
	}
	fo.adopt(rv, "peer")
	return true
}

// pickPeers returns up to count random members, excluding the node itself and
// dead members.
func (fo *Follower) pickPeers(all []prober.Member, count int) []prober.Member {
	self := fo.view().Self()
	var peers []prober.Member
	for _, mb := range all {
		if mb.ID != self && mb.State != prober.Dead {
			peers = append(peers, mb)
		}
	}
	fo.random.Shuffle(len(peers), func(ix, jx int) { peers[ix], peers[jx] = peers[jx], peers[ix] })
	return peers[:min(count, len(peers))]
}

// adopt puts a revision in force if it is newer, and announces its number.
func (fo *Follower) adopt(rv *Revision, source string) {
	if !fo.holder.Adopt(rv) {
		return
	}
	fo.registry.Inc(resource, "adopted-from-"+source)
	fo.registry.Set(rv.Number(), resource, "revision")
	fo.gossip.Publish(resource, gossiper.Version{Epoch: rv.Number()}, nil)
	log.WithField("revision", rv.Number()).WithField("source", source).Info("node put a configuration revision in force")
}

// jitter returns a random duration from half of dn to all of it.
func (fo *Follower) jitter(dn time.Duration) time.Duration {
	return dn/2 + time.Duration(fo.random.Int64N(int64(dn/2)+1))
}
