// Package throttler keeps a node's requests within what backend servers say in
// their answers that they take.
//
// A limit holds for all nodes together. Nodes exchange no messages about its use:
// each has an equal share, which it saves up to one request at most. If there are
// more nodes than a server's limit has room for, only some of them, chosen by the
// hash of server and node, send it requests; the shares of all others would add
// up to more than the limit as soon as each is used once.
//
// # Usage
//
//	th := throttler.New("n1", members)
//	th.Observe(now, "w1", sent, throttler.Signals{Limit: 1.5})
//	if th.Wait(now, "w1") == 0 {
//		th.Sent(now, "w1")
//	}
//
// A Throttler has no clock and no lock.
package throttler

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Never is the wait for a server that takes no request of this node.
const Never time.Duration = math.MaxInt64

const (
	// minUsers and usersPerRequest give the number of nodes that may use a server
	// with a limit: enough of them to use the limit up, and few enough that their
	// saved requests do not exceed it by much.
	minUsers        = 3
	usersPerRequest = 2
	// savedTime is the time for which a node saves up a share of more than two
	// requests a second.
	savedTime = 500 * time.Millisecond
	// shareLifetime is how long a share is used before the nodes are counted
	// again.
	shareLifetime = time.Second
	// minLifetime is how long a limit is kept at least after it was last named. A
	// node that sends the server nothing then asks again. Nodes do so at different
	// times, and all of them together with askShare of the limit.
	minLifetime = 30 * time.Second
	askShare    = 0.1
	// returnSpreadDivisor gives the fraction of a pause over which nodes return
	// after it, and maxReturnSpread is the longest such time.
	returnSpreadDivisor = 10
	maxReturnSpread     = time.Second
)

// Throttler holds what servers said to one node.
type Throttler struct {
	// node is the id of this node, and members returns those of all nodes.
	node    string
	members func(server string) []string
	// limits holds the servers that name a limit.
	limits map[string]*limit
	// pauses holds until when servers want no requests of this node.
	pauses map[string]time.Time
	// pools holds which pools are brittle.
	pools map[string]brittleSign
}

// limit is the limit of one server and this node's share of it.
type limit struct {
	// rate is the limit in requests a second, and namedAt when it was last named.
	rate    float64
	namedAt time.Time
	// share is this node's part of rate, and countedAt when it was computed.
	share     float64
	countedAt time.Time
	// lifetime is how long the limit is kept after it was last named.
	lifetime time.Duration
	// saved is the number of requests that the node may send, as of savedAt.
	saved   float64
	savedAt time.Time
}

// New returns a throttler of the node with this id. The function members returns
// the ids of the nodes that share limits.
func New(node string, members func(server string) []string) *Throttler {
	return &Throttler{node: node, members: members, limits: map[string]*limit{}, pauses: map[string]time.Time{}, pools: map[string]brittleSign{}}
}

// Observe records what a server said in its answer to a request that was sent at
// the given time. A limit ends with an answer that names none, unless the request
// was sent before the limit was last named. A pause ends with its time only.
// Observe reports whether a limit ended.
func (th *Throttler) Observe(now time.Time, server string, sent time.Time, sg Signals) (limitEnded bool) {
	if sg.Pause > 0 {
		th.pause(now, server, sg.Pause)
	}
	lm, ok := th.limits[server]
	switch {
	case sg.Limit > 0 && ok:
		th.save(now, server, lm)
		if lm.rate != sg.Limit {
			lm.countedAt = time.Time{}
		}
		lm.rate, lm.namedAt = sg.Limit, now
	case sg.Limit > 0:
		lm = &limit{rate: sg.Limit, namedAt: now, savedAt: now}
		th.limits[server] = lm
		th.count(now, server, lm)
		// Nodes hear of a limit at about the same time. Their first requests are
		// spread over the time in which each has one.
		lm.saved = float64(th.hash(server, th.node)%1024) / 1024
	case ok && sent.After(lm.namedAt):
		delete(th.limits, server)
		return true
	}
	return false
}

// EndLimit removes a server's limit, because another node heard that it ended.
func (th *Throttler) EndLimit(server string) { delete(th.limits, server) }

// pause records that a server wants no requests. Nodes that hear it at the same
// time return one after the other.
func (th *Throttler) pause(now time.Time, server string, dn time.Duration) {
	for other, until := range th.pauses {
		if !now.Before(until) {
			delete(th.pauses, other)
		}
	}
	spread := min(dn/returnSpreadDivisor, maxReturnSpread)
	until := now.Add(dn + spread*time.Duration(th.hash(server, th.node)%1024)/1024)
	if until.After(th.pauses[server]) {
		th.pauses[server] = until
	}
}

// Active reports whether any server names a limit or a pause.
func (th *Throttler) Active() bool { return len(th.limits) > 0 || len(th.pauses) > 0 }

// Forget removes what a server said, because another process has its name.
func (th *Throttler) Forget(server string) {
	delete(th.limits, server)
	delete(th.pauses, server)
}

// Wait returns the time until the server takes a request of this node, 0 if it
// does now, or Never.
func (th *Throttler) Wait(now time.Time, server string) time.Duration {
	paused := time.Duration(0)
	if until, ok := th.pauses[server]; ok {
		paused = max(until.Sub(now), 0)
	}
	return max(paused, th.limitWait(now, server))
}

// Restricts reports whether the server wants a pause, or names a limit that still holds.
func (th *Throttler) Restricts(now time.Time, server string) bool {
	if until, ok := th.pauses[server]; ok && now.Before(until) {
		return true
	}
	lm, ok := th.limits[server]
	return ok && now.Sub(lm.namedAt) <= lm.lifetime
}

// limitWait returns the wait for this node's share of a limit.
func (th *Throttler) limitWait(now time.Time, server string) time.Duration {
	lm, ok := th.limits[server]
	if !ok {
		return 0
	}
	if now.Sub(lm.namedAt) > lm.lifetime {
		delete(th.limits, server)
		return 0
	}
	th.save(now, server, lm)
	switch {
	case lm.saved >= 1:
		return 0
	case lm.share == 0:
		return Never
	}
	return time.Duration((1 - lm.saved) / lm.share * float64(time.Second))
}

// Sent counts a request that is sent to the server now.
func (th *Throttler) Sent(now time.Time, server string) {
	if lm, ok := th.limits[server]; ok {
		th.save(now, server, lm)
		lm.saved--
	}
}

// Rate returns the requests a second that the server takes of this node, and
// whether that is limited.
func (th *Throttler) Rate(now time.Time, server string) (rate float64, limited bool) {
	lm, ok := th.limits[server]
	if !ok {
		return 0, false
	}
	th.save(now, server, lm)
	return lm.share, true
}

// save adds what the node may send since the last call.
func (th *Throttler) save(now time.Time, server string, lm *limit) {
	lm.saved = min(lm.saved+lm.share*max(now.Sub(lm.savedAt), 0).Seconds(), max(lm.share*savedTime.Seconds(), 1))
	lm.savedAt = now
	if now.Sub(lm.countedAt) >= shareLifetime {
		th.count(now, server, lm)
	}
}

// count computes this node's share of a limit.
func (th *Throttler) count(now time.Time, server string, lm *limit) {
	lm.countedAt = now
	nodes, rank := 1, 0
	own := th.hash(server, th.node)
	for _, id := range th.members(server) {
		if id == th.node {
			continue
		}
		nodes++
		if other := th.hash(server, id); other < own || other == own && id < th.node {
			rank++
		}
	}
	users := min(float64(nodes), math.Floor(usersPerRequest*lm.rate)+minUsers)
	lm.share = 0
	if float64(rank) < users {
		lm.share = lm.rate / users
	}
	lifetime := max(minLifetime, time.Duration(float64(nodes)/lm.rate/askShare*float64(time.Second)))
	lm.lifetime = lifetime + lifetime*time.Duration(own%1024)/1024
}

func (*Throttler) hash(server, node string) uint64 { return xxhash.Sum64String(server + "\x00" + node) }
