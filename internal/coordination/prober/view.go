package prober

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member.
type State uint8

// The states of a member.
const (
	// Alive members answer and take work.
	Alive State = iota + 1
	// Suspect members have not answered lately but keep what they own.
	Suspect
	// Leaving members answer, but take no new callers and own nothing.
	Leaving
	// Dead members own nothing.
	Dead
)

// String returns the state in kebab case.
func (st State) String() string {
	names := map[State]string{Alive: "alive", Suspect: "suspect", Leaving: "leaving", Dead: "dead"}
	return names[st]
}

// Member is an entry node as one node sees it.
type Member struct {
	// ID is the node's unique id; a replacement VM has a new one.
	ID string
	// Zone is the node's availability zone.
	Zone string
	// Region is the node's region.
	Region string
	// PeerAddress is the address for calls of peers.
	PeerAddress string
	// CallerAddress is the address for requests of callers.
	CallerAddress string
	// State is the node's state.
	State State
	// Revision is the configuration revision that the node last reported as in
	// force.
	Revision int64
	// LostPools are the pools whose servers the node does not reach while others do.
	LostPools []string
	// Capacity is how many requests a second the node bears; 0 if it does not say.
	Capacity int64
}

// View is one node's immutable view of the membership. After its expiry, the
// view's node owns nothing, so a paused node resumes with an expired view.
type View struct {
	self    string
	members []Member
	// candidates are the alive and suspect members.
	candidates []candidate
	// stale says that the view owns nothing, whatever its expiry.
	stale bool
	// expiry is when the view becomes stale; zero means never.
	expiry time.Time
	// validSince is the time that ValidSince returns.
	validSince time.Time
}

// candidate is a member that may own resources.
type candidate struct {
	// seed is the hash of the member's id; in Designated it is the member's
	// weight for the resource.
	seed uint64
	// member is an index into View.members.
	member int
}

// ViewOption configures a View.
type ViewOption func(*View)

// WithExpiry makes the view stale from the given time on.
func WithExpiry(expiry time.Time) ViewOption { return func(vw *View) { vw.expiry = expiry } }

// WithStale sets whether the view is stale regardless of its expiry.
func WithStale(stale bool) ViewOption { return func(vw *View) { vw.stale = stale } }

// WithValidSince sets the time that ValidSince returns.
func WithValidSince(validSince time.Time) ViewOption {
	return func(vw *View) { vw.validSince = validSince }
}

// NewView returns the view of the node self, which members must include.
func NewView(self string, members []Member, opts ...ViewOption) *View {
	sorted := append([]Member(nil), members...)
	sort.Slice(sorted, func(ix, jx int) bool { return sorted[ix].ID < sorted[jx].ID })
	vw := &View{self: self, members: sorted}
	for _, opt := range opts {
		opt(vw)
	}
	for ix, mb := range sorted {
		if mb.State == Alive || mb.State == Suspect {
			vw.candidates = append(vw.candidates, candidate{xxhash.Sum64String(mb.ID), ix})
		}
	}
	return vw
}

// Self returns the id of the view's node.
func (vw *View) Self() string { return vw.self }

// Members returns all members sorted by id. Callers must not modify the slice.
func (vw *View) Members() []Member { return vw.members }

// Member returns the member with the id, and whether there is one.
func (vw *View) Member(id string) (Member, bool) {
	ix := sort.Search(len(vw.members), func(ix int) bool { return vw.members[ix].ID >= id })
	if ix < len(vw.members) && vw.members[ix].ID == id {
		return vw.members[ix], true
	}
	return Member{}, false
}

// Stale reports whether the view must not be acted on: it has expired, or no
// peer has confirmed it since the node started or was paused.
func (vw *View) Stale() bool {
	return vw.stale || !vw.expiry.IsZero() && !time.Now().Before(vw.expiry)
}

// ValidSince returns the time since which the node has been without a pause and
// has not been declared dead by peers. Anything it confirmed earlier must be
// confirmed again.
func (vw *View) ValidSince() time.Time { return vw.validSince }

// Owner returns the member that should own a resource, by rendezvous hashing
// over the alive and suspect members, and whether there is one. Nodes with
// different views can name different owners; the resource's record in the store
// decides between them.
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
	for _, cd := range vw.candidates {
		if weight := mix(cd.seed ^ hash); !found || weight > highest {
			best, highest, found = cd.member, weight, true
		}
	}
	return best, found
}

// Owns reports whether the view's node should own the resource. It returns
// false in a stale view.
func (vw *View) Owns(resource string) bool {
	best, found := vw.owner(resource)
	return found && vw.members[best].ID == vw.self && !vw.Stale()
}

// serverPrefix is the prefix of a backend server's resource name.
const serverPrefix = "worker/"

// OwnsServer reports whether the view's node should own a backend server. It
// returns false in a stale view.
func (vw *View) OwnsServer(server string) bool { return vw.Owns(serverPrefix + server) }

// ServerOwner returns the peer address of the member that should own a backend
// server, whether that is the view's node, and whether there is an owner.
func (vw *View) ServerOwner(server string) (address string, self, ok bool) {
	owner, ok := vw.Owner(serverPrefix + server)
	return owner.PeerAddress, ok && owner.ID == vw.self, ok
}

// Designated returns up to count members of a region by descending rendezvous
// weight for a resource.
func (vw *View) Designated(resource, region string, count int) []Member {
	hash := xxhash.Sum64String(resource)
	var ranked []candidate
	for _, cd := range vw.candidates {
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

// mix is the 64-bit finalizer of MurmurHash3.
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
