package throttler

import "time"

const (
	// brittleLifetime is how long a sign to be brittle holds at least for the servers
	// of its pool. A node that sends them little hears its end late.
	brittleLifetime = 10 * time.Second
	// rejectedPause is how long a brittle server that turned a request away gets none
	// of this node.
	rejectedPause = time.Second
)

// brittleSign is what is known of the brittleness of one pool.
type brittleSign struct {
	// heard says that a server of the pool has answered.
	heard bool
	// namedAt is when a server last said that it is brittle; zero if that ended.
	namedAt time.Time
}

// ObservePool records whether a server of the pool says that it is brittle, in its
// answer to a request that was sent at the given time. The sign holds for all servers
// of the pool, also for those that have just come back.
func (th *Throttler) ObservePool(now time.Time, pool string, sent time.Time, sg Signals) {
	bs := th.pools[pool]
	bs.heard = true
	switch {
	case sg.Brittle > 0:
		bs.namedAt = now
	case sent.After(bs.namedAt):
		bs.namedAt = time.Time{}
	}
	th.pools[pool] = bs
}

// Brittle reports whether servers of the pool are brittle.
func (th *Throttler) Brittle(now time.Time, pool string) bool {
	return now.Sub(th.pools[pool].namedAt) < brittleLifetime
}

// Heard reports whether this node knows if the servers of the pool are brittle. It does not
// before one has answered, and when none has for long after they said that they are.
func (th *Throttler) Heard(now time.Time, pool string) bool {
	return th.pools[pool].heard && (th.pools[pool].namedAt.IsZero() || th.Brittle(now, pool))
}

// Rejected records that a server of a brittle pool turned a request away for want of
// room.
func (th *Throttler) Rejected(now time.Time, server string) { th.pause(now, server, rejectedPause) }
