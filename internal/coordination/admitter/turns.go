package admitter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
)

const (
	// turnDurations is how many times a request's duration a node keeps a slot of a
	// brittle server, at least, before the next node has it.
	turnDurations = 2
	// minTurn and maxTurn bound that time. It is minTurn or that doubled some times, since
	// nodes that measure somewhat different durations have to agree on it. Nodes look for a
	// slot every 50 ms.
	minTurn = 125 * time.Millisecond
	maxTurn = 8 * minTurn
	// placeLifetime is how long the number of nodes and this node's place are kept.
	placeLifetime = 100 * time.Millisecond
)

// place is this node's place among the nodes that may use a pool, in the order of their
// ids.
type place struct {
	index, nodes int
	// servers has the places of the pool's servers in the order of their names.
	servers map[string]int
	at      time.Time
}

// placeIn returns this node's place among the nodes that may use the pool. If their ids are
// not known, the place is that of the hash of its own.
func (sc *Scheduler) placeIn(now time.Time, pool string) place {
	if pl, ok := sc.places[pool]; ok && now.Sub(pl.at) < placeLifetime {
		return pl
	}
	ids := slices.Clone(sc.members(pool))
	pl := place{at: now}
	if len(ids) == 0 {
		pl.nodes = sc.table.Nodes()
		pl.index = int(xxhash.Sum64String(sc.nodeID) % uint64(pl.nodes))
	} else {
		if !slices.Contains(ids, sc.nodeID) {
			ids = append(ids, sc.nodeID)
		}
		slices.Sort(ids)
		pl.nodes = len(ids)
		pl.index, _ = slices.BinarySearch(ids, sc.nodeID)
	}
	var names []string
	for _, tg := range sc.table.Targets() {
		if tg.Pool == pool {
			names = append(names, tg.Name)
		}
	}
	slices.Sort(names)
	pl.servers = make(map[string]int, len(names))
	for ix, name := range names {
		pl.servers[name] = ix
	}
	sc.places[pool] = pl
	return pl
}

// turns divides the slots of a brittle server among the nodes that may use it. It answers
// the load of nodes that outnumber the slots: what does not divide evenly goes from node to
// node in the order of their ids, so that at any time the shares add up to the slots, and
// each node has its turn within as many turns as there are nodes to a slot. The nodes agree
// as far as their clocks and their lists of nodes do.
type turns struct {
	// even is the share that the node has all the time, and left the number of slots that
	// go from node to node.
	even, left int
	// nodes is the number of nodes and place that of this one, servers the number of servers
	// and server the place of this one.
	nodes, place, servers, server int
	interval                      time.Duration
	// tail is the end of a turn in which no request is sent any more, so that it has ended
	// when the next node sends its own.
	tail time.Duration
}

// turnsAt returns the turns at the server, of which the nodes use as many slots.
func (sc *Scheduler) turnsAt(now time.Time, tg *router.Target, slots int) turns {
	pl := sc.placeIn(now, tg.Pool)
	duration := sc.longestDuration(tg)
	tn := turns{
		even:     slots / pl.nodes,
		left:     slots % pl.nodes,
		nodes:    pl.nodes,
		place:    pl.index,
		servers:  max(len(pl.servers), 1),
		server:   pl.servers[tg.Name],
		interval: minTurn,
	}
	for tn.interval < turnDurations*duration && tn.interval < maxTurn {
		tn.interval *= 2
	}
	tn.tail = min(duration, tn.interval/2)
	return tn
}

// longestDuration returns the longest mean duration of the requests for the server's models.
func (sc *Scheduler) longestDuration(tg *router.Target) time.Duration {
	longest := time.Duration(0)
	for _, model := range tg.Models {
		longest = max(longest, sc.statsFor(model).duration.value)
	}
	return longest
}

// share returns how many slots the node may use now.
func (tn turns) share(now time.Time) int {
	elapsed := time.Duration(now.UnixNano() % int64(tn.interval))
	if tn.has(now.UnixNano()/int64(tn.interval)) && tn.interval-elapsed > tn.tail {
		return tn.even + 1
	}
	return tn.even
}

// has reports whether the node has one of the slots that are left over in the period. In
// each period the servers' slots go to the nodes that follow those of the period before, so
// that a node's turns are spread over time. Once all nodes had one, the servers change their
// order: no node depends on one server.
func (tn turns) has(period int64) bool {
	if tn.left == 0 {
		return false
	}
	all := tn.left * tn.servers
	cycle := int64((tn.nodes + all - 1) / all)
	order := int((int64(tn.server) + period/cycle) % int64(tn.servers))
	first := (int(period%int64(tn.nodes))*all + order*tn.left) % tn.nodes
	return (tn.place-first+tn.nodes)%tn.nodes < tn.left
}

// wait returns the time until the node may use a slot.
func (tn turns) wait(now time.Time) time.Duration {
	if tn.share(now) > 0 {
		return 0
	}
	period := now.UnixNano() / int64(tn.interval)
	for next := period + 1; next <= period+int64(tn.nodes*tn.servers); next++ {
		if tn.has(next) {
			return time.Duration(next*int64(tn.interval) - now.UnixNano())
		}
	}
	return maxTurn
}

// rate returns the requests of the duration that the node can send to the server in a
// second.
func (tn turns) rate(duration time.Duration) float64 {
	used := float64(tn.interval-tn.tail) / float64(tn.interval)
	slots := float64(tn.even) + used*float64(tn.left)/float64(tn.nodes)
	return slots / max(duration, time.Millisecond).Seconds()
}

// turnWait returns how long a new entry would wait for this node's turns if all its servers
// are brittle, and reports whether that is known. The rate of former grants says little of
// them: a node without a turn grants nothing.
func (sc *Scheduler) turnWait(now time.Time, en *Entry) (time.Duration, bool) {
	least, rate, servers := maxRetryAfter, 0.0, 0
	duration := sc.statsFor(en.ticket.Model.Name()).duration.value
	for _, tg := range sc.candidates(en.ticket) {
		switch {
		case tg.Leaving || sc.reachability.Down(tg.Name):
			continue
		case !sc.brittle(now, tg):
			return 0, false
		}
		servers++
		tn := sc.brittleTurns(now, tg)
		least = min(least, tn.wait(now))
		rate += tn.rate(duration)
	}
	if servers == 0 || rate == 0 {
		return 0, false
	}
	ahead := 0
	if mq, ok := sc.queues[en.ticket.Model.Name()]; ok {
		ahead = mq.byClass[en.class].aheadOf(en.ticket.Caller.Name())
	}
	return least + seconds(float64(ahead)/rate), true
}
