package registrar

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// Replace implements replicator.Sink.
func (rg *Registrar) Replace(entries []storer.Entry) {
	rg.mu.Lock()
	if rg.era == 0 {
		rg.era = rg.store.Era()
	}
	previous := rg.members
	rg.members = map[string]member{}
	rg.leaderEntry = storer.Entry{}
	for _, en := range entries {
		rg.seen = max(rg.seen, en.Revision)
		rg.applyEntryLocked(en)
	}
	for key, mb := range previous {
		if _, ok := rg.members[key]; ok {
			continue
		}
		if mb.keptUntil > rg.clock() {
			rg.members[key] = mb
			continue
		}
		rg.goneAt[mb.presence.ID] = rg.clock()
	}
	if rg.history == nil {
		rg.history = rg.historyLocked()
	}
	if !rg.replicated {
		rg.replicated = true
		rg.Notify()
	}
	rg.checkOwnRegistrationLocked()
	rg.updateLeadershipLocked()
	rg.mu.Unlock()
	rg.rebuildView()
}

// Apply implements replicator.Sink.
func (rg *Registrar) Apply(changes []storer.Change) {
	rg.mu.Lock()
	for _, ch := range changes {
		rg.seen = max(rg.seen, ch.Revision)
		if ch.Deleted {
			rg.deleteEntryLocked(ch.Entry)
			continue
		}
		rg.applyEntryLocked(ch.Entry)
	}
	rg.checkOwnRegistrationLocked()
	rg.updateLeadershipLocked()
	rg.mu.Unlock()
	rg.rebuildView()
}

// StoreDown implements replicator.Sink. It keeps the known nodes.
func (rg *Registrar) StoreDown() {}

// StoreUp implements replicator.Sink.
func (rg *Registrar) StoreUp() { rg.Notify() }

func (rg *Registrar) applyEntryLocked(en storer.Entry) {
	if en.Key == rg.prefix+LeaderKey {
		rg.applyLeaderLocked(en)
		return
	}
	if !strings.HasPrefix(en.Key, rg.prefix+nodesPrefix) {
		return
	}
	mb, err := decodeRegistration(en.Value)
	pr := mb.presence
	if err != nil || pr.ID == "" {
		rg.registry.Inc("member", "unreadable")
		log.WithError(err).WithField("key", en.Key).Warn("node registration in the store is unreadable; it is ignored")
		return
	}
	known, ok := rg.members[en.Key]
	if ok && en.Revision < known.revision {
		return
	}
	if !ok || known.presence.ID != pr.ID {
		log.WithField("node", pr.ID).WithField("zone", pr.Zone).Info("node registered")
	}
	if ok && known.presence.ID != pr.ID {
		rg.goneAt[known.presence.ID] = rg.clock()
	}
	mb.revision = en.Revision
	rg.members[en.Key] = mb
	delete(rg.goneAt, pr.ID)
}

func (rg *Registrar) deleteEntryLocked(en storer.Entry) {
	if en.Key == rg.prefix+LeaderKey {
		if en.Revision > rg.leaderEntry.Revision {
			rg.leaderEntry, rg.voidRevision = storer.Entry{}, 0
			rg.Notify()
		}
		return
	}
	if known, ok := rg.members[en.Key]; ok && en.Revision > known.revision {
		log.WithField("node", known.presence.ID).Info("node is gone")
		delete(rg.members, en.Key)
		rg.goneAt[known.presence.ID] = rg.clock()
	}
}

// applyLeaderLocked takes over the leader's key. One that was written in a former
// era is void: its holder has given up the leadership with the era.
func (rg *Registrar) applyLeaderLocked(en storer.Entry) {
	id, era := decodeLeader(en.Value)
	switch {
	case era < rg.era:
		rg.voidRevision = en.Revision
	case en.Revision > rg.leaderEntry.Revision:
		en.Value = []byte(id)
		rg.leaderEntry, rg.voidRevision = en, 0
	}
}

// StoreRestored implements replicator.Sink. The node gives up its leadership and
// its lease, which may be gone or given out again, and keeps the nodes that it
// knows until those that the copy lacks have registered again.
func (rg *Registrar) StoreRestored(era int64) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	now := rg.clock()
	rg.restoredTerm, rg.restoredAt = 0, now
	if now < rg.renewedAt+rg.leaderActiveTime() {
		rg.restoredTerm = rg.term
	}
	rg.resignLocked("store returned from an older copy")
	rg.era, rg.lease, rg.nextRenewalAt = era, 0, 0
	rg.leaderEntry, rg.voidRevision, rg.seen = storer.Entry{}, 0, 0
	rg.revision, rg.reread, rg.replicated = 0, false, false
	rg.leaderless = max(now, 1)
	if rg.restoredTerm == 0 {
		rg.leaderless += formerLeaderTime
	}
	for key, mb := range rg.members {
		mb.revision, mb.keptUntil = 0, now+reregistrationTime
		rg.members[key] = mb
	}
}

// dropKept drops nodes that have not registered again after the store returned
// from an older copy.
func (rg *Registrar) dropKept() {
	rg.mu.Lock()
	now, dropped := rg.clock(), false
	for key, mb := range rg.members {
		if mb.keptUntil != 0 && now >= mb.keptUntil {
			delete(rg.members, key)
			rg.goneAt[mb.presence.ID], dropped = now, true
		}
	}
	rg.mu.Unlock()
	if dropped {
		rg.rebuildView()
	}
}

// checkOwnRegistrationLocked makes the node register again if its registration
// is gone.
func (rg *Registrar) checkOwnRegistrationLocked() {
	if rg.seen < rg.revision {
		// The registration was written after what has been replicated.
		return
	}
	pr := rg.presence()
	mb, ok := rg.members[rg.nodeKey(pr.PeerAddress)]
	ok = ok && mb.keptUntil == 0
	switch {
	case rg.written == nil:
	case !ok || mb.presence.ID != pr.ID && mb.revision > rg.revision:
		rg.written, rg.revision = nil, 0
		rg.Notify()
	case rg.revision == 0 && mb.presence.ID == pr.ID:
		// The registration is in the copy to which the store returned.
		rg.revision = mb.revision
	}
}

// rebuildView stores a new view.
func (rg *Registrar) rebuildView() {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	own := rg.presence()
	members := []prober.Member{memberOf(member{presence: own, ready: rg.ready(), capacity: rg.capacity(), lost: rg.lost()})}
	for _, mb := range rg.members {
		if mb.presence.ID != own.ID && !rg.replacedLocked(mb) {
			members = append(members, memberOf(mb))
		}
	}
	rg.view.Store(prober.NewView(own.ID, members))
}

// replacedLocked reports whether a process that registered later has the
// member's address: the member's process has ended.
func (rg *Registrar) replacedLocked(mb member) bool {
	if mb.presence.PeerAddress == rg.presence().PeerAddress {
		return true
	}
	for _, other := range rg.members {
		if other.presence.PeerAddress == mb.presence.PeerAddress && other.revision > mb.revision {
			return true
		}
	}
	return false
}

// memberOf returns the member for the view. A node that is not ready gets no
// callers and owns nothing, like one that is leaving.
func memberOf(mb member) prober.Member {
	pr, state := mb.presence, prober.Alive
	if pr.Leaving || !mb.ready {
		state = prober.Leaving
	}
	return prober.Member{
		ID:            pr.ID,
		Zone:          pr.Zone,
		Region:        pr.Region,
		PeerAddress:   pr.PeerAddress,
		CallerAddress: pr.CallerAddress,
		State:         state,
		Revision:      pr.Revision,
		Capacity:      mb.capacity,
		LostPools:     mb.lost,
	}
}

// encodeLeader returns the value of the leader's key: the id, and the era unless
// the store has none.
func encodeLeader(id string, era int64) []byte {
	if era == 0 {
		return []byte(id)
	}
	return []byte(id + " " + strconv.FormatInt(era, 10))
}

// decodeLeader ignores what a later build adds after the era.
func decodeLeader(value []byte) (id string, era int64) {
	id, rest, _ := strings.Cut(string(value), " ")
	text, _, _ := strings.Cut(rest, " ")
	era, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return id, 0
	}
	return id, era
}

// wirePresence is the stored form of a registration.
type wirePresence struct {
	ID            string `json:"id"`
	Zone          string `json:"zone"`
	Region        string `json:"region"`
	PeerAddress   string `json:"peer-address"`
	CallerAddress string `json:"caller-address"`
	Leaving       bool   `json:"leaving"`
	Ready         bool   `json:"ready"`
	// Capacity is in requests a second; builds before it neither write nor read it.
	Capacity int64 `json:"capacity,omitempty"`
	// Started is in Unix milliseconds; earlier builds neither write nor read it.
	Started int64 `json:"started,omitempty"`
	// LostPools is neither written nor read by earlier builds.
	LostPools []string `json:"lost-pools,omitempty"`
}

func encodeRegistration(mb member) []byte {
	pr := mb.presence
	value, err := json.Marshal(wirePresence{
		ID:            pr.ID,
		Zone:          pr.Zone,
		Region:        pr.Region,
		PeerAddress:   pr.PeerAddress,
		CallerAddress: pr.CallerAddress,
		Leaving:       pr.Leaving,
		Ready:         mb.ready,
		Capacity:      mb.capacity,
		Started:       pr.Started,
		LostPools:     mb.lost,
	})
	if err != nil {
		log.WithError(err).Error("node registration was not encoded; peers do not see it")
	}
	return value
}

func decodeRegistration(value []byte) (member, error) {
	var wp wirePresence
	if err := json.Unmarshal(value, &wp); err != nil {
		return member{}, errors.Wrap(err, "decode registration")
	}
	return member{presence: messenger.Presence{
		ID:            wp.ID,
		Zone:          wp.Zone,
		Region:        wp.Region,
		PeerAddress:   wp.PeerAddress,
		CallerAddress: wp.CallerAddress,
		Leaving:       wp.Leaving,
		Started:       wp.Started,
	}, ready: wp.Ready, capacity: max(wp.Capacity, 0), lost: wp.LostPools}, nil
}
