package prober

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/gossiper"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// table is the state machine of the membership, without clock or network.
// Updates are ordered by incarnation, then by state. Only the member itself
// raises its incarnation, which is how it refutes a suspicion.
type table struct {
	// self is this node's own presence.
	self        messenger.Presence
	incarnation uint64
	// entries are the other members by id.
	entries map[string]*entry
	// probeOrder holds the ids that remain to be probed in this cycle.
	probeOrder []string
	random     *rand.Rand
	// suspicion is the base time to refute a suspicion.
	suspicion time.Duration
}

// entry is the state of one peer.
type entry struct {
	messenger.Presence
	incarnation uint64
	state       State
	// stateSince is when the state last changed.
	stateSince time.Time
	// sends counts how often the current update was sent.
	sends int
}

func newTable(self messenger.Presence, random *rand.Rand, suspicion time.Duration) *table {
	return &table{
		self:        self,
		incarnation: 1,
		entries:     map[string]*entry{},
		random:      random,
		suspicion:   suspicion,
	}
}

// setSelf stores the node's latest presence. Leaving is never reset.
func (tb *table) setSelf(pr messenger.Presence) {
	pr.Leaving = pr.Leaving || tb.self.Leaving
	tb.self = pr
}

func (tb *table) selfUpdate() messenger.MemberUpdate {
	return messenger.MemberUpdate{Presence: tb.self, Incarnation: tb.incarnation, State: uint8(Alive)}
}

func (en *entry) update() messenger.MemberUpdate {
	return messenger.MemberUpdate{Presence: en.Presence, Incarnation: en.incarnation, State: uint8(en.state)}
}

func (en *entry) member() Member {
	mb := memberOf(en.Presence)
	switch {
	case en.state == Dead:
		mb.State = Dead
	case en.Leaving:
		mb.State = Leaving
	default:
		mb.State = en.state
	}
	return mb
}

// applySender merges an update that a peer sent about itself. It reports
// whether the peer was unknown or dead before.
func (tb *table) applySender(mu messenger.MemberUpdate, now time.Time) (isNew bool) {
	if mu.ID == tb.self.ID {
		return false
	}
	previous := tb.entries[mu.ID]
	isNew = previous == nil || previous.state == Dead
	tb.retirePredecessors(mu.Presence, now)
	mu.State = uint8(Alive)
	tb.apply(mu, now)
	if en := tb.entries[mu.ID]; en != nil && en.incarnation == mu.Incarnation {
		en.Revision = max(en.Revision, mu.Revision)
	}
	return isNew
}

// retirePredecessors declares dead any other member at the address of pr, since
// a new id at an address is a new VM.
func (tb *table) retirePredecessors(pr messenger.Presence, now time.Time) {
	for id, en := range tb.entries {
		if id != pr.ID && en.PeerAddress == pr.PeerAddress && en.state != Dead {
			tb.setState(en, Dead, now)
		}
	}
}

// apply merges an update and reports whether it changed anything.
func (tb *table) apply(mu messenger.MemberUpdate, now time.Time) bool {
	if mu.ID == tb.self.ID {
		return tb.applySelf(mu)
	}
	en := tb.entries[mu.ID]
	state := State(mu.State)
	if state != Alive && state != Suspect && state != Dead || mu.ID == "" {
		return false
	}
	switch {
	case en == nil && state == Dead:
		return false
	case en == nil:
		tb.entries[mu.ID] = &entry{Presence: mu.Presence, incarnation: mu.Incarnation, state: state, stateSince: now}
		return true
	case mu.Incarnation > en.incarnation:
		tb.replace(en, mu, now)
		return true
	case mu.Incarnation < en.incarnation:
		en.sends = 0
		return false
	}
	return tb.merge(en, mu, now)
}

func (tb *table) replace(en *entry, mu messenger.MemberUpdate, now time.Time) {
	previous := en.state
	en.Presence = mu.Presence
	en.incarnation = mu.Incarnation
	tb.setState(en, tb.acceptedState(previous, State(mu.State)), now)
}

// acceptedState returns the state to store for a member. A peer's report that
// an alive member is dead only makes it suspect, so that a member whose region
// was cut off can refute its death before it loses what it owns.
func (tb *table) acceptedState(current, reported State) State {
	if reported == Dead && current == Alive {
		return Suspect
	}
	return reported
}

// merge applies an update of the incarnation that is stored and reports whether
// it changed anything.
func (tb *table) merge(en *entry, mu messenger.MemberUpdate, now time.Time) bool {
	changed := false
	if mu.Leaving && !en.Leaving {
		en.Leaving = true
		en.sends = 0
		changed = true
	}
	reported := tb.acceptedState(en.state, State(mu.State))
	if rank(reported) > rank(en.state) {
		tb.setState(en, reported, now)
		return true
	}
	if rank(reported) < rank(en.state) {
		en.sends = 0
	}
	return changed
}

// rank returns the precedence of a state within one incarnation.
func rank(st State) int {
	switch st {
	case Suspect:
		return 1
	case Dead:
		return 2
	default:
		return 0
	}
}

// applySelf refutes an update about this node by raising its incarnation, and
// reports whether it did. It accepts an update that says that the node is
// leaving, because peers may have read that in the platform's list first.
func (tb *table) applySelf(mu messenger.MemberUpdate) bool {
	if mu.Leaving && mu.Incarnation == tb.incarnation && !tb.self.Leaving {
		tb.self.Leaving = true
	}
	outdated := mu.Incarnation > tb.incarnation
	if !outdated && (mu.Incarnation < tb.incarnation || State(mu.State) == Alive) {
		return false
	}
	tb.incarnation = mu.Incarnation + 1
	return true
}

func (tb *table) setState(en *entry, st State, now time.Time) {
	if en.state != st {
		en.stateSince = now
	}
	en.state = st
	en.sends = 0
}

// suspect marks an alive member as suspect.
func (tb *table) suspect(id string, now time.Time) {
	en := tb.entries[id]
	if en == nil || en.state != Alive {
		return
	}
	tb.setState(en, Suspect, now)
}

// markLeaving marks a member that the platform's list names as leaving.
func (tb *table) markLeaving(id string) {
	if id == tb.self.ID {
		tb.self.Leaving = true
		return
	}
	if en := tb.entries[id]; en != nil && !en.Leaving {
		en.Leaving = true
		en.sends = 0
	}
}

// expire declares dead the suspects that did not refute in time, and removes
// members that have been dead for deadRetention.
func (tb *table) expire(now time.Time) {
	for id, en := range tb.entries {
		switch {
		case en.state == Suspect && now.Sub(en.stateSince) >= tb.suspicionTime():
			tb.setState(en, Dead, now)
		case en.state == Dead && now.Sub(en.stateSince) >= deadRetention:
			delete(tb.entries, id)
		}
	}
}

// suspicionTime returns the time to refute a suspicion. It grows with the
// logarithm of the membership, as the time does in which gossip reaches all
// members.
func (tb *table) suspicionTime() time.Duration {
	doublings := bits.Len(uint(len(tb.entries) + 1))
	return tb.suspicion * time.Duration(max(doublings/doublingsPerSuspicion, 1))
}

// restartSuspicions restarts the time to refute of every suspect, after this
// node was paused.
func (tb *table) restartSuspicions(now time.Time) {
	for _, en := range tb.entries {
		if en.state == Suspect {
			en.stateSince = now
		}
	}
}

// nextProbeTarget returns the next member to probe. Each cycle visits the
// members once, in a new random order. Members of other regions take part in
// only some of the cycles, since nodes of their own region probe them.
func (tb *table) nextProbeTarget() (*entry, bool) {
	for range 2 {
		for len(tb.probeOrder) > 0 {
			en := tb.entries[tb.probeOrder[0]]
			tb.probeOrder = tb.probeOrder[1:]
			if en != nil && en.state != Dead {
				return en, true
			}
		}
		tb.shuffleProbeOrder()
	}
	return nil, false
}

func (tb *table) shuffleProbeOrder() {
	near := tb.notDead(func(en *entry) bool { return en.Region == tb.self.Region })
	far := tb.notDead(func(en *entry) bool { return en.Region != tb.self.Region })
	for _, en := range far {
		if len(near) == 0 || tb.random.Float64() < remoteRegionProbeShare {
			near = append(near, en)
		}
	}
	tb.random.Shuffle(len(near), func(ix, jx int) { near[ix], near[jx] = near[jx], near[ix] })
	tb.probeOrder = tb.probeOrder[:0]
	for _, en := range near {
		tb.probeOrder = append(tb.probeOrder, en.ID)
	}
}

// notDead returns the members that are not dead and satisfy want, sorted by id.
func (tb *table) notDead(want func(*entry) bool) []*entry {
	var found []*entry
	for _, en := range tb.entries {
		if en.state != Dead && want(en) {
			found = append(found, en)
		}
	}
	sort.Slice(found, func(ix, jx int) bool { return found[ix].ID < found[jx].ID })
	return found
}

// randomAlive returns up to count random alive members other than excluded.
func (tb *table) randomAlive(count int, excluded string) []*entry {
	all := tb.notDead(func(en *entry) bool { return en.state == Alive && en.ID != excluded })
	tb.random.Shuffle(len(all), func(ix, jx int) { all[ix], all[jx] = all[jx], all[ix] })
	return all[:min(count, len(all))]
}

// deadIDs returns the sorted ids of the dead members.
func (tb *table) deadIDs() []string {
	var ids []string
	for id, en := range tb.entries {
		if en.state == Dead {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// alone reports whether every known peer is dead.
func (tb *table) alone() bool {
	for _, en := range tb.entries {
		if en.state != Dead {
			return false
		}
	}
	return true
}

// nextUpdates returns the updates to send to receiver within a budget of bytes.
// An update about the receiver itself comes first, then those sent least often.
func (tb *table) nextUpdates(receiver string, budget int) []messenger.MemberUpdate {
	var out []messenger.MemberUpdate
	if en := tb.entries[receiver]; en != nil && (en.state != Alive || en.Leaving) {
		out = append(out, en.update())
		budget -= updateBytes(en)
	}
	limit := gossiper.SendLimit(len(tb.entries) + 1)
	var pending []*entry
	for _, en := range tb.entries {
		if en.sends < limit && en.ID != receiver {
			pending = append(pending, en)
		}
	}
	sort.Slice(pending, func(ix, jx int) bool {
		one, two := pending[ix], pending[jx]
		return one.sends < two.sends || one.sends == two.sends && one.ID < two.ID
	})
	for _, en := range pending {
		if budget -= updateBytes(en); budget < 0 {
			break
		}
		en.sends++
		out = append(out, en.update())
	}
	return out
}

func updateBytes(en *entry) int {
	return len(en.ID) + len(en.Zone) + len(en.Region) + len(en.PeerAddress) + len(en.CallerAddress) + updateOverheadBytes
}

// addDigest adds the members that are part of digests to the checksums.
func (tb *table) addDigest(digest []uint32, now time.Time) {
	addUpdate := func(mu messenger.MemberUpdate) {
		leaving := uint64(0)
		if mu.Leaving {
			leaving = 1
		}
		gossiper.AddToDigest(digest, mu.ID, mu.Incarnation, uint64(mu.State), leaving)
	}
	addUpdate(tb.selfUpdate())
	for _, en := range tb.entries {
		if en.inDigest(now) {
			addUpdate(en.update())
		}
	}
}

// inDigest reports whether an entry is part of digests. A dead member is part
// of them for deadDigestTime, and is forgotten only after deadRetention.
func (en *entry) inDigest(now time.Time) bool {
	return en.state != Dead || now.Sub(en.stateSince) < deadDigestTime
}

// differingUpdates returns the updates of members whose bucket differs, at most
// limit of them, this node's own first.
func (tb *table) differingUpdates(differs func(string) bool, limit int, now time.Time) []messenger.MemberUpdate {
	var out []messenger.MemberUpdate
	if differs(tb.self.ID) {
		out = append(out, tb.selfUpdate())
	}
	for id, en := range tb.entries {
		if len(out) < limit && differs(id) && en.inDigest(now) {
			out = append(out, en.update())
		}
	}
	return out
}

// members returns all members, including this node.
func (tb *table) members() []Member {
	members := []Member{memberOf(tb.self)}
	for _, en := range tb.entries {
		members = append(members, en.member())
	}
	return members
}
