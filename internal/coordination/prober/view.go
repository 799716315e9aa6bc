package prober

import (
	"sort"

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
}

// View is an immutable picture of the membership, seen by one node.
type View struct {
	self    string
	members []Member
}

// NewView returns the view of the node self. The view includes self.
func NewView(self string, members []Member) *View {
	sorted := append([]Member(nil), members...)
	sort.Slice(sorted, func(ix, jx int) bool { return sorted[ix].ID < sorted[jx].ID })
	return &View{self: self, members: sorted}
}

// Self returns the id of the node whose view this is.
func (vw *View) Self() string { return vw.self }

// Members returns all members in the order of their ids. The slice is shared
// and may not be changed.
func (vw *View) Members() []Member { return vw.members }

// Member returns the member of that id.
func (vw *View) Member(id string) (Member, bool) {
	for _, mb := range vw.members {
		if mb.ID == id {
			return mb, true
		}
	}
	return Member{}, false
}

// Owner returns the member that should own a resource, by rendezvous hashing
// over the members that are alive or suspect. It reports false if there is
// none. Two nodes with different views can name different owners; a resource's
// record in the store decides between them.
func (vw *View) Owner(resource string) (Member, bool) {
	var best Member
	var highest uint64
	found := false
	for _, mb := range vw.members {
		if mb.State != Alive && mb.State != Suspect {
			continue
		}
		if weight := rendezvousWeight(mb.ID, resource); !found || weight > highest {
			best, highest, found = mb, weight, true
		}
	}
	return best, found
}

// Owns reports whether the view's own node should own the resource.
func (vw *View) Owns(resource string) bool {
	owner, ok := vw.Owner(resource)
	return ok && owner.ID == vw.self
}

func rendezvousWeight(member, resource string) uint64 {
	dg := xxhash.New()
	_, _ = dg.WriteString(member)
	_, _ = dg.WriteString("\n")
	_, _ = dg.WriteString(resource)
	return dg.Sum64()
}
