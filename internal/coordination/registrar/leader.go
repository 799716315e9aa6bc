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
	rg.mu.Unlock()
	if term == 0 {
		return
	}
	if err := rg.store.Delete(ctx, rg.prefix+LeaderKey, term); err != nil {
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
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.replicated && rg.leaderEntry.Revision == 0 && rg.term == 0 && rg.lease != 0
}

// campaign tries to become the leader. If the store's answer is lost, the
// replicated key shows the outcome.
func (rg *Registrar) campaign(ctx context.Context) {
	key, id := rg.prefix+LeaderKey, rg.presence().ID
	rg.mu.Lock()
	lease := rg.lease
	rg.mu.Unlock()
	revision, err := rg.store.Commit(ctx, storer.Transaction{
		Expected: map[string]int64{key: 0},
		Writes:   []storer.Write{{Key: key, Value: []byte(id), Lease: lease}},
	})
	if storer.Is(err, storer.NotFound) {
		rg.forgetLease()
	}
	if err != nil {
		rg.registry.Inc("leader", "not-elected")
		return
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if revision > rg.leaderEntry.Revision {
		rg.leaderEntry = storer.Entry{Key: key, Value: []byte(id), Revision: revision, Lease: lease}
	}
	rg.updateLeadershipLocked()
}

// updateLeadershipLocked sets the term of this node's leadership by the
// leader's key, as last replicated.
func (rg *Registrar) updateLeadershipLocked() {
	own := rg.leaderEntry.Revision != 0 && rg.leaderEntry.Lease == rg.lease && rg.lease != 0 &&
		string(rg.leaderEntry.Value) == rg.presence().ID
	switch {
	case own && rg.term != rg.leaderEntry.Revision:
		rg.term, rg.electedAt = rg.leaderEntry.Revision, rg.clock()
		rg.registry.Inc("leader", "elected")
		log.WithField("term", rg.term).Info("node leads")
	case !own:
		rg.resignLocked("leadership is gone from the store")
	}
}
