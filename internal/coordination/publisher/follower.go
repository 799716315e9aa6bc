package publisher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/spreader"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const (
	// resource names what the designated nodes are ranked by, and the entry
	// that spreads the number of the latest revision.
	resource = "configuration"
	// pollers is how many nodes of each region poll the head.
	pollers = 3
	// pollInterval is the time between two polls of a designated node.
	pollInterval = 250 * time.Millisecond
	// tickInterval is the time between two looks at what is due.
	tickInterval = pollInterval / 2
	// fallbackInterval is the mean time between two polls of any other node.
	fallbackInterval = time.Minute
	// The bounds of the delay after a failed poll or fetch.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 5 * time.Second
	// fetchTimeout bounds the fetch of one part from a peer.
	fetchTimeout = time.Second
	// strangers is how many peers beside the designated ones are asked.
	strangers = 2
	// startPeers is how many peers are asked while no revision is in force.
	startPeers = 8
	// startSettle is how long a node that cannot read the store learns of
	// peers before it takes the highest revision among them.
	startSettle = 2 * time.Second
)

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Follower puts newer revisions in force on one node.
type Follower struct {
	holder   *Holder
	store    storer.Store
	view     func() *prober.View
	caller   Caller
	spread   *spreader.Spreader
	random   *rand.Rand
	registry *counter.Registry

	nextPoll  time.Time
	nextFetch time.Time
	nextStart time.Time
	pollDelay time.Duration
	fetchWait time.Duration
	fallback  bool
	peersSeen time.Time
	wake      chan struct{}
}

// FollowerOption changes a Follower that is being made.
type FollowerOption func(*Follower)

// WithRandom sets the source of delays.
func WithRandom(random *rand.Rand) FollowerOption {
	return func(fo *Follower) { fo.random = random }
}

// WithRegistry counts what the follower does.
func WithRegistry(rg *counter.Registry) FollowerOption {
	return func(fo *Follower) { fo.registry = rg }
}

// NewFollower returns a follower that puts revisions in force in hd.
func NewFollower(hd *Holder, st storer.Store, view func() *prober.View, caller Caller, sp *spreader.Spreader, opts ...FollowerOption) *Follower {
	fo := &Follower{
		holder: hd,
		store:  st,
		view:   view,
		caller: caller,
		spread: sp,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wake:   make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(fo)
	}
	sp.Subscribe(fo.hear)
	return fo
}

// hear wakes the follower when a newer number arrives.
func (fo *Follower) hear(key string, _ spreader.Version, _ []byte) {
	if key != resource {
		return
	}
	select {
	case fo.wake <- struct{}{}:
	default:
	}
}

// Run follows until the context ends.
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

// Known returns the highest revision number that the node has heard of.
func (fo *Follower) Known() int64 {
	vn, _, _ := fo.spread.Get(resource)
	return max(vn.Epoch, fo.holder.Number())
}

// Tick does what is due: it polls the head, fetches a revision that the node
// has heard of, and asks peers as long as none is in force.
func (fo *Follower) Tick(ctx context.Context) {
	now := time.Now()
	if fo.pollDue(now) {
		fo.poll(ctx)
	}
	if fo.holder.Number() == 0 && fo.startDue(now) {
		fo.nextStart = now.Add(pollInterval)
		fo.start(ctx)
	}
	if number := fo.holder.Number(); number > 0 && fo.Known() > number && !now.Before(fo.nextFetch) {
		fo.fetch(ctx, fo.Known())
	}
}

// startDue reports whether enough peers are known to take a revision from them:
// the first one that answers may be behind.
func (fo *Follower) startDue(now time.Time) bool {
	if fo.peersSeen.IsZero() && len(fo.view().Members()) > 1 {
		fo.peersSeen = now
	}
	settled := !fo.peersSeen.IsZero() && now.Sub(fo.peersSeen) >= startSettle
	return settled && !now.Before(fo.nextStart)
}

// pollDue reports whether the node should poll. A node that becomes a
// designated one does not wait out the long interval.
func (fo *Follower) pollDue(now time.Time) bool {
	designated := fo.designated()
	if designated && fo.fallback {
		fo.fallback = false
		fo.nextPoll = now
	}
	if !designated && !fo.fallback && fo.holder.Number() > 0 {
		fo.fallback = true
		fo.nextPoll = now.Add(fo.jitter(2 * fallbackInterval))
	}
	return !now.Before(fo.nextPoll)
}

func (fo *Follower) designated() bool {
	vw := fo.view()
	for _, mb := range fo.chosen(vw) {
		if mb.ID == vw.Self() {
			return true
		}
	}
	return false
}

func (fo *Follower) chosen(vw *prober.View) []prober.Member {
	self, _ := vw.Member(vw.Self())
	return vw.Designated(resource, self.Region, pollers)
}

// poll reads the head and, if it is newer, its parts.
func (fo *Follower) poll(ctx context.Context) {
	began := time.Now()
	hd, _, err := readHead(ctx, fo.store)
	fo.planPoll(began, err)
	if err != nil {
		fo.fail(err)
		return
	}
	switch inForce := fo.holder.Number(); {
	case hd.number < inForce:
		fo.registry.Inc(resource, "older")
	case hd.number > inForce:
		fo.load(ctx, hd)
	}
}

func (fo *Follower) load(ctx context.Context, hd head) {
	rv, err := loadHead(ctx, fo.store, hd, fo.holder.parts())
	if err != nil {
		fo.fail(err)
		return
	}
	fo.adopt(rv, "store")
}

func (fo *Follower) planPoll(now time.Time, err error) {
	if err != nil && !errors.Is(err, ErrNone) && !errors.Is(err, ErrCorrupt) {
		fo.pollDelay = min(max(2*fo.pollDelay, minBackoff), maxBackoff)
		fo.nextPoll = now.Add(fo.jitter(fo.pollDelay))
		return
	}
	fo.pollDelay = 0
	fo.nextPoll = now.Add(pollInterval)
	if fo.fallback {
		fo.nextPoll = now.Add(fo.jitter(2 * fallbackInterval))
	}
}

func (fo *Follower) fail(err error) {
	switch {
	case errors.Is(err, ErrNone):
	case errors.Is(err, ErrCorrupt):
		fo.holder.corrupt.Add(1)
		fo.registry.Inc(resource, "corrupt")
		log.WithError(err).Error("configuration is corrupt; the revision in force stays")
	default:
		fo.registry.Inc(resource, "unread")
	}
}

// fetch gets a revision that the node has heard of from a peer that should
// have it, or else from the store.
func (fo *Follower) fetch(ctx context.Context, number int64) {
	vw := fo.view()
	peers := fo.shuffled(fo.chosen(vw), pollers)
	peers = append(peers, fo.shuffled(vw.Members(), strangers)...)
	for _, mb := range peers {
		if fo.fetchFrom(ctx, vw, mb, number) && fo.holder.Number() >= number {
			fo.fetchWait = 0
			return
		}
	}
	fo.poll(ctx)
	if fo.holder.Number() < number {
		fo.fetchWait = min(max(2*fo.fetchWait, minBackoff), maxBackoff)
		fo.nextFetch = time.Now().Add(fo.jitter(fo.fetchWait))
	}
}

// start asks several peers while no revision is in force; the highest answer
// counts, and what is heard later still replaces it.
func (fo *Follower) start(ctx context.Context) {
	vw := fo.view()
	answers := make(chan *Revision)
	peers := fo.shuffled(vw.Members(), startPeers)
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
	if highest != nil && highest.Number() >= fo.Known() {
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

// shuffled returns up to count members at random, without the node itself and
// the dead.
func (fo *Follower) shuffled(all []prober.Member, count int) []prober.Member {
	self := fo.view().Self()
	var out []prober.Member
	for _, mb := range all {
		if mb.ID != self && mb.State != prober.Dead {
			out = append(out, mb)
		}
	}
	fo.random.Shuffle(len(out), func(ix, jx int) { out[ix], out[jx] = out[jx], out[ix] })
	return out[:min(count, len(out))]
}

func (fo *Follower) adopt(rv *Revision, source string) {
	if !fo.holder.Adopt(rv) {
		return
	}
	fo.registry.Inc(resource, "adopted-from-"+source)
	fo.registry.Set(rv.Number(), resource, "revision")
	fo.spread.Publish(resource, spreader.Version{Epoch: rv.Number()}, nil)
	log.WithField("revision", rv.Number()).WithField("source", source).Info("configuration revision in force")
}

func (fo *Follower) jitter(dn time.Duration) time.Duration {
	return dn/2 + time.Duration(fo.random.Int64N(int64(dn/2)+1))
}
