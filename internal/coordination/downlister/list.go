package downlister

import (
	"math/rand/v2"
	"time"
)

const (
	// suspicionTime is how long a suspected server gets requests only if there is no
	// other. It covers the delayed probe and its answer.
	suspicionTime = 500 * time.Millisecond
	// maxSuspicion bounds the time for which a silent server is suspected.
	maxSuspicion = 30 * time.Second
	// maxProbeDelay is the longest random delay of the probe of a server that another
	// node reported. With random delays few nodes have probed before the report of a
	// second one confirms the first.
	maxProbeDelay = 250 * time.Millisecond
	// lostProbeDelay is the delay of the probe after a lost connection. A process that
	// ends closes its listener up to some milliseconds after its connections.
	lostProbeDelay = 20 * time.Millisecond
	// minProbeInterval and maxProbeInterval bound the time between two probes of a
	// server that only this node found to be down; it doubles with each one. A server that
	// returns usually registers anew, so that probes only end false outages.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = time.Second
	// sharedInterval and sharingNodes set the mean time between two probes of a server that
	// several nodes found to be down, and notify each other when it returns: the interval
	// for each sharingNodes nodes, up to maxShares times as long.
	sharedInterval = time.Second
	sharingNodes   = 8
	maxShares      = 8
	// confirmations is the number of other nodes whose reports take a server out that
	// this node was not refused by. One alone may have lost its path.
	confirmations = 2
	// maxOrigins bounds the nodes remembered per server.
	maxOrigins = 4
	// defaultOutage is the expected duration of the first outage, and outageWeight the
	// weight of a new one in the average.
	defaultOutage = 2 * time.Second
	outageWeight  = 0.3
	// minReturn and maxReturn bound the expected time until a server returns.
	minReturn = 200 * time.Millisecond
	maxReturn = 10 * time.Second
	// maxAge is the age beyond which a report is ignored.
	maxAge = 5 * time.Second
)

// Process is one run of a backend server.
type Process struct {
	// Server is the server's name, and Boot identifies the run.
	Server, Boot string
}

// Registration is what a node knows of a registered backend server.
type Registration struct {
	Process
	// Address is the server's host and port.
	Address string
	// Sequence changes with each registration of the process.
	Sequence uint64
}

// Mark is what a node has found out about a process.
type Mark struct {
	Process
	// Reached says that the process accepted a connection; otherwise its address
	// refused one.
	Reached bool
	// Origin is the node that found it out.
	Origin uint32
	// At is when it was found out.
	At time.Time
}

// Result is the result of a probe.
type Result int

// The results of a probe.
const (
	// Accepted means that the address accepted a connection.
	Accepted Result = iota + 1
	// Refused means that the address refused it.
	Refused
	// Silent means that there was no answer.
	Silent
	// Unknown means that nothing was found out.
	Unknown
)

// String returns the result in kebab case.
func (rs Result) String() string {
	return map[Result]string{Accepted: "accepted", Refused: "refused", Silent: "silent", Unknown: "unknown"}[rs]
}

// Probe is a connection to open in order to find out whether a server is down.
type Probe struct {
	Process
	// Address is the server's host and port.
	Address string
}

// outage is the state of a server that is suspected or down.
type outage struct {
	process Process
	since   time.Time
	// refusedAt is when this node was refused last, or zero.
	refusedAt time.Time
	// origins has the other nodes that were refused, and when.
	origins        map[uint32]time.Time
	suspectedUntil time.Time
	// probeAt is when the next probe is due, and probes the number of failed ones.
	probeAt time.Time
	probing bool
	probes  int
}

// down reports whether the server gets no requests.
func (ou *outage) down() bool { return !ou.refusedAt.IsZero() || len(ou.origins) >= confirmations }

// latest returns when an address last refused a connection, as far as known.
func (ou *outage) latest() time.Time {
	latest := ou.refusedAt
	for _, at := range ou.origins {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// List is the state of one node. It has neither clock, lock nor network.
type List struct {
	self    uint32
	random  *rand.Rand
	known   map[string]Registration
	outages map[string]*outage
	// pending are the marks that other nodes do not have from this one, by server.
	pending map[string]Mark
	// nodes is the number of nodes that share the probes.
	nodes int
	// expected is the average duration of the latest outages.
	expected time.Duration
}

// NewList returns a list without servers. The number identifies this node.
func NewList(self uint32, random *rand.Rand) *List {
	return &List{self: self, random: random, known: map[string]Registration{}, outages: map[string]*outage{}, pending: map[string]Mark{}, expected: defaultOutage}
}

// SetNodes sets the number of nodes that share the probes.
func (ls *List) SetNodes(count int) { ls.nodes = count }

// Update replaces the registrations. A new process or address ends an outage at once. A
// new registration of the same process has a probe made at once, since it may have been
// written before the outage began and arrived late.
func (ls *List) Update(now time.Time, all []Registration) (ended []Process) {
	known := make(map[string]Registration, len(all))
	for _, rg := range all {
		known[rg.Server] = rg
		former, ou := ls.known[rg.Server], ls.outages[rg.Server]
		switch {
		case ou == nil:
		case former.Process != rg.Process || former.Address != rg.Address:
			if ou.down() {
				ended = append(ended, rg.Process)
			}
			ls.end(now, rg.Server)
		case former.Sequence != rg.Sequence:
			ou.probeAt, ou.probes = now, 0
		}
	}
	ls.known = known
	for server := range ls.outages {
		if _, ok := known[server]; !ok {
			delete(ls.outages, server)
		}
	}
	for server := range ls.pending {
		if _, ok := known[server]; !ok {
			delete(ls.pending, server)
		}
	}
	return ended
}

// end ends the outage of a server that has returned.
func (ls *List) end(now time.Time, server string) {
	if ou := ls.outages[server]; ou.down() {
		ls.expected += time.Duration(outageWeight * float64(min(now.Sub(ou.since), maxReturn)-ls.expected))
	}
	delete(ls.outages, server)
	delete(ls.pending, server)
}

// outage returns the outage of a registered server, which it begins if necessary, or nil.
func (ls *List) outage(now time.Time, server string) *outage {
	rg, ok := ls.known[server]
	if !ok {
		return nil
	}
	ou := ls.outages[server]
	if ou == nil {
		ou = &outage{process: rg.Process, since: now, origins: map[uint32]time.Time{}}
		ls.outages[server] = ou
	}
	return ou
}

// Refused records that the process refused a connection of this node. It reports whether
// this takes the server out.
func (ls *List) Refused(now time.Time, pr Process) bool {
	if ls.known[pr.Server].Process != pr {
		return false
	}
	ou := ls.outage(now, pr.Server)
	took := !ou.down()
	if ou.refusedAt.IsZero() {
		if len(ou.origins) < confirmations {
			ls.pending[pr.Server] = Mark{Process: pr, Origin: ls.self, At: now}
		}
		ou.probeAt = now.Add(ls.interval(ou))
	}
	ou.refusedAt = now
	return took
}

// Lost records that connections to the server were lost. It is suspected until a probe
// shows how it is.
func (ls *List) Lost(now time.Time, server string) {
	ou := ls.outage(now, server)
	if ou == nil || ou.down() || now.Before(ou.suspectedUntil) {
		return
	}
	ou.suspectedUntil, ou.probeAt = now.Add(suspicionTime), now.Add(lostProbeDelay)
}

// Learn records a notice of another node. It returns the servers that are taken out for it,
// and those that return.
func (ls *List) Learn(now time.Time, marks []Mark) (took, ended []Process) {
	for _, mk := range marks {
		if mk.Origin == ls.self || ls.known[mk.Server].Process != mk.Process || now.Sub(mk.At) > maxAge {
			continue
		}
		if mk.Reached {
			if ls.learnReached(now, mk) {
				ended = append(ended, mk.Process)
			}
		} else if ls.learnRefused(now, mk) {
			took = append(took, mk.Process)
		}
	}
	return took, ended
}

// learnRefused records the refusal of another node. The first one has this node prefer
// other servers and find out itself; the second one takes the server out. A report is
// passed on unless two others were.
func (ls *List) learnRefused(now time.Time, mk Mark) bool {
	ou := ls.outage(now, mk.Server)
	if _, ok := ou.origins[mk.Origin]; ok || len(ou.origins) >= maxOrigins {
		return false
	}
	was := ou.down()
	ou.origins[mk.Origin] = mk.At
	if len(ou.origins) <= confirmations {
		ls.pending[mk.Server] = mk
	}
	switch {
	case ou.down():
		if len(ou.origins) == 1 || !was {
			// From now on nodes share the probes.
			ou.probeAt = now.Add(ls.interval(ou))
		}
	case !now.Before(ou.suspectedUntil):
		ou.suspectedUntil = now.Add(suspicionTime)
		ou.probeAt = now.Add(time.Duration(ls.random.Int64N(int64(maxProbeDelay))))
	}
	return !was && ou.down()
}

// learnReached records that another node reached the server. That ends an outage which
// this node knows from others only; its own refusal is checked at once. It reports whether
// a server that was down returns.
func (ls *List) learnReached(now time.Time, mk Mark) bool {
	ou := ls.outages[mk.Server]
	if ou == nil || !mk.At.After(ou.latest()) {
		return false
	}
	if !ou.refusedAt.IsZero() {
		ou.probeAt, ou.probes = now, 0
		return false
	}
	down := ou.down()
	ls.end(now, mk.Server)
	ls.pending[mk.Server] = mk
	return down
}

// interval returns the time until the next probe of a server that is down.
func (ls *List) interval(ou *outage) time.Duration {
	if len(ou.origins) >= confirmations || !ou.refusedAt.IsZero() && len(ou.origins) > 0 {
		mean := sharedInterval * time.Duration(min(max(ls.nodes/sharingNodes, 1), maxShares))
		return minProbeInterval + time.Duration(ls.random.Int64N(int64(2*mean)))
	}
	base := min(minProbeInterval<<min(ou.probes, 8), maxProbeInterval)
	return base*3/4 + time.Duration(ls.random.Int64N(int64(base/2)))
}

// Due returns at most count probes to make now. Each must be followed by a call of Probed
// before the same server is probed again.
func (ls *List) Due(now time.Time, count int) (due []Probe) {
	for server, ou := range ls.outages {
		switch {
		case len(due) == count || ou.probing || now.Before(ou.probeAt):
		case ou.down() || now.Before(ou.suspectedUntil):
			ou.probing = true
			due = append(due, Probe{Process: ou.process, Address: ls.known[server].Address})
		default:
			delete(ls.outages, server)
		}
	}
	return due
}

// Probed records the result of a probe that began at the given time. It reports whether
// the server is taken out, or returns.
func (ls *List) Probed(began, now time.Time, pr Process, rs Result) (took, ended bool) {
	ou := ls.outages[pr.Server]
	if ou == nil || ou.process != pr {
		return false, false
	}
	ou.probing = false
	switch rs {
	case Refused:
		took = ls.Refused(now, pr)
	case Accepted:
		if ou.latest().After(began) {
			break
		}
		ended = ou.down()
		notify := ended || len(ou.origins) > 0
		ls.end(now, pr.Server)
		if notify {
			ls.pending[pr.Server] = Mark{Process: pr, Reached: true, Origin: ls.self, At: now}
		}
		return false, ended
	}
	ou.probes++
	ou.probeAt = now.Add(ls.interval(ou))
	if rs == Silent && !ou.down() && now.Sub(ou.since) < maxSuspicion {
		// Whether the server or the path is at fault, others go first.
		ou.suspectedUntil = ou.probeAt.Add(suspicionTime)
	}
	return took, false
}

// Forget forgets what this node found out of the servers, or learnt from others, because
// the node was at fault.
func (ls *List) Forget(servers []string) {
	for _, server := range servers {
		delete(ls.outages, server)
		delete(ls.pending, server)
	}
}

// PendingNotices removes and returns at most count marks for other nodes, without those of
// servers that are withheld.
func (ls *List) PendingNotices(now time.Time, count int, withheld func(server string) bool) (marks []Mark) {
	for server, mk := range ls.pending {
		if len(marks) == count {
			break
		}
		if withheld(server) {
			continue
		}
		delete(ls.pending, server)
		if now.Sub(mk.At) <= maxAge {
			marks = append(marks, mk)
		}
	}
	return marks
}

// Down reports whether the server gets no requests.
func (ls *List) Down(server string) bool {
	ou := ls.outages[server]
	return ou != nil && ou.down()
}

// Suspected reports whether the server gets requests only if there is no other.
func (ls *List) Suspected(now time.Time, server string) bool {
	ou := ls.outages[server]
	return ou != nil && !ou.down() && now.Before(ou.suspectedUntil)
}

// Return returns the expected time until a server that is down returns: the rest of
// an average outage, and for a longer one a quarter of the time that it has taken.
func (ls *List) Return(now time.Time, server string) time.Duration {
	ou := ls.outages[server]
	if ou == nil {
		return 0
	}
	elapsed := now.Sub(ou.since)
	return min(max(ls.expected-elapsed, elapsed/4, minReturn), maxReturn)
}

// Outages returns the number of servers that are down and that of suspected ones.
func (ls *List) Outages(now time.Time) (down, suspected int) {
	for server, ou := range ls.outages {
		switch {
		case ou.down():
			down++
		case ls.Suspected(now, server):
			suspected++
		}
	}
	return down, suspected
}
