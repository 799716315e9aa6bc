package prober

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/spreader"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// table is the state machine of the membership, without clock or network. Its
// updates are ordered by incarnation, then by state: only the member itself
// raises its incarnation, which is how it refutes a suspicion.
type table struct {
	self        messenger.Presence
	incarnation uint64
	entries     map[string]*entry
	order       []string
	random      *rand.Rand
	suspicion   time.Duration
}

// entry is what is known of one peer.
type entry struct {
	messenger.Presence
	incarnation uint64
	state       State
	since       time.Time
	sends       int
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

// setSelf takes the node's latest word of itself. Leaving is never taken back.
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

// hear takes a peer's word of itself, received from the peer. It reports
// whether the peer was not known, or was dead.
func (tb *table) hear(mu messenger.MemberUpdate, now time.Time) (found bool) {
	if mu.ID == tb.self.ID {
		return false
	}
	former := tb.entries[mu.ID]
	found = former == nil || former.state == Dead
	tb.retireFormer(mu.Presence, now)
	mu.State = uint8(Alive)
	tb.apply(mu, now)
	if en := tb.entries[mu.ID]; en != nil && en.incarnation == mu.Incarnation {
		en.Revision = max(en.Revision, mu.Revision)
	}
	return found
}

// retireFormer declares dead whoever had the address before: a new id at an
// address is a new VM.
func (tb *table) retireFormer(pr messenger.Presence, now time.Time) {
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
		tb.entries[mu.ID] = &entry{Presence: mu.Presence, incarnation: mu.Incarnation, state: state, since: now}
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
	was := en.state
	en.Presence = mu.Presence
	en.incarnation = mu.Incarnation
	tb.setState(en, tb.believe(was, State(mu.State)), now)
}

// believe turns a peer's word that a member is dead into a suspicion unless
// the node suspects the member itself, so that a member whose region was cut
// off can refute its death before it loses anything.
func (tb *table) believe(held, told State) State {
	if told == Dead && held == Alive {
		return Suspect
	}
	return told
}

// merge takes an update of the same incarnation.
func (tb *table) merge(en *entry, mu messenger.MemberUpdate, now time.Time) bool {
	changed := false
	if mu.Leaving && !en.Leaving {
		en.Leaving = true
		en.sends = 0
		changed = true
	}
	told := tb.believe(en.state, State(mu.State))
	if rank(told) > rank(en.state) {
		tb.setState(en, told, now)
		return true
	}
	if rank(told) < rank(en.state) {
		en.sends = 0
	}
	return changed
}

// rank orders the states of one incarnation.
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

// applySelf refutes what others say of the node itself, but for its leaving,
// which the platform's list may have told them first.
func (tb *table) applySelf(mu messenger.MemberUpdate) bool {
	if mu.Leaving && mu.Incarnation == tb.incarnation && !tb.self.Leaving {
		tb.self.Leaving = true
	}
	stale := mu.Incarnation > tb.incarnation
	if !stale && (mu.Incarnation < tb.incarnation || State(mu.State) == Alive) {
		return false
	}
	tb.incarnation = mu.Incarnation + 1
	return true
}

func (tb *table) setState(en *entry, st State, now time.Time) {
	if en.state != st {
		en.since = now
	}
	en.state = st
	en.sends = 0
}

// suspect notes that a member did not answer.
func (tb *table) suspect(id string, now time.Time) {
	en := tb.entries[id]
	if en == nil || en.state != Alive {
		return
	}
	tb.setState(en, Suspect, now)
}

// markLeaving notes that the platform's list says that a member is leaving.
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

// expire declares dead the members whose suspicion was not refuted in time,
// and forgets those that are dead for long.
func (tb *table) expire(now time.Time) {
	for id, en := range tb.entries {
		switch {
		case en.state == Suspect && now.Sub(en.since) >= tb.suspicionTime():
			tb.setState(en, Dead, now)
		case en.state == Dead && now.Sub(en.since) >= forgetAfter:
			delete(tb.entries, id)
		}
	}
}

// suspicionTime grows with the time that a refutation takes to spread.
func (tb *table) suspicionTime() time.Duration {
	doublings := bits.Len(uint(len(tb.entries) + 1))
	return tb.suspicion * time.Duration(max(doublings/doublingsInSuspicion, 1))
}

// restartSuspicions gives every suspect the whole time again after the node
// itself was paused.
func (tb *table) restartSuspicions(now time.Time) {
	for _, en := range tb.entries {
		if en.state == Suspect {
			en.since = now
		}
	}
}

// next returns the next member to probe, each once in a random order that is
// drawn again for each cycle. Members of other regions take part in some of
// the cycles only, since their own region probes them.
func (tb *table) next() (*entry, bool) {
	for range 2 {
		for len(tb.order) > 0 {
			en := tb.entries[tb.order[0]]
			tb.order = tb.order[1:]
			if en != nil && en.state != Dead {
				return en, true
			}
		}
		tb.shuffle()
	}
	return nil, false
}

func (tb *table) shuffle() {
	near := tb.living(func(en *entry) bool { return en.Region == tb.self.Region })
	far := tb.living(func(en *entry) bool { return en.Region != tb.self.Region })
	for _, en := range far {
		if len(near) == 0 || tb.random.Float64() < farProbeShare {
			near = append(near, en)
		}
	}
	tb.random.Shuffle(len(near), func(ix, jx int) { near[ix], near[jx] = near[jx], near[ix] })
	tb.order = tb.order[:0]
	for _, en := range near {
		tb.order = append(tb.order, en.ID)
	}
}

// living returns the members that are not dead, in the order of their ids.
func (tb *table) living(want func(*entry) bool) []*entry {
	var found []*entry
	for _, en := range tb.entries {
		if en.state != Dead && want(en) {
			found = append(found, en)
		}
	}
	sort.Slice(found, func(ix, jx int) bool { return found[ix].ID < found[jx].ID })
	return found
}

// pick returns up to count members at random that are alive, without one.
func (tb *table) pick(count int, without string) []*entry {
	all := tb.living(func(en *entry) bool { return en.state == Alive && en.ID != without })
	tb.random.Shuffle(len(all), func(ix, jx int) { all[ix], all[jx] = all[jx], all[ix] })
	return all[:min(count, len(all))]
}

// deadIDs returns the ids of the dead, in their order.
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

// alone reports whether no peer is known that is not dead.
func (tb *table) alone() bool {
	for _, en := range tb.entries {
		if en.state != Dead {
			return false
		}
	}
	return true
}

// take returns the updates to send next within a budget of bytes, what is said
// of the receiver first.
func (tb *table) take(receiver string, budget int) []messenger.MemberUpdate {
	var out []messenger.MemberUpdate
	if en := tb.entries[receiver]; en != nil && (en.state != Alive || en.Leaving) {
		out = append(out, en.update())
		budget -= updateBytes(en)
	}
	limit := spreader.SendLimit(len(tb.entries) + 1)
	var waiting []*entry
	for _, en := range tb.entries {
		if en.sends < limit && en.ID != receiver {
			waiting = append(waiting, en)
		}
	}
	sort.Slice(waiting, func(ix, jx int) bool {
		one, two := waiting[ix], waiting[jx]
		return one.sends < two.sends || one.sends == two.sends && one.ID < two.ID
	})
	for _, en := range waiting {
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

// addDigest adds the checksums of all members that are worth telling.
func (tb *table) addDigest(digest []uint32, now time.Time) {
	one := func(mu messenger.MemberUpdate) {
		leaving := uint64(0)
		if mu.Leaving {
			leaving = 1
		}
		spreader.AddToDigest(digest, mu.ID, mu.Incarnation, uint64(mu.State), leaving)
	}
	one(tb.selfUpdate())
	for _, en := range tb.entries {
		if en.told(now) {
			one(en.update())
		}
	}
}

// told reports whether an entry is part of digests; the dead drop out of them
// long before they are forgotten.
func (en *entry) told(now time.Time) bool {
	return en.state != Dead || now.Sub(en.since) < tellDead
}

// in returns at most limit updates of members whose bucket is marked.
func (tb *table) in(marked func(string) bool, limit int, now time.Time) []messenger.MemberUpdate {
	var out []messenger.MemberUpdate
	if marked(tb.self.ID) {
		out = append(out, tb.selfUpdate())
	}
	for id, en := range tb.entries {
		if len(out) < limit && marked(id) && en.told(now) {
			out = append(out, en.update())
		}
	}
	return out
}

// view returns the members, the node itself included.
func (tb *table) members() []Member {
	members := []Member{memberOf(tb.self)}
	for _, en := range tb.entries {
		members = append(members, en.member())
	}
	return members
}
