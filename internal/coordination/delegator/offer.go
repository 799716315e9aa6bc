package delegator

import (
	"math/rand/v2"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
)

const (
	// zoneCost is how many delegated requests more a node of the own availability zone
	// may have than one of another.
	zoneCost = 4
	// declineCost is that number for a node of a zone in which no node declined lately.
	// It exceeds zoneCost, since what cuts a node off often cuts off its zone.
	declineCost = 2 * zoneCost
	// declineMemory is how long a node that declined is asked after all others. It doubles
	// with each further decline, maxDoublings times at most.
	declineMemory = time.Second
	maxDoublings  = 3
	// maxReasked is the number of nodes that declined lately and are asked again for one
	// request.
	maxReasked = 4
)

// helperKey names the requests for one pool at one node. A node that declines them may take
// those for another pool.
type helperKey struct{ address, pool string }

// helper is what this node knows of another one that may run its requests for a pool.
type helper struct {
	// zone is the node's availability zone.
	zone string
	// inProgress counts this node's requests that are offered to the other one or run
	// there.
	inProgress int
	// declines counts the times in a row that it declined a request or was lost. Those of
	// requests that were offered at once count as one.
	declines int
	// askLastUntil is until when it is asked after all others.
	askLastUntil time.Time
}

// declinedLately reports whether the node is asked after all others. Once that ends, one
// request at a time is offered to it until it takes one.
func (hp *helper) declinedLately(now time.Time) bool {
	return now.Before(hp.askLastUntil) || hp.declines > 0 && hp.inProgress > 0
}

// noteDecline records that the node declined a request or was lost.
func (hp *helper) noteDecline(now time.Time) {
	hp.inProgress--
	if now.Before(hp.askLastUntil) {
		return
	}
	hp.askLastUntil = now.Add(declineMemory << min(hp.declines, maxDoublings))
	hp.declines++
}

// offer chooses the nodes to which one request is offered, one after the other. It
// answers the load of a node, or of a whole zone, that has lost its path to the servers:
// each node is asked once, so that a node with a path is found however many have none,
// and later requests begin with it.
type offer struct {
	dg   *Delegator
	pool string
	// members are the nodes that were not asked yet.
	members []prober.Member
	// reasked counts the nodes that were asked although they declined lately.
	reasked int
}

// newOffer returns an offer of a request for the pool to all other nodes. Those that are
// registered as not ready are among them, since a registration can't change while the store
// is out of reach.
func (dg *Delegator) newOffer(pool string) *offer {
	of := &offer{dg: dg, pool: pool}
	for _, mb := range dg.members() {
		if mb.ID != dg.self && (mb.State == prober.Alive || mb.State == prober.Leaving) {
			of.members = append(of.members, mb)
		}
	}
	rand.Shuffle(len(of.members), func(ix, jx int) {
		of.members[ix], of.members[jx] = of.members[jx], of.members[ix]
	})
	return of
}

// next returns the next node to ask and counts the request as in progress there. It
// returns false if no node is left.
func (of *offer) next() (prober.Member, bool) {
	of.dg.mu.Lock()
	defer of.dg.mu.Unlock()
	now := time.Now()
	declined := of.dg.declinedZonesLocked(of.pool, now)
	best, bestRank := -1, offerRank{}
	for ix, mb := range of.members {
		if rk := of.dg.rankLocked(mb, of.pool, declined, now); best < 0 || rk.before(bestRank) {
			best, bestRank = ix, rk
		}
	}
	if best < 0 || bestRank.declined && of.reasked >= maxReasked {
		return prober.Member{}, false
	}
	if bestRank.declined {
		of.reasked++
	}
	chosen := of.members[best]
	last := len(of.members) - 1
	of.members[best] = of.members[last]
	of.members = of.members[:last]
	hp := of.dg.helperLocked(helperKey{chosen.PeerAddress, of.pool})
	hp.zone = chosen.Zone
	hp.inProgress++
	return chosen, true
}

// offerRank orders nodes: those that declined lately come last, and before them those
// that are registered as not ready.
type offerRank struct {
	declined, unready bool
	cost              int
}

func (rk offerRank) before(other offerRank) bool {
	switch {
	case rk.declined != other.declined:
		return other.declined
	case rk.unready != other.unready:
		return other.unready
	}
	return rk.cost < other.cost
}

// rankLocked returns the rank of a node for the pool. declined has the zones in which a
// node declined lately.
func (dg *Delegator) rankLocked(mb prober.Member, pool string, declined map[string]bool, now time.Time) offerRank {
	rk := offerRank{unready: mb.State != prober.Alive}
	if hp, ok := dg.helpers[helperKey{mb.PeerAddress, pool}]; ok {
		rk.declined, rk.cost = hp.declinedLately(now), hp.inProgress
	}
	if mb.Zone != dg.zone {
		rk.cost += zoneCost
	}
	if declined[mb.Zone] {
		rk.cost += declineCost
	}
	return rk
}

// declinedZonesLocked returns the zones in which a node declined requests for the pool
// lately. It forgets nodes of which nothing is left to know, and declines that are long past.
func (dg *Delegator) declinedZonesLocked(pool string, now time.Time) map[string]bool {
	lately := map[string]bool{}
	for key, hp := range dg.helpers {
		switch {
		case hp.declinedLately(now):
			lately[hp.zone] = lately[hp.zone] || key.pool == pool
		case hp.inProgress == 0 && now.Sub(hp.askLastUntil) > declineMemory:
			delete(dg.helpers, key)
		}
	}
	return lately
}

func (dg *Delegator) helperLocked(key helperKey) *helper {
	hp, ok := dg.helpers[key]
	if !ok {
		hp = &helper{}
		dg.helpers[key] = hp
	}
	return hp
}

// accepted records that the node runs a request.
func (dg *Delegator) accepted(key helperKey) {
	dg.mu.Lock()
	defer dg.mu.Unlock()
	hp := dg.helperLocked(key)
	hp.declines, hp.askLastUntil = 0, time.Time{}
}

// declined records that the node doesn't run a request that was offered to it.
func (dg *Delegator) declined(key helperKey) {
	dg.mu.Lock()
	defer dg.mu.Unlock()
	dg.helperLocked(key).noteDecline(time.Now())
}

// release records that a request of the node has ended.
func (dg *Delegator) release(key helperKey) {
	dg.mu.Lock()
	defer dg.mu.Unlock()
	dg.helperLocked(key).inProgress--
}
