package prober

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is known of a member.
type State uint8

// The states of a member.
const (
	// Alive members answer and take work.
	Alive State = iota + 1
	// Suspect members have not answered lately; they own what they owned.
	Suspect
	// Leaving members answer, take no new callers and own nothing.
	Leaving
	// Dead members own nothing.
	Dead
)

// String returns the state in kebab case.
func (st State) String() string {
	names := map[State]string{Alive: "alive", Suspect: "suspect", Leaving: "leaving", Dead: "dead"}
	return names[st]
}

// Member is an entry node as its peers know it.
type Member struct {
	// ID is the node's unique id; a VM that is replaced gets a new one.
	ID string
	// Zone is the availability zone.
	Zone string
	// Region is the region.
	Region string
	// PeerAddress is where peers call the node.
	PeerAddress string
	// CallerAddress is where callers reach the node.
	CallerAddress string
	// State is the state in which the view's holder sees the node.
	State State
	// Revision is the configuration revision that the node last said it has
	// in force.
	Revision int64
}

// View is a picture of the membership, seen by one node. It never changes, but
// a view with an expiry owns nothing once that has passed: a paused node wakes
// with an expired view.
type View struct {
	self    string
	members []Member
	owners  []candidate
	stale   bool
	expiry  time.Time
	since   time.Time
}

// candidate is a member that may own resources.
type candidate struct {
	seed   uint64
	member int
}

// ViewOption changes a View that is being made.
type ViewOption func(*View)

// WithExpiry makes the view own nothing from then on.
func WithExpiry(expiry time.Time) ViewOption { return func(vw *View) { vw.expiry = expiry } }

// WithStale makes the view own nothing.
func WithStale(stale bool) ViewOption { return func(vw *View) { vw.stale = stale } }

// WithSince says since when the node has seen the membership without a pause.
func WithSince(since time.Time) ViewOption { return func(vw *View) { vw.since = since } }

// NewView returns the view of the node self. The view includes self.
func NewView(self string, members []Member, opts ...ViewOption) *View {
	sorted := append([]Member(nil), members...)
	sort.Slice(sorted, func(ix, jx int) bool { return sorted[ix].ID < sorted[jx].ID })
	vw := &View{self: self, members: sorted}
	for _, opt := range opts {
		opt(vw)
	}
	for ix, mb := range sorted {
		if mb.State == Alive || mb.State == Suspect {
			vw.owners = append(vw.owners, candidate{xxhash.Sum64String(mb.ID), ix})
		}
	}
	return vw
}

// Self returns the id of the node whose view this is.
func (vw *View) Self() string { return vw.self }

// Members returns all members in the order of their ids. The slice is shared
// and may not be changed.
func (vw *View) Members() []Member { return vw.members }

// Member returns the member of that id.
func (vw *View) Member(id string) (Member, bool) {
	ix := sort.Search(len(vw.members), func(ix int) bool { return vw.members[ix].ID >= id })
	if ix < len(vw.members) && vw.members[ix].ID == id {
		return vw.members[ix], true
	}
	return Member{}, false
}

// Stale reports whether the view is too old to act on: the node was paused, or
// has not completed its first round of probes.
func (vw *View) Stale() bool {
	return vw.stale || !vw.expiry.IsZero() && !time.Now().Before(vw.expiry)
}

// Since returns since when the node has seen the membership without a pause.
// What it confirmed before then has to be confirmed again.
func (vw *View) Since() time.Time { return vw.since }

// Owner returns the member that should own a resource, by rendezvous hashing
// over the members that are alive or suspect. It reports false if there is
// none. Two nodes with different views can name different owners; a resource's
// record in the store decides between them.
func (vw *View) Owner(resource string) (Member, bool) {
	best, found := vw.owner(resource)
	if !found {
		return Member{}, false
	}
	return vw.members[best], true
}

func (vw *View) owner(resource string) (best int, found bool) {
	var highest uint64
	hash := xxhash.Sum64String(resource)
	for _, cd := range vw.owners {
		if weight := mix(cd.seed ^ hash); !found || weight > highest {
			best, highest, found = cd.member, weight, true
		}
	}
	return best, found
}

// Owns reports whether the view's own node should own the resource. It is
// false in a stale view.
func (vw *View) Owns(resource string) bool {
	best, found := vw.owner(resource)
	return found && vw.members[best].ID == vw.self && !vw.Stale()
}

// serverPrefix precedes a backend server's name in the name of its resource.
const serverPrefix = "worker/"

// OwnsServer is Owns for a backend server.
func (vw *View) OwnsServer(server string) bool { return vw.Owns(serverPrefix + server) }

// ServerOwner returns the peer address of the member that should own a backend
// server, and whether that is the view's own node. It reports false if there is
// none.
func (vw *View) ServerOwner(server string) (address string, self, ok bool) {
	owner, ok := vw.Owner(serverPrefix + server)
	return owner.PeerAddress, ok && owner.ID == vw.self, ok
}

// Designated returns the count members of a region that rank highest for a
// resource, the first in that order being its owner within the region.
func (vw *View) Designated(resource, region string, count int) []Member {
	hash := xxhash.Sum64String(resource)
	var ranked []candidate
	for _, cd := range vw.owners {
		if vw.members[cd.member].Region == region {
			ranked = append(ranked, candidate{mix(cd.seed ^ hash), cd.member})
		}
	}
	sort.Slice(ranked, func(ix, jx int) bool { return ranked[ix].seed > ranked[jx].seed })
	var out []Member
	for _, cd := range ranked[:min(count, len(ranked))] {
		out = append(out, vw.members[cd.member])
	}
	return out
}

// mix is the finalizer of a 64-bit hash, which spreads close inputs apart.
func mix(value uint64) uint64 {
	const (
		factorOne = 0xff51afd7ed558ccd
		factorTwo = 0xc4ceb9fe1a85ec53
		shift     = 33
	)
	value ^= value >> shift
	value *= factorOne
	value ^= value >> shift
	value *= factorTwo
	return value ^ value>>shift
}
