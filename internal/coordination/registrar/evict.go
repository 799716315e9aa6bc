package registrar

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const (
	// silenceLimit is how long the leader waits for a node's report before it
	// asks the node.
	silenceLimit = 1500 * time.Millisecond
	// evictInterval is the time between two looks at which nodes are silent.
	evictInterval = 400 * time.Millisecond
	// checkTimeout bounds one question to a silent node.
	checkTimeout = 500 * time.Millisecond
	// maxEvictions bounds the registrations that one transaction removes.
	maxEvictions = 12
)

// contacts says when the leader last heard of each node.
type contacts struct {
	heardAt map[string]time.Duration // by the id of the node
	lost    map[string]bool          // nodes to ask at once
}

func newContacts() contacts {
	return contacts{heardAt: map[string]time.Duration{}, lost: map[string]bool{}}
}

func (co contacts) hear(id string, now time.Duration) {
	co.heardAt[id] = now
	delete(co.lost, id)
}

// lose makes the node silent at once, as one that has just lost the leadership.
func (co contacts) lose(id string) {
	if id != "" {
		co.lost[id] = true
	}
}

// silent reports whether the leader should ask the node. The silence of a node
// that was never heard of begins with the first call.
func (co contacts) silent(id string, now time.Duration) bool {
	if co.lost[id] {
		return true
	}
	at, ok := co.heardAt[id]
	if !ok {
		co.heardAt[id] = now
		return false
	}
	return now-at > silenceLimit
}

// Hear records that the leader received a call of a node.
func (rg *Registrar) Hear(id string) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.contacts.hear(id, rg.clock())
}

// evictLost removes the registrations of nodes that neither report nor answer.
// A node that is alive registers again when it sees that its registration is
// gone.
func (rg *Registrar) evictLost(ctx context.Context) {
	term, leads := rg.Leads()
	if !leads {
		return
	}
	lost := rg.unanswered(ctx, rg.silentNodes())
	if len(lost) == 0 {
		return
	}
	era, revision := SplitTerm(term)
	tx := storer.Transaction{Era: era, Expected: map[string]int64{rg.prefix + LeaderKey: revision}}
	for key, mb := range lost {
		if len(tx.Deletes) == maxEvictions {
			break
		}
		tx.Expected[key] = mb.revision
		tx.Deletes = append(tx.Deletes, key)
	}
	if _, err := rg.store.Commit(ctx, tx); err != nil {
		rg.registry.Inc("member", "not-evicted")
		log.WithError(err).WithField("nodes", len(tx.Deletes)).Warn("registrations of lost nodes were not removed; the leader tries again")
		return
	}
	for _, key := range tx.Deletes {
		rg.registry.Inc("member", "evicted")
		log.WithField("node", lost[key].presence.ID).WithField("term", term).Info("registration of a lost node removed")
	}
}

// silentNodes returns the registrations of the nodes to ask, by key.
func (rg *Registrar) silentNodes() map[string]member {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	now, self := rg.clock(), rg.presence().ID
	silent := map[string]member{}
	for key, mb := range rg.members {
		if id := mb.presence.ID; id != self && mb.keptUntil == 0 && rg.contacts.silent(id, now) {
			silent[key] = mb
		}
	}
	return silent
}

// unanswered asks the nodes and returns those that do not answer. Another
// process at the address replaces the registration itself.
func (rg *Registrar) unanswered(ctx context.Context, silent map[string]member) map[string]member {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	lost := map[string]member{}
	var mu sync.Mutex
	var checks sync.WaitGroup
	for key, mb := range silent {
		checks.Go(func() {
			if _, err := rg.check(ctx, mb.presence.PeerAddress); err != nil {
				mu.Lock()
				defer mu.Unlock()
				lost[key] = mb
				return
			}
			rg.Hear(mb.presence.ID)
		})
	}
	checks.Wait()
	return lost
}
