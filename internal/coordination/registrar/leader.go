package registrar

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// leadShare is the part of a lease's lifetime since its last renewal for which a
// leader acts. Its keys may have been taken away meanwhile, so that the next
// leader waits for as long besides the handover.
const leadShare = 0.6

// actsFor returns how long a leader acts without a renewal.
func (rg *Registrar) actsFor() time.Duration {
	return time.Duration(leadShare * float64(rg.lifetime))
}

// Leads returns the term under which the node leads now. Terms grow from each
// leader to the next.
func (rg *Registrar) Leads() (term int64, ok bool) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	now := rg.clock()
	return rg.term, rg.term != 0 && now < rg.renewedAt+rg.actsFor() && now >= rg.wonAt+rg.handover+rg.actsFor()
}

// Leader returns the node that leads by the latest news.
func (rg *Registrar) Leader() (prober.Member, bool) {
	rg.mu.Lock()
	id := string(rg.leader.Value)
	rg.mu.Unlock()
	if id == "" {
		return prober.Member{}, false
	}
	return rg.View().Member(id)
}

// Resign gives the leadership up, if the node has it.
func (rg *Registrar) Resign(ctx context.Context) {
	rg.mu.Lock()
	term := rg.term
	rg.resignLocked("node is leaving")
	rg.mu.Unlock()
	if term == 0 {
		return
	}
	if err := rg.store.Delete(ctx, rg.prefix+LeaderKey, term); err != nil {
		log.WithError(err).Warn("leadership is not given up; it ends with the lease")
	}
}

func (rg *Registrar) resignLocked(reason string) {
	if rg.term != 0 {
		log.WithField("term", rg.term).WithField("reason", reason).Warn("node no longer leads")
		rg.registry.Inc("leader", "lost")
	}
	rg.term = 0
}

// vacant reports whether no node leads.
func (rg *Registrar) vacant() bool {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.synced && rg.leader.Revision == 0
}

// mayStand reports whether the node may try to lead.
func (rg *Registrar) mayStand() bool {
	if rg.presence().Leaving || !rg.ready() {
		return false
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.synced && rg.leader.Revision == 0 && rg.term == 0 && rg.lease != 0
}

// stand tries to become the leader. If the answer is lost, the replica of the
// key tells.
func (rg *Registrar) stand(ctx context.Context) {
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
	if revision > rg.leader.Revision {
		rg.leader = storer.Entry{Key: key, Value: []byte(id), Revision: revision, Lease: lease}
	}
	rg.judgeLocked()
}

// judgeLocked decides by what is known of the leader's key whether this node
// leads.
func (rg *Registrar) judgeLocked() {
	mine := rg.leader.Revision != 0 && rg.leader.Lease == rg.lease && rg.lease != 0 &&
		string(rg.leader.Value) == rg.presence().ID
	switch {
	case mine && rg.term != rg.leader.Revision:
		rg.term, rg.wonAt = rg.leader.Revision, rg.clock()
		rg.registry.Inc("leader", "elected")
		log.WithField("term", rg.term).Info("node leads")
	case !mine:
		rg.resignLocked("leadership is gone from the store")
	}
}
