package registrar

import (
	"encoding/json"
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
	was := rg.members
	rg.members = map[string]member{}
	rg.leader = storer.Entry{}
	for _, en := range entries {
		rg.takeLocked(en)
	}
	for id := range was {
		if _, ok := rg.members[id]; !ok {
			rg.gone[id] = rg.clock()
		}
	}
	rg.synced = true
	rg.checkOwnLocked()
	rg.judgeLocked()
	rg.mu.Unlock()
	rg.rebuild()
}

// Apply implements replicator.Sink.
func (rg *Registrar) Apply(changes []storer.Change) {
	rg.mu.Lock()
	for _, ch := range changes {
		if ch.Deleted {
			rg.dropLocked(ch.Entry)
			continue
		}
		rg.takeLocked(ch.Entry)
	}
	rg.checkOwnLocked()
	rg.judgeLocked()
	rg.mu.Unlock()
	rg.rebuild()
}

// StoreDown implements replicator.Sink: the nodes that are known stay so.
func (rg *Registrar) StoreDown() {}

// StoreUp implements replicator.Sink.
func (rg *Registrar) StoreUp() { rg.Notify() }

func (rg *Registrar) takeLocked(en storer.Entry) {
	if en.Key == rg.prefix+LeaderKey {
		if en.Revision > rg.leader.Revision {
			rg.leader = en
		}
		return
	}
	id, ok := strings.CutPrefix(en.Key, rg.prefix+nodesFolder)
	if !ok {
		return
	}
	pr, ready, err := decodePresence(en.Value)
	if err != nil || pr.ID != id {
		rg.registry.Inc("member", "unreadable")
		log.WithError(err).WithField("key", en.Key).Warn("registration of a node is not readable")
		return
	}
	if known, ok := rg.members[id]; !ok || en.Revision >= known.revision {
		if !ok {
			log.WithField("node", id).WithField("zone", pr.Zone).Info("node registered")
		}
		rg.members[id] = member{presence: pr, ready: ready, revision: en.Revision}
		delete(rg.gone, id)
	}
}

func (rg *Registrar) dropLocked(en storer.Entry) {
	if en.Key == rg.prefix+LeaderKey {
		if en.Revision > rg.leader.Revision {
			rg.leader = storer.Entry{}
			rg.Notify()
		}
		return
	}
	id, ok := strings.CutPrefix(en.Key, rg.prefix+nodesFolder)
	if known, found := rg.members[id]; ok && found && en.Revision > known.revision {
		log.WithField("node", id).Info("node is gone")
		delete(rg.members, id)
		rg.gone[id] = rg.clock()
	}
}

// checkOwnLocked has the node registered again if its registration is gone.
func (rg *Registrar) checkOwnLocked() {
	id := rg.presence().ID
	if _, ok := rg.members[id]; !ok && rg.written != nil {
		rg.written, rg.revision = nil, 0
		rg.Notify()
	}
}

// rebuild puts a new view in place.
func (rg *Registrar) rebuild() {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	own := rg.presence()
	members := []prober.Member{memberOf(own, rg.ready())}
	for id, mb := range rg.members {
		if id != own.ID && !rg.replacedLocked(mb) {
			members = append(members, memberOf(mb.presence, mb.ready))
		}
	}
	rg.view.Store(prober.NewView(own.ID, members))
}

// replacedLocked reports whether a process that registered later has the
// member's address: the member is one that ended and whose lease still lasts.
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

// memberOf returns the member as the view holds it. A node that does not serve
// yet gets no callers and owns nothing, like one that leaves.
func memberOf(pr messenger.Presence, ready bool) prober.Member {
	state := prober.Alive
	if pr.Leaving || !ready {
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
	}
}

// wirePresence is a registration as it is stored.
type wirePresence struct {
	ID            string `json:"id"`
	Zone          string `json:"zone"`
	Region        string `json:"region"`
	PeerAddress   string `json:"peer-address"`
	CallerAddress string `json:"caller-address"`
	Leaving       bool   `json:"leaving"`
	Ready         bool   `json:"ready"`
}

func encodePresence(pr messenger.Presence, ready bool) []byte {
	value, err := json.Marshal(wirePresence{
		ID:            pr.ID,
		Zone:          pr.Zone,
		Region:        pr.Region,
		PeerAddress:   pr.PeerAddress,
		CallerAddress: pr.CallerAddress,
		Leaving:       pr.Leaving,
		Ready:         ready,
	})
	if err != nil {
		log.WithError(err).Error("registration was not encoded")
	}
	return value
}

func decodePresence(value []byte) (messenger.Presence, bool, error) {
	var wp wirePresence
	if err := json.Unmarshal(value, &wp); err != nil {
		return messenger.Presence{}, false, errors.Wrap(err, "decode registration")
	}
	return messenger.Presence{
		ID:            wp.ID,
		Zone:          wp.Zone,
		Region:        wp.Region,
		PeerAddress:   wp.PeerAddress,
		CallerAddress: wp.CallerAddress,
		Leaving:       wp.Leaving,
	}, wp.Ready, nil
}
