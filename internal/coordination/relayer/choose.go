package relayer

import (
	"slices"
	"strings"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
)

// maxDeputies is how many nodes are asked in place of a lost leader.
const maxDeputies = 2

// Sources says from which nodes a node takes the changes of the store's keys.
type Sources struct {
	// peers are asked in this order. A reader asks them only if the store does
	// not answer it.
	peers []prober.Member
	// before are the peers and others that come before the node: the leader, and
	// those that turn to the store earlier.
	before []prober.Member
	// others are the remaining nodes, in the order in which they turn to the
	// store if no peer has current changes.
	others []prober.Member
	// reader says that the node reads the store itself.
	reader bool
	// rank is the number of nodes that turn to the store before this one if no
	// peer has current changes.
	rank int
}

// Peers returns the nodes to ask, the best one first.
func (sc Sources) Peers() []prober.Member { return sc.peers }

// Before returns the leader, if another node leads, and the nodes that turn to
// the store earlier than this one. Only these relieve a node that reads the
// store, so that two nodes never wait for each other.
func (sc Sources) Before() []prober.Member { return sc.before }

// Others returns the remaining nodes, in the order in which they turn to the
// store.
func (sc Sources) Others() []prober.Member { return sc.others }

// Reader reports whether the node reads the store itself.
func (sc Sources) Reader() bool { return sc.reader }

// Rank returns the number of nodes that turn to the store before this one.
func (sc Sources) Rank() int { return sc.rank }

// Choose returns the sources of the view's node. The leader reads the store, or
// the first node if there is no leader. One node of each zone asks the leader,
// and the others of the zone ask that one, so that the calls of one node and
// the bytes between zones do not grow with the number of nodes. If these fail,
// the first nodes of the fleet are asked, which read the store next.
func Choose(vw *prober.View, leader string) Sources {
	self, _ := vw.Member(vw.Self())
	ordered := order(vw.Members())
	sc := Sources{rank: rankOf(ordered, self.ID, leader)}
	leading, led := vw.Member(leader)
	add := func(mb prober.Member) {
		if mb.ID != self.ID && !contains(sc.peers, mb.ID) {
			sc.peers = append(sc.peers, mb)
		}
	}
	if leader == self.ID || !led && ordered[0].ID == self.ID {
		sc.reader, sc.rank = true, 0
	} else {
		if first := firstOf(ordered, self.Zone); !led || leading.Zone != self.Zone {
			add(first)
		}
		if led {
			add(leading)
		}
	}
	for _, mb := range ordered[:min(maxDeputies+1, len(ordered))] {
		if len(sc.peers) <= maxDeputies {
			add(mb)
		}
	}
	if led && !sc.reader {
		sc.before = append(sc.before, leading)
	}
	for _, mb := range ordered {
		if mb.ID == self.ID {
			break
		}
		if mb.ID != leader && !sc.reader {
			sc.before = append(sc.before, mb)
		}
	}
	for _, mb := range ordered {
		if mb.ID != self.ID && !contains(sc.peers, mb.ID) {
			sc.others = append(sc.others, mb)
		}
	}
	return sc
}

func contains(members []prober.Member, id string) bool {
	return slices.ContainsFunc(members, func(mb prober.Member) bool { return mb.ID == id })
}

// rankOf returns how many nodes other than the leader come before a node.
func rankOf(ordered []prober.Member, id, leader string) int {
	rank := 0
	for _, mb := range ordered {
		if mb.ID == id {
			break
		}
		if mb.ID != leader {
			rank++
		}
	}
	return rank
}

// order returns the members by state, those that serve callers first, and by
// id.
func order(members []prober.Member) []prober.Member {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(one, two prober.Member) int {
		if alive := one.State == prober.Alive; alive != (two.State == prober.Alive) {
			if alive {
				return -1
			}
			return 1
		}
		return strings.Compare(one.ID, two.ID)
	})
	return ordered
}

func firstOf(ordered []prober.Member, zone string) prober.Member {
	for _, mb := range ordered {
		if mb.Zone == zone {
			return mb
		}
	}
	return prober.Member{}
}
