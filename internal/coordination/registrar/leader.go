package registrar

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// leaderActiveShare is the share of the lease's lifetime, counted from its last
// renewal, in which a leader acts. A leader may not know yet that its key was
// removed, so the next leader waits for this time in addition to the handover.
const leaderActiveShare = 0.6

const (
	// termEraBits is the position of the era in a term. Revisions are lower, and
	// a term is exact as a number in JSON up to an era of some thousands.
	termEraBits = 40
	// formerLeaderTime is how long the others leave it to the former leader to
	// campaign after the store returned from an older copy. That node knows the
	// orders that the copy lacks.
	formerLeaderTime = 500 * time.Millisecond
	// maxContinuation is how long after that an election still continues the
	// former leadership. No other leader can have sent orders by then, because it
	// first waits for the orders of earlier leaders.
	maxContinuation = 2 * time.Second
	// reregistrationTime is how long nodes stay known whose registrations the
	// store has lost.
	reregistrationTime = 3 * time.Second
	// candidateDelay is the time between two nodes that campaign after the loss
	// of a leader, and maxCandidateDelay the longest delay.
	candidateDelay    = 250 * time.Millisecond
	maxCandidateDelay = 4 * time.Second
	// unfitDelay is by how much later a node campaigns that is not fit to lead.
	unfitDelay = 2 * maxCandidateDelay
	// campaignRetry is the time until a node campaigns again that lost against
	// another.
	campaignRetry = time.Second
)

// Term returns the term of a leadership that began with a revision of an era of
// the store. Terms of later eras are higher, although revisions are given out
// again.
func Term(era, revision int64) int64 { return era<<termEraBits | revision }

// SplitTerm returns the era and the revision of a term.
func SplitTerm(term int64) (era, revision int64) {
	return term >> termEraBits, term & (1<<termEraBits - 1)
}

// leaderActiveTime returns how long a leader acts without a renewal.
func (rg *Registrar) leaderActiveTime() time.Duration {
	return time.Duration(leaderActiveShare * float64(rg.lifetime))
}

// Leads returns the term of this node's leadership; ok is false if the node
// does not lead now. Each leader's term is higher than that of the previous
// one.
func (rg *Registrar) Leads() (term int64, ok bool) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	now := rg.clock()
	return rg.term, rg.term != 0 && now < rg.renewedAt+rg.leaderActiveTime() && now >= rg.electedAt+rg.handover+rg.leaderActiveTime()
}

// FormerTerm returns the term that the node's leadership continues, because the
// node led in it when the store returned from an older copy, or 0.
func (rg *Registrar) FormerTerm() int64 {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.continued
}

// Leader returns the leader according to the last replicated state, and whether
// there is one among the members.
func (rg *Registrar) Leader() (prober.Member, bool) {
	rg.mu.Lock()
	id := string(rg.leaderEntry.Value)
	rg.mu.Unlock()
	if id == "" {
		return prober.Member{}, false
	}
	return rg.View().Member(id)
}

// Resign ends this node's leadership and deletes the leader key.
func (rg *Registrar) Resign(ctx context.Context) {
	rg.mu.Lock()
	term := rg.term
	rg.resignLocked("node is leaving")
	rg.lease = 0
	rg.mu.Unlock()
	if term == 0 {
		return
	}
	era, revision := SplitTerm(term)
	_, err := rg.store.Commit(ctx, storer.Transaction{
		Era:      era,
		Expected: map[string]int64{rg.prefix + LeaderKey: revision},
		Deletes:  []string{rg.prefix + LeaderKey},
	})
	if err != nil {
		log.WithError(err).Warn("leader key was not deleted from the store; leadership ends with the lease")
	}
}

// resignLocked ends this node's leadership, if it leads.
func (rg *Registrar) resignLocked(reason string) {
	if rg.term != 0 {
		log.WithField("term", rg.term).WithField("reason", reason).Warn("node no longer leads")
		rg.registry.Inc("leader", "lost")
	}
	rg.term = 0
}

// LeaderID returns the id of the leader according to the last replicated state,
// or "" if there is none. A node whose own lease has ended is not the leader.
func (rg *Registrar) LeaderID() string {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	id := string(rg.leaderEntry.Value)
	if id == rg.presence().ID && rg.clock() >= rg.renewedAt+rg.lifetime {
		return ""
	}
	return id
}

// noLeader reports whether the store is known to have no leader.
func (rg *Registrar) noLeader() bool {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.replicated && rg.leaderEntry.Revision == 0
}

// mayCampaign reports whether the node may try to become the leader.
func (rg *Registrar) mayCampaign() bool {
	if rg.presence().Leaving || !rg.ready() {
		return false
	}
	delay := time.Duration(0)
	if !rg.fit() {
		delay = unfitDelay
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	now := rg.clock()
	if !rg.replicated || rg.leaderEntry.Revision != 0 || rg.term != 0 || now < rg.nextCampaign {
		return false
	}
	delay += min(time.Duration(rg.candidateRankLocked())*candidateDelay, maxCandidateDelay)
	return now >= rg.leaderless+delay
}

// candidateRankLocked returns how many nodes campaign before this one, so that
// not all nodes call the store at once when there is no leader. Nodes that bear more
// come first: a plan for a large fleet takes a small node's processor from its callers.
func (rg *Registrar) candidateRankLocked() int {
	rank, self := 0, member{presence: rg.presence(), capacity: rg.capacity()}
	for _, mb := range rg.members {
		if pr := mb.presence; mb.precedes(self) && !pr.Leaving && pr.ID != rg.previousLeader {
			rank++
		}
	}
	return rank
}

// precedes reports whether the member campaigns before the other: by their capacities if
// both state one, else by their ids.
func (mb member) precedes(other member) bool {
	if mb.capacity > 0 && other.capacity > 0 && mb.capacity != other.capacity {
		return mb.capacity > other.capacity
	}
	return mb.presence.ID < other.presence.ID
}

// campaign tries to become the leader. If the store's answer is lost, the
// replicated key shows the outcome.
func (rg *Registrar) campaign(ctx context.Context) {
	key, id := rg.prefix+LeaderKey, rg.presence().ID
	lease := rg.obtainLease(ctx)
	if lease == 0 {
		return
	}
	rg.mu.Lock()
	era, void := rg.era, rg.voidRevision
	rg.mu.Unlock()
	revision, err := rg.store.Commit(ctx, storer.Transaction{
		Era:      era,
		Expected: map[string]int64{key: void},
		Writes:   []storer.Write{{Key: key, Value: encodeLeader(id, era), Lease: lease}},
	})
	if storer.Is(err, storer.NotFound) {
		rg.forgetLease()
	}
	if err != nil {
		rg.registry.Inc("leader", "not-elected")
		rg.postponeCampaign(err)
		return
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if rg.era == era && revision > rg.leaderEntry.Revision {
		rg.leaderEntry, rg.voidRevision = storer.Entry{Key: key, Value: []byte(id), Revision: revision, Lease: lease}, 0
	}
	rg.updateLeadershipLocked()
}

// postponeCampaign sets the time of the next campaign. After a conflict another
// node leads, which the replicated keys will show.
func (rg *Registrar) postponeCampaign(err error) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if storer.Is(err, storer.Conflict) {
		rg.nextCampaign = rg.clock() + campaignRetry
		rg.lease = 0
	}
}

// updateLeadershipLocked sets the term of this node's leadership by the
// leader's key, as last replicated.
func (rg *Registrar) updateLeadershipLocked() {
	own := rg.leaderEntry.Revision != 0 && rg.leaderEntry.Lease == rg.lease && rg.lease != 0 &&
		string(rg.leaderEntry.Value) == rg.presence().ID
	switch {
	case own && rg.term != Term(rg.era, rg.leaderEntry.Revision):
		rg.term, rg.electedAt = Term(rg.era, rg.leaderEntry.Revision), rg.clock()
		rg.continued = 0
		if rg.electedAt < rg.restoredAt+maxContinuation {
			rg.continued = rg.restoredTerm
		}
		rg.restoredTerm = 0
		rg.contacts = newContacts()
		rg.contacts.lose(rg.previousLeader)
		rg.registry.Inc("leader", "elected")
		log.WithField("term", rg.term).Info("node leads")
	case !own:
		rg.resignLocked("leadership is gone from the store")
	}
	switch {
	case rg.leaderEntry.Revision == 0 && rg.leaderless == 0:
		rg.leaderless = max(rg.clock(), 1)
	case rg.leaderEntry.Revision != 0:
		rg.leaderless, rg.previousLeader = 0, string(rg.leaderEntry.Value)
		if !own {
			rg.lease = 0
		}
	}
}
